package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	minWatchPause = 50 * clock.Millisecond
	maxWatchPause = 2 * clock.Second
	// maxWatchAge bounds how long a watch on a dead connection goes unnoticed.
	maxWatchAge = clock.Minute
)

var errCompacted = errors.New("revisions before the watch were compacted")

// watcher is one call of Watch over all its connections.
type watcher struct {
	client *Client
	prefix string
	next   units.Revision
	last   units.Revision
	// known holds the keys delivered, so that deletions are noticed after the
	// store has dropped the events.
	known  map[string]struct{}
	seeded bool
	events chan Event
}

// Watch implements KV.
func (c *Client) Watch(ctx context.Context, prefix string, from units.Revision) <-chan Event {
	w := &watcher{client: c, prefix: prefix, next: from, known: make(map[string]struct{}), events: make(chan Event)}
	if from > 0 {
		w.last = from - 1
	}
	go w.run(ctx)
	return w.events
}

func (w *watcher) run(ctx context.Context) {
	defer close(w.events)
	wait := minWatchPause
	for ctx.Err() == nil {
		before := w.next
		err := w.seed(ctx)
		if err == nil {
			err = w.stream(ctx)
		}
		if errors.Is(err, errCompacted) {
			err = w.relist(ctx)
		}
		if err == nil || w.next != before {
			wait = minWatchPause
		}
		if err != nil && ctx.Err() == nil {
			klog.V(1).Infof("store: watch of %s ended: %v", w.prefix, err)
		}
		if err != nil && !clock.Sleep(ctx, (wait/2+rand.N(wait)).Duration()) {
			return
		}
		wait = min(2*wait, maxWatchPause)
	}
}

// seed notes the keys that exist before the first event. When the store has
// dropped that revision, relist delivers everything that exists instead.
func (w *watcher) seed(ctx context.Context) error {
	if w.seeded {
		return nil
	}
	entries, at, err := w.client.list(ctx, w.prefix, w.last, true)
	if errors.Is(err, ErrUnavailable) && !errors.Is(err, errRefused) {
		return err
	}
	for _, e := range entries {
		w.known[e.Key] = struct{}{}
	}
	w.seeded = true
	if w.next == 0 {
		w.last = at
		w.next = at + 1
	}
	return nil
}

// stream reads one connection until it fails, is too old or is compacted.
func (w *watcher) stream(ctx context.Context) error {
	age := maxWatchAge/2 + rand.N(maxWatchAge/2)
	limited, cancel := context.WithTimeout(ctx, age.Duration())
	defer cancel()
	q := watchRequest{createWatch{Key: rangeStart(w.prefix), RangeEnd: rangeEnd(w.prefix), StartRevision: w.next}}
	w.client.count.watches.Add(1)
	r, err := w.client.open(limited, cancel, q)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	d := json.NewDecoder(r.Body)
	for {
		var m watchResponse
		if err := d.Decode(&m); err != nil {
			if limited.Err() != nil {
				return nil
			}
			return w.client.failed(&failure{err: fmt.Errorf("read watch: %w", err)})
		}
		w.client.answered()
		if err := w.take(ctx, &m.Result); err != nil {
			return err
		}
	}
}

func (w *watcher) take(ctx context.Context, m *watchResult) error {
	if m.Canceled {
		if m.CompactRevision > 0 {
			return errCompacted
		}
		return fmt.Errorf("watch canceled: %w", ErrUnavailable)
	}
	for _, e := range m.Events {
		s := open(e.Kv)
		v := Event{Key: s.Key, Value: s.Value, Revision: s.Revision, Lease: s.Lease}
		if e.Type == eventDelete {
			v.Deleted = true
			v.Value = nil
		}
		if err := w.deliver(ctx, v); err != nil {
			return err
		}
	}
	return nil
}

// deliver sends the event on unless it is not newer than the last one.
func (w *watcher) deliver(ctx context.Context, e Event) error {
	if e.Revision <= w.last {
		w.client.count.stale.Add(1)
		return nil
	}
	return w.push(ctx, e)
}

func (w *watcher) push(ctx context.Context, e Event) error {
	select {
	case w.events <- e:
	case <-ctx.Done():
		return ctx.Err()
	}
	w.last = e.Revision
	w.next = e.Revision + 1
	if e.Deleted {
		delete(w.known, e.Key)
	} else {
		w.known[e.Key] = struct{}{}
	}
	return nil
}

// relist replaces events that the store has dropped: it delivers what has changed
// since the last event, deletions last.
func (w *watcher) relist(ctx context.Context) error {
	entries, at, err := w.client.List(ctx, w.prefix)
	if err != nil {
		return err
	}
	slices.SortFunc(entries, func(a, b Entry) int { return int(a.Revision - b.Revision) })
	gone := make(map[string]struct{}, len(w.known))
	for k := range w.known {
		gone[k] = struct{}{}
	}
	for _, e := range entries {
		delete(gone, e.Key)
		v := Event{Key: e.Key, Value: e.Value, Revision: e.Revision, Lease: e.Lease}
		if err := w.deliver(ctx, v); err != nil {
			return err
		}
	}
	for k := range gone {
		// Several keys may be found deleted at one revision.
		if err := w.push(ctx, Event{Key: k, Revision: at, Deleted: true}); err != nil {
			return err
		}
	}
	w.next = at + 1
	w.last = at
	return nil
}
