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

// residentModel is a model in the load report of a fakeEngine.
type residentModel struct {
	ID    string `json:"id"`
	Bytes int64  `json:"bytes"`
}

// fakeEngine is an engine that executes all orders and ignores fencing numbers.
type fakeEngine struct {
	mu     sync.Mutex
	models []residentModel
	cold   bool
	// orders lists the received orders as "op model".
	orders []string
	// release, when not nil, blocks requests until it is closed.
	release chan struct{}
	// instance identifies the run of the engine; empty while it is down.
	instance string
	// dropOrderResponses closes the connection after an order instead of responding.
	dropOrderResponses bool
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case "/load":
		e.serveLoad(w)
	case "/orders":
		e.serveOrder(w, req)
	case "/cut":
		writeTokens(w, 1)
		if req.Header.Get("End") != "" {
			e.mu.Lock()
			e.instance = "2"
			e.mu.Unlock()
			// The agent has read the new report before it handles the broken connection.
			time.Sleep(100 * time.Millisecond)
		}
		panic(http.ErrAbortHandler)
	default:
		if e.release != nil {
			select {
			case <-e.release:
			case <-req.Context().Done():
				return
			}
		}
		writeTokens(w, 1)
		writeEnd(w, 1)
	}
}

func (e *fakeEngine) serveLoad(w http.ResponseWriter) {
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

func (e *fakeEngine) serveOrder(w http.ResponseWriter, req *http.Request) {
	var o struct {
		Op, Model string
		Bytes     int64
	}
	_ = json.NewDecoder(req.Body).Decode(&o)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o.Op+" "+o.Model)
	if o.Op == "load" {
		e.models = append(e.models, residentModel{o.Model, o.Bytes})
	} else {
		for i, m := range e.models {
			if m.ID == o.Model {
				e.models = append(e.models[:i], e.models[i+1:]...)
				break
			}
		}
	}
	if e.dropOrderResponses {
		panic(http.ErrAbortHandler)
	}
}

func (e *fakeEngine) orderCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders)
}

// startEngineAgent starts an agent in front of the engine, with 100 bytes of memory, and
// waits until the agent has applied the engine's load report.
func startEngineAgent(t *testing.T, e *fakeEngine) (*testAgent, *wire.Stream) {
	e.instance = "1"
	ta := startAgent(t, e, func(o *agent.Options) {
		o.Upstream.Kind, o.Upstream.Capacity = agent.Engine, 100
		o.Limits.PollInterval = 10
	})
	st := ta.openControl()
	wantFree := int64(100)
	for _, m := range e.models {
		wantFree -= m.Bytes
	}
	// No memory counts as free before the first load report.
	receiveLoadUntil(t, st, func(l *wire.Load) bool {
		return l.MemoryTotal == 100 && l.MemoryFree == wantFree && len(l.Resident) == len(e.models)
	})
	return ta, st
}

// receiveLoadUntil reads frames until a load report matches.
func receiveLoadUntil(t *testing.T, st *wire.Stream, match func(*wire.Load) bool) *wire.Load {
	t.Helper()
	return receiveUntil(t, st, func(f *wire.Frame) *wire.Load {
		if l := f.GetLoad(); l != nil && match(l) {
			return l
		}
		return nil
	})
}

// sendOrder sends an order and waits for its result.
func sendOrder(t *testing.T, st *wire.Stream, o *wire.Order) *wire.OrderResult {
	t.Helper()
	assert.NilError(t, st.Send(&wire.Frame{Body: &wire.Frame_Order{Order: o}}))
	return receiveUntil(t, st, func(f *wire.Frame) *wire.OrderResult { return f.GetOrderResult() })
}

// Guards against overcommitted memory, orders of a former leader and orders that are
// executed twice. The engine checks none of these.
func TestOrders(t *testing.T) {
	e := &fakeEngine{models: []residentModel{{"a", 30}}}
	_, st := startEngineAgent(t, e)
	load := &wire.Order{Id: "1", Fence: 5, Op: "load", Target: "b", Bytes: 60}
	result := sendOrder(t, st, load)
	assert.Equal(t, result.Code, "")
	assert.Equal(t, result.Load.MemoryFree, int64(10))
	assert.DeepEqual(t, result.Load.Resident, []string{"a", "b"})
	assert.Equal(t, sendOrder(t, st, load).Code, "")
	assert.Equal(t, sendOrder(t, st, &wire.Order{Id: "2", Fence: 5, Op: "load", Target: "c", Bytes: 20}).Code, "memory_full")
	assert.Equal(t, sendOrder(t, st, &wire.Order{Id: "3", Fence: 4, Op: "unload", Target: "a"}).Code, "fence_stale")
	assert.Equal(t, sendOrder(t, st, &wire.Order{Id: "4", Fence: 6, Op: "unload", Target: "a"}).Code, "")
	assert.Equal(t, sendOrder(t, st, &wire.Order{Id: "5", Fence: 6, Op: "load", Target: "c", Bytes: 20}).Code, "")
	assert.DeepEqual(t, e.orders, []string{"load b", "unload a", "load c"})
}

// Guards against memory that counts as free although the model may be resident, and against
// memory that is never freed, after the response to an order is lost.
func TestLostOrderResponse(t *testing.T) {
	e := &fakeEngine{dropOrderResponses: true}
	_, st := startEngineAgent(t, e)
	result := sendOrder(t, st, &wire.Order{Id: "1", Fence: 1, Op: "load", Target: "a", Bytes: 60})
	assert.Equal(t, result.Code, "upstream_failed")
	assert.Equal(t, result.Load.MemoryFree, int64(40))
	// A later load report shows the model as resident.
	receiveLoadUntil(t, st, func(l *wire.Load) bool { return len(l.Resident) == 1 && l.MemoryFree == 40 })
	e.mu.Lock()
	e.dropOrderResponses, e.models = false, nil
	e.mu.Unlock()
	receiveLoadUntil(t, st, func(l *wire.Load) bool { return l.MemoryFree == 100 })
	assert.Equal(t, e.orderCount(), 2)
}

// Guards against an unload that aborts a running request.
func TestUnloadWaitsForRequests(t *testing.T) {
	e := &fakeEngine{models: []residentModel{{"a", 30}}, release: make(chan struct{})}
	ta, st := startEngineAgent(t, e)
	running := ta.call(&wire.Call{Attempt: "a1", Kind: "model", Target: "a", Idempotent: true})
	receiveLoadUntil(t, st, func(l *wire.Load) bool { return l.Running == 1 })
	assert.NilError(t, st.Send(&wire.Frame{Body: &wire.Frame_Order{Order: &wire.Order{Id: "1", Op: "unload", Target: "a"}}}))
	receiveLoadUntil(t, st, func(l *wire.Load) bool { return len(l.Resident) == 0 })
	res := readResponse(t, ta.call(&wire.Call{Attempt: "a2", Kind: "model", Target: "a", Idempotent: true}))
	assert.Equal(t, res.refuse.GetCode(), "not_loaded")
	assert.Assert(t, !res.refuse.Ran)
	assert.Equal(t, e.orderCount(), 0)
	close(e.release)
	assert.Assert(t, readResponse(t, running).done != nil)
	assert.Equal(t, receiveUntil(t, st, func(f *wire.Frame) *wire.OrderResult { return f.GetOrderResult() }).Code, "")
}

// Guards against a cold engine that receives more requests than its cold-start limit.
func TestColdLimit(t *testing.T) {
	e := &fakeEngine{models: []residentModel{{"a", 30}}, release: make(chan struct{})}
	ta, st := startEngineAgent(t, e)
	call := func(i int) *wire.Stream {
		return ta.call(&wire.Call{Attempt: fmt.Sprint("a", i), Kind: "model", Target: "a", Idempotent: true})
	}
	streams := []*wire.Stream{call(0), call(1)}
	receiveLoadUntil(t, st, func(l *wire.Load) bool { return l.Running == 2 })
	res := readResponse(t, call(2))
	assert.Equal(t, res.refuse.GetCode(), "cold_limit")
	assert.Assert(t, !res.refuse.Ran)
	close(e.release)
	for _, s := range streams {
		assert.Assert(t, readResponse(t, s).done != nil)
	}
	assert.Equal(t, receiveLoadUntil(t, st, func(l *wire.Load) bool { return l.Running == 0 }).Allowance, uint32(4))
	e.mu.Lock()
	e.cold = true
	e.mu.Unlock()
	assert.Equal(t, receiveLoadUntil(t, st, func(l *wire.Load) bool { return l.Cold }).Allowance, uint32(2))
}

// Guards against requests to an engine that is down, or for models that it lost in a
// restart, and against memory that stays reserved for those models.
func TestEngineRestart(t *testing.T) {
	e := &fakeEngine{models: []residentModel{{"a", 30}, {"b", 40}}}
	ta, st := startEngineAgent(t, e)
	setEngine := func(instance string, models []residentModel) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.instance, e.models = instance, models
	}
	setEngine("", nil)
	receiveLoadUntil(t, st, func(l *wire.Load) bool { return len(l.Resident) == 0 })
	res := readResponse(t, ta.call(&wire.Call{Attempt: "a1", Kind: "model", Target: "a", Idempotent: true}))
	assert.Equal(t, res.refuse.GetCode(), "not_loaded")
	assert.Assert(t, !res.refuse.Ran)
	setEngine("2", []residentModel{{"a", 30}})
	l := receiveLoadUntil(t, st, func(l *wire.Load) bool { return len(l.Resident) == 1 && l.MemoryFree == 70 })
	assert.Equal(t, l.Resident[0], "a")
	assert.Assert(t, readResponse(t, ta.call(&wire.Call{Attempt: "a2", Kind: "model", Target: "a", Idempotent: true})).done != nil)
}

// Guards against gateways that don't learn what an engine lost in a restart between two reads of
// its load report: they would send it requests, and the controller would load nothing there, until
// they ask for a new report.
func TestQuickRestartIsReported(t *testing.T) {
	e := &fakeEngine{models: []residentModel{{"a", 30}, {"b", 40}}}
	_, st := startEngineAgent(t, e)
	e.mu.Lock()
	e.instance, e.models = "2", nil
	e.mu.Unlock()
	receiveLoadUntil(t, st, func(l *wire.Load) bool { return len(l.Resident) == 0 && l.MemoryFree == 100 })
}

// Guards against a crash suspect that runs beside other requests, which a crash would abort.
func TestExclusiveSuspect(t *testing.T) {
	e := &fakeEngine{models: []residentModel{{"a", 30}}, release: make(chan struct{})}
	ta, st := startEngineAgent(t, e)
	call := func(id string, alone bool) *wire.Stream {
		return ta.call(&wire.Call{Attempt: id, Kind: "model", Target: "a", Idempotent: true, Alone: alone})
	}
	first := call("a1", false)
	receiveLoadUntil(t, st, func(l *wire.Load) bool { return l.Running == 1 })
	suspect := call("a2", true)
	receiveLoadUntil(t, st, func(l *wire.Load) bool { return l.Quarantine })
	assert.Equal(t, readResponse(t, call("a3", true)).refuse.GetCode(), "quarantine_busy")
	close(e.release)
	assert.Assert(t, readResponse(t, first).done != nil)
	assert.Assert(t, readResponse(t, suspect).done != nil)

	e.release = make(chan struct{})
	suspect = call("a4", true)
	receiveLoadUntil(t, st, func(l *wire.Load) bool { return l.Quarantine && l.Running == 1 })
	assert.Equal(t, readResponse(t, call("a5", true)).refuse.GetCode(), "quarantine_busy")
	other := call("a6", false)
	l := receiveLoadUntil(t, st, func(l *wire.Load) bool { return l.Waiting == 1 })
	assert.Equal(t, l.Running, uint32(1))
	close(e.release)
	assert.Assert(t, readResponse(t, suspect).done != nil)
	assert.Assert(t, readResponse(t, other).done != nil)
}

// Guards against an agent that is ready before it has read the engine's load report, or
// while it stops.
func TestReady(t *testing.T) {
	e := &fakeEngine{}
	ta, _ := startEngineAgent(t, e)
	getStatus := func(path string) int {
		resp, err := http.Get("http://" + ta.server.AdminAddr().String() + path)
		assert.NilError(t, err)
		defer resp.Body.Close()
		return resp.StatusCode
	}
	defer http.DefaultClient.CloseIdleConnections()
	assert.Equal(t, getStatus("/healthz"), http.StatusOK)
	for range 500 {
		// The agent is ready only after the first load report.
		if getStatus("/readyz") == http.StatusOK {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, getStatus("/readyz"), http.StatusOK)
	assert.Equal(t, getStatus("/debug/vars"), http.StatusOK)
	running := ta.call(&wire.Call{Attempt: "a1", Kind: "service", Path: "/", Idempotent: true})
	_ = readResponse(t, running)
	ta.stop()
	for range 100 {
		if getStatus("/readyz") == http.StatusServiceUnavailable {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("agent is ready while it is draining")
}

// Guards against three streams whose connections break that refuse a model everywhere, as each counts as a crash though the
// engine runs on (soak seed 61207121), and against crashes that are taken for broken connections.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	ta, _ := startEngineAgent(t, &fakeEngine{models: []residentModel{{"m1", 10}}})
	for i, end := range []bool{false, false, false, true} {
		c := &wire.Call{Attempt: fmt.Sprint("a", i), Kind: "model", Target: "m1", Path: "/cut", Method: http.MethodPost, Idempotent: true}
		if end {
			c.Header = []*wire.Header{{Name: "End", Value: "now"}}
		}
		res := readResponse(t, ta.call(c))
		assert.Assert(t, res.refuse != nil && res.refuse.Ran, "%v", res)
		assert.Equal(t, res.refuse.Crashed, end, "%v", res.refuse)
	}
}
