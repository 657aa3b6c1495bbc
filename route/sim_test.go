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

// workload describes upstreams with continuous batching, and Poisson arrivals at gateways that
// receive load reports with a delay. Up to slots requests on an upstream don't slow each other
// down; more requests share its throughput.
type workload struct {
	seed      uint64
	gateways  int
	upstreams int
	// subset is the number of upstreams that each gateway uses.
	subset int
	slots  int
	// load is the offered load relative to the capacity of all upstreams.
	load           float64
	requests       int
	reportInterval clock.Span
}

const (
	oneWayDelay    = clock.Time(2)
	millisPerToken = 10 // time per token of one request
	meanTokens     = 100
)

func upstreamID(u int) units.UpstreamID { return units.UpstreamID(fmt.Sprintf("u%03d", u)) }

// event is a function to run at a simulated time. The sequence orders events of the same time.
type event struct {
	at       clock.Time
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].sequence, e[j].sequence)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// request is a request of the simulation; tokens is the length of its response.
type request struct {
	arrivedAt clock.Time
	tokens    units.Tokens
	gateway   int
}

// upstream shares its throughput equally among its requests.
type upstream struct {
	running []runningRequest
	// generated is the number of tokens, up to updatedAt, that a request running from the start
	// of the simulation would have generated.
	generated float64
	updatedAt clock.Time
	// scheduleVersion invalidates earlier events of scheduleNextEnd.
	scheduleVersion int
	// sequence is that of the last load report.
	sequence uint64
}

type runningRequest struct {
	request
	// endsAt is the value of upstream.generated at which the request is complete.
	endsAt float64
}

// tokensPerMilli returns the present rate of one request, in tokens/ms.
func (o *upstream) tokensPerMilli(slots int) float64 {
	return min(1, float64(slots)/float64(max(len(o.running), 1))) / millisPerToken
}

func (o *upstream) advance(now clock.Time, slots int) {
	o.generated += float64(now.Sub(o.updatedAt)) * o.tokensPerMilli(slots)
	o.updatedAt = now
}

func (o *upstream) backlog() units.Tokens {
	sum := 0.0
	for _, r := range o.running {
		sum += r.endsAt - o.generated
	}
	return units.Tokens(sum)
}

// policy chooses the upstream of each request.
type policy interface {
	pick(s *simulation, r request) int
	recordEnd(gateway, upstream int)
	handleReport(now clock.Time, gateway int, l route.LoadReport)
}

type simulation struct {
	workload
	now       clock.Time
	lastEvent int
	queue     events
	random    *rand.Rand
	states    []upstream
	subsets   [][]int
	policy    policy
	latencies []clock.Span
}

func (s *simulation) schedule(t clock.Time, run func()) {
	s.lastEvent++
	heap.Push(&s.queue, event{t, s.lastEvent, run})
}

// load returns the load report of an upstream.
func (s *simulation) load(u int) route.LoadReport {
	s.states[u].sequence++
	o := &s.states[u]
	o.advance(s.now, s.slots)
	return route.LoadReport{
		Upstream: upstreamID(u), Sequence: o.sequence, Running: len(o.running),
		Backlog: o.backlog(), Throughput: units.Tokens(s.slots * 1000 / millisPerToken), Resident: []units.ModelID{"m"},
	}
}

// p99 runs the workload with the policy and returns the 99th percentile of the time from arrival
// to the last token.
func (w workload) p99(p policy) clock.Span {
	s := &simulation{workload: w, random: rand.New(rand.NewPCG(w.seed, 1)), states: make([]upstream, w.upstreams), policy: p}
	s.subsets = make([][]int, w.gateways)
	for g := range s.subsets {
		all := make([]int, w.upstreams)
		for i := range all {
			all[i] = i
		}
		rand.New(rand.NewPCG(uint64(g), 7)).Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		s.subsets[g] = all[:min(w.subset, w.upstreams)]
		s.sendReports(g)
	}
	s.scheduleArrival(0)
	for len(s.queue) > 0 && len(s.latencies) < w.requests {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	slices.Sort(s.latencies)
	return s.latencies[len(s.latencies)*99/100]
}

// sendReports sends the load reports of the gateway's upstreams, now and every reportInterval.
func (s *simulation) sendReports(g int) {
	for _, u := range s.subsets[g] {
		l := s.load(u)
		s.schedule(s.now+oneWayDelay, func() { s.policy.handleReport(s.now, g, l) })
	}
	s.schedule(s.now.Add(s.reportInterval), func() { s.sendReports(g) })
}

// scheduleArrival schedules the arrival of the next request after time t, in milliseconds.
func (s *simulation) scheduleArrival(t float64) {
	rate := s.workload.load * float64(s.upstreams*s.slots) / float64(meanTokens*millisPerToken)
	t += s.random.ExpFloat64() / rate
	s.schedule(clock.Time(t), func() {
		r := request{arrivedAt: s.now, tokens: meanTokens/2 + units.Tokens(s.random.IntN(meanTokens)), gateway: s.pickGateway()}
		u := s.policy.pick(s, r)
		s.schedule(s.now+oneWayDelay, func() { s.startRequest(u, r) })
		s.scheduleArrival(t)
	})
}

// pickGateway draws the gateway of an arrival. The load balancer prefers some gateways, and its
// preference shifts every 10 s.
func (s *simulation) pickGateway() int {
	g := min(s.random.IntN(s.gateways), s.random.IntN(s.gateways))
	return (g + int(s.now/10_000)) % s.gateways
}

func (s *simulation) startRequest(u int, r request) {
	o := &s.states[u]
	o.advance(s.now, s.slots)
	o.running = append(o.running, runningRequest{r, o.generated + float64(r.tokens)})
	s.scheduleNextEnd(u)
}

// scheduleNextEnd schedules the end of the request that completes first, which replaces the one
// scheduled before.
func (s *simulation) scheduleNextEnd(u int) {
	o := &s.states[u]
	o.scheduleVersion++
	version := o.scheduleVersion
	if len(o.running) == 0 {
		return
	}
	next := slices.MinFunc(o.running, func(a, b runningRequest) int { return cmp.Compare(a.endsAt, b.endsAt) })
	wait := math.Ceil((next.endsAt - o.generated) / o.tokensPerMilli(s.slots))
	s.schedule(s.now+clock.Time(max(wait, 0)), func() {
		if o.scheduleVersion == version {
			s.finishRequests(u)
		}
	})
}

// finishRequests removes the complete requests of the upstream and sends their gateways a report.
func (s *simulation) finishRequests(u int) {
	o := &s.states[u]
	o.advance(s.now, s.slots)
	rest := o.running[:0]
	var ended []request
	for _, r := range o.running {
		if r.endsAt <= o.generated+1e-6 {
			ended = append(ended, r.request)
			continue
		}
		rest = append(rest, r)
	}
	o.running = rest
	s.scheduleNextEnd(u)
	for _, r := range ended {
		l := s.load(u)
		s.schedule(s.now+oneWayDelay, func() {
			s.latencies = append(s.latencies, s.now.Sub(r.arrivedAt))
			s.policy.recordEnd(r.gateway, u)
			s.policy.handleReport(s.now, r.gateway, l)
		})
	}
}

// oracle is a policy with perfect knowledge: it picks the upstream with the fewest requests,
// those in transit included.
type oracle struct{ inTransit []int }

func (p *oracle) pick(s *simulation, _ request) int {
	best := 0
	for u := range s.states {
		if p.inTransit[u]+len(s.states[u].running) < p.inTransit[best]+len(s.states[best].running) {
			best = u
		}
	}
	p.inTransit[best]++
	s.schedule(s.now+oneWayDelay, func() { p.inTransit[best]-- })
	return best
}
func (p *oracle) recordEnd(int, int)                             {}
func (p *oracle) handleReport(clock.Time, int, route.LoadReport) {}

// roundRobin is a baseline policy.
type roundRobin struct{ turns []int }

func (p *roundRobin) pick(s *simulation, r request) int {
	p.turns[r.gateway]++
	return s.subsets[r.gateway][p.turns[r.gateway]%len(s.subsets[r.gateway])]
}
func (p *roundRobin) recordEnd(int, int)                             {}
func (p *roundRobin) handleReport(clock.Time, int, route.LoadReport) {}

// leastOutstanding is a baseline policy: it picks the upstream with the fewest requests in flight
// from the same gateway.
type leastOutstanding struct{ inFlight []map[int]int }

func (p *leastOutstanding) pick(s *simulation, r request) int {
	m := p.inFlight[r.gateway]
	best, least := 0, -1
	for _, i := range s.random.Perm(len(s.subsets[r.gateway])) {
		if u := s.subsets[r.gateway][i]; least < 0 || m[u] < least {
			best, least = u, m[u]
		}
	}
	m[best]++
	return best
}
func (p *leastOutstanding) recordEnd(g, u int)                             { p.inFlight[g][u]-- }
func (p *leastOutstanding) handleReport(clock.Time, int, route.LoadReport) {}

// routerPolicy is the policy under test, with one Router per gateway.
type routerPolicy struct{ routers []*route.Router }

func newRouterPolicy(w workload, sample int) *routerPolicy {
	p := &routerPolicy{}
	for g := range w.gateways {
		p.routers = append(p.routers, route.New(route.Options{Seed: w.seed + uint64(g), SampleSize: sample}))
	}
	return p
}

func (p *routerPolicy) pick(s *simulation, r request) int {
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
func (p *routerPolicy) recordEnd(g, u int) { p.routers[g].RecordEnd(upstreamID(u)) }
func (p *routerPolicy) handleReport(now clock.Time, g int, l route.LoadReport) {
	p.routers[g].HandleReport(now, l)
}
