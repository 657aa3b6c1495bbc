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
	processes = 2
	// steps is long enough for an entry to be claimed by two processes in turn.
	steps = 150
)

var testLimits = Limits{MaxRunning: 2, RetryWindow: clock.Hour}

// process is a gateway without goroutines.
type process struct {
	queue *Queue
	// delivered counts the events that have arrived.
	delivered int
	running   []*held
	// results are entries that have run and are not yet stored.
	results []result
}

type result struct {
	held *held
	next Entry
}

// fleet drives some processes over one store.
type fleet struct {
	t        *rapid.T
	clock    *clock.Manual
	store    *memory
	all      [processes]*process
	accepted map[ID]bool
	refused  map[ID]bool
	last     int
}

func newFleet(t *rapid.T) *fleet {
	c := clock.NewManual(1)
	f := &fleet{t: t, clock: c, store: newMemory(c), accepted: map[ID]bool{}, refused: map[ID]bool{}}
	f.store.check = f.check
	for i := range f.all {
		f.all[i] = f.open()
	}
	return f
}

func (f *fleet) open() *process {
	q := New(Options{
		Store: f.store, Clock: f.clock, Limits: testLimits, UnixMillis: func() int64 { return int64(f.clock.Now()) },
	})
	q.running = true
	return &process{queue: q}
}

// check is called before each change of a key.
func (f *fleet) check(key string, old *value, data []byte) {
	if isClaim(key) {
		return
	}
	id, _ := idOf(key)
	if f.refused[id] {
		f.t.Fatalf("%s is stored although it was refused as not run", id)
	}
	if data == nil {
		e, err := decode(old.data)
		if err != nil || e.State != Done || f.clock.Now().Sub(old.written) < 24*clock.Hour {
			f.t.Fatalf("%s was removed early: %v %v", id, e.State, err)
		}
		return
	}
	if old != nil {
		if e, _ := decode(old.data); e.State == Done {
			f.t.Fatalf("%s was done and has changed", id)
		}
	}
	e, err := decode(data)
	assert.NilError(f.t, err)
	if e.Response != nil && string(e.Response.Body) != "answer to "+string(id) {
		f.t.Fatalf("%s has the answer of another entry", id)
	}
	if e.Failure != nil && int64(f.clock.Now()) < e.RetryUntil {
		f.t.Fatalf("%s was given up before it was due", id)
	}
}

func (f *fleet) any() *process { return f.all[rapid.IntRange(0, processes-1).Draw(f.t, "process")] }

func (f *fleet) submit(p *process) {
	f.last++
	id := ID(fmt.Sprint("e", f.last))
	j := gate.Job{Caller: gate.Caller{Customer: "court"}, Method: "POST", Body: []byte(id)}
	h, err := p.queue.accept(context.Background(), id, &j)
	if err != nil {
		var problem *gate.Problem
		assert.Assert(f.t, errors.As(err, &problem))
		f.refused[id] = !problem.MayHaveRun
		return
	}
	f.accepted[id] = true
	if h != nil {
		p.running = append(p.running, h)
	}
}

func (p *process) deliver(all []store.Event, n int) {
	for range n {
		if p.delivered < len(all) {
			p.queue.take(all[p.delivered])
			p.delivered++
		}
	}
}

func (p *process) claim() bool {
	id, at, ok := p.queue.next()
	if !ok {
		return false
	}
	if h := p.queue.claim(context.Background(), id, at); h != nil {
		p.running = append(p.running, h)
	} else {
		p.queue.giveBack(id)
	}
	return true
}

// finish ends the oldest run.
func (p *process) finish(err error) {
	if len(p.running) == 0 {
		return
	}
	h := p.running[0]
	p.running = p.running[1:]
	s := &gate.StoredResponse{Status: 200, Body: append([]byte("answer to "), h.entry.job().Body...)}
	p.results = append(p.results, result{h, p.queue.result(h.entry, s, err)})
}

// settle stores the oldest result.
func (p *process) settle() {
	if len(p.results) == 0 {
		return
	}
	r := &p.results[0]
	if p.queue.settle(context.Background(), r.held, &r.next) {
		p.queue.release(r.held.id)
		p.results = p.results[1:]
	}
}

var errRun = &gate.Problem{Code: units.NoUpstream, Message: "no upstream"}

// step performs one random action. The frequent ones are listed first.
func (f *fleet) step() {
	p := f.any()
	switch n := rapid.IntRange(0, 19).Draw(f.t, "action"); n {
	case 0, 1:
		f.submit(p)
	case 2, 3:
		p.deliver(f.store.events, rapid.IntRange(1, 5).Draw(f.t, "events"))
	case 4, 5, 6:
		p.deliver(f.store.events, len(f.store.events))
		p.claim()
	case 7:
		p.claim()
	case 8, 9:
		p.finish(nil)
	case 10:
		p.finish(errRun)
	case 11, 12:
		p.settle()
	case 13:
		p.queue.renew(context.Background())
	case 14, 15:
		spans := []clock.Span{1, clock.Second, 10 * clock.Second, clock.Minute, clock.Hour}
		f.store.advance(rapid.SampledFrom(spans).Draw(f.t, "span"))
	case 16:
		f.all[rapid.IntRange(0, processes-1).Draw(f.t, "killed")] = f.open()
	case 17:
		f.store.next = rapid.SampledFrom([]fault{unavailable, lost, late}).Draw(f.t, "fault")
	case 18:
		f.store.outage = rapid.IntRange(0, 2).Draw(f.t, "outage") == 0
	default:
		f.store.outage = false
		f.store.settle()
	}
}

// finishAll ends the faults and lets one process go on; the others are frozen.
func (f *fleet) finishAll() {
	f.store.outage, f.store.next = false, noFault
	f.store.settle()
	p := f.all[0]
	for range 200 {
		p.deliver(f.store.events, len(f.store.events))
		for p.claim() {
			p.finish(nil)
			p.settle()
		}
		p.finish(nil)
		p.settle()
		f.store.advance(10 * clock.Second)
	}
}

// Guards against accepted work that is lost, runs to a stored answer twice, gets the
// answer of another entry, is given up or removed early, or is refused and runs, in
// any order of deaths, outages and lost answers.
func TestNothingIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range steps {
			f.step()
		}
		f.finishAll()
		for id := range f.accepted {
			v, ok := f.store.values[key(id)]
			if !ok {
				continue // check has seen that its time was over
			}
			e, err := decode(v.data)
			assert.NilError(t, err)
			assert.Equal(t, e.State, Done, "%s", id)
		}
		f.store.advance(26 * clock.Hour)
		for k := range f.store.values {
			if id, ok := idOf(k); ok && f.accepted[id] {
				t.Fatalf("%s was not removed", k)
			}
		}
	})
}

// Guards against calls to the store that grow with the number of entries beyond one
// to accept and one to answer each.
func TestStoreCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		p := f.all[0]
		const entries = 20
		for range entries {
			f.submit(p)
			p.finish(nil)
			p.settle()
		}
		// One more for the lease of the answers.
		assert.Equal(t, f.store.calls, 2*entries+1)
	})
}

// Guards against a claim that is taken from a live process, or never from a dead one.
func TestClaims(t *testing.T) {
	l := Limits{}
	l.setDefaults()
	b := NewTracker("a", l, func(int64) int64 { return 0 })
	e := Entry{State: Running, Worker: "b", Customer: "court"}
	now := clock.Time(1)
	b.UpdateEntry(now, "e", &e, 1)
	for r := range units.Revision(20) {
		now = now.Add(l.HeartbeatTimeout / renewals)
		b.UpdateHeartbeat(now, "b", 2+r)
		_, _, ok := b.ReserveNext(now.Add(l.HeartbeatTimeout - 1))
		assert.Assert(t, !ok)
	}
	now = now.Add(l.HeartbeatTimeout - 1)
	b.RestartTimeouts(now)
	now = now.Add(l.HeartbeatTimeout - 1)
	_, _, ok := b.ReserveNext(now)
	assert.Assert(t, !ok, "an outage kept the claim from being renewed")
	id, _, ok := b.ReserveNext(now.Add(1))
	assert.Assert(t, ok)
	assert.Equal(t, id, ID("e"))
}
