package quota_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/quota"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// over, window and slack are the platform's tolerance for rates: the fraction, the window in
	// which tokens are counted, and the tokens allowed in addition.
	over   = 0.1
	window = 8 * clock.Second
	slack  = 17_000.0
)

// cluster is a set of gateways in simulated time that exchange transfers at intervals.
type cluster struct {
	customer *fleet.Customer
	gateways []*quota.Limiter
	random   *rand.Rand
	// granted are the tokens granted in each millisecond.
	granted        map[clock.Time]float64
	requestedTotal float64
	grantedTotal   float64
	down           map[int]bool
	transferLoss   float64
}

func newCluster(n int, rate, burst float64, seed uint64) *cluster {
	s := &cluster{
		customer: &fleet.Customer{ID: "court", Rate: rate, Burst: burst},
		random:   rand.New(rand.NewPCG(seed, 1)), granted: map[clock.Time]float64{}, down: map[int]bool{},
	}
	for range n {
		s.gateways = append(s.gateways, newGateway(n, true))
	}
	return s
}

func newGateway(n int, first bool) *quota.Limiter {
	q := quota.New(first, over)
	q.SetGateways(n)
	return q
}

func vmName(i int) units.VMID { return units.VMID(rune('a' + i)) }

// exchange sends demands and transfers between the gateways.
func (s *cluster) exchange(now clock.Time) {
	demands := map[units.VMID][]quota.Demand{}
	for i, q := range s.gateways {
		if !s.down[i] {
			demands[vmName(i)] = q.Demands(now)
		}
	}
	for i, q := range s.gateways {
		if s.down[i] {
			continue
		}
		others := map[units.VMID][]quota.Demand{}
		for vm, d := range demands {
			if vm != vmName(i) {
				others[vm] = d
			}
		}
		for _, g := range q.TransferSurplus(now, []*fleet.Customer{s.customer}, others) {
			if s.random.Float64() < s.transferLoss {
				continue
			}
			for j := range s.gateways {
				if vmName(j) == g.To {
					s.gateways[j].Receive(now, g)
				}
			}
		}
	}
}

// sendLoad sends load, in tokens per second, to the gateways by weight.
func (s *cluster) sendLoad(from, to clock.Time, load float64, weights []float64) {
	const size = 1200.0
	total := 0.0
	for _, w := range weights {
		total += w
	}
	for now := from; now < to; now++ {
		if now%200 == 0 {
			s.exchange(now)
		}
		if s.random.Float64() > load/size/1000 {
			continue
		}
		at := s.random.Float64() * total
		i := 0
		for at > weights[i] {
			at -= weights[i]
			i++
		}
		if s.down[i] {
			continue
		}
		tokens := size * (0.2 + 1.6*s.random.Float64())
		s.requestedTotal += tokens
		if ok, _ := s.gateways[i].Take(now, s.customer, tokens); ok {
			s.granted[now] += tokens
			s.grantedTotal += tokens
		}
	}
}

// maxInWindow returns the highest number of tokens granted in any window.
func (s *cluster) maxInWindow(to clock.Time) float64 {
	sum, highest := 0.0, 0.0
	for now := clock.Time(0); now < to; now++ {
		sum += s.granted[now] - s.granted[now.Add(-window)]
		highest = max(highest, sum)
	}
	return highest
}

func (s *cluster) bound() float64 {
	return (s.customer.Rate*window.Seconds()+s.customer.Burst)*(1+over) + slack
}

// Guards against a customer that gets more than its rate over all gateways when it sends six times
// as much after an idle period, unevenly, while gateways are killed and restarted and digests are
// lost.
func TestRateHoldsOverAllGateways(t *testing.T) {
	for seed := range uint64(20) {
		s := newCluster(5, 60_000, 60_000, seed)
		s.transferLoss = 0.1
		weights := []float64{8, 4, 2, 1, 1}
		s.sendLoad(1, 4000, 6_000, weights)
		s.sendLoad(4000, 12_000, 360_000, weights)
		for k := range 4 {
			at := clock.Time(12_000 + 3000*k)
			s.down[k] = true
			s.sendLoad(at, at+600, 360_000, weights)
			s.down[k] = false
			s.gateways[k] = newGateway(5, false)
			s.sendLoad(at+600, at+3000, 360_000, weights)
		}
		assert.Assert(t, s.maxInWindow(24_000) <= s.bound(), "seed %d: %.0f tokens, bound %.0f", seed, s.maxInWindow(24_000), s.bound())
	}
}

// Guards against refusals within the rate when callers are spread unevenly: with equal shares
// alone, the busiest gateway refuses requests above its fifth.
func TestUnevenCallersGetTheirRate(t *testing.T) {
	s := newCluster(5, 60_000, 60_000, 7)
	s.sendLoad(1, 30_000, 48_000, []float64{8, 4, 2, 1, 1})
	assert.Assert(t, s.grantedTotal >= 0.99*s.requestedTotal, "%.3f of the tokens were granted", s.grantedTotal/s.requestedTotal)
}

// Guards against a request above a gateway's share of the burst that could never pass.
func TestLargeRequestPasses(t *testing.T) {
	q := newGateway(30, true)
	c := &fleet.Customer{ID: "court", Rate: 4200, Burst: 4200}
	ok, _ := q.Take(1000, c, 4000)
	assert.Assert(t, ok)
	ok, after := q.Take(1001, c, 4000)
	assert.Assert(t, !ok && after > 0)
	ok, _ = q.Take(clock.Time(1001).Add(after), c, 4000)
	assert.Assert(t, ok)
}
