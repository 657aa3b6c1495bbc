package rate

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// Targets of the design.
const (
	// maxRefusedShare applies when an owner of the largest customer dies.
	maxRefusedShare = 1.0 / 1000
	maxNodeBytes    = 2000 // control bytes a second
)

// refusedShare returns the part of all requests that was refused.
func (o outcome) refusedShare() float64 { return float64(o.refused) / float64(max(o.requests, 1)) }

// Guards against refusals of conforming requests with skewed and shifting load, in steady
// state and when an owner of the largest customer dies.
func TestWrongfulRefusals(t *testing.T) {
	for _, x := range []struct {
		name  string
		size  size
		span  simTime
		seeds uint64
	}{
		{"today", today, 60 * simSecond, 6},
		{"future", future, 4 * simSecond, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			requests, refused := 0, 0
			for seed := range x.seeds {
				w := newWorkload(seed, x.size, x.span)
				o := w.run(slotScheme{}, false)
				checkOutcome(t, o)
				assert.Equal(t, o.refused, 0)
				o = w.run(slotScheme{}, true)
				checkOutcome(t, o)
				requests += o.requests
				refused += o.refused
			}
			assert.Assert(t, requests > 5000)
			assert.Assert(t, float64(refused) <= maxRefusedShare*float64(requests), "refused %d of %d requests", refused, requests)
		})
	}
}

func checkOutcome(t *testing.T, o outcome) {
	t.Helper()
	assert.Assert(t, o.excess <= 0)
	assert.Assert(t, o.storeCalls <= 4, "%d calls to the store", o.storeCalls)
	assert.Assert(t, o.bytesMean <= maxNodeBytes, "%.0f bytes/s on average", o.bytesMean)
}

// Guards the control bytes of the busiest node with 4 gateways.
func TestNodeBytes(t *testing.T) {
	o := newWorkload(2, today, 40*simSecond).run(slotScheme{}, false)
	assert.Assert(t, o.bytesMax <= maxNodeBytes, "%.0f bytes/s", o.bytesMax)
}

// Guards the control bytes of the busiest node with 320 gateways.
func TestNodeBytesFuture(t *testing.T) {
	o := newWorkload(2, future, 4*simSecond).run(slotScheme{}, false)
	assert.Assert(t, o.bytesMax <= maxNodeBytes, "%.0f bytes/s", o.bytesMax)
}

// Guards the same with other arrivals, where one gateway owns slots of several large customers
// or sends many requests itself.
func TestNodeBytesFutureSeeds(t *testing.T) {
	for seed := uint64(3); seed <= 5; seed++ {
		o := newWorkload(seed, future, 4*simSecond).run(slotScheme{}, false)
		assert.Check(t, o.bytesMax <= maxNodeBytes, "seed %d: %.0f bytes/s", seed, o.bytesMax)
	}
}

// Guards against late reports to a bucket that other gateways wait for, and against frequent
// reports to a bucket with ample tokens.
func TestReportDelayByBucketLevel(t *testing.T) {
	for _, x := range []struct {
		name     string
		burst    units.Tokens
		tooEarly clock.Span
		delay    clock.Span
	}{
		{"plenty", 4_000_000, ampleReportDelay - 1, ampleReportDelay},
		{"scarce", 2_000, reportDelay - 1, reportDelay},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := NewClient(1)
			c.UpdateTable(0, (&SlotTable{}).Assign([]Gateway{{ID: "gw-0", Zone: "a"}}))
			c.SetLimit(0, "customer", Limit{Rate: x.burst / 4, Burst: x.burst})
			c.Request(1, Request{ID: 1, Customer: "customer", Cost: 900, Deadline: 1000})
			for _, m := range c.TakeMessages() {
				q := m.Message.(Acquire)
				c.HandleGrant(2, Grant{
					ID: q.ID, Tokens: q.Tokens,
					Level: x.burst/units.Tokens(len(SlotsOf("customer", Limit{Burst: x.burst}))) - q.Tokens,
				})
			}
			assert.Equal(t, len(c.TakeDecisions()), 1)
			c.Finish(3, 1, 500)
			c.Tick(clock.Time(3).Add(x.tooEarly))
			assert.Equal(t, len(c.TakeMessages()), 0)
			c.Tick(clock.Time(3).Add(x.delay))
			assert.Equal(t, len(c.TakeMessages()), 1)
		})
	}
}
