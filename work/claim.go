package work

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/units"
)

// claimedEntry is an entry that this process has claimed, with the revision of the claim.
type claimedEntry struct {
	id       ID
	entry    Entry
	revision units.Revision
}

// claim claims an entry for which a slot is reserved. It returns nil if the entry is no longer at
// the revision, its worker still writes heartbeats, or the store fails.
func (q *Queue) claim(ctx context.Context, id ID, revision units.Revision) *claimedEntry {
	v, err := q.options.Store.Get(ctx, entryKey(id))
	if errors.Is(err, store.ErrNotFound) {
		q.removeEntry(id, revision)
		return nil
	}
	var e Entry
	if err == nil {
		e, err = decode(v.Value)
	}
	if err != nil {
		klog.V(1).Infof("work: can't read entry %s: %v", id, q.storeError(err))
		return nil
	}
	if v.Revision != revision {
		q.updateEntry(id, &e, v.Revision)
		return nil
	}
	if q.heartbeatChanged(ctx, e.Worker) {
		return nil
	}
	e.State, e.Worker = Running, q.self
	claimRevision, err := q.compareAndSwap(ctx, id, revision, &e)
	if err != nil {
		klog.V(1).Infof("work: can't claim entry %s: %v", id, err)
		return nil
	}
	q.updateEntry(id, &e, claimRevision)
	return &claimedEntry{id: id, entry: e, revision: claimRevision}
}

// heartbeatChanged reads the heartbeat of another worker before its entry is claimed, since watch
// events may be delayed. It returns true if the heartbeat is newer than the last known one, or if
// the store fails.
func (q *Queue) heartbeatChanged(ctx context.Context, w WorkerID) bool {
	if w == "" || w == q.self {
		return false
	}
	v, err := q.options.Store.Get(ctx, heartbeatPrefix+string(w))
	if errors.Is(err, store.ErrNotFound) {
		return false
	}
	if q.storeError(err) != nil {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if v.Revision <= q.tracker.HeartbeatRevision(w) {
		return false
	}
	q.tracker.UpdateHeartbeat(q.options.Clock.Now(), w, v.Revision)
	return true
}

// removeEntry drops an entry that the store no longer has. The revision is the last known one.
func (q *Queue) removeEntry(id ID, revision units.Revision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker.RemoveEntry(id, revision+1)
}

func (q *Queue) updateEntry(id ID, e *Entry, revision units.Revision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker.UpdateEntry(q.options.Clock.Now(), id, e, revision)
}

// entryAfterRun returns the entry to store after a run that ended with the response or the error:
// done, or queued for another run.
func (q *Queue) entryAfterRun(e Entry, response *gate.StoredResponse, err error) Entry {
	var problem *gate.Problem
	e.Worker = ""
	switch {
	case err == nil:
		e.State, e.Job = Done, nil
		e.Response = &Response{Status: response.Status, Header: headerFromWire(response.Header), Body: response.Body}
		return e
	case errors.Is(err, gate.ErrResponseTooLarge):
		// Another run would cost the customer the same tokens and fail again.
		problem = &gate.Problem{Code: units.UpstreamFailed, Message: err.Error(), MayHaveRun: true}
	case !errors.As(err, &problem):
		problem = &gate.Problem{Code: units.UpstreamFailed, Message: "the upstream failed", MayHaveRun: true}
	}
	if problem.Code == units.Draining && !q.ready() {
		// The run was refused because this gateway is stopping; it doesn't count as failed.
		e.State = Queued
		return e
	}
	if q.options.UnixMillis() >= e.RetryUntil || errors.Is(err, gate.ErrResponseTooLarge) {
		e.State, e.Job = Done, nil
		e.Failure = &Failure{Code: problem.Code, Message: problem.Message, MayHaveRun: problem.MayHaveRun}
		return e
	}
	e.State = Queued
	e.FailedRuns++
	return e
}

// storeResult stores the result of a run. It returns false if the write failed while the claim may
// still be valid; the caller must then retry. A result that is too large for the store is replaced
// by a failure for the retry.
func (q *Queue) storeResult(ctx context.Context, ce *claimedEntry, result *Entry) bool {
	revision, err := q.writeResult(ctx, ce, result)
	switch {
	case err == nil:
		q.updateEntry(ce.id, result, revision)
		stats.Event("work_" + string(result.State))
		return true
	case errors.Is(err, store.ErrConflict):
		// An earlier write has succeeded, or another worker has claimed the entry.
		q.refresh(ctx, ce)
		return true
	case errors.Is(err, store.ErrTooLarge):
		*result = Entry{
			Version: entryVersion, State: Done, Customer: result.Customer, RetryUntil: result.RetryUntil,
			Failure: &Failure{Code: units.UpstreamFailed, Message: gate.ErrResponseTooLarge.Error(), MayHaveRun: true},
		}
		return false
	}
	klog.Warningf("work: can't store the result of entry %s: %v", ce.id, err)
	return false
}

// writeResult writes a result. Entries that are done expire after the retention time.
func (q *Queue) writeResult(ctx context.Context, ce *claimedEntry, result *Entry) (units.Revision, error) {
	if result.State != Done {
		return q.compareAndSwap(ctx, ce.id, ce.revision, result)
	}
	b, err := result.encode()
	if err != nil {
		return 0, err
	}
	revision, err := q.expiring.CompareAndSwap(ctx, entryKey(ce.id), ce.revision, b)
	return revision, q.storeError(err)
}

// refresh updates the tracker with an entry that has changed, since the watch event may be
// delayed.
func (q *Queue) refresh(ctx context.Context, ce *claimedEntry) {
	v, err := q.options.Store.Get(ctx, entryKey(ce.id))
	if err != nil {
		return
	}
	if e, err := decode(v.Value); err == nil {
		q.updateEntry(ce.id, &e, v.Revision)
	}
}

const (
	// storeRetryInterval is the delay between attempts to store a result.
	storeRetryInterval = time.Second
	// maxStoresAfterStop is the number of attempts to store a result once Run is stopping. If
	// all fail, the heartbeat times out and another worker runs the entry again.
	maxStoresAfterStop = 3
)

// runAndStore runs a claimed entry, stores the result and releases the slot.
func (q *Queue) runAndStore(ctx context.Context, ce *claimedEntry) {
	defer q.releaseSlot(ce.id)
	response, err := q.options.Execute(ctx, ce.entry.gateJob())
	result := q.entryAfterRun(ce.entry, response, err)
	if err != nil {
		klog.V(1).Infof("work: run of entry %s failed: %v", ce.id, err)
	}
	for attemptsLeft := maxStoresAfterStop; !q.storeResult(ctx, ce, &result); {
		if q.stopped() {
			if attemptsLeft--; attemptsLeft == 0 {
				return
			}
		}
		time.Sleep(storeRetryInterval)
	}
}
