package rate

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// Targets of the design.
const (
	deathRefusals = 1.0 / 1000
	nodeBytes     = 2000 // a second
)

func (o outcome) share() float64 { return float64(o.refused) / float64(max(o.requests, 1)) }

// Guards against refusals of conforming requests with skewed and moving arrivals, in
// steady state and across the death of an owner of the largest customer.
func TestWrongfulRefusals(t *testing.T) {
	for _, x := range []struct {
		name  string
		size  size
		span  micro
		seeds uint64
	}{
		{"today", today, 60 * microSecond, 6},
		{"future", future, 4 * microSecond, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			requests, refused := 0, 0
			for seed := range x.seeds {
				w := newWorkload(seed, x.size, x.span)
				o := w.run(slots{}, false)
				check(t, o)
				assert.Equal(t, o.refused, 0)
				o = w.run(slots{}, true)
				check(t, o)
				requests += o.requests
				refused += o.refused
			}
			assert.Assert(t, requests > 5000)
			assert.Assert(t, float64(refused) <= deathRefusals*float64(requests), "refused %d of %d", refused, requests)
		})
	}
}

func check(t *testing.T, o outcome) {
	t.Helper()
	assert.Assert(t, o.excess <= 0)
	assert.Assert(t, o.calls <= 4, "calls to the store: %d", o.calls)
	assert.Assert(t, o.bytesMean <= nodeBytes, "%.0f bytes/s on average", o.bytesMean)
}

// Guards the control bytes of the busiest node at today's size.
func TestNodeBytes(t *testing.T) {
	o := newWorkload(2, today, 40*microSecond).run(slots{}, false)
	assert.Assert(t, o.bytesMax <= nodeBytes, "%.0f bytes/s", o.bytesMax)
}

// Guards the control bytes of the busiest node at 320 gateways.
func TestNodeBytesFuture(t *testing.T) {
	o := newWorkload(2, future, 4*microSecond).run(slots{}, false)
	assert.Assert(t, o.bytesMax <= nodeBytes, "%.0f bytes/s", o.bytesMax)
}

// Guards the same with other arrivals, in which owners are of several parts of large
// customers, or send much themselves.
func TestNodeBytesFutureSeeds(t *testing.T) {
	for seed := uint64(3); seed <= 5; seed++ {
		o := newWorkload(seed, future, 4*microSecond).run(slots{}, false)
		assert.Check(t, o.bytesMax <= nodeBytes, "seed %d: %.0f bytes/s", seed, o.bytesMax)
	}
}

// Guards against reports that come late to a bucket from which others wait for tokens,
// and against many reports on one that has plenty.
func TestReportsWaitWhilePlenty(t *testing.T) {
	for _, x := range []struct {
		name   string
		burst  units.Tokens
		reject clock.Span
		delay  clock.Span
	}{
		{"plenty", 4_000_000, plentyDelay - 1, plentyDelay},
		{"scarce", 2_000, reportDelay - 1, reportDelay},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := NewClient(1)
			c.UpdateTable(0, (&SlotTable{}).Assign([]Gateway{{ID: "gw-0", Zone: "a"}}))
			c.SetLimit(0, "customer", Limit{Rate: x.burst / 4, Burst: x.burst})
			c.Request(1, Request{ID: 1, Customer: "customer", Cost: 900, Deadline: 1000})
			for _, m := range c.TakeMessages() {
				q := m.Message.(Acquire)
				c.HandleGrant(2, Grant{ID: q.ID, Tokens: q.Tokens, Level: x.burst/units.Tokens(len(SlotsOf("customer", Limit{Burst: x.burst}))) - q.Tokens})
			}
			assert.Equal(t, len(c.TakeDecisions()), 1)
			c.Finish(3, 1, 500)
			c.Tick(clock.Time(3).Add(x.reject))
			assert.Equal(t, len(c.TakeMessages()), 0)
			c.Tick(clock.Time(3).Add(x.delay))
			assert.Equal(t, len(c.TakeMessages()), 1)
		})
	}
}
