package rate

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// size is a fleet with its demand.
type size struct {
	gates, customers int
	perSecond        float64
	// load is the demand as a share of the rates, before the reference bucket
	// takes out what does not conform.
	load float64
}

var (
	today  = size{gates: 4, customers: 5, perSecond: 40, load: 0.8}
	future = size{gates: 320, customers: 200, perSecond: 2900, load: 0.8}
)

const (
	warmUp   = 9 * microSecond // buckets start empty and fill
	burstFor = 4               // burst in seconds of the rate
	costMax  = 2000
	costMean = 1100
)

// arrival is a request at a gateway.
type arrival struct {
	at       micro
	gate     int
	customer units.CustomerID
	cost     units.Tokens
	used     units.Tokens
	duration micro
}

type workload struct {
	size
	limits   map[units.CustomerID]Limit
	arrivals []arrival
	end      micro
}

// newWorkload returns requests that a bucket with global knowledge admits. The
// customers' shares fall as 1/n. Each sends in phases, most of it through one
// gateway, which changes.
func newWorkload(seed uint64, z size, span micro) *workload {
	r := rand.New(rand.NewPCG(seed, 5))
	w := &workload{size: z, limits: make(map[units.CustomerID]Limit), end: warmUp + span}
	var total float64
	for i := range z.customers {
		total += 1 / float64(i+1)
	}
	for i := range z.customers {
		perSecond := z.perSecond / total / float64(i+1)
		c := units.CustomerID(fmt.Sprintf("customer-%d", i))
		tokens := units.Tokens(perSecond * costMean / z.load)
		w.limits[c] = Limit{Rate: tokens, Burst: max(burstFor*tokens, 4*costMax)}
		w.customer(r, c, perSecond)
	}
	slices.SortStableFunc(w.arrivals, func(x, y arrival) int { return int(x.at - y.at) })
	return w
}

func (w *workload) customer(r *rand.Rand, c units.CustomerID, perSecond float64) {
	l := w.limits[c]
	ideal := &Bucket{Share: l.part(0, 1), level: toMilli(l.Burst)}
	type settlement struct {
		at     micro
		mark   StartSeq
		unused units.Tokens
	}
	var open []settlement
	// Twice the demand in one half of the time, none in the other.
	phase, busy, home := warmUp, true, 0
	for at := warmUp; at < w.end; {
		at += micro(r.ExpFloat64() / (2 * perSecond) * float64(microSecond))
		for at >= phase {
			busy = !busy
			home = r.IntN(w.gates)
			length := microSecond + micro(r.Int64N(int64(2*microSecond)))
			if !busy {
				at = max(at, phase+length)
			}
			phase += length
		}
		x := arrival{at: at, gate: home, customer: c, duration: microSecond/5 + micro(r.ExpFloat64()*float64(microSecond))}
		if r.Float64() < 0.3 {
			x.gate = r.IntN(w.gates)
		}
		x.cost = units.Tokens(200 + r.IntN(costMax-200))
		x.used = units.Tokens(float64(x.cost) * (0.3 + 0.7*r.Float64()))
		slices.SortFunc(open, func(x, y settlement) int { return int(x.at - y.at) })
		for len(open) > 0 && open[0].at <= at {
			ideal.Refund(clock.Time(open[0].at/microMilli), open[0].mark, open[0].unused)
			open = open[1:]
		}
		now := clock.Time(at / microMilli)
		if ideal.Level(now) < x.cost {
			continue
		}
		ideal.Take(now, x.cost)
		open = append(open, settlement{at: at + x.duration, mark: ideal.Start(now, x.cost), unused: x.cost - x.used})
		w.arrivals = append(w.arrivals, x)
	}
}

// scheme decides on requests in a sim.
type scheme interface {
	setUp(s *sim)
	request(g *simGate, c *call)
	owner(s *sim, c units.CustomerID) *simGate
	died(s *sim, g *simGate)
}

const largest units.CustomerID = "customer-0"

// outcome of one run.
type outcome struct {
	requests, refused int
	excess            int64
	bytesMean         float64 // in and out, a second and node
	bytesMax          float64
	calls             int
	sim               *sim
}

// run carries the workload out; with die, an owner of
// the largest customer dies in the middle.
func (w *workload) run(x scheme, die bool) outcome {
	s := newSim(1)
	s.limits = w.limits
	for i := range w.gates {
		s.addGate(units.Zone(rune('a'+i%3)), 1_000_000)
	}
	for range 4 {
		s.addAgent(1_000_000)
	}
	x.setUp(s)
	if die {
		g := x.owner(s, largest)
		s.at((warmUp+w.end)/2, func() {
			g.dead = true
			x.died(s, g)
		})
	}
	var o outcome
	for _, a := range w.arrivals {
		s.at(a.at, func() {
			g := s.gates[a.gate]
			if g.dead {
				g = s.gates[(a.gate+1)%len(s.gates)] // the load balancer skips it
			}
			o.requests++
			x.request(g, &call{customer: a.customer, cost: a.cost, used: a.used, duration: a.duration, deadline: g.clock().Add(2 * clock.Second)})
		})
	}
	s.run(w.end + 5*microSecond)
	for _, n := range s.refused {
		o.refused += n
	}
	o.sim = s
	for c := range w.limits {
		o.excess = max(o.excess, s.excess(c, 1_000_000))
	}
	seconds := float64(w.end-warmUp) / float64(microSecond)
	for _, g := range s.gates {
		n := float64(g.in+g.out) / seconds
		o.bytesMean += n / float64(len(s.gates))
		o.bytesMax = max(o.bytesMax, n)
	}
	o.calls = s.calls
	return o
}

// slots is the chosen scheme.
type slots struct{}

func (slots) setUp(s *sim) { s.assign(func(*simGate) bool { return true }) }

func (slots) owner(s *sim, c units.CustomerID) *simGate {
	return s.gate(s.table.Rows[SlotsOf(c, s.limits[c])[0]].Owner)
}

func (slots) request(g *simGate, c *call) { g.request(c) }

// died is noticed after 1 s by the controller, and later on the VM list.
func (slots) died(s *sim, g *simGate) {
	s.after(microSecond, func() { s.assign(func(o *simGate) bool { return !o.dead }) })
	s.after(5*microSecond, func() { g.unlisted = true })
}

// begin starts a request without a permit, for the schemes compared with; done is
// called at the gateway.
func (g *simGate) begin(c *call, done func()) {
	a := g.s.agents[g.s.rnd.IntN(len(g.s.agents))]
	g.send(&a.process, func() {
		g.s.starts = append(g.s.starts, start{at: g.s.now, customer: c.customer, used: c.used})
		g.s.served++
		a.later(c.duration, func() { a.send(&g.process, done) })
	})
}

// query is scheme (c): one owner for each customer, asked for each request.
type query struct {
	owners map[units.CustomerID]*simGate
	bucket map[units.CustomerID]*Bucket
}

func (q *query) setUp(s *sim) {
	q.owners = make(map[units.CustomerID]*simGate)
	q.bucket = make(map[units.CustomerID]*Bucket)
	for c, l := range s.limits {
		g := s.gates[int(SlotsOf(c, s.limits[c])[0])*7%len(s.gates)]
		q.owners[c] = g
		q.bucket[c] = &Bucket{Share: l.part(0, 1), filled: g.clock()}
	}
}

func (q *query) owner(_ *sim, c units.CustomerID) *simGate { return q.owners[c] }

func (q *query) died(s *sim, g *simGate) {
	for c, o := range q.owners {
		if o != g {
			continue
		}
		// The new owner starts empty, after the same detection and acknowledgements.
		next := s.gates[(slices.Index(s.gates, g)+1)%len(s.gates)]
		s.after(microSecond+10*microMilli, func() {
			l := s.limits[c]
			q.owners[c] = next
			q.bucket[c] = &Bucket{Share: l.part(0, 1), filled: next.clock()}
			s.calls += 2
		})
	}
}

func (q *query) request(g *simGate, c *call) {
	o := q.owners[c.customer]
	if o.dead {
		if g.clock().After(c.deadline) {
			g.s.refused[units.RateUnavailable]++
			return
		}
		g.later(50*microMilli, func() { q.request(g, c) })
		return
	}
	ask := Acquire{ID: 1 << 20, Slot: SlotsOf(c.customer, g.s.limits[c.customer])[0], Epoch: 1, Customer: c.customer, Tokens: c.cost}
	g.sendFrame(&o.process, ask.Frame(), func() {
		b := q.bucket[c.customer]
		n, wait := b.Take(o.clock(), c.cost)
		if n < c.cost {
			b.Return(o.clock(), n)
			n = 0
		}
		answer := Grant{ID: ask.ID, Tokens: n, Wait: wait, Level: b.Level(o.clock())}
		o.sendFrame(&g.process, answer.Frame(), func() {
			if n == 0 {
				g.s.refused[units.RateExceeded]++
				return
			}
			g.later(micro(wait)*microMilli, func() { q.start(g, o, b, c) })
		})
	})
}

func (q *query) start(g, o *simGate, b *Bucket, c *call) {
	var mark StartSeq
	told := GrantReport{Grant: 1 << 20, Started: c.cost}
	g.sendFrame(&o.process, Settle{Reports: []GrantReport{told}}.Frame(), func() { mark = b.Start(o.clock(), c.cost) })
	g.begin(c, func() {
		told.Unused, told.Final = c.cost-c.used, true
		g.sendFrame(&o.process, Settle{Reports: []GrantReport{told}}.Frame(), func() { b.Refund(o.clock(), mark, told.Unused) })
	})
}

// shares is scheme (b): each gateway has a share of rate and burst, rebalanced
// every second by the demand of the last two seconds.
type shares struct {
	buckets map[*simGate]map[units.CustomerID]*Bucket
	demand  map[*simGate]map[units.CustomerID]float64
}

func (x *shares) setUp(s *sim) {
	x.buckets = make(map[*simGate]map[units.CustomerID]*Bucket)
	x.demand = make(map[*simGate]map[units.CustomerID]float64)
	n := milli(len(s.gates))
	for _, g := range s.gates {
		x.buckets[g] = make(map[units.CustomerID]*Bucket)
		x.demand[g] = make(map[units.CustomerID]float64)
		for c, l := range s.limits {
			x.buckets[g][c] = &Bucket{Share: Share{rate: milli(l.Rate) / n, burst: toMilli(l.Burst) / n}, filled: g.clock()}
		}
	}
	s.gates[0].every(microSecond, func() { x.rebalance(s) })
}

func (x *shares) owner(s *sim, _ units.CustomerID) *simGate { return s.gates[1] }

func (x *shares) died(*sim, *simGate) {}

func (x *shares) rebalance(s *sim) {
	for c, l := range s.limits {
		var total float64
		for _, g := range s.gates {
			total += x.demand[g][c]
		}
		for _, g := range s.gates {
			// A tenth is kept for gateways without demand.
			part := 0.1 / float64(len(s.gates))
			if total > 0 {
				part += 0.9 * x.demand[g][c] / total
			} else {
				part *= 10
			}
			if g.dead {
				part = 0
			}
			if x.demand[g][c] > 0 {
				g.send(&s.gates[0].process, func() {})
			}
			x.demand[g][c] /= 2
			x.move(s, g, c, milli(part*float64(l.Rate)*0.999), milli(part*float64(toMilli(l.Burst))*0.999))
		}
	}
}

// move changes a share: smaller ones first, larger ones after all have shrunk.
func (x *shares) move(s *sim, g *simGate, c units.CustomerID, rate, burst milli) {
	b := x.buckets[g][c]
	if rate == b.rate && burst == b.burst {
		return
	}
	report := BucketTransfer{Slot: SlotsOf(c, s.limits[c])[0], Customer: c, Level: units.Tokens(burst / milliPerToken), Reserved: units.Tokens(rate)}
	wait := micro(0)
	if burst > b.burst {
		wait = 20 * microMilli
	}
	g.sendFrame(&s.gates[0].process, report.Frame(), func() {})
	s.gates[0].later(wait, func() {
		s.gates[0].sendFrame(&g.process, report.Frame(), func() {
			b.refill(g.clock())
			b.rate, b.burst = rate, burst
			b.refill(g.clock())
			b.mark++
			b.peaks.queue = append(b.peaks.queue[:0], peak{mark: b.mark, fill: burst})
		})
	})
}

func (x *shares) request(g *simGate, c *call) {
	x.demand[g][c.customer] += float64(c.cost)
	b := x.buckets[g][c.customer]
	n, wait := b.Take(g.clock(), c.cost)
	if n < c.cost {
		b.Return(g.clock(), n)
		g.s.refused[units.RateExceeded]++
		return
	}
	g.later(micro(wait)*microMilli, func() {
		mark := b.Start(g.clock(), c.cost)
		g.begin(c, func() { b.Refund(g.clock(), mark, c.cost-c.used) })
	})
}
