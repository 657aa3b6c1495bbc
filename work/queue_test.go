package work

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/units"
)

const (
	workerCount = 2
	// steps is large enough for two workers to claim the same entry in turn.
	steps = 150
)

var testLimits = Limits{MaxRunning: 2, RetryWindow: clock.Hour}

// worker is the queue of one gateway, driven step by step without goroutines.
type worker struct {
	queue *Queue
	// deliveredEvents is the number of watch events that the queue has handled.
	deliveredEvents int
	running         []*claimedEntry
	// unstored holds the results that are not yet stored.
	unstored []unstoredResult
}

type unstoredResult struct {
	claimed *claimedEntry
	next    Entry
}

// cluster drives several workers that share one store. accepted and refused hold the
// entries whose submission succeeded, or failed without being stored.
type cluster struct {
	t        *rapid.T
	clock    *clock.Manual
	store    *memoryStore
	workers  [workerCount]*worker
	accepted map[ID]bool
	refused  map[ID]bool
	lastID   int
}

func newCluster(t *rapid.T) *cluster {
	manual := clock.NewManual(1)
	c := &cluster{t: t, clock: manual, store: newMemoryStore(manual), accepted: map[ID]bool{}, refused: map[ID]bool{}}
	c.store.checkChange = c.checkChange
	for i := range c.workers {
		c.workers[i] = c.startWorker()
	}
	return c
}

func (c *cluster) startWorker() *worker {
	q := New(Options{
		Store: c.store, Clock: c.clock, Limits: testLimits, UnixMillis: func() int64 { return int64(c.clock.Now()) },
	})
	q.running = true
	return &worker{queue: q}
}

// checkChange fails the test if a change of an entry violates an invariant. data is nil if the key
// is removed.
func (c *cluster) checkChange(key string, old *value, data []byte) {
	if isHeartbeatKey(key) {
		return
	}
	id, _ := idFromKey(key)
	if c.refused[id] {
		c.t.Fatalf("%s was stored although its submission failed as not run", id)
	}
	if data == nil {
		e, err := decode(old.data)
		if err != nil || e.State != Done || c.clock.Now().Sub(old.written) < 24*clock.Hour {
			c.t.Fatalf("%s was removed early: %v %v", id, e.State, err)
		}
		return
	}
	if old != nil {
		if e, _ := decode(old.data); e.State == Done {
			c.t.Fatalf("%s changed after it was done", id)
		}
	}
	e, err := decode(data)
	assert.NilError(c.t, err)
	if e.Response != nil && string(e.Response.Body) != "response to "+string(id) {
		c.t.Fatalf("%s has the response of another entry", id)
	}
	if e.Failure != nil && int64(c.clock.Now()) < e.RetryUntil {
		c.t.Fatalf("%s failed for good within its retry window", id)
	}
}

func (c *cluster) drawWorker() *worker {
	return c.workers[rapid.IntRange(0, workerCount-1).Draw(c.t, "process")]
}

func (c *cluster) submit(w *worker) {
	c.lastID++
	id := ID(fmt.Sprint("e", c.lastID))
	j := gate.Job{Caller: gate.Caller{Customer: "court"}, Method: "POST", Body: []byte(id)}
	ce, err := w.queue.storeNew(context.Background(), id, &j)
	if err != nil {
		var problem *gate.Problem
		assert.Assert(c.t, errors.As(err, &problem))
		c.refused[id] = !problem.MayHaveRun
		return
	}
	c.accepted[id] = true
	if ce != nil {
		w.running = append(w.running, ce)
	}
}

func (w *worker) deliver(all []store.Event, n int) {
	for range n {
		if w.deliveredEvents < len(all) {
			w.queue.handleEvent(all[w.deliveredEvents])
			w.deliveredEvents++
		}
	}
}

func (w *worker) claimNext() bool {
	id, revision, ok := w.queue.reserveNext()
	if !ok {
		return false
	}
	if ce := w.queue.claim(context.Background(), id, revision); ce != nil {
		w.running = append(w.running, ce)
	} else {
		w.queue.releaseUnclaimed(id)
	}
	return true
}

// finishRun ends the oldest run with err, or with a response if err is nil.
func (w *worker) finishRun(err error) {
	if len(w.running) == 0 {
		return
	}
	ce := w.running[0]
	w.running = w.running[1:]
	s := &gate.StoredResponse{Status: 200, Body: append([]byte("response to "), ce.entry.gateJob().Body...)}
	w.unstored = append(w.unstored, unstoredResult{ce, w.queue.entryAfterRun(ce.entry, s, err)})
}

// storeResult tries to store the oldest result.
func (w *worker) storeResult() {
	if len(w.unstored) == 0 {
		return
	}
	r := &w.unstored[0]
	if w.queue.storeResult(context.Background(), r.claimed, &r.next) {
		w.queue.releaseSlot(r.claimed.id)
		w.unstored = w.unstored[1:]
	}
}

var errRun = &gate.Problem{Code: units.NoUpstream, Message: "no upstream"}

// step performs one random action. Several cases for one action make it more frequent.
func (c *cluster) step() {
	w := c.drawWorker()
	switch n := rapid.IntRange(0, 19).Draw(c.t, "action"); n {
	case 0, 1:
		c.submit(w)
	case 2, 3:
		w.deliver(c.store.events, rapid.IntRange(1, 5).Draw(c.t, "events"))
	case 4, 5, 6:
		w.deliver(c.store.events, len(c.store.events))
		w.claimNext()
	case 7:
		w.claimNext()
	case 8, 9:
		w.finishRun(nil)
	case 10:
		w.finishRun(errRun)
	case 11, 12:
		w.storeResult()
	case 13:
		w.queue.writeHeartbeat(context.Background())
	case 14, 15:
		spans := []clock.Span{1, clock.Second, 10 * clock.Second, clock.Minute, clock.Hour}
		c.store.advance(rapid.SampledFrom(spans).Draw(c.t, "span"))
	case 16:
		c.workers[rapid.IntRange(0, workerCount-1).Draw(c.t, "killed")] = c.startWorker()
	case 17:
		c.store.nextFault = rapid.SampledFrom([]fault{faultUnavailable, faultResponseLost, faultDelayedWrite}).Draw(c.t, "fault")
	case 18:
		c.store.outage = rapid.IntRange(0, 2).Draw(c.t, "outage") == 0
	default:
		c.store.outage = false
		c.store.applyDelayedWrites()
	}
}

// runToCompletion stops all faults and runs one worker for 200 rounds of 10 s. The other
// workers stay paused, so their heartbeats time out.
func (c *cluster) runToCompletion() {
	c.store.outage, c.store.nextFault = false, faultNone
	c.store.applyDelayedWrites()
	w := c.workers[0]
	for range 200 {
		w.deliver(c.store.events, len(c.store.events))
		for w.claimNext() {
			w.finishRun(nil)
			w.storeResult()
		}
		w.finishRun(nil)
		w.storeResult()
		c.store.advance(10 * clock.Second)
	}
}

// Guards against accepted entries that are lost, change after they are done, get the response of
// another entry, fail or expire early, or run after their submission was refused. Random crashes,
// store outages and lost responses provoke these.
func TestAcceptedEntriesComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		for range steps {
			c.step()
		}
		c.runToCompletion()
		for id := range c.accepted {
			v, ok := c.store.values[entryKey(id)]
			if !ok {
				continue // expired; checkChange has verified that its retention was over
			}
			e, err := decode(v.data)
			assert.NilError(t, err)
			assert.Equal(t, e.State, Done, "%s", id)
		}
		c.store.advance(26 * clock.Hour)
		for k := range c.store.values {
			if id, ok := idFromKey(k); ok && c.accepted[id] {
				t.Fatalf("%s was not removed", k)
			}
		}
	})
}

// Guards against more than two store calls per entry: one to accept it and one to store its
// response.
func TestStoreCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		w := c.workers[0]
		const entries = 20
		for range entries {
			c.submit(w)
			w.finishRun(nil)
			w.storeResult()
		}
		// One more call grants the lease of the responses.
		assert.Equal(t, c.store.calls, 2*entries+1)
	})
}

// Guards against claiming the entries of a worker that writes heartbeats, and against never
// claiming those of a dead worker.
func TestHeartbeatTimeout(t *testing.T) {
	l := Limits{}
	l.setDefaults()
	tracker := NewTracker("a", l, func(int64) int64 { return 0 })
	e := Entry{State: Running, Worker: "b", Customer: "court"}
	now := clock.Time(1)
	tracker.UpdateEntry(now, "e", &e, 1)
	for r := range units.Revision(20) {
		now = now.Add(l.HeartbeatTimeout / heartbeatsPerTimeout)
		tracker.UpdateHeartbeat(now, "b", 2+r)
		_, _, ok := tracker.ReserveNext(now.Add(l.HeartbeatTimeout - 1))
		assert.Assert(t, !ok)
	}
	now = now.Add(l.HeartbeatTimeout - 1)
	tracker.RestartTimeouts(now)
	now = now.Add(l.HeartbeatTimeout - 1)
	_, _, ok := tracker.ReserveNext(now)
	assert.Assert(t, !ok, "an outage must restart the heartbeat timeout")
	id, _, ok := tracker.ReserveNext(now.Add(1))
	assert.Assert(t, ok)
	assert.Equal(t, id, ID("e"))
}
