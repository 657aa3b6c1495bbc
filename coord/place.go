package coord

import (
	"context"
	"fmt"
	"sync"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/place"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/vmlist"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// planSpan is the time between two rounds. It is a little less than a second, so
	// that a late tick of the controller does not skip a round.
	planSpan = 900 * clock.Millisecond
	// gatherSpan is how long a new controller waits for the reports of all agents;
	// without them it would load again what they have.
	gatherSpan = 3 * clock.Second
	// askSpan is the age at which the controller asks for a new report; agents send
	// one when it has changed. Older ones than freshSpan don't count.
	askSpan   = 10 * clock.Second
	freshSpan = 20 * clock.Second
	// announceSpan is the time between two announcements of the control lease, which
	// may be lost.
	announceSpan = 5 * clock.Second
	// resendSpan is when an order without a result is sent again under its id. Agents
	// carry out an order once.
	resendSpan = 3 * clock.Second
	// orderSpan is when an order without a result counts as lost.
	orderSpan = 20 * clock.Second
	// defaultSpeed, in tokens a second, stands for an upstream whose agent has not
	// measured its speed.
	defaultSpeed = units.Tokens(1000)
)

// defaultBudget applies while the configuration does not limit loads. It is what the
// smallest weight store allows.
var defaultBudget = place.Budget{Rate: 1.6, Concurrent: 6}

// placer is the LeaderTask that keeps the configured models and adapters loaded. The
// controller's goroutine owns its state; others leave news in the inbox.
type placer struct {
	coord *Coord
	inbox inbox

	fence    units.Fence
	stale    bool
	began    clock.Time
	gathered bool
	planned  clock.Time
	told     clock.Time
	planner  *place.Planner
	meter    *place.Meter
	open     map[string]*order
	issued   int
	speeds   map[units.UpstreamID]units.Tokens
	snapshot *tree.Snapshot
}

// inbox holds what the control loop has received for the controller.
type inbox struct {
	mu       sync.Mutex
	snapshot *tree.Snapshot
	demands  []demanded
	results  []result
}

type demanded struct {
	at      clock.Time
	gateway units.VMID
	message *wire.Demand
}

type result struct {
	agent   units.UpstreamID
	message *wire.OrderResult
}

// inboxLength bounds what waits while this gateway is not the controller.
const inboxLength = 4096

// order is one that has no result yet.
type order struct {
	command place.Command
	frame   *wire.Frame
	issued  clock.Time
	sent    clock.Time
}

func newPlacer(c *Coord) *placer {
	return &placer{coord: c, inbox: inbox{snapshot: tree.Empty()}}
}

// Run implements LeaderTask.
func (p *placer) Run(_ context.Context, held func() (units.Fence, bool)) error {
	fence, ok := held()
	if !ok {
		return nil
	}
	now := p.coord.clock.Now()
	if fence != p.fence {
		p.begin(now, fence)
	}
	p.read(now)
	if p.stale || now.Sub(p.planned) < planSpan {
		return nil
	}
	p.planned = now
	if now.Sub(p.told) >= announceSpan {
		p.told = now
		p.coord.post(leading{fence})
	}
	reports := p.coord.options.Reports()
	if !p.ready(now, reports) {
		return nil
	}
	for _, c := range p.planner.Plan(now, p.world(now, reports)) {
		p.issue(now, c, held)
	}
	p.resend(now, held)
	return nil
}

// begin starts a tenure of the control lease. Nothing of an earlier one is used.
func (p *placer) begin(now clock.Time, fence units.Fence) {
	p.fence, p.stale, p.began, p.gathered = fence, false, now, false
	p.planned, p.told = now.Add(-planSpan), now.Add(-announceSpan)
	p.planner = place.NewPlanner(defaultBudget)
	p.meter = place.NewMeter(now)
	p.open = map[string]*order{}
	p.issued = 0
	p.speeds = map[units.UpstreamID]units.Tokens{}
}

// ready reports whether all live agents have reported, or had the time to.
func (p *placer) ready(now clock.Time, reports []gate.LoadReport) bool {
	if p.gathered {
		return true
	}
	known := map[units.UpstreamID]bool{}
	for i := range reports {
		known[reports[i].Upstream] = fresh(now, &reports[i])
	}
	fleet := p.coord.leader.list()
	missing := fleet == nil
	if fleet != nil {
		for _, v := range fleet.VMs {
			missing = missing || v.Role == vmlist.Upstream && v.State == vmlist.Live && !known[units.UpstreamID(v.ID)]
		}
	}
	p.gathered = !missing || now.Sub(p.began) >= gatherSpan
	return p.gathered
}

func fresh(now clock.Time, r *gate.LoadReport) bool {
	return r.Alive && now.Sub(r.ReceivedAt) <= freshSpan
}

// world is what the planner sees: the configuration, the replicas whose reports are
// fresh, and the demand.
func (p *placer) world(now clock.Time, reports []gate.LoadReport) place.Input {
	l := p.snapshot.Limits()
	b := defaultBudget
	if l.WeightLoadRate > 0 {
		b.Rate = l.WeightLoadRate
	}
	if l.WeightLoadConcurrency > 0 {
		b.Concurrent = l.WeightLoadConcurrency
	}
	p.planner.SetBudget(b)
	w := place.Input{Demand: p.meter.Demand(now)}
	for _, t := range p.snapshot.Targets() {
		w.Targets = append(w.Targets, place.Target{ID: t.ID, Base: t.Base, Bytes: t.Bytes})
	}
	leaving := p.leaving()
	for i := range reports {
		r := &reports[i]
		if r.Load.MemoryTotal == 0 || len(r.Load.Service) > 0 {
			continue
		}
		if now.Sub(r.ReceivedAt) > askSpan {
			p.coord.post(ask{string(r.Upstream)})
		}
		if fresh(now, r) {
			w.Replicas = append(w.Replicas, p.replica(r, leaving[r.Upstream]))
		}
	}
	return w
}

// leaving returns the upstreams that the VM list marks.
func (p *placer) leaving() map[units.UpstreamID]bool {
	marked := map[units.UpstreamID]bool{}
	if fleet := p.coord.leader.list(); fleet != nil {
		for _, v := range fleet.VMs {
			marked[units.UpstreamID(v.ID)] = v.State == vmlist.Leaving
		}
	}
	return marked
}

func (p *placer) replica(r *gate.LoadReport, leaving bool) place.Replica {
	return place.Replica{
		ID:         r.Upstream,
		Zone:       r.Zone,
		Free:       units.Bytes(r.Load.MemoryFree),
		Capacity:   units.Bytes(r.Load.MemoryTotal),
		Throughput: p.speed(r),
		Resident:   names[units.ModelID](r.Load.Resident),
		Loading:    names[units.ModelID](r.Load.Loading),
		Usable:     !leaving && !r.Draining && !p.snapshot.UpstreamExcluded(r.Upstream) && !p.snapshot.ZoneExcluded(r.Zone),
	}
}

// speed returns the last speed that the agent measured. It measures only while
// requests wait, and reports 0 otherwise.
func (p *placer) speed(r *gate.LoadReport) units.Tokens {
	if r.Load.Speed > 0 {
		p.speeds[r.Upstream] = units.Tokens(r.Load.Speed)
	}
	if s, ok := p.speeds[r.Upstream]; ok {
		return s
	}
	return defaultSpeed
}

// issue sends a new order.
func (p *placer) issue(now clock.Time, c place.Command, held func() (units.Fence, bool)) {
	p.issued++
	o := &wire.Order{
		// Fencing numbers are used once, so the id is unique in the fleet.
		Id:     fmt.Sprintf("%d-%d", p.fence, p.issued),
		Fence:  int64(p.fence),
		Op:     string(c.Op),
		Target: string(c.Target.ID),
		Bytes:  int64(c.Target.Bytes),
		Base:   string(c.Target.Base),
	}
	if t, ok := p.snapshot.Target(c.Target.ID); ok && c.Op == place.Load {
		o.Version = t.Version
	}
	klog.Infof("coord: controller: %s %s on %s", c.Op, c.Target.ID, c.Replica)
	stats.Event("order_" + string(c.Op))
	n := &order{command: c, frame: &wire.Frame{Body: &wire.Frame_Order{Order: o}}, issued: now, sent: now}
	p.open[o.Id] = n
	p.coord.post(sendOrder{n, p.fence, held})
}

// resend repeats orders without a result, and forgets those that count as lost.
func (p *placer) resend(now clock.Time, held func() (units.Fence, bool)) {
	for id, o := range p.open {
		switch {
		case now.Sub(o.issued) >= orderSpan:
			stats.Event("order_lost")
			delete(p.open, id)
		case now.Sub(o.sent) >= resendSpan:
			stats.Event("order_repeated")
			o.sent = now
			p.coord.post(sendOrder{o, p.fence, held})
		}
	}
}

// read takes the news out of the inbox.
func (p *placer) read(now clock.Time) {
	p.inbox.mu.Lock()
	demands, results := p.inbox.demands, p.inbox.results
	p.inbox.demands, p.inbox.results = nil, nil
	p.snapshot = p.inbox.snapshot
	p.inbox.mu.Unlock()
	for _, d := range demands {
		for _, a := range d.message.Asked {
			p.meter.Add(d.at, d.gateway, units.ModelID(a.Target), units.Tokens(a.Tokens), int(a.Waiting))
		}
	}
	for _, r := range results {
		p.settle(now, r.agent, r.message)
	}
}

// settle ends an order. Answers to orders of an earlier tenure, and second answers,
// have no entry.
func (p *placer) settle(now clock.Time, from units.UpstreamID, r *wire.OrderResult) {
	o := p.open[r.Id]
	if o == nil || o.command.Replica != from {
		stats.Event("order_result_unknown")
		return
	}
	delete(p.open, r.Id)
	c := o.command
	if r.Code == "" {
		p.planner.OrderDone(now, c)
		return
	}
	// With a stale fencing number another gateway holds the lease.
	p.stale = p.stale || units.Code(r.Code) == units.FenceStale
	stats.Event("order_refused_" + r.Code)
	klog.Warningf("coord: controller: %s %s on %s failed: %s", c.Op, c.Target.ID, c.Replica, r.Code)
	p.planner.OrderFailed(now, c)
}

// result leaves the answer of an agent in the inbox.
func (p *placer) result(from units.UpstreamID, r *wire.OrderResult) {
	b := &p.inbox
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.results) < inboxLength {
		b.results = append(b.results, result{from, r})
	}
}

// demanded leaves a message of a gateway in the inbox.
func (p *placer) demanded(now clock.Time, from units.VMID, m *wire.Demand) {
	b := &p.inbox
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.demands) < inboxLength {
		b.demands = append(b.demands, demanded{now, from, m})
	}
}

func (p *placer) setSnapshot(s *tree.Snapshot) {
	p.inbox.mu.Lock()
	defer p.inbox.mu.Unlock()
	p.inbox.snapshot = s
}

// sendOrder pushes an order if the lease under which it was planned is still held.
type sendOrder struct {
	order *order
	fence units.Fence
	held  func() (units.Fence, bool)
}

func (e sendOrder) apply(s *state) {
	if fence, ok := e.held(); !ok || fence != e.fence {
		stats.Event("order_without_lease")
		return
	}
	s.push(string(e.order.command.Replica), e.order.frame)
}

// ask asks an agent for a load report.
type ask struct{ agent string }

func (e ask) apply(s *state) {
	s.push(e.agent, &wire.Frame{Body: &wire.Frame_Load{Load: &wire.Load{}}})
}
