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
	// tickInterval is how often waits and claims are checked; this takes no call to the
	// store.
	tickInterval = 200 * time.Millisecond
	// listPause is the wait after the store could not be listed.
	listPause = time.Second
)

// Run takes entries until the context is done and returns when all that it runs are
// settled.
func (q *Queue) Run(ctx context.Context) error {
	defer q.group.Wait()
	defer q.setRunning(false)
	from, ok := q.load(ctx)
	if !ok {
		return nil
	}
	q.setRunning(true)
	events := q.options.Store.Watch(ctx, KeyPrefix, from+1)
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	renewed := make(chan struct{}, 1)
	renewed <- struct{}{}
	for {
		select {
		case <-ctx.Done():
			q.setRunning(false)
			for range events {
				// The watch closes its channel.
			}
			return nil
		case e, open := <-events:
			if open {
				q.take(e)
			}
		case <-t.C:
			q.renewAside(ctx, renewed)
		case <-q.wake:
		}
		q.dispatch(ctx)
	}
}

// load reads all entries.
func (q *Queue) load(ctx context.Context) (units.Revision, bool) {
	for {
		l, at, err := q.options.Store.List(ctx, KeyPrefix)
		if err == nil {
			for _, e := range l {
				q.take(store.Event{Key: e.Key, Value: e.Value, Revision: e.Revision})
			}
			return at, true
		}
		klog.V(1).Infof("work: can't list entries: %v", err)
		select {
		case <-ctx.Done():
			return 0, false
		case <-time.After(listPause):
		}
	}
}

// take shows an event to the board.
func (q *Queue) take(v store.Event) {
	now := q.options.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if h, ok := strings.CutPrefix(v.Key, claimPrefix); ok {
		if v.Deleted {
			q.board.RemoveHeartbeat(WorkerID(h))
			return
		}
		q.board.UpdateHeartbeat(now, WorkerID(h), v.Revision)
		return
	}
	id, ok := idOf(v.Key)
	if !ok {
		return
	}
	if v.Deleted {
		q.board.RemoveEntry(id, v.Revision)
		return
	}
	e, err := decode(v.Value)
	if err != nil {
		klog.Errorf("work: %s: %v", v.Key, err)
		return
	}
	q.board.UpdateEntry(now, id, &e, v.Revision)
}

// dispatch starts what may run.
func (q *Queue) dispatch(ctx context.Context) {
	for {
		id, at, ok := q.next()
		if !ok {
			return
		}
		go q.handle(context.WithoutCancel(ctx), id, at)
	}
}

// handle claims and runs an entry for which a place is taken.
func (q *Queue) handle(ctx context.Context, id ID, at units.Revision) {
	h := q.claim(ctx, id, at)
	if h == nil {
		q.giveBack(id)
		return
	}
	q.run(ctx, h)
}

func (q *Queue) next() (ID, units.Revision, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.running || !q.ready() {
		return "", 0, false
	}
	id, at, ok := q.board.ReserveNext(q.options.Clock.Now())
	if ok {
		q.group.Add(1)
	}
	return id, at, ok
}

// giveBack returns the place of an entry that could not be claimed and waits before
// the next try, as the store may be out.
func (q *Queue) giveBack(id ID) {
	q.mu.Lock()
	q.board.DelayClaim(q.options.Clock.Now(), id, 1)
	q.mu.Unlock()
	q.release(id)
}

// renewAside renews the claim without holding up the events.
func (q *Queue) renewAside(ctx context.Context, idle chan struct{}) {
	q.mu.Lock()
	holds := q.board.HoldsEntries()
	q.mu.Unlock()
	if !holds {
		return
	}
	select {
	case <-idle:
	default:
		return
	}
	q.group.Go(func() {
		q.renew(ctx)
		idle <- struct{}{}
	})
}

// renew writes the claim of this process when its interval is over. It is called by
// one goroutine at a time.
func (q *Queue) renew(ctx context.Context) {
	now := q.options.Clock.Now()
	if q.renewed != 0 && now.Sub(q.renewed) < q.interval {
		return
	}
	k := claimPrefix + string(q.self)
	at, err := q.answers.CompareAndSwap(ctx, k, q.claimed, []byte(q.self))
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnknownResult) {
		at, err = q.renewAgain(ctx, k)
	}
	if q.wrap(err) != nil {
		klog.V(1).Infof("work: can't renew the claim: %v", err)
		return
	}
	q.claimed, q.renewed = at, now
}

// renewAgain writes the claim over the revision that the store has.
func (q *Queue) renewAgain(ctx context.Context, k string) (units.Revision, error) {
	e, err := q.options.Store.Get(ctx, k)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return 0, err
	}
	return q.answers.CompareAndSwap(ctx, k, e.Revision, []byte(q.self))
}

func (q *Queue) setRunning(on bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running = on
}

func (q *Queue) ended() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.running
}
