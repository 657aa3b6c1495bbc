package quota_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
)

// Guards against a burst of which a part is lost while a customer uses it up slowly: one pool is emptied first, and what
// is deposited at the other one, which is full, is dropped. The reference is one bucket for all gateways.
func TestBurstIsUsedUpSlowly(t *testing.T) {
	const begin, end = clock.Time(4000), clock.Time(20_000)
	for _, n := range []int{4, 20, 31} {
		granted, reference := 0.0, 0.0
		for seed := range uint64(6) {
			s := newCluster(n, 43_000, 155_000, seed)
			s.sendLoad(1, begin, 20_000, uneven)
			s.grantedSum, s.referenceSum = 0, 0
			s.sendLoad(begin, end, 55_000, uneven)
			granted, reference = granted+s.grantedSum, reference+s.referenceSum
			assert.Check(t, s.maxInWindow(end) <= s.bound(), "%d gateways, seed %d: %.0f tokens", n, seed, s.maxInWindow(end))
		}
		t.Logf("%d gateways: %.4f of the tokens of one bucket", n, granted/reference)
		assert.Check(t, granted >= 0.99*reference, "%d gateways: %.0f tokens of %.0f", n, granted, reference)
	}
}
