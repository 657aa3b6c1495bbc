package entry

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/assign"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/duty"
	"github.com/magnolialever/magnolialever/elect"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// leaderKey is the key whose owner is the leader that sends orders to upstreams.
	leaderKey = "duties/orders"
	// planInterval is the interval between two planning rounds. A miss or the result of an order
	// starts another one sooner.
	planInterval = 200 * clock.Millisecond
	// minPlanInterval is the least interval between rounds; it is longer if planCostRatio times the
	// duration of the last round is.
	minPlanInterval = 5 * clock.Millisecond
	planCostRatio   = 10
	// adapterActivationTime is how long an upstream takes to activate an adapter after it has
	// accepted the order.
	adapterActivationTime = 9 * time.Millisecond
	// acquireRetryDelay is the least time between two attempts to become the leader.
	acquireRetryDelay = 400 * clock.Millisecond
	// acquireDelayStep is added for each gateway that is better suited as the leader, up to
	// maxAcquireDelaySteps of them. Gateways on VMs with more processor time come first.
	acquireDelayStep     = 100 * clock.Millisecond
	maxAcquireDelaySteps = 8
)

// Messages about the leader's lease and about orders.
type (
	// leaseAcquired is the result of an attempt to become the leader, which began at startedAt.
	leaseAcquired struct {
		startedAt clock.Time
		epoch     units.Epoch
		lease     platform.LeaseID
		ttl       clock.Span
		err       error
	}
	// leaseRenewed is the result of a renewal of the leader's lease, which began at startedAt.
	leaseRenewed struct {
		startedAt clock.Time
		err       error
	}
	// orderResult is the result of an order.
	orderResult struct {
		order assign.PlannedOrder
		proof duty.Proof
		err   error
		// started is false if the upstream was already in the requested state.
		started bool
	}
	// reportResult is the result of reading an upstream's report.
	reportResult struct {
		upstream units.UpstreamID
		report   *platform.Report
		err      error
	}
	// targetMissed means that no upstream has loaded the model or adapter of a request.
	targetMissed struct{}
)

// orderManager takes part in the election of the leader and, while this gateway is the leader,
// plans and sends orders to upstreams. Its methods are called from the control loop only.
type orderManager struct {
	gateway    *Gateway
	controller *controller
	elector    *elect.Elector
	// lease and ttl are the last lease that this gateway held as leader.
	lease platform.LeaseID
	ttl   clock.Span
	// callPending is set while an attempt to acquire or renew the lease is in flight.
	callPending bool
	// renewedAt is when the last renewal, or the acquisition of the lease, started.
	renewedAt      clock.Time
	acquireTriedAt clock.Time
	// vacantSince is when the leader's key was found free. acquireDelay is how long this gateway
	// waits from then, so that the one best suited tries first.
	vacantSince  clock.Time
	acquireDelay clock.Span
	ledger       *assign.Ledger
	planner      *assign.Planner
	plannedAt    clock.Time
	// planRequested is set when a round should start before planInterval. planCost is the time that
	// the last round took.
	planRequested bool
	planCost      clock.Span
	client        *platform.OrderClient
	// draining is set from the beginning of a planned stop; the gateway then stays out of
	// elections.
	draining bool
}

func newOrderManager(g *Gateway, c *controller) *orderManager {
	ledger := assign.NewLedger()
	return &orderManager{
		gateway: g, controller: c,
		elector: elect.New(g.settings.VM, g.settings.Bounds.LeaseTTL, g.settings.Bounds.Fenced),
		ledger:  ledger, planner: assign.NewPlanner(ledger), client: platform.NewOrderClient(platform.OrderOptions{
			IsLeader: g.isLeader, Accepts: g.relay.Accepts, OnNotice: g.relay.RecordNotice,
		}),
	}
}

// onTick tries to acquire or renew the leader's lease and plans, each when it is due.
func (o *orderManager) onTick(now clock.Time) {
	switch {
	case o.callPending:
	case o.elector.Holds(now) && now.Sub(o.renewedAt) >= elect.RenewInterval:
		o.renewLease(now)
	case !o.draining && o.elector.ShouldAcquire(now):
		if now.Sub(max(o.acquireTriedAt.Add(acquireRetryDelay), o.vacantSince.Add(o.acquireDelay))) >= 0 {
			o.acquireLease(now)
		}
	default:
		o.vacantSince = now
	}
	if o.planDue(now) {
		o.plan(now)
	}
}

// plan updates the ledger and, if this gateway is the leader, reads missing reports and sends the
// orders that the planner returns.
func (o *orderManager) plan(now clock.Time) {
	o.plannedAt, o.planRequested = now, false
	if o.controller.snapshot.Config == nil {
		return
	}
	services := o.controller.snapshot.Config.Services()
	hasEngine := map[units.ServiceID]bool{}
	for id, service := range services {
		hasEngine[id] = service.Engine != nil
	}
	o.ledger.UpdateUpstreams(now, o.controller.snapshot.Upstreams, hasEngine)
	if _, ok := o.elector.OrderEpoch(now); !ok {
		return
	}
	paused := o.controller.pausedUpstreams()
	for _, id := range o.ledger.StaleUpstreams(now) {
		if !paused[id] {
			o.readReport(id)
		}
	}
	input := assign.PlanInput{
		Services: services, Demand: o.controller.totalDemand(now),
		ExcludedZones: o.controller.snapshot.ExcludedZones, InFlight: o.controller.requestsInFlight(),
		Unreachable: o.controller.unreachableUpstreams(), Paused: paused,
	}
	for _, order := range o.planner.Plan(now, input) {
		o.sendOrder(now, order)
	}
	o.planCost = o.gateway.clock.Now().Sub(now)
}

// planSoon requests a planning round before planInterval has passed, but not so soon that planning
// takes more than a part of the processor: many requests miss models at the same time.
func (o *orderManager) planSoon() { o.planRequested = true }

// planIfRequested starts a planning round if one was requested and is due.
func (o *orderManager) planIfRequested(now clock.Time) {
	if o.planRequested && o.planDue(now) {
		o.plan(now)
	}
}

// planDue reports whether a planning round has to start.
func (o *orderManager) planDue(now clock.Time) bool {
	interval := planInterval
	if o.planRequested {
		interval = min(planInterval, max(o.planCost*planCostRatio, minPlanInterval))
	}
	return now.Sub(o.plannedAt) >= interval
}

// readReport reads an upstream's report. The result is a reportResult message.
func (o *orderManager) readReport(id units.UpstreamID) {
	e, ok := o.controller.snapshot.Upstreams[id]
	if !ok {
		return
	}
	o.ledger.ReportStarted(id)
	u := e.Upstream
	o.gateway.startCall(func(ctx context.Context) {
		r, err := o.client.Report(ctx, u)
		o.gateway.post(reportResult{u.ID, r, err})
	})
}

func (o *orderManager) handleReport(now clock.Time, m reportResult) {
	if m.err != nil {
		klog.InfoS("entry: can't read upstream report", "upstream", m.upstream, "err", m.err)
		o.ledger.ReportFailed(now, m.upstream)
		return
	}
	o.ledger.ApplyReport(now, m.upstream, m.report.AcceptedOrders, m.report.Models, m.report.Busy)
}

// sendOrder sends an order. An unload is announced to the other gateways first, so that they stop
// using the model or adapter. The result is an orderResult message.
func (o *orderManager) sendOrder(now clock.Time, order assign.PlannedOrder) {
	e, ok := o.controller.snapshot.Upstreams[order.Upstream]
	if !ok {
		o.ledger.ApplyResult(now, order, assign.UpstreamGone)
		return
	}
	proof, ok := o.controller.duties.holder.Prove(now, orderSubject(order.Upstream))
	if !ok {
		o.ledger.ApplyResult(now, order, assign.Refused)
		return
	}
	if order.Unload {
		o.controller.recordResidencyChange(now, residencyChange{
			order.Upstream, e.ProcessStart, order.Model, order.Adapter, true, order.ExpectedOrders + 1, now, announcement{ordered: true},
		})
	}
	u := e.Upstream
	o.gateway.startCall(func(ctx context.Context) {
		m := orderResult{order: order, proof: proof}
		m.started, m.err = o.client.Send(ctx, u, platform.Order{
			Unload: order.Unload, Model: order.Model, Adapter: order.Adapter,
			ExpectedOrders: order.ExpectedOrders, Leader: proof.Holder, Epoch: proof.Epoch,
		})
		if m.err == nil && order.Adapter != "" && !order.Unload {
			clock.Sleep(ctx, adapterActivationTime)
		}
		o.gateway.post(m)
	})
}

// handleOrderResult applies the result of an order to the ledger. It discards the announcement of
// an unload that was not accepted, announces a loaded adapter, and plans again after any order for
// an adapter other than a failed unload.
func (o *orderManager) handleOrderResult(now clock.Time, m orderResult) {
	result := ledgerResult(m)
	stats.Event("orders")
	klog.InfoS("entry: order", "upstream", m.order.Upstream, "unload", m.order.Unload, "model", m.order.Model,
		"adapter", m.order.Adapter, "expected", m.order.ExpectedOrders, "epoch", m.proof.Epoch, "begun", m.started, "err", m.err)
	o.ledger.ApplyResult(now, m.order, result)
	if errors.Is(m.err, platform.ErrStaleEpoch) {
		o.controller.duties.holder.GiveUp(m.proof)
		o.elector.Lost(o.gateway.clock.Now())
	}
	e, ok := o.controller.snapshot.Upstreams[m.order.Upstream]
	if !ok {
		return
	}
	accepted := result == assign.Accepted || result == assign.AlreadyApplied
	switch {
	case m.order.Unload && !accepted:
		o.controller.discardUnload(m.order)
	case m.order.Adapter != "" && !m.order.Unload && accepted:
		o.controller.recordResidencyChange(now, residencyChange{
			e.ID, e.ProcessStart, m.order.Model, m.order.Adapter, false, m.order.ExpectedOrders + 1, now, announcement{ordered: true},
		})
		o.planSoon()
	case m.order.Adapter != "":
		o.planSoon()
	}
}

// orderSubject is the subject of the orders to an upstream. Each order names the number of orders before it, so that one
// without an answer is never carried out after another one: the ledger may send something else in its place.
func orderSubject(id units.UpstreamID) duty.Subject { return duty.Subject("orders " + id) }

// ledgerResult maps the result of an order to the ledger's Result.
func ledgerResult(m orderResult) assign.Result {
	switch {
	case m.err == nil && m.started:
		return assign.Accepted
	case m.err == nil:
		return assign.AlreadyApplied
	case errors.Is(m.err, platform.ErrOrderConflict), errors.Is(m.err, platform.ErrStaleEpoch),
		errors.Is(m.err, platform.ErrInvalidOrder), errors.Is(m.err, platform.ErrNotLeader), errors.Is(m.err, platform.ErrNotAccepted):
		return assign.Refused
	case errors.Is(m.err, platform.ErrUpstreamReplaced):
		return assign.UpstreamGone
	default:
		return assign.Unanswered
	}
}
