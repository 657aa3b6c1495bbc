package gate_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/units"
)

// demandRecorder is a Demand that sums up the requested tokens and counts waiting requests.
type demandRecorder struct {
	mu        sync.Mutex
	requested map[units.ModelID]units.Tokens
	waiting   map[units.ModelID]int
}

func newDemandRecorder() *demandRecorder {
	return &demandRecorder{requested: map[units.ModelID]units.Tokens{}, waiting: map[units.ModelID]int{}}
}

func (c *demandRecorder) Asked(target units.ModelID, cost units.Tokens) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requested[target] += cost
}

func (c *demandRecorder) Waits(target units.ModelID) func() {
	c.addWaiting(target, 1)
	return func() { c.addWaiting(target, -1) }
}

func (c *demandRecorder) addWaiting(target units.ModelID, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[target] += n
}

func (c *demandRecorder) waitingFor(target units.ModelID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting[target]
}

// Guards against refusing a request while its target is being loaded, and against demand that is
// not counted.
func TestRequestWaitsForModelLoad(t *testing.T) {
	d := newDemandRecorder()
	a := newFakeAgent(t, "a1", respondTokens(1))
	s := startGateway(t, func(o *gate.Options) { o.Demand = d }, a)
	done := make(chan error, 1)
	go func() {
		_, err := newClient(s, testKey).Chat.Completions.New(context.Background(), chatParams("absent"))
		done <- err
	}()
	eventually(t, func() bool { return d.waitingFor("absent") == 1 })
	b := newFakeAgent(t, "a2", respondTokens(1))
	b.resident = []string{"absent"}
	s.SetAgents([]string{a.listener.Addr().String(), b.listener.Addr().String()})
	assert.NilError(t, <-done)
	assert.Equal(t, d.waitingFor("absent"), 0)
	assert.Assert(t, d.requested["absent"] > 0)
}

// Guards against waiting beyond the deadline, and against counting demand that the customer's rate
// does not admit.
func TestLoadWaitEndsAtDeadline(t *testing.T) {
	d := newDemandRecorder()
	s := startGateway(t, func(o *gate.Options) {
		o.Demand, o.Limiter = d, rateExceededLimiter{}
		o.Settings.Limits.NormalDeadline = 300
	}, newFakeAgent(t, "a1", respondTokens(1)))
	startTime := time.Now()
	_, err := newClient(s, testKey).Chat.Completions.New(context.Background(), chatParams("absent"))
	e := apiErrorOf(t, err)
	assert.Equal(t, e.Code, string(units.NoUpstream))
	assert.Equal(t, e.Response.Header.Get("X-Run"), "not-run")
	assert.Assert(t, time.Since(startTime) >= 300*time.Millisecond)
	assert.Equal(t, d.waitingFor("absent"), 0)
	_, err = newClient(s, testKey).Chat.Completions.New(context.Background(), chatParams("small"))
	assert.Equal(t, apiErrorOf(t, err).Code, string(units.RateExceeded))
	assert.Equal(t, len(d.requested), 0)
}

// Guards against a wait that continues after the caller has disconnected.
func TestLoadWaitEndsOnDisconnect(t *testing.T) {
	d := newDemandRecorder()
	s := startGateway(t, func(o *gate.Options) { o.Demand = d }, newFakeAgent(t, "a1", respondTokens(1)))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for d.waitingFor("absent") == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := newClient(s, testKey).Chat.Completions.New(ctx, chatParams("absent"))
	assert.Assert(t, err != nil)
	eventually(t, func() bool { return d.waitingFor("absent") == 0 })
}
