package rate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// micro is true time in microseconds; the processes see rounded and drifting
// clocks.
type micro int64

const (
	microMilli  micro = 1000
	microSecond micro = 1000 * microMilli
)

type event struct {
	at  micro
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// sim runs the pieces of the package in several processes with message delays.
type sim struct {
	rnd      *rand.Rand
	now      micro
	seq      int
	queue    events
	gates    []*simGate
	agents   []*simAgent
	limits   map[units.CustomerID]Limit
	table    *SlotTable
	storeOut bool
	calls    int // to the store
	faults   faults
	drift    int64 // of clocks, in millionths
	delay    micro // one way
	jitter   micro
	late     micro // largest delay between a ticket and the Call
	loss     float64
	repeat   float64
	pinging  micro
	slow     micro // delay of pings, which carry the table to agents
	starts   []start
	refused  map[units.Code]int
	served   int
	requests int
}

// start is a request that an agent started.
type start struct {
	at       micro
	customer units.CustomerID
	used     units.Tokens
}

func newSim(seed uint64) *sim {
	return &sim{
		rnd:     rand.New(rand.NewPCG(seed, 1)),
		now:     microSecond,
		table:   &SlotTable{},
		limits:  make(map[units.CustomerID]Limit),
		delay:   1500,
		pinging: microSecond,
		refused: make(map[units.Code]int),
	}
}

func (s *sim) at(t micro, f func()) {
	s.seq++
	heap.Push(&s.queue, event{at: max(t, s.now), seq: s.seq, run: f})
}

func (s *sim) after(d micro, f func()) { s.at(s.now+d, f) }

func (s *sim) run(until micro) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = until
}

// process may die, freeze or be cut off.
type process struct {
	s       *sim
	ppm     int64 // rate of the clock
	offset  micro
	dead    bool
	cut     bool
	frozen  micro
	backlog []func()
	in, out int // bytes
}

func (p *process) clock() clock.Time {
	return clock.Time((p.s.now*micro(p.ppm)/1_000_000 + p.offset) / microMilli)
}

func (p *process) do(f func()) {
	switch {
	case p.dead:
	case p.s.now < p.frozen:
		p.backlog = append(p.backlog, f)
	default:
		f()
	}
}

func (p *process) freeze(d micro) {
	p.frozen = p.s.now + d
	p.s.at(p.frozen, func() {
		todo := p.backlog
		p.backlog = nil
		for _, f := range todo {
			p.do(f)
		}
	})
}

func (p *process) later(d micro, f func()) { p.s.after(d, func() { p.do(f) }) }

// every runs f at intervals for the life of the process.
func (p *process) every(d micro, f func()) {
	p.later(d, func() {
		f()
		p.every(d, f)
	})
}

func (p *process) send(to *process, f func()) { p.sendFrame(to, nil, f) }

func (p *process) sendLater(d micro, to *process, f func()) {
	p.later(d, func() { p.send(to, f) })
}

func (p *process) sendFrame(to *process, m *wire.Frame, f func()) {
	s := p.s
	if m != nil {
		n := wire.Size(m)
		p.out += n
		to.in += n
	}
	if p.cut || to.cut || p.dead {
		return
	}
	for range 2 {
		if s.loss == 0 || s.rnd.Float64() >= s.loss {
			d := s.delay
			if s.jitter > 0 {
				d += micro(s.rnd.Int64N(int64(s.jitter)))
			}
			to.later(d, f)
		}
		if s.repeat == 0 || s.rnd.Float64() >= s.repeat {
			break
		}
	}
}

type simGate struct {
	process
	id       units.VMID
	zone     units.Zone
	unlisted bool
	blind    bool // does not reach the store
	owner    *Owner
	client   *Client
	sessions map[*simAgent]*session
	pending  map[RequestID]*call
	readAt   clock.Time
	timer    clock.Time
}

// session is a gateway's connection to one life of an agent.
type session struct {
	life  int
	since clock.Time
	stamp ClockSample
}

type call struct {
	customer units.CustomerID
	cost     units.Tokens
	used     units.Tokens
	duration micro
	deadline clock.Time
	tries    int
}

type simAgent struct {
	process
	id    units.UpstreamID
	fence *Fence
	life  int
}

func (s *sim) addGate(zone units.Zone, ppm int64) *simGate {
	n := len(s.gates)
	g := &simGate{id: units.VMID(fmt.Sprintf("gw-%03d", n)), zone: zone}
	g.process = process{s: s, ppm: ppm, offset: micro(s.rnd.Int64N(1000)) * microSecond}
	g.owner = NewOwner(g.id)
	g.owner.faults = s.faults
	g.client = NewClient(GrantID(s.rnd.IntN(1 << 20)))
	g.client.faults = s.faults
	g.sessions = make(map[*simAgent]*session)
	g.pending = make(map[RequestID]*call)
	for c, l := range s.limits {
		g.owner.SetLimit(g.clock(), c, l)
		g.client.SetLimit(g.clock(), c, l)
	}
	s.gates = append(s.gates, g)
	g.every(100*microMilli, func() { g.owner.Tick(g.clock()) })
	g.every(500*microMilli, g.read)
	g.every(s.pinging, g.ping)
	return g
}

func (g *simGate) limit(c units.CustomerID, l Limit) {
	g.owner.SetLimit(g.clock(), c, l)
	g.client.SetLimit(g.clock(), c, l)
	g.pump()
}

func (s *sim) addAgent(ppm int64) *simAgent {
	a := &simAgent{id: units.UpstreamID(fmt.Sprintf("agent-%d", len(s.agents)))}
	a.process = process{s: s, ppm: ppm, offset: micro(s.rnd.Int64N(1000)) * microSecond}
	s.agents = append(s.agents, a)
	a.restart()
	return a
}

func (a *simAgent) restart() {
	a.life++
	a.fence = NewFence()
	a.fence.faults = a.s.faults
}

// assign is the controller: it writes a table for the gateways it believes live.
func (s *sim) assign(live func(*simGate) bool) {
	if s.storeOut {
		return
	}
	var gs []Gateway
	for _, g := range s.gates {
		if !g.unlisted && live(g) {
			gs = append(gs, Gateway{ID: g.id, Zone: g.zone})
		}
	}
	t := s.table.Assign(gs)
	if t == s.table {
		return
	}
	s.calls += 2
	s.table = t
	for _, g := range s.gates {
		g.later(s.delay+micro(s.rnd.Int64N(int64(s.jitter)+1)), g.read)
	}
}

// read fetches the table and the VM list.
func (g *simGate) read() {
	s := g.s
	begun := g.clock()
	if g.cut || g.blind {
		return
	}
	var agents []units.UpstreamID
	var gates []units.VMID
	for _, a := range s.agents {
		agents = append(agents, a.id)
	}
	for _, o := range s.gates {
		if !o.unlisted {
			gates = append(gates, o.id)
		}
	}
	g.later(2*s.delay, func() { g.owner.SetFleet(g.clock(), begun, agents, gates) })
	if s.storeOut {
		return
	}
	t := s.table
	g.later(2*s.delay, func() {
		g.readAt = begun
		g.learn(t)
	})
}

func (g *simGate) learn(t *SlotTable) {
	news := t.Version > g.client.table.Version
	for _, l := range g.owner.UpdateTable(g.clock(), t) {
		to := g.s.gate(t.Rows[l.Slot].Owner)
		g.sendFrame(&to.process, l.Frame(), func() { to.owner.RestoreBucket(to.clock(), l) })
	}
	g.client.UpdateTable(g.clock(), t)
	g.pump()
	if news {
		g.ping()
	}
}

func (s *sim) gate(id units.VMID) *simGate {
	var n int
	_, _ = fmt.Sscanf(string(id), "gw-%d", &n)
	return s.gates[n]
}

// ping compares tables with the agents and reads their clocks.
func (g *simGate) ping() {
	s := g.s
	for _, a := range s.agents {
		x := g.sessions[a]
		if x == nil || x.life != a.life {
			x = &session{life: a.life, since: g.clock()}
			g.sessions[a] = x
		}
		t, current := g.client.table, g.readAt.After(x.since)
		g.sendLater(s.slow, &a.process, func() {
			if x.life != a.life {
				return
			}
			version, stamp := a.fence.UpdateTable(t, current), a.clock()
			a.send(&g.process, func() {
				x.stamp = NewClockSample(g.clock(), stamp)
				g.owner.Ack(g.clock(), a.id, version)
			})
		})
	}
}

func (g *simGate) request(c *call) {
	s := g.s
	s.requests++
	id := RequestID(s.requests)
	g.pending[id] = c
	g.client.Request(g.clock(), Request{ID: id, Customer: c.customer, Cost: c.cost, Deadline: c.deadline})
	g.pump()
}

// pump carries out what the client wants.
func (g *simGate) pump() {
	for {
		sends, verdicts := g.client.TakeMessages(), g.client.TakeDecisions()
		if len(sends)+len(verdicts) == 0 {
			break
		}
		for _, m := range sends {
			g.deliver(m)
		}
		for _, v := range verdicts {
			g.decide(v)
		}
	}
	next := g.client.NextTick()
	if next >= never || next == g.timer {
		return
	}
	g.timer = next
	// The clock of the process may be slow.
	g.later(max(micro(next.Sub(g.clock()))*microMilli*1_000_000/micro(g.ppm), 500), func() {
		if g.timer != next {
			return
		}
		g.timer = 0
		g.client.Tick(g.clock())
		g.pump()
	})
}

func (g *simGate) deliver(m Envelope) {
	to := g.s.gate(m.To)
	switch x := m.Message.(type) {
	case Acquire:
		if to == g {
			g.client.HandleGrant(g.clock(), g.owner.Acquire(g.clock(), g.id, x))
			return
		}
		g.sendFrame(&to.process, x.Frame(), func() {
			r := to.owner.Acquire(to.clock(), g.id, x)
			to.sendFrame(&g.process, r.Frame(), func() {
				g.client.HandleGrant(g.clock(), r)
				g.pump()
			})
		})
	case Settle:
		if to == g {
			g.owner.Settle(g.clock(), g.id, x)
			return
		}
		g.sendFrame(&to.process, x.Frame(), func() { to.owner.Settle(to.clock(), g.id, x) })
	}
}

func (g *simGate) decide(v Decision) {
	s := g.s
	c := g.pending[v.ID]
	if v.Code != "" {
		delete(g.pending, v.ID)
		s.refused[v.Code]++
		return
	}
	a := s.agents[s.rnd.IntN(len(s.agents))]
	x := g.sessions[a]
	if x == nil || !x.stamp.Valid() {
		g.refusedBy(v.ID, units.PermitStale)
		return
	}
	p := v.Reservation.Permit(x.stamp)
	life := x.life
	attempt := units.AttemptID(fmt.Sprint(v.ID))
	g.later(100+micro(s.rnd.Int64N(int64(s.late+1))), func() {
		g.send(&a.process, func() {
			if a.life == life {
				a.call(g, v.ID, attempt, c, p)
			}
		})
	})
	g.later(c.duration+3*microSecond, func() {
		delete(g.pending, v.ID)
		g.client.FinishUnknown(g.clock(), v.ID)
		g.pump()
	})
}

func (a *simAgent) call(g *simGate, id RequestID, attempt units.AttemptID, c *call, p Permit) {
	code := a.fence.Admit(a.clock(), attempt, p, c.cost)
	if code == units.InProgress {
		return
	}
	if code != "" {
		a.send(&g.process, func() { g.refusedBy(id, code) })
		return
	}
	a.s.starts = append(a.s.starts, start{at: a.s.now, customer: c.customer, used: c.used})
	a.s.served++
	a.send(&g.process, func() {
		g.client.Started(g.clock(), id)
		g.pump()
	})
	a.later(c.duration, func() {
		a.send(&g.process, func() {
			delete(g.pending, id)
			g.client.Finish(g.clock(), id, c.used)
			g.pump()
		})
	})
}

func (g *simGate) refusedBy(id RequestID, code units.Code) {
	c := g.pending[id]
	if c == nil {
		return
	}
	delete(g.pending, id)
	g.client.Return(g.clock(), id)
	if c.tries++; c.tries <= 3 && g.clock().Before(c.deadline) {
		g.request(c)
		return
	}
	g.s.refused[code]++
	g.pump()
}

// excess returns by how much the starts exceed rate x window + burst in the worst
// window, in millionths of a token. The backlog of a queue that drains at the rate
// is the maximum over all windows that end now.
func excess(starts []start, l Limit, ppm int64) int64 {
	var backlog, worst int64
	var last micro
	worst = -int64(l.Burst) * 1_000_000
	for _, x := range starts {
		backlog -= int64(x.at-last) * int64(l.Rate) * ppm / 1_000_000
		backlog = max(backlog, 0) + int64(x.used)*1_000_000
		last = x.at
		worst = max(worst, backlog-int64(l.Burst)*1_000_000)
	}
	return worst
}

// excess checks the starts of one customer.
func (s *sim) excess(c units.CustomerID, ppm int64) int64 {
	var starts []start
	for _, x := range s.starts {
		if x.customer == c {
			starts = append(starts, x)
		}
	}
	return excess(starts, s.limits[c], ppm)
}
