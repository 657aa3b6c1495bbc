package rate

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// size is the number of gateways and customers of a fleet, with its load.
type size struct {
	gateways, customers int
	perSecond           float64
	// load is the demand relative to the rates, before the reference bucket removes requests
	// that do not conform.
	load float64
}

var (
	today  = size{gateways: 4, customers: 5, perSecond: 40, load: 0.8}
	future = size{gateways: 320, customers: 200, perSecond: 2900, load: 0.8}
)

const (
	warmUp       = 9 * simSecond // buckets start empty and fill
	burstSeconds = 4             // burst, in seconds of the rate
	costMax      = 2000
	costMean     = 1100
)

// arrival is a request at a gateway.
type arrival struct {
	at       simTime
	gateway  int
	customer units.CustomerID
	cost     units.Tokens
	used     units.Tokens
	duration simTime
}

type workload struct {
	size
	limits   map[units.CustomerID]Limit
	arrivals []arrival
	end      simTime
}

// newWorkload returns requests that a single bucket per customer would admit. The customers'
// shares of the load fall as 1/n. Each customer sends in phases, mostly through one gateway,
// which changes with each phase.
func newWorkload(seed uint64, z size, span simTime) *workload {
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
		w.limits[c] = Limit{Rate: tokens, Burst: max(burstSeconds*tokens, 4*costMax)}
		w.addCustomer(r, c, perSecond)
	}
	slices.SortStableFunc(w.arrivals, func(x, y arrival) int { return int(x.at - y.at) })
	return w
}

// addCustomer adds the arrivals of a customer that its reference bucket admits.
func (w *workload) addCustomer(r *rand.Rand, c units.CustomerID, perSecond float64) {
	l := w.limits[c]
	reference := &Bucket{Share: l.slotShare(0, 1), level: toMilliTokens(l.Burst)}
	type settlement struct {
		at     simTime
		seq    StartSeq
		unused units.Tokens
	}
	var unsettled []settlement
	// The load is twice the mean in one half of the phases and zero in the other.
	phase, sending, homeGateway := warmUp, true, 0
	for at := warmUp; at < w.end; {
		at += simTime(r.ExpFloat64() / (2 * perSecond) * float64(simSecond))
		for at >= phase {
			sending = !sending
			homeGateway = r.IntN(w.gateways)
			length := simSecond + simTime(r.Int64N(int64(2*simSecond)))
			if !sending {
				at = max(at, phase+length)
			}
			phase += length
		}
		x := arrival{
			at: at, gateway: homeGateway, customer: c,
			duration: simSecond/5 + simTime(r.ExpFloat64()*float64(simSecond)),
		}
		if r.Float64() < 0.3 {
			x.gateway = r.IntN(w.gateways)
		}
		x.cost = units.Tokens(200 + r.IntN(costMax-200))
		x.used = units.Tokens(float64(x.cost) * (0.3 + 0.7*r.Float64()))
		slices.SortFunc(unsettled, func(x, y settlement) int { return int(x.at - y.at) })
		for len(unsettled) > 0 && unsettled[0].at <= at {
			reference.Refund(clock.Time(unsettled[0].at/simMillisecond), unsettled[0].seq, unsettled[0].unused)
			unsettled = unsettled[1:]
		}
		now := clock.Time(at / simMillisecond)
		if reference.Level(now) < x.cost {
			continue
		}
		reference.Take(now, x.cost)
		unsettled = append(unsettled, settlement{
			at: at + x.duration, seq: reference.Start(now, x.cost), unused: x.cost - x.used,
		})
		w.arrivals = append(w.arrivals, x)
	}
}

// scheme is a rate limiter in a sim.
type scheme interface {
	setUp(s *sim)
	request(g *simGateway, c *call)
	owner(s *sim, c units.CustomerID) *simGateway
	gatewayDied(s *sim, g *simGateway)
}

const largestCustomer units.CustomerID = "customer-0"

// outcome is the result of one run.
type outcome struct {
	requests, refused int
	excess            int64
	bytesMean         float64 // received and sent, per second and node
	bytesMax          float64
	storeCalls        int
	sim               *sim
}

// run simulates the workload. With ownerDies, an owner of the largest customer dies in the
// middle.
func (w *workload) run(x scheme, ownerDies bool) outcome {
	s := newSim(1)
	s.limits = w.limits
	for i := range w.gateways {
		s.addGateway(units.Zone(rune('a'+i%3)), 1_000_000)
	}
	for range 4 {
		s.addAgent(1_000_000)
	}
	x.setUp(s)
	if ownerDies {
		g := x.owner(s, largestCustomer)
		s.at((warmUp+w.end)/2, func() {
			g.dead = true
			x.gatewayDied(s, g)
		})
	}
	var o outcome
	for _, a := range w.arrivals {
		s.at(a.at, func() {
			g := s.gateways[a.gateway]
			if g.dead {
				g = s.gateways[(a.gateway+1)%len(s.gateways)] // the load balancer skips it
			}
			o.requests++
			x.request(g, &call{
				customer: a.customer, cost: a.cost, used: a.used, duration: a.duration,
				deadline: g.clock().Add(2 * clock.Second),
			})
		})
	}
	s.run(w.end + 5*simSecond)
	for _, n := range s.refused {
		o.refused += n
	}
	o.sim = s
	for c := range w.limits {
		o.excess = max(o.excess, s.excess(c, 1_000_000))
	}
	seconds := float64(w.end-warmUp) / float64(simSecond)
	for _, g := range s.gateways {
		n := float64(g.bytesIn+g.bytesOut) / seconds
		o.bytesMean += n / float64(len(s.gateways))
		o.bytesMax = max(o.bytesMax, n)
	}
	o.storeCalls = s.storeCalls
	return o
}

// slotScheme is the implemented scheme.
type slotScheme struct{}

func (slotScheme) setUp(s *sim) { s.assign(func(*simGateway) bool { return true }) }

func (slotScheme) owner(s *sim, c units.CustomerID) *simGateway {
	return s.gateway(s.table.Rows[SlotsOf(c, s.limits[c])[0]].Owner)
}

func (slotScheme) request(g *simGateway, c *call) { g.request(c) }

// gatewayDied simulates detection by the controller after 1 s, and by the VM list later.
func (slotScheme) gatewayDied(s *sim, g *simGateway) {
	s.after(simSecond, func() { s.assign(func(o *simGateway) bool { return !o.dead }) })
	s.after(5*simSecond, func() { g.unlisted = true })
}

// startWithoutPermit starts a request for the schemes without permits. It calls done at the
// gateway when the request ends.
func (g *simGateway) startWithoutPermit(c *call, done func()) {
	a := g.s.agents[g.s.rnd.IntN(len(g.s.agents))]
	g.send(&a.process, func() {
		g.s.starts = append(g.s.starts, startedRequest{at: g.s.now, customer: c.customer, used: c.used})
		g.s.served++
		a.doAfter(c.duration, func() { a.send(&g.process, done) })
	})
}

// queryScheme is an alternative: one owner for each customer, queried for each request.
type queryScheme struct {
	owners  map[units.CustomerID]*simGateway
	buckets map[units.CustomerID]*Bucket
}

func (q *queryScheme) setUp(s *sim) {
	q.owners = make(map[units.CustomerID]*simGateway)
	q.buckets = make(map[units.CustomerID]*Bucket)
	for c, l := range s.limits {
		g := s.gateways[int(SlotsOf(c, s.limits[c])[0])*7%len(s.gateways)]
		q.owners[c] = g
		q.buckets[c] = &Bucket{Share: l.slotShare(0, 1), refilledTo: g.clock()}
	}
}

func (q *queryScheme) owner(_ *sim, c units.CustomerID) *simGateway { return q.owners[c] }

func (q *queryScheme) gatewayDied(s *sim, g *simGateway) {
	for c, o := range q.owners {
		if o != g {
			continue
		}
		// The new owner starts with an empty bucket, after the same detection and
		// acknowledgments.
		next := s.gateways[(slices.Index(s.gateways, g)+1)%len(s.gateways)]
		s.after(simSecond+10*simMillisecond, func() {
			l := s.limits[c]
			q.owners[c] = next
			q.buckets[c] = &Bucket{Share: l.slotShare(0, 1), refilledTo: next.clock()}
			s.storeCalls += 2
		})
	}
}

func (q *queryScheme) request(g *simGateway, c *call) {
	o := q.owners[c.customer]
	if o.dead {
		if g.clock().After(c.deadline) {
			g.s.refused[units.RateUnavailable]++
			return
		}
		g.doAfter(50*simMillisecond, func() { q.request(g, c) })
		return
	}
	acquire := Acquire{
		ID: 1 << 20, Slot: SlotsOf(c.customer, g.s.limits[c.customer])[0], Epoch: 1,
		Customer: c.customer, Tokens: c.cost,
	}
	g.sendFrame(&o.process, acquire.Frame(), func() {
		b := q.buckets[c.customer]
		n, wait := b.Take(o.clock(), c.cost)
		if n < c.cost {
			b.Return(o.clock(), n)
			n = 0
		}
		grant := Grant{ID: acquire.ID, Tokens: n, Wait: wait, Level: b.Level(o.clock())}
		o.sendFrame(&g.process, grant.Frame(), func() {
			if n == 0 {
				g.s.refused[units.RateExceeded]++
				return
			}
			g.doAfter(simTime(wait)*simMillisecond, func() { q.start(g, o, b, c) })
		})
	})
}

func (q *queryScheme) start(g, o *simGateway, b *Bucket, c *call) {
	var seq StartSeq
	report := GrantReport{Grant: 1 << 20, Started: c.cost}
	g.sendFrame(&o.process, Settle{Reports: []GrantReport{report}}.Frame(), func() { seq = b.Start(o.clock(), c.cost) })
	g.startWithoutPermit(c, func() {
		report.Unused, report.Final = c.cost-c.used, true
		g.sendFrame(&o.process, Settle{Reports: []GrantReport{report}}.Frame(), func() { b.Refund(o.clock(), seq, report.Unused) })
	})
}

// shareScheme is an alternative: each gateway has a share of rate and burst, rebalanced every
// second by the demand of the last two seconds.
type shareScheme struct {
	buckets map[*simGateway]map[units.CustomerID]*Bucket
	demand  map[*simGateway]map[units.CustomerID]float64
}

func (x *shareScheme) setUp(s *sim) {
	x.buckets = make(map[*simGateway]map[units.CustomerID]*Bucket)
	x.demand = make(map[*simGateway]map[units.CustomerID]float64)
	n := milliTokens(len(s.gateways))
	for _, g := range s.gateways {
		x.buckets[g] = make(map[units.CustomerID]*Bucket)
		x.demand[g] = make(map[units.CustomerID]float64)
		for c, l := range s.limits {
			x.buckets[g][c] = &Bucket{
				Share:      Share{rate: milliTokens(l.Rate) / n, burst: toMilliTokens(l.Burst) / n},
				refilledTo: g.clock(),
			}
		}
	}
	s.gateways[0].every(simSecond, func() { x.rebalance(s) })
}

func (x *shareScheme) owner(s *sim, _ units.CustomerID) *simGateway { return s.gateways[1] }

func (x *shareScheme) gatewayDied(*sim, *simGateway) {}

func (x *shareScheme) rebalance(s *sim) {
	for c, l := range s.limits {
		var total float64
		for _, g := range s.gateways {
			total += x.demand[g][c]
		}
		for _, g := range s.gateways {
			// A tenth is kept for gateways without demand.
			fraction := 0.1 / float64(len(s.gateways))
			if total > 0 {
				fraction += 0.9 * x.demand[g][c] / total
			} else {
				fraction *= 10
			}
			if g.dead {
				fraction = 0
			}
			if x.demand[g][c] > 0 {
				g.send(&s.gateways[0].process, func() {})
			}
			x.demand[g][c] /= 2
			x.setShare(
				s, g, c, milliTokens(fraction*float64(l.Rate)*0.999),
				milliTokens(fraction*float64(toMilliTokens(l.Burst))*0.999),
			)
		}
	}
}

// setShare changes a share: reductions take effect first, increases once all gateways have
// reduced theirs.
func (x *shareScheme) setShare(s *sim, g *simGateway, c units.CustomerID, rate, burst milliTokens) {
	b := x.buckets[g][c]
	if rate == b.rate && burst == b.burst {
		return
	}
	report := BucketTransfer{
		Slot: SlotsOf(c, s.limits[c])[0], Customer: c,
		Level: units.Tokens(burst / milliPerToken), Reserved: units.Tokens(rate),
	}
	wait := simTime(0)
	if burst > b.burst {
		wait = 20 * simMillisecond
	}
	g.sendFrame(&s.gateways[0].process, report.Frame(), func() {})
	s.gateways[0].doAfter(wait, func() {
		s.gateways[0].sendFrame(&g.process, report.Frame(), func() {
			b.refill(g.clock())
			b.rate, b.burst = rate, burst
			b.refill(g.clock())
			b.seq++
			b.peaks.entries = append(b.peaks.entries[:0], peak{seq: b.seq, fill: burst})
		})
	})
}

func (x *shareScheme) request(g *simGateway, c *call) {
	x.demand[g][c.customer] += float64(c.cost)
	b := x.buckets[g][c.customer]
	n, wait := b.Take(g.clock(), c.cost)
	if n < c.cost {
		b.Return(g.clock(), n)
		g.s.refused[units.RateExceeded]++
		return
	}
	g.doAfter(simTime(wait)*simMillisecond, func() {
		seq := b.Start(g.clock(), c.cost)
		g.startWithoutPermit(c, func() { b.Refund(g.clock(), seq, c.cost-c.used) })
	})
}
