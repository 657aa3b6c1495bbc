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
	// planInterval is the minimum interval between two planning rounds. It is a little less than
	// a second, so that a delayed tick of the leader tasks does not skip a round.
	planInterval = 900 * clock.Millisecond
	// reportWait is how long a new controller waits for the load reports of all agents. Without
	// a report it would load models again that are already resident.
	reportWait = 3 * clock.Second
	// requestReportAge is the age of a load report at which the controller requests a new one:
	// agents send reports only when they change. Reports older than maxReportAge are ignored.
	requestReportAge = 10 * clock.Second
	maxReportAge     = 20 * clock.Second
	// announceInterval is the interval between two announcements of the control lease, because
	// each of them may be lost.
	announceInterval = 5 * clock.Second
	// resendInterval is the interval at which an order without a result is sent again with the
	// same id. Agents execute each id at most once.
	resendInterval = 3 * clock.Second
	// orderTimeout is the age at which an order without a result counts as lost.
	orderTimeout = 20 * clock.Second
	// defaultThroughput, in tokens per second, is assumed for an upstream whose agent has not
	// measured its throughput.
	defaultThroughput = units.Tokens(1000)
)

// defaultLoadBudget, in loads per second and concurrent loads, applies where the configuration sets
// no limit. It is the capacity of the smallest weight store.
var defaultLoadBudget = place.Budget{Rate: 1.6, Concurrent: 6}

// placer is the LeaderTask that loads and unloads models and adapters on the upstreams. The
// elector's goroutine owns its state; other goroutines only add to the inbox.
type placer struct {
	coord *Coord
	inbox inbox

	// fence is the fencing number of the current term.
	fence units.Fence
	// superseded is set when an agent has reported a higher fencing number.
	superseded bool
	termStart  clock.Time
	// reportsReady is set when all live agents have reported or reportWait is over.
	reportsReady  bool
	lastPlan      clock.Time
	lastAnnounced clock.Time
	planner       *place.Planner
	meter         *place.Meter
	// pending holds the orders without a result by id.
	pending map[string]*pendingOrder
	// orderCount is the number of orders issued in this term.
	orderCount int
	// throughputs holds the last measured throughputs, in tokens per second.
	throughputs map[units.UpstreamID]units.Tokens
	snapshot    *tree.Snapshot
}

// inbox holds the messages and the configuration that the placer has not yet read.
type inbox struct {
	mu       sync.Mutex
	snapshot *tree.Snapshot
	demands  []receivedDemand
	results  []receivedResult
}

type receivedDemand struct {
	receivedAt clock.Time
	gateway    units.VMID
	message    *wire.Demand
}

type receivedResult struct {
	agent   units.UpstreamID
	message *wire.OrderResult
}

// inboxLength bounds the queued messages of each kind while this gateway is not the controller.
const inboxLength = 4096

// pendingOrder is an order without a result.
type pendingOrder struct {
	command  place.Command
	frame    *wire.Frame
	issuedAt clock.Time
	sentAt   clock.Time
}

func newPlacer(c *Coord) *placer {
	return &placer{coord: c, inbox: inbox{snapshot: tree.Empty()}}
}

// Run implements LeaderTask. It returns no error.
func (p *placer) Run(_ context.Context, held func() (units.Fence, bool)) error {
	fence, ok := held()
	if !ok {
		return nil
	}
	now := p.coord.clock.Now()
	if fence != p.fence {
		p.startTerm(now, fence)
	}
	p.readInbox(now)
	if p.superseded || now.Sub(p.lastPlan) < planInterval {
		return nil
	}
	p.lastPlan = now
	if now.Sub(p.lastAnnounced) >= announceInterval {
		p.lastAnnounced = now
		p.coord.post(announceLease{fence})
	}
	reports := p.coord.options.Reports()
	if !p.ready(now, reports) {
		return nil
	}
	for _, c := range p.planner.Plan(now, p.planInput(now, reports)) {
		p.issue(now, c, held)
	}
	p.resend(now, held)
	return nil
}

// startTerm resets all state for a new term, that is for a lease with a new fencing number.
func (p *placer) startTerm(now clock.Time, fence units.Fence) {
	p.fence, p.superseded, p.termStart, p.reportsReady = fence, false, now, false
	p.lastPlan, p.lastAnnounced = now.Add(-planInterval), now.Add(-announceInterval)
	p.planner = place.NewPlanner(defaultLoadBudget)
	p.meter = place.NewMeter(now)
	p.pending = map[string]*pendingOrder{}
	p.orderCount = 0
	p.throughputs = map[units.UpstreamID]units.Tokens{}
}

// ready reports whether all live agents have reported in this term, or reportWait is over.
func (p *placer) ready(now clock.Time, reports []gate.LoadReport) bool {
	if p.reportsReady {
		return true
	}
	reported := map[units.UpstreamID]bool{}
	for i := range reports {
		reported[reports[i].Upstream] = hasFreshReport(now, &reports[i])
	}
	list := p.coord.elector.vmList()
	missing := list == nil
	if list != nil {
		for _, v := range list.VMs {
			missing = missing || v.Role == vmlist.Upstream && v.State == vmlist.Live && !reported[units.UpstreamID(v.ID)]
		}
	}
	p.reportsReady = !missing || now.Sub(p.termStart) >= reportWait
	return p.reportsReady
}

// hasFreshReport reports whether the agent is alive and its last report not too old.
func hasFreshReport(now clock.Time, r *gate.LoadReport) bool {
	return r.Alive && now.Sub(r.ReceivedAt) <= maxReportAge
}

// planInput returns the planner's input: the configured targets, the replicas with fresh load
// reports, and the demand. It also sets the load budget and requests new reports in place of old
// ones. Upstreams without accelerator memory and those that run services are no replicas.
func (p *placer) planInput(now clock.Time, reports []gate.LoadReport) place.Input {
	limits := p.snapshot.Limits()
	budget := defaultLoadBudget
	if limits.WeightLoadRate > 0 {
		budget.Rate = limits.WeightLoadRate
	}
	if limits.WeightLoadConcurrency > 0 {
		budget.Concurrent = limits.WeightLoadConcurrency
	}
	p.planner.SetBudget(budget)
	input := place.Input{Demand: p.meter.Demand(now)}
	for _, t := range p.snapshot.Targets() {
		input.Targets = append(input.Targets, place.Target{ID: t.ID, Base: t.Base, Bytes: t.Bytes})
	}
	leaving := p.leavingUpstreams()
	for i := range reports {
		r := &reports[i]
		if r.Load.MemoryTotal == 0 || len(r.Load.Service) > 0 {
			continue
		}
		if now.Sub(r.ReceivedAt) > requestReportAge {
			p.coord.post(requestReport{string(r.Upstream)})
		}
		if hasFreshReport(now, r) {
			input.Replicas = append(input.Replicas, p.replica(r, leaving[r.Upstream]))
		}
	}
	return input
}

// leavingUpstreams returns the VMs in state leaving on the VM list.
func (p *placer) leavingUpstreams() map[units.UpstreamID]bool {
	leaving := map[units.UpstreamID]bool{}
	if list := p.coord.elector.vmList(); list != nil {
		for _, v := range list.VMs {
			leaving[units.UpstreamID(v.ID)] = v.State == vmlist.Leaving
		}
	}
	return leaving
}

func (p *placer) replica(r *gate.LoadReport, leaving bool) place.Replica {
	return place.Replica{
		ID:         r.Upstream,
		Zone:       r.Zone,
		Free:       units.Bytes(r.Load.MemoryFree),
		Capacity:   units.Bytes(r.Load.MemoryTotal),
		Throughput: p.throughput(r),
		Resident:   convertIDs[units.ModelID](r.Load.Resident),
		Loading:    convertIDs[units.ModelID](r.Load.Loading),
		Usable:     !leaving && !r.Draining && !p.snapshot.UpstreamExcluded(r.Upstream) && !p.snapshot.ZoneExcluded(r.Zone),
	}
}

// throughput returns the upstream's last measured throughput, in tokens per second. Agents measure
// it only while requests wait, and report 0 otherwise.
func (p *placer) throughput(r *gate.LoadReport) units.Tokens {
	if r.Load.Speed > 0 {
		p.throughputs[r.Upstream] = units.Tokens(r.Load.Speed)
	}
	if s, ok := p.throughputs[r.Upstream]; ok {
		return s
	}
	return defaultThroughput
}

// issue records a new order and posts it for sending.
func (p *placer) issue(now clock.Time, c place.Command, held func() (units.Fence, bool)) {
	p.orderCount++
	o := &wire.Order{
		// A fencing number belongs to one term, so the id is unique in the fleet.
		Id:     fmt.Sprintf("%d-%d", p.fence, p.orderCount),
		Fence:  int64(p.fence),
		Op:     string(c.Op),
		Target: string(c.Target.ID),
		Bytes:  int64(c.Target.Bytes),
		Base:   string(c.Target.Base),
	}
	if t, ok := p.snapshot.Target(c.Target.ID); ok && c.Op == place.Load {
		o.Version = t.Version
	}
	klog.Infof("coord: controller ordered %s of %s on %s", c.Op, c.Target.ID, c.Replica)
	stats.Event("order_" + string(c.Op))
	pending := &pendingOrder{command: c, frame: &wire.Frame{Body: &wire.Frame_Order{Order: o}}, issuedAt: now, sentAt: now}
	p.pending[o.Id] = pending
	p.coord.post(sendOrder{pending, p.fence, held})
}

// resend sends orders without a result again, and drops those that count as lost.
func (p *placer) resend(now clock.Time, held func() (units.Fence, bool)) {
	for id, o := range p.pending {
		switch {
		case now.Sub(o.issuedAt) >= orderTimeout:
			stats.Event("order_lost")
			delete(p.pending, id)
		case now.Sub(o.sentAt) >= resendInterval:
			stats.Event("order_repeated")
			o.sentAt = now
			p.coord.post(sendOrder{o, p.fence, held})
		}
	}
}

// readInbox processes and removes the messages in the inbox.
func (p *placer) readInbox(now clock.Time) {
	p.inbox.mu.Lock()
	demands, results := p.inbox.demands, p.inbox.results
	p.inbox.demands, p.inbox.results = nil, nil
	p.snapshot = p.inbox.snapshot
	p.inbox.mu.Unlock()
	for _, d := range demands {
		for _, a := range d.message.Asked {
			p.meter.Add(d.receivedAt, d.gateway, units.ModelID(a.Target), units.Tokens(a.Tokens), int(a.Waiting))
		}
	}
	for _, r := range results {
		p.finishOrder(now, r.agent, r.message)
	}
}

// finishOrder processes the result of an order. Results of an earlier term and repeated results
// have no pending order and are ignored.
func (p *placer) finishOrder(now clock.Time, from units.UpstreamID, r *wire.OrderResult) {
	o := p.pending[r.Id]
	if o == nil || o.command.Replica != from {
		stats.Event("order_result_unknown")
		return
	}
	delete(p.pending, r.Id)
	c := o.command
	if r.Code == "" {
		p.planner.OrderDone(now, c)
		return
	}
	// The agent has seen a higher fencing number: another gateway holds the lease.
	p.superseded = p.superseded || units.Code(r.Code) == units.FenceStale
	stats.Event("order_refused_" + r.Code)
	klog.Warningf("coord: order to %s %s on %s failed: %s", c.Op, c.Target.ID, c.Replica, r.Code)
	if c.Op == place.Load && units.Code(r.Code) == units.UpstreamFailed {
		p.planner.LoadFailed(now, c)
		return
	}
	p.planner.OrderFailed(now, c)
}

// addResult adds an agent's result to the inbox, or drops it if the inbox is full.
func (p *placer) addResult(from units.UpstreamID, r *wire.OrderResult) {
	b := &p.inbox
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.results) < inboxLength {
		b.results = append(b.results, receivedResult{from, r})
	}
}

// addDemand adds a gateway's demand to the inbox, or drops it if the inbox is full.
func (p *placer) addDemand(now clock.Time, from units.VMID, m *wire.Demand) {
	b := &p.inbox
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.demands) < inboxLength {
		b.demands = append(b.demands, receivedDemand{now, from, m})
	}
}

func (p *placer) setSnapshot(s *tree.Snapshot) {
	p.inbox.mu.Lock()
	defer p.inbox.mu.Unlock()
	p.inbox.snapshot = s
}

// sendOrder sends an order if the lease of the term that issued it is still held.
type sendOrder struct {
	order *pendingOrder
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

// requestReport requests a load report from an agent by an empty Load frame.
type requestReport struct{ agent string }

func (e requestReport) apply(s *state) {
	s.push(e.agent, &wire.Frame{Body: &wire.Frame_Load{Load: &wire.Load{}}})
}
