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

// counted is a Demand that records what it is told.
type counted struct {
	mu      sync.Mutex
	asked   map[units.ModelID]units.Tokens
	waiting map[units.ModelID]int
}

func newCounted() *counted {
	return &counted{asked: map[units.ModelID]units.Tokens{}, waiting: map[units.ModelID]int{}}
}

func (c *counted) Asked(target units.ModelID, cost units.Tokens) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked[target] += cost
}

func (c *counted) Waits(target units.ModelID) func() {
	c.add(target, 1)
	return func() { c.add(target, -1) }
}

func (c *counted) add(target units.ModelID, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[target] += n
}

func (c *counted) waits(target units.ModelID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting[target]
}

// Guards against a request that is refused although its target is being loaded, and
// against demand that is not counted.
func TestWaitsForLoad(t *testing.T) {
	d := newCounted()
	a := newStandIn(t, "a1", answerTokens(1))
	s := start(t, func(o *gate.Options) { o.Demand = d }, a)
	done := make(chan error, 1)
	go func() {
		_, err := client(s, key).Chat.Completions.New(context.Background(), chat("absent"))
		done <- err
	}()
	eventually(t, func() bool { return d.waits("absent") == 1 })
	b := newStandIn(t, "a2", answerTokens(1))
	b.resident = []string{"absent"}
	s.SetAgents([]string{a.listener.Addr().String(), b.listener.Addr().String()})
	assert.NilError(t, <-done)
	assert.Equal(t, d.waits("absent"), 0)
	assert.Assert(t, d.asked["absent"] > 0)
}

// Guards against a wait beyond the deadline, and against demand that is counted although
// the customer's rate does not admit it.
func TestWaitEnds(t *testing.T) {
	d := newCounted()
	s := start(t, func(o *gate.Options) {
		o.Demand, o.Limiter = d, overRate{}
		o.Settings.Limits.NormalDeadline = 300
	}, newStandIn(t, "a1", answerTokens(1)))
	began := time.Now()
	_, err := client(s, key).Chat.Completions.New(context.Background(), chat("absent"))
	e := errorOf(t, err)
	assert.Equal(t, e.Code, string(units.NoUpstream))
	assert.Equal(t, e.Response.Header.Get("X-Run"), "not-run")
	assert.Assert(t, time.Since(began) >= 300*time.Millisecond)
	assert.Equal(t, d.waits("absent"), 0)
	_, err = client(s, key).Chat.Completions.New(context.Background(), chat("small"))
	assert.Equal(t, errorOf(t, err).Code, string(units.RateExceeded))
	assert.Equal(t, len(d.asked), 0)
}

// Guards against a wait that goes on after its caller has gone.
func TestWaitOfGoneCaller(t *testing.T) {
	d := newCounted()
	s := start(t, func(o *gate.Options) { o.Demand = d }, newStandIn(t, "a1", answerTokens(1)))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for d.waits("absent") == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := client(s, key).Chat.Completions.New(ctx, chat("absent"))
	assert.Assert(t, err != nil)
	eventually(t, func() bool { return d.waits("absent") == 0 })
}
