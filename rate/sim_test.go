package rate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// simTime is true time in microseconds. The simulated processes see clocks that drift and are
// rounded to milliseconds.
type simTime int64

const (
	simMillisecond simTime = 1000
	simSecond      simTime = 1000 * simMillisecond
)

type event struct {
	at  simTime
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

// sim simulates clients, owners and fences in several processes with message delays.
type sim struct {
	rnd           *rand.Rand
	now           simTime
	seq           int
	queue         events
	gateways      []*simGateway
	agents        []*simAgent
	limits        map[units.CustomerID]Limit
	table         *SlotTable
	storeDown     bool
	storeCalls    int // to the store
	faults        faults
	drift         int64   // largest deviation of clocks, in millionths
	oneWayDelay   simTime // of messages
	jitter        simTime
	callDelay     simTime // largest delay between a reservation and the Call
	lossRate      float64
	duplicateRate float64
	pingInterval  simTime
	pingDelay     simTime // delay of pings, which carry the table to agents
	starts        []startedRequest
	refused       map[units.Code]int
	served        int
	requests      int
}

// startedRequest is a request that an agent started.
type startedRequest struct {
	at       simTime
	customer units.CustomerID
	used     units.Tokens
}

func newSim(seed uint64) *sim {
	return &sim{
		rnd:          rand.New(rand.NewPCG(seed, 1)),
		now:          simSecond,
		table:        &SlotTable{},
		limits:       make(map[units.CustomerID]Limit),
		oneWayDelay:  1500,
		pingInterval: simSecond,
		refused:      make(map[units.Code]int),
	}
}

func (s *sim) at(t simTime, f func()) {
	s.seq++
	heap.Push(&s.queue, event{at: max(t, s.now), seq: s.seq, run: f})
}

func (s *sim) after(d simTime, f func()) { s.at(s.now+d, f) }

func (s *sim) run(until simTime) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = until
}

// process is a simulated process, which may die, freeze or be partitioned.
type process struct {
	s                 *sim
	clockPPM          int64 // rate of the clock in millionths of true time
	offset            simTime
	dead              bool
	partitioned       bool
	frozenUntil       simTime
	deferred          []func()
	bytesIn, bytesOut int // size of the messages
}

func (p *process) clock() clock.Time {
	return clock.Time((p.s.now*simTime(p.clockPPM)/1_000_000 + p.offset) / simMillisecond)
}

// do runs f, after the end of a freeze if the process is frozen, or never if it is dead.
func (p *process) do(f func()) {
	switch {
	case p.dead:
	case p.s.now < p.frozenUntil:
		p.deferred = append(p.deferred, f)
	default:
		f()
	}
}

func (p *process) freeze(d simTime) {
	p.frozenUntil = p.s.now + d
	p.s.at(p.frozenUntil, func() {
		todo := p.deferred
		p.deferred = nil
		for _, f := range todo {
			p.do(f)
		}
	})
}

func (p *process) doAfter(d simTime, f func()) { p.s.after(d, func() { p.do(f) }) }

// every runs f at intervals for the lifetime of the process.
func (p *process) every(d simTime, f func()) {
	p.doAfter(d, func() {
		f()
		p.every(d, f)
	})
}

func (p *process) send(to *process, f func()) { p.sendFrame(to, nil, f) }

func (p *process) sendAfter(d simTime, to *process, f func()) {
	p.doAfter(d, func() { p.send(to, f) })
}

func (p *process) sendFrame(to *process, m *wire.Frame, f func()) {
	s := p.s
	if m != nil {
		n := wire.FrameSize(m)
		p.bytesOut += n
		to.bytesIn += n
	}
	if p.partitioned || to.partitioned || p.dead {
		return
	}
	for range 2 {
		if s.lossRate == 0 || s.rnd.Float64() >= s.lossRate {
			d := s.oneWayDelay
			if s.jitter > 0 {
				d += simTime(s.rnd.Int64N(int64(s.jitter)))
			}
			to.doAfter(d, f)
		}
		if s.duplicateRate == 0 || s.rnd.Float64() >= s.duplicateRate {
			break
		}
	}
}

// simGateway is a gateway with its owner and its client.
type simGateway struct {
	process
	id               units.VMID
	zone             units.Zone
	unlisted         bool
	storeUnreachable bool // the gateway can't reach the store
	owner            *Owner
	client           *Client
	sessions         map[*simAgent]*session
	pending          map[RequestID]*call
	tableReadAt      clock.Time
	timer            clock.Time
}

// session is a gateway's connection to one incarnation of an agent, opened at openedAt.
type session struct {
	incarnation int
	openedAt    clock.Time
	agentTime   ClockSample
}

// call is a request of a customer at a gateway.
type call struct {
	customer units.CustomerID
	cost     units.Tokens
	used     units.Tokens
	duration simTime
	deadline clock.Time
	attempts int
}

// simAgent is an agent with its fence.
type simAgent struct {
	process
	id          units.UpstreamID
	fence       *Fence
	incarnation int
}

func (s *sim) addGateway(zone units.Zone, clockPPM int64) *simGateway {
	n := len(s.gateways)
	g := &simGateway{id: units.VMID(fmt.Sprintf("gw-%03d", n)), zone: zone}
	g.process = process{s: s, clockPPM: clockPPM, offset: simTime(s.rnd.Int64N(1000)) * simSecond}
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
	s.gateways = append(s.gateways, g)
	g.every(100*simMillisecond, func() { g.owner.Tick(g.clock()) })
	g.every(500*simMillisecond, g.readStore)
	g.every(s.pingInterval, g.ping)
	return g
}

func (g *simGateway) setLimit(c units.CustomerID, l Limit) {
	g.owner.SetLimit(g.clock(), c, l)
	g.client.SetLimit(g.clock(), c, l)
	g.drainClient()
}

func (s *sim) addAgent(clockPPM int64) *simAgent {
	a := &simAgent{id: units.UpstreamID(fmt.Sprintf("agent-%d", len(s.agents)))}
	a.process = process{s: s, clockPPM: clockPPM, offset: simTime(s.rnd.Int64N(1000)) * simSecond}
	s.agents = append(s.agents, a)
	a.restart()
	return a
}

func (a *simAgent) restart() {
	a.incarnation++
	a.fence = NewFence()
	a.fence.faults = a.s.faults
}

// assign simulates the controller, which writes a table for the listed gateways for which live
// returns true.
func (s *sim) assign(live func(*simGateway) bool) {
	if s.storeDown {
		return
	}
	var gs []Gateway
	for _, g := range s.gateways {
		if !g.unlisted && live(g) {
			gs = append(gs, Gateway{ID: g.id, Zone: g.zone})
		}
	}
	t := s.table.Assign(gs)
	if t == s.table {
		return
	}
	s.storeCalls += 2
	s.table = t
	for _, g := range s.gateways {
		g.doAfter(s.oneWayDelay+simTime(s.rnd.Int64N(int64(s.jitter)+1)), g.readStore)
	}
}

// readStore reads the table and the VM list.
func (g *simGateway) readStore() {
	s := g.s
	requestedAt := g.clock()
	if g.partitioned || g.storeUnreachable {
		return
	}
	var agents []units.UpstreamID
	var gateways []units.VMID
	for _, a := range s.agents {
		agents = append(agents, a.id)
	}
	for _, o := range s.gateways {
		if !o.unlisted {
			gateways = append(gateways, o.id)
		}
	}
	g.doAfter(2*s.oneWayDelay, func() { g.owner.SetFleet(g.clock(), requestedAt, agents, gateways) })
	if s.storeDown {
		return
	}
	t := s.table
	g.doAfter(2*s.oneWayDelay, func() {
		g.tableReadAt = requestedAt
		g.updateTable(t)
	})
}

func (g *simGateway) updateTable(t *SlotTable) {
	newer := t.Version > g.client.table.Version
	for _, transfer := range g.owner.UpdateTable(g.clock(), t) {
		to := g.s.gateway(t.Rows[transfer.Slot].Owner)
		g.sendFrame(&to.process, transfer.Frame(), func() { to.owner.RestoreBucket(to.clock(), transfer) })
	}
	g.client.UpdateTable(g.clock(), t)
	g.drainClient()
	if newer {
		g.ping()
	}
}

func (s *sim) gateway(id units.VMID) *simGateway {
	var n int
	_, _ = fmt.Sscanf(string(id), "gw-%d", &n)
	return s.gateways[n]
}

// ping exchanges table versions with the agents and samples their clocks.
func (g *simGateway) ping() {
	s := g.s
	for _, a := range s.agents {
		x := g.sessions[a]
		if x == nil || x.incarnation != a.incarnation {
			x = &session{incarnation: a.incarnation, openedAt: g.clock()}
			g.sessions[a] = x
		}
		t, current := g.client.table, g.tableReadAt.After(x.openedAt)
		g.sendAfter(s.pingDelay, &a.process, func() {
			if x.incarnation != a.incarnation {
				return
			}
			version, agentTime := a.fence.UpdateTable(t, current), a.clock()
			a.send(&g.process, func() {
				x.agentTime = NewClockSample(g.clock(), agentTime)
				g.owner.Ack(g.clock(), a.id, version)
			})
		})
	}
}

func (g *simGateway) request(c *call) {
	s := g.s
	s.requests++
	id := RequestID(s.requests)
	g.pending[id] = c
	g.client.Request(g.clock(), Request{ID: id, Customer: c.customer, Cost: c.cost, Deadline: c.deadline})
	g.drainClient()
}

// drainClient sends the client's messages, applies its decisions and sets the timer for its
// next Tick.
func (g *simGateway) drainClient() {
	for {
		messages, decisions := g.client.TakeMessages(), g.client.TakeDecisions()
		if len(messages)+len(decisions) == 0 {
			break
		}
		for _, m := range messages {
			g.deliver(m)
		}
		for _, v := range decisions {
			g.handleDecision(v)
		}
	}
	next := g.client.NextTick()
	if next >= never || next == g.timer {
		return
	}
	g.timer = next
	// The clock of the process may be slow.
	g.doAfter(max(simTime(next.Sub(g.clock()))*simMillisecond*1_000_000/simTime(g.clockPPM), 500), func() {
		if g.timer != next {
			return
		}
		g.timer = 0
		g.client.Tick(g.clock())
		g.drainClient()
	})
}

func (g *simGateway) deliver(m Envelope) {
	to := g.s.gateway(m.To)
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
				g.drainClient()
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

func (g *simGateway) handleDecision(v Decision) {
	s := g.s
	c := g.pending[v.ID]
	if v.Code != "" {
		delete(g.pending, v.ID)
		s.refused[v.Code]++
		return
	}
	a := s.agents[s.rnd.IntN(len(s.agents))]
	x := g.sessions[a]
	if x == nil || !x.agentTime.Valid() {
		g.handleRefusal(v.ID, units.PermitStale)
		return
	}
	p := v.Reservation.Permit(x.agentTime)
	incarnation := x.incarnation
	attempt := units.AttemptID(fmt.Sprint(v.ID))
	g.doAfter(100+simTime(s.rnd.Int64N(int64(s.callDelay+1))), func() {
		g.send(&a.process, func() {
			if a.incarnation == incarnation {
				a.call(g, v.ID, attempt, c, p)
			}
		})
	})
	g.doAfter(c.duration+3*simSecond, func() {
		delete(g.pending, v.ID)
		g.client.FinishUnknown(g.clock(), v.ID)
		g.drainClient()
	})
}

func (a *simAgent) call(g *simGateway, id RequestID, attempt units.AttemptID, c *call, p Permit) {
	code := a.fence.Admit(a.clock(), attempt, p, c.cost)
	if code == units.InProgress {
		return
	}
	if code != "" {
		a.send(&g.process, func() { g.handleRefusal(id, code) })
		return
	}
	a.s.starts = append(a.s.starts, startedRequest{at: a.s.now, customer: c.customer, used: c.used})
	a.s.served++
	a.send(&g.process, func() {
		g.client.Started(g.clock(), id)
		g.drainClient()
	})
	a.doAfter(c.duration, func() {
		a.send(&g.process, func() {
			delete(g.pending, id)
			g.client.Finish(g.clock(), id, c.used)
			g.drainClient()
		})
	})
}

func (g *simGateway) handleRefusal(id RequestID, code units.Code) {
	c := g.pending[id]
	if c == nil {
		return
	}
	delete(g.pending, id)
	g.client.Return(g.clock(), id)
	if c.attempts++; c.attempts <= 3 && g.clock().Before(c.deadline) {
		g.request(c)
		return
	}
	g.s.refused[code]++
	g.drainClient()
}

// excess returns by how much the starts exceed rate x window + burst in the worst window, in
// millionths of a token. The backlog of a queue that drains at the rate is the maximum over
// all windows that end at that time.
func excess(starts []startedRequest, l Limit, ppm int64) int64 {
	var backlog, maxExcess int64
	var last simTime
	maxExcess = -int64(l.Burst) * 1_000_000
	for _, x := range starts {
		backlog -= int64(x.at-last) * int64(l.Rate) * ppm / 1_000_000
		backlog = max(backlog, 0) + int64(x.used)*1_000_000
		last = x.at
		maxExcess = max(maxExcess, backlog-int64(l.Burst)*1_000_000)
	}
	return maxExcess
}

// excess returns the excess of one customer.
func (s *sim) excess(c units.CustomerID, ppm int64) int64 {
	var starts []startedRequest
	for _, x := range s.starts {
		if x.customer == c {
			starts = append(starts, x)
		}
	}
	return excess(starts, s.limits[c], ppm)
}
