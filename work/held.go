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

// held is an entry that this process has claimed.
type held struct {
	id       ID
	entry    Entry
	revision units.Revision
}

// claim claims an entry for which a place is taken. It returns nil when another
// process was faster or the store does not answer.
func (q *Queue) claim(ctx context.Context, id ID, at units.Revision) *held {
	v, err := q.options.Store.Get(ctx, key(id))
	if errors.Is(err, store.ErrNotFound) {
		q.removed(id, at)
		return nil
	}
	var e Entry
	if err == nil {
		e, err = decode(v.Value)
	}
	if err != nil {
		klog.V(1).Infof("work: can't read %s: %v", id, q.wrap(err))
		return nil
	}
	if v.Revision != at {
		q.seen(id, &e, v.Revision)
		return nil
	}
	if q.renewedMeanwhile(ctx, e.Worker) {
		return nil
	}
	e.State, e.Worker = Running, q.self
	next, err := q.swap(ctx, id, at, &e)
	if err != nil {
		klog.V(1).Infof("work: can't claim %s: %v", id, err)
		return nil
	}
	q.seen(id, &e, next)
	return &held{id: id, entry: e, revision: next}
}

// renewedMeanwhile reads the claim of another process before its entry is taken: the
// watch may be late.
func (q *Queue) renewedMeanwhile(ctx context.Context, h WorkerID) bool {
	if h == "" || h == q.self {
		return false
	}
	v, err := q.options.Store.Get(ctx, claimPrefix+string(h))
	if errors.Is(err, store.ErrNotFound) {
		return false
	}
	if q.wrap(err) != nil {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if v.Revision <= q.board.HeartbeatRevision(h) {
		return false
	}
	q.board.UpdateHeartbeat(q.options.Clock.Now(), h, v.Revision)
	return true
}

// removed drops an entry that the store does not have.
func (q *Queue) removed(id ID, at units.Revision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.board.RemoveEntry(id, at+1)
}

func (q *Queue) seen(id ID, e *Entry, at units.Revision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.board.UpdateEntry(q.options.Clock.Now(), id, e, at)
}

// result turns the result of a run into the entry to be stored.
func (q *Queue) result(e Entry, s *gate.StoredResponse, err error) Entry {
	var p *gate.Problem
	e.Worker = ""
	switch {
	case err == nil:
		e.State, e.Job = Done, nil
		e.Response = &Response{Status: s.Status, Header: fromWire(s.Header), Body: s.Body}
		return e
	case errors.Is(err, gate.ErrResponseTooLarge):
		// Another run would cost the customer the same tokens in vain.
		p = &gate.Problem{Code: units.UpstreamFailed, Message: err.Error(), MayHaveRun: true}
	case !errors.As(err, &p):
		p = &gate.Problem{Code: units.UpstreamFailed, Message: "the upstream failed", MayHaveRun: true}
	}
	if p.Code == units.Draining && !q.ready() {
		// This gateway is stopping, which is no failure of the entry.
		e.State = Queued
		return e
	}
	if q.options.UnixMillis() >= e.RetryUntil || errors.Is(err, gate.ErrResponseTooLarge) {
		e.State, e.Job = Done, nil
		e.Failure = &Failure{Code: p.Code, Message: p.Message, MayHaveRun: p.MayHaveRun}
		return e
	}
	e.State = Queued
	e.FailedRuns++
	return e
}

// settle stores the result of an entry. It reports false when the result is not
// stored and the claim may still stand, so that it should be tried again.
func (q *Queue) settle(ctx context.Context, h *held, next *Entry) bool {
	at, err := q.store(ctx, h, next)
	switch {
	case err == nil:
		q.seen(h.id, next, at)
		stats.Event("work_" + string(next.State))
		return true
	case errors.Is(err, store.ErrConflict):
		// The write before has taken effect, or another process has the entry.
		q.refresh(ctx, h)
		return true
	case errors.Is(err, store.ErrTooLarge):
		*next = Entry{
			Version: entryVersion, State: Done, Customer: next.Customer, RetryUntil: next.RetryUntil,
			Failure: &Failure{Code: units.UpstreamFailed, Message: gate.ErrResponseTooLarge.Error(), MayHaveRun: true},
		}
		return false
	}
	klog.Warningf("work: can't store the result of %s: %v", h.id, err)
	return false
}

// store writes a result; answers are kept for the retention time.
func (q *Queue) store(ctx context.Context, h *held, next *Entry) (units.Revision, error) {
	if next.State != Done {
		return q.swap(ctx, h.id, h.revision, next)
	}
	b, err := next.encode()
	if err != nil {
		return 0, err
	}
	at, err := q.answers.CompareAndSwap(ctx, key(h.id), h.revision, b)
	return at, q.wrap(err)
}

// refresh reads an entry that has changed, as its event may still be on its way.
func (q *Queue) refresh(ctx context.Context, h *held) {
	v, err := q.options.Store.Get(ctx, key(h.id))
	if err != nil {
		return
	}
	if e, err := decode(v.Value); err == nil {
		q.seen(h.id, &e, v.Revision)
	}
}

const (
	// settlePause is the wait between two writes of the same result.
	settlePause = time.Second
	// lastSettles is how often a process that ends tries to store a result. After that
	// its claim lapses and another gateway runs the entry.
	lastSettles = 3
)

// run runs a held entry and stores the result.
func (q *Queue) run(ctx context.Context, h *held) {
	defer q.release(h.id)
	s, err := q.options.Execute(ctx, h.entry.job())
	next := q.result(h.entry, s, err)
	if err != nil {
		klog.V(1).Infof("work: %s failed: %v", h.id, err)
	}
	for left := lastSettles; !q.settle(ctx, h, &next); {
		if q.ended() {
			if left--; left == 0 {
				return
			}
		}
		time.Sleep(settlePause)
	}
}
