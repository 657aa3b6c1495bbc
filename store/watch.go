package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	minWatchBackoff = 50 * clock.Millisecond
	maxWatchBackoff = 2 * clock.Second
	// A watch stream is replaced after at most maxWatchDuration, because a dead connection may
	// show no error.
	maxWatchDuration = clock.Minute
)

var errCompacted = errors.New("store has compacted the next revision of the watch")

// watcher is the state of one call of Watch across its connections.
type watcher struct {
	client       *Client
	prefix       string
	nextRevision units.Revision
	lastRevision units.Revision
	// liveKeys holds the keys that exist as of lastRevision. It shows which keys were deleted
	// when the store has compacted the events.
	liveKeys   map[string]struct{}
	keysLoaded bool
	events     chan Event
}

// Watch implements KV.
func (c *Client) Watch(ctx context.Context, prefix string, from units.Revision) <-chan Event {
	w := &watcher{client: c, prefix: prefix, nextRevision: from,
		liveKeys: make(map[string]struct{}), events: make(chan Event)}
	if from > 0 {
		w.lastRevision = from - 1
	}
	go w.run(ctx)
	return w.events
}

// run reads streams until the context is done, with an exponential backoff between failures.
func (w *watcher) run(ctx context.Context) {
	defer close(w.events)
	backoff := minWatchBackoff
	for ctx.Err() == nil {
		startRevision := w.nextRevision
		err := w.loadKeys(ctx)
		if err == nil {
			err = w.stream(ctx)
		}
		if errors.Is(err, errCompacted) {
			err = w.relist(ctx)
		}
		if err == nil || w.nextRevision != startRevision {
			backoff = minWatchBackoff
		}
		if err != nil && ctx.Err() == nil {
			klog.V(1).Infof("store: watch stream of %s ended: %v", w.prefix, err)
		}
		if err != nil && !clock.Sleep(ctx, (backoff/2+rand.N(backoff)).Duration()) {
			return
		}
		backoff = min(2*backoff, maxWatchBackoff)
	}
}

// loadKeys reads the keys that exist before the first event. When the store has compacted that
// revision, liveKeys stays empty, and relist delivers all current entries.
func (w *watcher) loadKeys(ctx context.Context) error {
	if w.keysLoaded {
		return nil
	}
	entries, revision, err := w.client.list(ctx, w.prefix, w.lastRevision, true)
	if errors.Is(err, ErrUnavailable) && !errors.Is(err, errRefused) {
		return err
	}
	for _, e := range entries {
		w.liveKeys[e.Key] = struct{}{}
	}
	w.keysLoaded = true
	if w.nextRevision == 0 {
		w.lastRevision = revision
		w.nextRevision = revision + 1
	}
	return nil
}

// stream delivers the events of one connection. It returns nil when the connection reached its
// maximum duration, and errCompacted when the store no longer has the next revision.
func (w *watcher) stream(ctx context.Context) error {
	duration := maxWatchDuration/2 + rand.N(maxWatchDuration/2)
	streamCtx, cancel := context.WithTimeout(ctx, duration.Duration())
	defer cancel()
	request := watchRequest{createWatch{Key: rangeStart(w.prefix), RangeEnd: rangeEnd(w.prefix),
		StartRevision: w.nextRevision}}
	w.client.counters.watches.Add(1)
	response, err := w.client.openWatch(streamCtx, cancel, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body := &messageReader{in: response.Body}
	decoder := json.NewDecoder(body)
	for {
		body.left = maxResponseBytes
		var message watchResponse
		if err := decoder.Decode(&message); err != nil {
			if streamCtx.Err() != nil {
				return nil
			}
			return w.client.recordFailure(&failure{err: fmt.Errorf("read watch stream: %w", err)})
		}
		w.client.recordResponse()
		if err := w.processResult(ctx, &message.Result); err != nil {
			return err
		}
	}
}

// processResult delivers the events of one message. It returns errCompacted when the store no
// longer has the next revision.
func (w *watcher) processResult(ctx context.Context, result *watchResult) error {
	if result.Canceled {
		if result.CompactRevision > 0 {
			return errCompacted
		}
		return fmt.Errorf("store canceled the watch: %w", ErrUnavailable)
	}
	for _, e := range result.Events {
		entry := decodeValue(e.Kv)
		event := Event{Key: entry.Key, Value: entry.Value, Revision: entry.Revision, Lease: entry.Lease}
		if e.Type == eventDelete {
			event.Deleted = true
			event.Value = nil
		}
		if err := w.deliverIfNewer(ctx, event); err != nil {
			return err
		}
	}
	return nil
}

// deliverIfNewer delivers the event unless its revision is not newer than the last one.
func (w *watcher) deliverIfNewer(ctx context.Context, e Event) error {
	if e.Revision <= w.lastRevision {
		w.client.counters.staleEvents.Add(1)
		return nil
	}
	return w.deliver(ctx, e)
}

// deliver sends the event to the caller of Watch and updates the position of the watch.
func (w *watcher) deliver(ctx context.Context, e Event) error {
	select {
	case w.events <- e:
	case <-ctx.Done():
		return ctx.Err()
	}
	w.lastRevision = e.Revision
	w.nextRevision = e.Revision + 1
	if e.Deleted {
		delete(w.liveKeys, e.Key)
	} else {
		w.liveKeys[e.Key] = struct{}{}
	}
	return nil
}

// relist makes up for compacted events: it delivers the entries changed since the last event,
// by revision, and then a deletion for each key that no longer exists.
func (w *watcher) relist(ctx context.Context) error {
	entries, revision, err := w.client.List(ctx, w.prefix)
	if err != nil {
		return err
	}
	slices.SortFunc(entries, func(a, b Entry) int { return int(a.Revision - b.Revision) })
	deletedKeys := make(map[string]struct{}, len(w.liveKeys))
	for k := range w.liveKeys {
		deletedKeys[k] = struct{}{}
	}
	for _, e := range entries {
		delete(deletedKeys, e.Key)
		event := Event{Key: e.Key, Value: e.Value, Revision: e.Revision, Lease: e.Lease}
		if err := w.deliverIfNewer(ctx, event); err != nil {
			return err
		}
	}
	for k := range deletedKeys {
		// Several deletions may carry this revision, so deliverIfNewer would drop them.
		if err := w.deliver(ctx, Event{Key: k, Revision: revision, Deleted: true}); err != nil {
			return err
		}
	}
	w.nextRevision = revision + 1
	w.lastRevision = revision
	return nil
}

// errMessageTooLarge means that a message of a watch exceeds maxResponseBytes.
var errMessageTooLarge = errors.New("message of the watch is too large")

// messageReader fails once as many bytes were read as are left for the current message.
type messageReader struct {
	in   io.Reader
	left int64
}

// Read implements io.Reader.
func (r *messageReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errMessageTooLarge
	}
	n, err := r.in.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err //nolint:wrapcheck // the decoder compares with io.EOF
}
