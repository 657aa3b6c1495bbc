package rate

import (
	"testing"

	"gotest.tools/v3/assert"
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
	for name, w := range map[string]*workload{
		"today":  newWorkload(1, today, 40*microSecond),
		"future": newWorkload(1, future, 4*microSecond),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, die := range []bool{false, true} {
				o := w.run(slots{}, die)
				assert.Assert(t, o.requests > 1000)
				assert.Assert(t, o.excess <= 0)
				assert.Assert(t, o.calls <= 4, "calls to the store: %d", o.calls)
				assert.Assert(t, o.bytesMean <= nodeBytes, "%.0f bytes/s on average", o.bytesMean)
				if !die {
					assert.Equal(t, o.refused, 0)
					continue
				}
				assert.Assert(t, o.share() <= deathRefusals, "refused %d of %d", o.refused, o.requests)
			}
		})
	}
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
