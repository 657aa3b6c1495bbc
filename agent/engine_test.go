package agent_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/agent"
	"github.com/magnolialever/magnolialever/wire"
)

type held struct {
	ID    string `json:"id"`
	Bytes int64  `json:"bytes"`
}

// engine is a small engine that ignores fencing numbers.
type engine struct {
	mu     sync.Mutex
	models []held
	cold   bool
	orders []string
	// hold, when set, keeps orders and requests until it is closed.
	hold chan struct{}
	// instance changes when the engine restarts; empty while it is down.
	instance string
	// lose loses the answers of orders.
	lose bool
}

func (e *engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/load":
		e.load(w)
	case "/orders":
		e.order(w, q)
	default:
		if e.hold != nil {
			select {
			case <-e.hold:
			case <-q.Context().Done():
				return
			}
		}
		tokens(w, 1)
		finish(w, 1)
	}
}

func (e *engine) load(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.instance == "" {
		panic(http.ErrAbortHandler)
	}
	used := int64(0)
	for _, m := range e.models {
		used += m.Bytes
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"instance": e.instance, "cold": e.cold, "models": e.models,
		"memory": map[string]int64{"capacity": 100, "used": used},
	})
}

func (e *engine) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Op, Model string
		Bytes     int64
	}
	_ = json.NewDecoder(q.Body).Decode(&o)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o.Op+" "+o.Model)
	if o.Op == "load" {
		e.models = append(e.models, held{o.Model, o.Bytes})
	} else {
		for i, m := range e.models {
			if m.ID == o.Model {
				e.models = append(e.models[:i], e.models[i+1:]...)
				break
			}
		}
	}
	if e.lose {
		panic(http.ErrAbortHandler)
	}
}

func (e *engine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders)
}

// engineRig waits until the agent has read its engine.
func engineRig(t *testing.T, e *engine) (*rig, *wire.Stream) {
	e.instance = "1"
	r := newRig(t, e, func(o *agent.Options) {
		o.Upstream.Kind, o.Upstream.Capacity = agent.Engine, 100
		o.Limits.PollInterval = 10
	})
	st := r.control()
	free := int64(100)
	for _, m := range e.models {
		free -= m.Bytes
	}
	// Nothing counts as free before the first report of the engine.
	untilLoad(t, st, func(l *wire.Load) bool {
		return l.MemoryTotal == 100 && l.MemoryFree == free && len(l.Resident) == len(e.models)
	})
	return r, st
}

func untilLoad(t *testing.T, st *wire.Stream, ok func(*wire.Load) bool) *wire.Load {
	t.Helper()
	return until(t, st, func(f *wire.Frame) *wire.Load {
		if l := f.GetLoad(); l != nil && ok(l) {
			return l
		}
		return nil
	})
}

func send(t *testing.T, st *wire.Stream, o *wire.Order) *wire.OrderResult {
	t.Helper()
	assert.NilError(t, st.Send(&wire.Frame{Body: &wire.Frame_Order{Order: o}}))
	return until(t, st, func(f *wire.Frame) *wire.OrderResult { return f.GetOrderResult() })
}

// Guards against overcommitted memory, stale controllers and orders that are
// carried out twice, with an engine that checks nothing.
func TestOrders(t *testing.T) {
	e := &engine{models: []held{{"a", 30}}}
	_, st := engineRig(t, e)
	load := &wire.Order{Id: "1", Fence: 5, Op: "load", Target: "b", Bytes: 60}
	r := send(t, st, load)
	assert.Equal(t, r.Code, "")
	assert.Equal(t, r.Load.MemoryFree, int64(10))
	assert.DeepEqual(t, r.Load.Resident, []string{"a", "b"})
	assert.Equal(t, send(t, st, load).Code, "")
	assert.Equal(t, send(t, st, &wire.Order{Id: "2", Fence: 5, Op: "load", Target: "c", Bytes: 20}).Code, "memory_full")
	assert.Equal(t, send(t, st, &wire.Order{Id: "3", Fence: 4, Op: "unload", Target: "a"}).Code, "fence_stale")
	assert.Equal(t, send(t, st, &wire.Order{Id: "4", Fence: 6, Op: "unload", Target: "a"}).Code, "")
	assert.Equal(t, send(t, st, &wire.Order{Id: "5", Fence: 6, Op: "load", Target: "c", Bytes: 20}).Code, "")
	assert.DeepEqual(t, e.orders, []string{"load b", "unload a", "load c"})
}

// Guards against memory that is freed although the engine may hold the model, and
// against memory that is never freed again.
func TestLostOrder(t *testing.T) {
	e := &engine{lose: true}
	_, st := engineRig(t, e)
	r := send(t, st, &wire.Order{Id: "1", Fence: 1, Op: "load", Target: "a", Bytes: 60})
	assert.Equal(t, r.Code, "upstream_failed")
	assert.Equal(t, r.Load.MemoryFree, int64(40))
	// A later report shows that the engine holds the model.
	untilLoad(t, st, func(l *wire.Load) bool { return len(l.Resident) == 1 && l.MemoryFree == 40 })
	e.mu.Lock()
	e.lose, e.models = false, nil
	e.mu.Unlock()
	untilLoad(t, st, func(l *wire.Load) bool { return l.MemoryFree == 100 })
	assert.Equal(t, e.count(), 2)
}

// Guards against an unload that cuts off a running request.
func TestUnloadDrains(t *testing.T) {
	e := &engine{models: []held{{"a", 30}}, hold: make(chan struct{})}
	r, st := engineRig(t, e)
	running := r.call(&wire.Call{Attempt: "a1", Kind: "model", Target: "a", Idempotent: true})
	untilLoad(t, st, func(l *wire.Load) bool { return l.Running == 1 })
	assert.NilError(t, st.Send(&wire.Frame{Body: &wire.Frame_Order{Order: &wire.Order{Id: "1", Op: "unload", Target: "a"}}}))
	untilLoad(t, st, func(l *wire.Load) bool { return len(l.Resident) == 0 })
	a := read(t, r.call(&wire.Call{Attempt: "a2", Kind: "model", Target: "a", Idempotent: true}))
	assert.Equal(t, a.refuse.GetCode(), "not_loaded")
	assert.Assert(t, !a.refuse.Ran)
	assert.Equal(t, e.count(), 0)
	close(e.hold)
	assert.Assert(t, read(t, running).done != nil)
	assert.Equal(t, until(t, st, func(f *wire.Frame) *wire.OrderResult { return f.GetOrderResult() }).Code, "")
}

// Guards against a cold engine that gets more than its allowance.
func TestColdLimit(t *testing.T) {
	e := &engine{models: []held{{"a", 30}}, hold: make(chan struct{})}
	r, st := engineRig(t, e)
	call := func(i int) *wire.Stream {
		return r.call(&wire.Call{Attempt: fmt.Sprint("a", i), Kind: "model", Target: "a", Idempotent: true})
	}
	running := []*wire.Stream{call(0), call(1)}
	untilLoad(t, st, func(l *wire.Load) bool { return l.Running == 2 })
	a := read(t, call(2))
	assert.Equal(t, a.refuse.GetCode(), "cold_limit")
	assert.Assert(t, !a.refuse.Ran)
	close(e.hold)
	for _, s := range running {
		assert.Assert(t, read(t, s).done != nil)
	}
	assert.Equal(t, untilLoad(t, st, func(l *wire.Load) bool { return l.Running == 0 }).Allowance, uint32(4))
	e.mu.Lock()
	e.cold = true
	e.mu.Unlock()
	assert.Equal(t, untilLoad(t, st, func(l *wire.Load) bool { return l.Cold }).Allowance, uint32(2))
}

// Guards against requests that are sent to an engine that is down, or for models
// that were lost when it restarted, and against memory that stays reserved for them.
func TestEngineRestarts(t *testing.T) {
	e := &engine{models: []held{{"a", 30}, {"b", 40}}}
	r, st := engineRig(t, e)
	set := func(instance string, models []held) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.instance, e.models = instance, models
	}
	set("", nil)
	untilLoad(t, st, func(l *wire.Load) bool { return len(l.Resident) == 0 })
	a := read(t, r.call(&wire.Call{Attempt: "a1", Kind: "model", Target: "a", Idempotent: true}))
	assert.Equal(t, a.refuse.GetCode(), "not_loaded")
	assert.Assert(t, !a.refuse.Ran)
	set("2", []held{{"a", 30}})
	l := untilLoad(t, st, func(l *wire.Load) bool { return len(l.Resident) == 1 && l.MemoryFree == 70 })
	assert.Equal(t, l.Resident[0], "a")
	assert.Assert(t, read(t, r.call(&wire.Call{Attempt: "a2", Kind: "model", Target: "a", Idempotent: true})).done != nil)
}

// Guards against a suspect that runs beside others and takes them down with it.
func TestQuarantine(t *testing.T) {
	e := &engine{models: []held{{"a", 30}}, hold: make(chan struct{})}
	r, st := engineRig(t, e)
	call := func(id string, alone bool) *wire.Stream {
		return r.call(&wire.Call{Attempt: id, Kind: "model", Target: "a", Idempotent: true, Alone: alone})
	}
	first := call("a1", false)
	untilLoad(t, st, func(l *wire.Load) bool { return l.Running == 1 })
	suspect := call("a2", true)
	untilLoad(t, st, func(l *wire.Load) bool { return l.Quarantine })
	assert.Equal(t, read(t, call("a3", true)).refuse.GetCode(), "quarantine_busy")
	close(e.hold)
	assert.Assert(t, read(t, first).done != nil)
	assert.Assert(t, read(t, suspect).done != nil)

	e.hold = make(chan struct{})
	suspect = call("a4", true)
	untilLoad(t, st, func(l *wire.Load) bool { return l.Quarantine && l.Running == 1 })
	assert.Equal(t, read(t, call("a5", true)).refuse.GetCode(), "quarantine_busy")
	neighbour := call("a6", false)
	l := untilLoad(t, st, func(l *wire.Load) bool { return l.Waiting == 1 })
	assert.Equal(t, l.Running, uint32(1))
	close(e.hold)
	assert.Assert(t, read(t, suspect).done != nil)
	assert.Assert(t, read(t, neighbour).done != nil)
}

// Guards against an agent that reads its engine late and refuses or overcommits
// until then without telling.
func TestReady(t *testing.T) {
	e := &engine{}
	r, _ := engineRig(t, e)
	get := func(path string) int {
		resp, err := http.Get("http://" + r.server.AdminAddr().String() + path)
		assert.NilError(t, err)
		defer resp.Body.Close()
		return resp.StatusCode
	}
	defer http.DefaultClient.CloseIdleConnections()
	assert.Equal(t, get("/healthz"), http.StatusOK)
	for range 500 {
		// The agent reads its engine first.
		if get("/readyz") == http.StatusOK {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, get("/readyz"), http.StatusOK)
	assert.Equal(t, get("/debug/vars"), http.StatusOK)
	running := r.call(&wire.Call{Attempt: "a1", Kind: "service", Path: "/", Idempotent: true})
	_ = read(t, running)
	r.stop()
	for range 100 {
		if get("/readyz") == http.StatusServiceUnavailable {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("agent is ready while it stops")
}
