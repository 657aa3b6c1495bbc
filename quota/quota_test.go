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
	// over, window and slack are the platform's tolerance for rates.
	over   = 0.1
	window = 8 * clock.Second
	slack  = 17_000.0
)

// site is a set of gateways in simulated time that exchange gifts with a delay.
type site struct {
	customer *fleet.Customer
	gateways []*quota.Limiter
	random   *rand.Rand
	// passed are the tokens of each millisecond.
	passed map[clock.Time]float64
	asked  float64
	given  float64
	down   map[int]bool
	lost   float64
}

func newSite(n int, rate, burst float64, seed uint64) *site {
	s := &site{
		customer: &fleet.Customer{ID: "court", Rate: rate, Burst: burst},
		random:   rand.New(rand.NewPCG(seed, 1)), passed: map[clock.Time]float64{}, down: map[int]bool{},
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

func name(i int) units.VMID { return units.VMID(rune('a' + i)) }

// exchange passes tokens on between the gateways.
func (s *site) exchange(now clock.Time) {
	demands := map[units.VMID][]quota.Demand{}
	for i, q := range s.gateways {
		if !s.down[i] {
			demands[name(i)] = q.Demands(now)
		}
	}
	for i, q := range s.gateways {
		if s.down[i] {
			continue
		}
		others := map[units.VMID][]quota.Demand{}
		for vm, d := range demands {
			if vm != name(i) {
				others[vm] = d
			}
		}
		for _, g := range q.TransferSurplus(now, []*fleet.Customer{s.customer}, others) {
			if s.random.Float64() < s.lost {
				continue
			}
			for j := range s.gateways {
				if name(j) == g.To {
					s.gateways[j].Receive(now, g)
				}
			}
		}
	}
}

// play sends load, in tokens a second, through the gateways by weight.
func (s *site) play(from, to clock.Time, load float64, weights []float64) {
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
		s.asked += tokens
		if ok, _ := s.gateways[i].Take(now, s.customer, tokens); ok {
			s.passed[now] += tokens
			s.given += tokens
		}
	}
}

// most is the highest number of tokens in any window.
func (s *site) most(to clock.Time) float64 {
	sum, highest := 0.0, 0.0
	for now := clock.Time(0); now < to; now++ {
		sum += s.passed[now] - s.passed[now.Add(-window)]
		highest = max(highest, sum)
	}
	return highest
}

func (s *site) bound() float64 {
	return (s.customer.Rate*window.Seconds()+s.customer.Burst)*(1+over) + slack
}

// Guards against a customer that gets more than its rate over all gateways when it
// sends six times as much after a quiet time, unevenly, while gateways are killed and
// restarted and digests are lost.
func TestRateHoldsOverAllGateways(t *testing.T) {
	for seed := range uint64(20) {
		s := newSite(5, 60_000, 60_000, seed)
		s.lost = 0.1
		weights := []float64{8, 4, 2, 1, 1}
		s.play(1, 4000, 6_000, weights)
		s.play(4000, 12_000, 360_000, weights)
		for k := range 4 {
			at := clock.Time(12_000 + 3000*k)
			s.down[k] = true
			s.play(at, at+600, 360_000, weights)
			s.down[k] = false
			s.gateways[k] = newGateway(5, false)
			s.play(at+600, at+3000, 360_000, weights)
		}
		assert.Assert(t, s.most(24_000) <= s.bound(), "seed %d: %.0f tokens, bound %.0f", seed, s.most(24_000), s.bound())
	}
}

// Guards against refusals within the rate when callers are spread unevenly: equal
// shares alone refuse what the busiest gateway is asked for beyond its fifth.
func TestUnevenCallersGetTheirRate(t *testing.T) {
	s := newSite(5, 60_000, 60_000, 7)
	s.play(1, 30_000, 48_000, []float64{8, 4, 2, 1, 1})
	assert.Assert(t, s.given >= 0.99*s.asked, "%.3f of the tokens were given", s.given/s.asked)
}

// Guards against a request that is larger than a gateway's share of the burst and could
// never pass.
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
