package route_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/route"
	"github.com/magnolialever/magnolialever/units"
)

// workload describes upstreams with continuous batching and Poisson arrivals at
// gateways that hear of load with a delay. Up to the number of places, requests
// don't slow each other down; beyond it they share the speed.
type workload struct {
	seed      uint64
	gateways  int
	upstreams int
	subset    int
	places    int
	load      float64
	requests  int
	report    clock.Span
}

const (
	oneWay     = clock.Time(2)
	tokenSpan  = 10 // ms for one token of one request
	meanTokens = 100
)

func id(u int) units.UpstreamID { return units.UpstreamID(fmt.Sprintf("u%03d", u)) }

type event struct {
	at   clock.Time
	turn int
	run  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].turn, e[j].turn)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

type request struct {
	arrived clock.Time
	tokens  units.Tokens
	gateway int
}

// upstream shares its speed equally. Progress is the number of tokens that a request
// running all the time would have generated.
type upstream struct {
	running  []running
	progress float64
	updated  clock.Time
	turn     int
	sequence uint64
}

type running struct {
	request
	until float64
}

func (o *upstream) pace(places int) float64 {
	return min(1, float64(places)/float64(max(len(o.running), 1))) / tokenSpan
}

func (o *upstream) advance(now clock.Time, places int) {
	o.progress += float64(now.Sub(o.updated)) * o.pace(places)
	o.updated = now
}

func (o *upstream) backlog() units.Tokens {
	sum := 0.0
	for _, r := range o.running {
		sum += r.until - o.progress
	}
	return units.Tokens(sum)
}

type policy interface {
	pick(s *simulation, r request) int
	ended(gateway, upstream int)
	report(now clock.Time, gateway int, l route.LoadReport)
}

type simulation struct {
	workload
	now       clock.Time
	turn      int
	queue     events
	random    *rand.Rand
	ups       []upstream
	subsets   [][]int
	policy    policy
	latencies []clock.Span
}

func (s *simulation) at(t clock.Time, run func()) {
	s.turn++
	heap.Push(&s.queue, event{t, s.turn, run})
}

func (s *simulation) load(u int) route.LoadReport {
	s.ups[u].sequence++
	o := &s.ups[u]
	o.advance(s.now, s.places)
	return route.LoadReport{
		Upstream: id(u), Sequence: o.sequence, Running: len(o.running),
		Backlog: o.backlog(), Throughput: units.Tokens(s.places * 1000 / tokenSpan), Resident: []units.ModelID{"m"},
	}
}

// p99 runs the workload under the policy and returns the 99th percentile of the
// time from arrival to the last token.
func (w workload) p99(p policy) clock.Span {
	s := &simulation{workload: w, random: rand.New(rand.NewPCG(w.seed, 1)), ups: make([]upstream, w.upstreams), policy: p}
	s.subsets = make([][]int, w.gateways)
	for g := range s.subsets {
		all := make([]int, w.upstreams)
		for i := range all {
			all[i] = i
		}
		rand.New(rand.NewPCG(uint64(g), 7)).Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		s.subsets[g] = all[:min(w.subset, w.upstreams)]
		s.reports(g)
	}
	s.arrive(0)
	for len(s.queue) > 0 && len(s.latencies) < w.requests {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	slices.Sort(s.latencies)
	return s.latencies[len(s.latencies)*99/100]
}

// reports sends the load of each upstream of the subset at a low rate.
func (s *simulation) reports(g int) {
	for _, u := range s.subsets[g] {
		l := s.load(u)
		s.at(s.now+oneWay, func() { s.policy.report(s.now, g, l) })
	}
	s.at(s.now.Add(s.report), func() { s.reports(g) })
}

func (s *simulation) arrive(t float64) {
	rate := s.workload.load * float64(s.upstreams*s.places) / float64(meanTokens*tokenSpan)
	t += s.random.ExpFloat64() / rate
	s.at(clock.Time(t), func() {
		r := request{arrived: s.now, tokens: meanTokens/2 + units.Tokens(s.random.IntN(meanTokens)), gateway: s.gateway()}
		u := s.policy.pick(s, r)
		s.at(s.now+oneWay, func() { s.enqueue(u, r) })
		s.arrive(t)
	})
}

// gateway draws the gateway of an arrival. The balancer is uneven, and its preference
// moves every 10 s.
func (s *simulation) gateway() int {
	g := min(s.random.IntN(s.gateways), s.random.IntN(s.gateways))
	return (g + int(s.now/10_000)) % s.gateways
}

func (s *simulation) enqueue(u int, r request) {
	o := &s.ups[u]
	o.advance(s.now, s.places)
	o.running = append(o.running, running{r, o.progress + float64(r.tokens)})
	s.schedule(u)
}

// schedule plans the next end of a request, which replaces an earlier plan.
func (s *simulation) schedule(u int) {
	o := &s.ups[u]
	o.turn++
	turn := o.turn
	if len(o.running) == 0 {
		return
	}
	next := slices.MinFunc(o.running, func(a, b running) int { return cmp.Compare(a.until, b.until) })
	wait := math.Ceil((next.until - o.progress) / o.pace(s.places))
	s.at(s.now+clock.Time(max(wait, 0)), func() {
		if o.turn == turn {
			s.finish(u)
		}
	})
}

func (s *simulation) finish(u int) {
	o := &s.ups[u]
	o.advance(s.now, s.places)
	rest := o.running[:0]
	var ended []request
	for _, r := range o.running {
		if r.until <= o.progress+1e-6 {
			ended = append(ended, r.request)
			continue
		}
		rest = append(rest, r)
	}
	o.running = rest
	s.schedule(u)
	for _, r := range ended {
		l := s.load(u)
		s.at(s.now+oneWay, func() {
			s.latencies = append(s.latencies, s.now.Sub(r.arrived))
			s.policy.ended(r.gateway, u)
			s.policy.report(s.now, r.gateway, l)
		})
	}
}

// perfect knows the number of requests on each upstream at the moment of the
// choice, with those on their way.
type perfect struct{ coming []int }

func (p *perfect) pick(s *simulation, _ request) int {
	best := 0
	for u := range s.ups {
		if p.coming[u]+len(s.ups[u].running) < p.coming[best]+len(s.ups[best].running) {
			best = u
		}
	}
	p.coming[best]++
	s.at(s.now+oneWay, func() { p.coming[best]-- })
	return best
}
func (p *perfect) ended(int, int)                           {}
func (p *perfect) report(clock.Time, int, route.LoadReport) {}

// roundRobin is a baseline.
type roundRobin struct{ next []int }

func (p *roundRobin) pick(s *simulation, r request) int {
	p.next[r.gateway]++
	return s.subsets[r.gateway][p.next[r.gateway]%len(s.subsets[r.gateway])]
}
func (p *roundRobin) ended(int, int)                           {}
func (p *roundRobin) report(clock.Time, int, route.LoadReport) {}

// leastOutstanding is a baseline: the fewest requests of the own gateway.
type leastOutstanding struct{ own []map[int]int }

func (p *leastOutstanding) pick(s *simulation, r request) int {
	m := p.own[r.gateway]
	best, least := 0, -1
	for _, i := range s.random.Perm(len(s.subsets[r.gateway])) {
		if u := s.subsets[r.gateway][i]; least < 0 || m[u] < least {
			best, least = u, m[u]
		}
	}
	m[best]++
	return best
}
func (p *leastOutstanding) ended(g, u int)                           { p.own[g][u]-- }
func (p *leastOutstanding) report(clock.Time, int, route.LoadReport) {}

// routed is the Router of each gateway.
type routed struct{ routers []*route.Router }

func newRouted(w workload, sample int) *routed {
	p := &routed{}
	for g := range w.gateways {
		p.routers = append(p.routers, route.New(route.Options{Seed: w.seed + uint64(g), SampleSize: sample}))
	}
	return p
}

func (p *routed) pick(s *simulation, r request) int {
	w := route.Request{Target: "m", Cost: r.tokens}
	c, err := p.routers[r.gateway].Pick(s.now, w)
	if err != nil {
		return s.subsets[r.gateway][0]
	}
	p.routers[r.gateway].RecordStart(s.now, c.Upstream, w)
	var u int
	_, _ = fmt.Sscanf(string(c.Upstream), "u%d", &u)
	return u
}
func (p *routed) ended(g, u int) { p.routers[g].RecordEnd(id(u)) }
func (p *routed) report(now clock.Time, g int, l route.LoadReport) {
	p.routers[g].HandleReport(now, l)
}
