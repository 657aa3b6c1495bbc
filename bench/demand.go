package bench

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
)

const (
	// baseUtilization is the mean demand, without surges, as a share of the throughput of all replicas.
	baseUtilization = 0.4
	// zipfExponent gives the most popular of 60 targets a fifth of the demand.
	zipfExponent = 1.0
	// A burst multiplies a target's demand by burstFactor for burstDuration and starts once in
	// meanBurstInterval on average.
	burstFactor       = 4.0
	burstDuration     = 40 * clock.Second
	meanBurstInterval = 4 * clock.Minute
	// surgeFactor is the tenfold increase of demand that the design requires the planner to handle.
	surgeFactor = 10.0
	// floodFactor is the demand of the flooding customer as a multiple of its usual demand.
	floodFactor = 5.0
	// rateFactor is a customer's rate limit as a multiple of its mean demand. bucketSeconds is
	// the size of its token bucket in seconds of that rate.
	rateFactor        = 2.0
	bucketSeconds     = 20.0
	meanRequestTokens = 300.0
	// Time after the arrival by which processing of a request must start.
	liveDeadline   = 1400 * clock.Millisecond
	normalDeadline = 10 * clock.Second
	liveShare      = 0.7
)

// customerShares are the customers' shares of the demand: a few large customers and some small ones.
var customerShares = []float64{0.4, 0.25, 0.15, 0.12, 0.08}

// floodingCustomer is the index of the customer that exceeds its rate limit.
const floodingCustomer = 2

// request is a generated request; target and customer are indexes.
type request struct {
	arrival  clock.Time
	deadline clock.Time
	target   int
	customer int
	tokens   float64
}

// trace is the demand of a run. All policies run on the same trace.
type trace struct {
	requests []request
	// baseDemand is the mean demand for each target without surges, in tokens per second.
	baseDemand []float64
	// rateRefused counts requests rejected by the customers' rate limits.
	rateRefused int
}

// generator generates the requests of a trace, one second at a time. Slices are indexed by target;
// bucketLevels (tokens) and customerRates (tokens per second) by customer.
type generator struct {
	options       Options
	random        *rand.Rand
	baseDemand    []float64
	burstEnd      []clock.Time
	adapterOwner  []int
	surgeTargets  [2]int
	bucketLevels  []float64
	customerRates []float64
	firstAdapter  int
}

// generateTrace returns the requests of the run that the rate limits admit, sorted by arrival time.
func generateTrace(o Options) *trace {
	s := newGenerator(o)
	t := &trace{baseDemand: s.baseDemand}
	for at := clock.Time(0); at < clock.Time(o.Length); at += clock.Time(clock.Second) {
		s.addSecond(t, at)
	}
	return t
}

// newGenerator draws the popularity of the targets and the customers of the adapters from the seed.
func newGenerator(o Options) *generator {
	n := o.Site.Models + o.Site.Adapters
	s := &generator{
		options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), firstAdapter: o.Site.Models,
		baseDemand: make([]float64, n), burstEnd: make([]clock.Time, n), adapterOwner: make([]int, n),
		bucketLevels: make([]float64, len(customerShares)), customerRates: make([]float64, len(customerShares)),
	}
	total := 0.0
	for rank, i := range s.random.Perm(n) {
		s.baseDemand[i] = math.Pow(float64(rank+1), -zipfExponent)
		total += s.baseDemand[i]
		// Two targets of medium popularity get the surges.
		switch rank {
		case n / 4:
			s.surgeTargets[0] = i
		case n / 5:
			s.surgeTargets[1] = i
		}
	}
	totalDemand := baseUtilization * float64(o.Site.Replicas) * float64(replicaSpeed)
	for i := range s.baseDemand {
		s.baseDemand[i] *= totalDemand / total
		s.adapterOwner[i] = s.randomCustomer()
		s.addCustomerRates(i)
	}
	for c := range s.bucketLevels {
		s.customerRates[c] *= rateFactor
		s.bucketLevels[c] = s.customerRates[c] * bucketSeconds
	}
	return s
}

// addCustomerRates adds the demand for a target to the rates of the customers that request it.
func (s *generator) addCustomerRates(target int) {
	if target >= s.firstAdapter {
		s.customerRates[s.adapterOwner[target]] += s.baseDemand[target]
		return
	}
	for c, share := range customerShares {
		s.customerRates[c] += s.baseDemand[target] * share
	}
}

// randomCustomer draws a customer's index with the probabilities in customerShares.
func (s *generator) randomCustomer() int {
	x := s.random.Float64()
	for c, share := range customerShares {
		if x -= share; x < 0 {
			return c
		}
	}
	return len(customerShares) - 1
}

// demandFactor returns the demand for a target at a time as a multiple of its mean, and may start a burst.
func (s *generator) demandFactor(target int, at clock.Time) float64 {
	if s.random.Float64() < float64(clock.Second)/float64(meanBurstInterval) {
		s.burstEnd[target] = at.Add(burstDuration)
	}
	f := 1.0
	if at.Before(s.burstEnd[target]) {
		f = burstFactor
	}
	// Normalizes the mean over bursts to 1.
	f /= 1 + (burstFactor-1)*float64(burstDuration)/float64(burstDuration+meanBurstInterval)
	length := float64(s.options.Length)
	x := float64(at) / length
	switch target {
	case s.surgeTargets[0]: // grows gradually to surgeFactor and stays
		f *= 1 + (surgeFactor-1)*min(max((x-0.15)/0.25, 0), 1)
	case s.surgeTargets[1]: // jumps to surgeFactor and returns
		if x >= 0.3 && x < 0.45 {
			f *= surgeFactor
		}
	}
	return f
}

// addSecond appends the admitted requests of the second that starts at the given time.
func (s *generator) addSecond(t *trace, at clock.Time) {
	first := len(t.requests)
	for c := range s.bucketLevels {
		s.bucketLevels[c] = min(s.bucketLevels[c]+s.customerRates[c], s.customerRates[c]*bucketSeconds)
	}
	for i, w := range s.baseDemand {
		mean := w / meanRequestTokens * s.demandFactor(i, at)
		for range s.poisson(mean) {
			t.requests = append(t.requests, s.newRequest(i, at))
		}
		// The flooding customer sends more requests for the targets that it usually requests.
		if x := float64(at) / float64(s.options.Length); x >= 0.75 && x < 0.9 {
			s.addFlood(t, i, at, mean)
		}
	}
	next := t.requests[first:]
	slices.SortStableFunc(next, func(a, b request) int { return int(a.arrival - b.arrival) })
	admitted := next[:0]
	for _, q := range next {
		if s.bucketLevels[q.customer] < q.tokens {
			t.rateRefused++
			continue
		}
		s.bucketLevels[q.customer] -= q.tokens
		admitted = append(admitted, q)
	}
	t.requests = t.requests[:first+len(admitted)]
}

// addFlood appends the flooding customer's additional requests for a target. mean is the target's
// mean number of requests in the second, from all customers.
func (s *generator) addFlood(t *trace, target int, at clock.Time, mean float64) {
	share := customerShares[floodingCustomer]
	if target >= s.firstAdapter {
		share = 0
		if s.adapterOwner[target] == floodingCustomer {
			share = 1
		}
	}
	for range s.poisson(mean * share * (floodFactor - 1)) {
		q := s.newRequest(target, at)
		q.customer = floodingCustomer
		t.requests = append(t.requests, q)
	}
}

// newRequest returns a request for the target at a random time within the second that starts at the
// given time. Adapters are used by one customer each, models by all.
func (s *generator) newRequest(target int, at clock.Time) request {
	q := request{
		arrival: at + clock.Time(s.random.IntN(int(clock.Second))),
		target:  target, customer: s.adapterOwner[target],
		tokens: min(s.random.ExpFloat64()*meanRequestTokens, 4*meanRequestTokens) + 1,
	}
	if target < s.firstAdapter {
		q.customer = s.randomCustomer()
	}
	q.deadline = q.arrival.Add(normalDeadline)
	if s.random.Float64() < liveShare {
		q.deadline = q.arrival.Add(liveDeadline)
	}
	return q
}

// poisson returns a Poisson-distributed number. The product method underflows for large means;
// means here are below 50.
func (s *generator) poisson(mean float64) int {
	n, p, limit := 0, s.random.Float64(), math.Exp(-mean)
	for p > limit {
		p *= s.random.Float64()
		n++
	}
	return n
}
