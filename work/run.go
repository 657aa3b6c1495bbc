package work

import (
	"context"
	"errors"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// checkInterval is how often timeouts and the heartbeat are checked, which takes no call to
	// the store.
	checkInterval = 200 * time.Millisecond
	// listRetryInterval is the delay before the store is listed again after a failure.
	listRetryInterval = time.Second
)

// Run claims and runs entries until the context is done. It then waits until the results of the
// running entries are stored, or their attempts are used up, and returns nil.
func (q *Queue) Run(ctx context.Context) error {
	defer q.inProgress.Wait()
	defer q.setRunning(false)
	loaded, ok := q.load(ctx)
	if !ok {
		return nil
	}
	q.setRunning(true)
	events := q.options.Store.Watch(ctx, KeyPrefix, loaded+1)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	heartbeatIdle := make(chan struct{}, 1)
	heartbeatIdle <- struct{}{}
	for {
		select {
		case <-ctx.Done():
			q.setRunning(false)
			for range events {
				// Drain the channel until the watch closes it.
			}
			return nil
		case e, open := <-events:
			if open {
				q.handleEvent(e)
			}
		case <-ticker.C:
			q.startHeartbeat(ctx, heartbeatIdle)
		case <-q.wake:
		}
		q.dispatch(ctx)
	}
}

// load reads all entries and heartbeats, with retries, and returns the store's revision. It
// returns false if the context is done first.
func (q *Queue) load(ctx context.Context) (units.Revision, bool) {
	for {
		l, revision, err := q.options.Store.List(ctx, KeyPrefix)
		if err == nil {
			for _, e := range l {
				q.handleEvent(store.Event{Key: e.Key, Value: e.Value, Revision: e.Revision})
			}
			return revision, true
		}
		klog.V(1).Infof("work: can't list entries: %v", err)
		select {
		case <-ctx.Done():
			return 0, false
		case <-time.After(listRetryInterval):
		}
	}
}

// handleEvent updates the tracker with a change in the store.
func (q *Queue) handleEvent(v store.Event) {
	now := q.options.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if worker, ok := strings.CutPrefix(v.Key, heartbeatPrefix); ok {
		if v.Deleted {
			q.tracker.RemoveHeartbeat(WorkerID(worker))
			return
		}
		q.tracker.UpdateHeartbeat(now, WorkerID(worker), v.Revision)
		return
	}
	id, ok := idFromKey(v.Key)
	if !ok {
		return
	}
	if v.Deleted {
		q.tracker.RemoveEntry(id, v.Revision)
		return
	}
	e, err := decode(v.Value)
	if err != nil {
		klog.Errorf("work: can't decode the value of key %s: %v", v.Key, err)
		return
	}
	q.tracker.UpdateEntry(now, id, &e, v.Revision)
}

// dispatch starts a goroutine for each entry that can be claimed now.
func (q *Queue) dispatch(ctx context.Context) {
	for {
		id, revision, ok := q.reserveNext()
		if !ok {
			return
		}
		go q.claimAndRun(context.WithoutCancel(ctx), id, revision)
	}
}

// claimAndRun claims and runs an entry for which a slot is reserved.
func (q *Queue) claimAndRun(ctx context.Context, id ID, revision units.Revision) {
	ce := q.claim(ctx, id, revision)
	if ce == nil {
		q.releaseUnclaimed(id)
		return
	}
	q.runAndStore(ctx, ce)
}

// reserveNext reserves a slot for the next entry to claim. It returns false if there is none, no slot
// is free, or this process is stopping.
func (q *Queue) reserveNext() (ID, units.Revision, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.running || !q.ready() {
		return "", 0, false
	}
	id, revision, ok := q.tracker.ReserveNext(q.options.Clock.Now())
	if ok {
		q.inProgress.Add(1)
	}
	return id, revision, ok
}

// releaseUnclaimed frees the slot of an entry that could not be claimed, and delays the next claim,
// since the store may be unavailable.
func (q *Queue) releaseUnclaimed(id ID) {
	q.mu.Lock()
	q.tracker.DelayClaim(q.options.Clock.Now(), id, 1)
	q.mu.Unlock()
	q.releaseSlot(id)
}

// startHeartbeat calls writeHeartbeat in a goroutine if this process holds entries and no earlier
// call is running, so that a slow store doesn't delay events. idle holds one element while no call
// is running.
func (q *Queue) startHeartbeat(ctx context.Context, idle chan struct{}) {
	q.mu.Lock()
	holdsEntries := q.tracker.HoldsEntries()
	q.mu.Unlock()
	if !holdsEntries {
		return
	}
	select {
	case <-idle:
	default:
		return
	}
	q.inProgress.Go(func() {
		q.writeHeartbeat(ctx)
		idle <- struct{}{}
	})
}

// writeHeartbeat writes the heartbeat of this process if heartbeatInterval has passed since the
// last one. It must not be called concurrently.
func (q *Queue) writeHeartbeat(ctx context.Context) {
	now := q.options.Clock.Now()
	if q.heartbeatAt != 0 && now.Sub(q.heartbeatAt) < q.heartbeatInterval {
		return
	}
	k := heartbeatPrefix + string(q.self)
	revision, err := q.expiring.CompareAndSwap(ctx, k, q.heartbeatRevision, []byte(q.self))
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnknownResult) {
		revision, err = q.overwriteHeartbeat(ctx, k)
	}
	if q.storeError(err) != nil {
		klog.V(1).Infof("work: can't write the heartbeat: %v", err)
		return
	}
	q.heartbeatRevision, q.heartbeatAt = revision, now
}

// overwriteHeartbeat reads the heartbeat's current revision and writes the heartbeat over it. It
// is used when the expected revision was wrong or the result of a write was unknown.
func (q *Queue) overwriteHeartbeat(ctx context.Context, k string) (units.Revision, error) {
	e, err := q.options.Store.Get(ctx, k)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return 0, err
	}
	return q.expiring.CompareAndSwap(ctx, k, e.Revision, []byte(q.self))
}

func (q *Queue) setRunning(on bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running = on
}

// stopped reports whether Run is not accepting entries.
func (q *Queue) stopped() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.running
}
