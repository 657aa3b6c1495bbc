package bench

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
)

const (
	// baseUse is the share of all replicas' speed that the demand takes on average
	// before the surges.
	baseUse = 0.4
	// zipfExponent makes the most wanted of 60 targets take a fifth of the demand.
	zipfExponent = 1.0
	// A burst multiplies the demand of a target for burstSpan, once in burstEvery on
	// average.
	burstFactor = 4.0
	burstSpan   = 40 * clock.Second
	burstEvery  = 4 * clock.Minute
	// surgeFactor is the tenfold demand of the design page.
	surgeFactor = 10.0
	// floodFactor is the customer at five times its rate.
	floodFactor = 5.0
	// rateFactor is a customer's rate in units of its average demand, and burstSeconds
	// its burst in seconds of its rate.
	rateFactor   = 2.0
	burstSeconds = 20.0
	meanTokens   = 300.0
	// Deadlines of the start of an answer.
	liveDeadline   = 1400 * clock.Millisecond
	normalDeadline = 10 * clock.Second
	liveShare      = 0.7
)

// customerShares are a few large customers and some small ones.
var customerShares = []float64{0.4, 0.25, 0.15, 0.12, 0.08}

// flooder is the customer that sends more than its rate.
const flooder = 2

// request is one arrival that the customer's rate admits.
type request struct {
	at       clock.Time
	deadline clock.Time
	target   int
	customer int
	tokens   float64
}

// trace is the demand of a run, the same for all policies.
type trace struct {
	requests []request
	// weights is the demand of each target without bursts, in tokens a second.
	weights []float64
	// refused counts arrivals beyond the customer's rate.
	refused int
}

// source generates the arrivals of one second after the other.
type source struct {
	options  Options
	random   *rand.Rand
	weights  []float64
	bursts   []clock.Time
	owner    []int
	surge    [2]int
	levels   []float64
	rates    []float64
	adapters int
}

// generate returns the arrivals of the run, by time.
func generate(o Options) *trace {
	s := newSource(o)
	t := &trace{weights: s.weights}
	for at := clock.Time(0); at < clock.Time(o.Length); at += clock.Time(clock.Second) {
		s.second(t, at)
	}
	return t
}

func newSource(o Options) *source {
	n := o.Site.Models + o.Site.Adapters
	s := &source{
		options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), adapters: o.Site.Models,
		weights: make([]float64, n), bursts: make([]clock.Time, n), owner: make([]int, n),
		levels: make([]float64, len(customerShares)), rates: make([]float64, len(customerShares)),
	}
	total := 0.0
	for rank, i := range s.random.Perm(n) {
		s.weights[i] = math.Pow(float64(rank+1), -zipfExponent)
		total += s.weights[i]
		// Two targets in the middle of the popularity get the surges.
		switch rank {
		case n / 4:
			s.surge[0] = i
		case n / 5:
			s.surge[1] = i
		}
	}
	all := baseUse * float64(o.Site.Replicas) * float64(replicaSpeed)
	for i := range s.weights {
		s.weights[i] *= all / total
		s.owner[i] = s.customer()
		s.share(i)
	}
	for c := range s.levels {
		s.rates[c] *= rateFactor
		s.levels[c] = s.rates[c] * burstSeconds
	}
	return s
}

// share adds the demand of a target to the rates of those who ask for it.
func (s *source) share(target int) {
	if target >= s.adapters {
		s.rates[s.owner[target]] += s.weights[target]
		return
	}
	for c, share := range customerShares {
		s.rates[c] += s.weights[target] * share
	}
}

func (s *source) customer() int {
	x := s.random.Float64()
	for c, share := range customerShares {
		if x -= share; x < 0 {
			return c
		}
	}
	return len(customerShares) - 1
}

// factor is the demand of a target in units of its average.
func (s *source) factor(target int, at clock.Time) float64 {
	if s.random.Float64() < float64(clock.Second)/float64(burstEvery) {
		s.bursts[target] = at.Add(burstSpan)
	}
	f := 1.0
	if at.Before(s.bursts[target]) {
		f = burstFactor
	}
	// The mean over bursts stays 1.
	f /= 1 + (burstFactor-1)*float64(burstSpan)/float64(burstSpan+burstEvery)
	length := float64(s.options.Length)
	x := float64(at) / length
	switch target {
	case s.surge[0]: // moves tenfold gradually and stays
		f *= 1 + (surgeFactor-1)*min(max((x-0.15)/0.25, 0), 1)
	case s.surge[1]: // moves tenfold at once, and back
		if x >= 0.3 && x < 0.45 {
			f *= surgeFactor
		}
	}
	return f
}

// second appends the arrivals of one second.
func (s *source) second(t *trace, at clock.Time) {
	first := len(t.requests)
	for c := range s.levels {
		s.levels[c] = min(s.levels[c]+s.rates[c], s.rates[c]*burstSeconds)
	}
	for i, w := range s.weights {
		mean := w / meanTokens * s.factor(i, at)
		for range s.poisson(mean) {
			t.requests = append(t.requests, s.request(i, at))
		}
		// The flood is on the same targets as the customer's usual demand.
		if x := float64(at) / float64(s.options.Length); x >= 0.75 && x < 0.9 {
			s.flood(t, i, at, mean)
		}
	}
	next := t.requests[first:]
	slices.SortStableFunc(next, func(a, b request) int { return int(a.at - b.at) })
	admitted := next[:0]
	for _, q := range next {
		if s.levels[q.customer] < q.tokens {
			t.refused++
			continue
		}
		s.levels[q.customer] -= q.tokens
		admitted = append(admitted, q)
	}
	t.requests = t.requests[:first+len(admitted)]
}

func (s *source) flood(t *trace, target int, at clock.Time, mean float64) {
	share := customerShares[flooder]
	if target >= s.adapters {
		share = 0
		if s.owner[target] == flooder {
			share = 1
		}
	}
	for range s.poisson(mean * share * (floodFactor - 1)) {
		q := s.request(target, at)
		q.customer = flooder
		t.requests = append(t.requests, q)
	}
}

func (s *source) request(target int, at clock.Time) request {
	q := request{
		at:     at + clock.Time(s.random.IntN(int(clock.Second))),
		target: target, customer: s.owner[target],
		tokens: min(s.random.ExpFloat64()*meanTokens, 4*meanTokens) + 1,
	}
	if target < s.adapters {
		q.customer = s.customer()
	}
	q.deadline = q.at.Add(normalDeadline)
	if s.random.Float64() < liveShare {
		q.deadline = q.at.Add(liveDeadline)
	}
	return q
}

// poisson returns a Poisson variate; means are below 50.
func (s *source) poisson(mean float64) int {
	n, p, limit := 0, s.random.Float64(), math.Exp(-mean)
	for p > limit {
		p *= s.random.Float64()
		n++
	}
	return n
}
