package entry

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/duty"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/reside"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

const (
	// dutyKey is the key whose owner is the leader that sends orders to upstreams.
	dutyKey = "duties/orders"
	// planInterval is the interval between two planning rounds. A miss starts another one at once.
	planInterval = 200 * clock.Millisecond
	// adapterActivationTime is how long an upstream takes to activate an adapter after it has accepted
	// the order.
	adapterActivationTime = 9 * time.Millisecond
	// acquireRetryDelay is the least time between two attempts to become the leader.
	acquireRetryDelay = 400 * clock.Millisecond
	// announceTime is how long a residency change is repeated in the leader's digests.
	announceTime = 1500 * clock.Millisecond
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
		order reside.PlannedOrder
		epoch units.Epoch
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

// orderManager takes part in the election of the leader and, while this gateway is the leader, plans and
// sends orders to upstreams. Its methods are called from the control loop only.
type orderManager struct {
	gateway    *Gateway
	controller *controller
	elector    *duty.Elector
	// lease and ttl are the last lease that this gateway held as leader.
	lease platform.LeaseID
	ttl   clock.Span
	// callPending is set while an attempt to acquire or renew the lease is in flight.
	callPending bool
	// renewedAt is when the last renewal, or the acquisition of the lease, started.
	renewedAt      clock.Time
	acquireTriedAt clock.Time
	ledger         *reside.Ledger
	planner        *reside.Planner
	plannedAt      clock.Time
	client         *platform.OrderClient
	// draining is set from the beginning of a planned stop; the gateway then stays out of elections.
	draining bool
}

func newOrderManager(g *Gateway, c *controller) *orderManager {
	ledger := reside.NewLedger()
	return &orderManager{
		gateway: g, controller: c, elector: duty.New(g.settings.VM, g.settings.Bounds.LeaseTTL, g.settings.Bounds.Fenced), ledger: ledger, planner: reside.NewPlanner(ledger),
		client: platform.NewOrderClient(),
	}
}

// handleItem handles a change of the leader's key.
func (h *orderManager) handleItem(i platform.Item) {
	vm := units.VMID(i.Value)
	if i.Deleted {
		vm = ""
	}
	h.elector.RecordHolder(h.gateway.clock.Now(), i.Revision, vm)
}

// onTick tries to acquire or renew the leader's lease and plans, each when it is due.
func (h *orderManager) onTick(now clock.Time) {
	switch {
	case h.callPending:
	case h.elector.Holds(now) && now.Sub(h.renewedAt) >= duty.RenewInterval:
		h.renewLease(now)
	case !h.draining && h.elector.ShouldAcquire(now) && now.Sub(h.acquireTriedAt) >= acquireRetryDelay:
		h.acquireLease(now)
	}
	if now.Sub(h.plannedAt) >= planInterval {
		h.plan(now)
	}
}

// acquireLease tries to create the leader's key with a new lease. The result is a leaseAcquired message.
func (h *orderManager) acquireLease(now clock.Time) {
	h.callPending, h.acquireTriedAt = true, now
	h.gateway.startCall(func(ctx context.Context) {
		m := leaseAcquired{startedAt: h.gateway.clock.Now()}
		m.lease, m.ttl, m.err = h.gateway.store.GrantLease(ctx, max(duty.LeaseTTL, h.gateway.settings.MinLeaseTTL))
		if m.err == nil {
			var rev units.Revision
			rev, m.err = h.gateway.store.Commit(ctx, platform.Txn{
				If:  []platform.Condition{{Key: dutyKey}},
				Put: []platform.Write{{Key: dutyKey, Value: []byte(h.gateway.settings.VM), Lease: m.lease}},
			})
			m.epoch = units.Epoch(rev)
		}
		h.gateway.post(m)
	})
}

// handleAcquired records the result of an attempt to become the leader. After a conflict it records the
// current leader.
func (h *orderManager) handleAcquired(now clock.Time, m leaseAcquired) {
	h.callPending = false
	if m.err != nil {
		var c *platform.Conflict
		if errors.As(m.err, &c) && len(c.Items) == 1 {
			h.handleItem(c.Items[0])
			return
		}
		klog.InfoS("entry: duty not taken", "err", m.err)
		return
	}
	h.lease, h.ttl, h.renewedAt = m.lease, m.ttl, m.startedAt
	h.elector.Acquired(now, m.startedAt, m.epoch, m.ttl)
	klog.InfoS("entry: duty taken", "epoch", m.epoch)
}

// renewLease renews the leader's lease. The result is a leaseRenewed message.
func (h *orderManager) renewLease(now clock.Time) {
	h.callPending, h.renewedAt = true, now
	lease := h.lease
	h.gateway.startCall(func(ctx context.Context) {
		startedAt := h.gateway.clock.Now()
		h.gateway.post(leaseRenewed{startedAt, h.gateway.store.RenewLease(ctx, lease)})
	})
}

func (h *orderManager) handleRenewed(m leaseRenewed) {
	h.callPending = false
	switch {
	case m.err == nil:
		h.elector.Renewed(m.startedAt, h.ttl)
	case errors.Is(m.err, platform.ErrLeaseNotFound):
		klog.InfoS("entry: duty lost", "err", m.err)
		h.elector.Lost(h.gateway.clock.Now())
	default:
		klog.InfoS("entry: duty not renewed", "err", m.err)
	}
}

// resign gives up leadership at a planned stop and revokes the lease, so that another gateway can become
// the leader at once.
func (h *orderManager) resign(ctx context.Context) {
	h.draining = true
	if !h.elector.Holds(h.gateway.clock.Now()) {
		return
	}
	h.elector.Lost(h.gateway.clock.Now())
	lease := h.lease
	h.gateway.startCall(func(context.Context) {
		revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
		defer cancel()
		if err := h.gateway.store.RevokeLease(revokeCtx, lease); err != nil {
			klog.InfoS("entry: duty stays until its lease ends", "err", err)
		}
	})
}

// plan updates the ledger and, if this gateway is the leader, reads missing reports and sends the orders
// that the planner returns.
func (h *orderManager) plan(now clock.Time) {
	h.plannedAt = now
	if h.controller.snapshot.Config == nil {
		return
	}
	services := h.controller.snapshot.Config.Services()
	engines := map[units.ServiceID]bool{}
	for id, order := range services {
		engines[id] = order.Engine != nil
	}
	h.ledger.UpdateUpstreams(now, h.controller.snapshot.Upstreams, engines)
	epoch, ok := h.elector.OrderEpoch(now)
	if !ok {
		return
	}
	for _, id := range h.ledger.StaleUpstreams(now) {
		h.readReport(id)
	}
	input := reside.PlanInput{
		Services: services, Demand: h.controller.totalDemand(now), ExcludedZones: h.controller.snapshot.ExcludedZones, InFlight: h.controller.requestsInFlight(),
	}
	for _, order := range h.planner.Plan(now, input) {
		h.sendOrder(now, order, epoch)
	}
}

// readReport reads an upstream's report. The result is a reportResult message.
func (h *orderManager) readReport(id units.UpstreamID) {
	e, ok := h.controller.snapshot.Upstreams[id]
	if !ok {
		return
	}
	h.ledger.ReportStarted(id)
	u := e.Upstream
	h.gateway.startCall(func(ctx context.Context) {
		r, err := h.client.Report(ctx, u)
		h.gateway.post(reportResult{u.ID, r, err})
	})
}

func (h *orderManager) handleReport(now clock.Time, m reportResult) {
	if m.err != nil {
		klog.InfoS("entry: can't read upstream report", "upstream", m.upstream, "err", m.err)
		h.ledger.ReportFailed(now, m.upstream)
		return
	}
	h.ledger.ApplyReport(now, m.upstream, m.report.AcceptedOrders, m.report.Models, m.report.Busy)
}

// sendOrder sends an order. An unload is announced to the other gateways first, so that they stop using
// the model or adapter. The result is an orderResult message.
func (h *orderManager) sendOrder(now clock.Time, order reside.PlannedOrder, epoch units.Epoch) {
	e, ok := h.controller.snapshot.Upstreams[order.Upstream]
	if !ok {
		h.ledger.ApplyResult(now, order, reside.UpstreamGone)
		return
	}
	if order.Unload {
		h.controller.recordResidencyChange(now, residencyChange{order.Upstream, e.ProcessStart, order.Model, order.Adapter, true, order.ExpectedOrders + 1, now})
	}
	u := e.Upstream
	h.gateway.startCall(func(ctx context.Context) {
		m := orderResult{order: order, epoch: epoch}
		m.started, m.err = h.client.Send(ctx, u, platform.Order{
			Unload: order.Unload, Model: order.Model, Adapter: order.Adapter,
			ExpectedOrders: order.ExpectedOrders, Leader: h.gateway.settings.VM, Epoch: epoch,
		})
		if m.err == nil && order.Adapter != "" && !order.Unload {
			clock.Sleep(ctx, adapterActivationTime)
		}
		h.gateway.post(m)
	})
}

// handleOrderResult applies the result of an order to the ledger. It discards the announcement of an
// unload that was not accepted, announces a loaded adapter, and plans again after any order for an
// adapter other than a failed unload.
func (h *orderManager) handleOrderResult(now clock.Time, m orderResult) {
	result := ledgerResult(m)
	stats.Event("orders")
	klog.InfoS("entry: order", "upstream", m.order.Upstream, "unload", m.order.Unload, "model", m.order.Model,
		"adapter", m.order.Adapter, "expected", m.order.ExpectedOrders, "epoch", m.epoch, "begun", m.started, "err", m.err)
	h.ledger.ApplyResult(now, m.order, result)
	if errors.Is(m.err, platform.ErrStaleEpoch) {
		h.elector.Lost(h.gateway.clock.Now())
	}
	e, ok := h.controller.snapshot.Upstreams[m.order.Upstream]
	if !ok {
		return
	}
	accepted := result == reside.Accepted || result == reside.AlreadyApplied
	switch {
	case m.order.Unload && !accepted:
		h.controller.discardUnload(m.order)
	case m.order.Adapter != "" && !m.order.Unload && accepted:
		h.controller.recordResidencyChange(now, residencyChange{e.ID, e.ProcessStart, m.order.Model, m.order.Adapter, false, m.order.ExpectedOrders + 1, now})
		h.plan(now)
	case m.order.Adapter != "":
		h.plan(now)
	}
}

// ledgerResult maps the result of an order to the ledger's Result.
func ledgerResult(m orderResult) reside.Result {
	switch {
	case m.err == nil && m.started:
		return reside.Accepted
	case m.err == nil:
		return reside.AlreadyApplied
	case errors.Is(m.err, platform.ErrOrderConflict), errors.Is(m.err, platform.ErrStaleEpoch), errors.Is(m.err, platform.ErrInvalidOrder):
		return reside.Refused
	case errors.Is(m.err, platform.ErrUpstreamReplaced):
		return reside.UpstreamGone
	default:
		return reside.Unanswered
	}
}

// residencyChange is a load or unload ordered by the leader that the upstream's description may not show
// yet.
type residencyChange struct {
	upstream units.UpstreamID
	// processStart identifies the upstream's process, as fleet.Upstream.ProcessStart.
	processStart int64
	model        units.ModelID
	// adapter is empty if the model itself changes.
	adapter string
	// unloaded is set for an unload.
	unloaded bool
	// acceptedOrders is the number of orders that the upstream has accepted, including this one.
	acceptedOrders int64
	// at is when this gateway recorded the change.
	at clock.Time
}

// maxDescriptionDelay is the greatest age of a description at its receipt.
const maxDescriptionDelay = clock.Second

// apply returns the upstream's description with the change applied. A description of another process, or
// one received more than maxDescriptionDelay after the change, which shows it, is returned as it is.
func (r *residencyChange) apply(e *view.Entry) *fleet.Upstream {
	u := e.Upstream
	if u.ProcessStart != r.processStart || e.ReceivedAt.Sub(r.at) > maxDescriptionDelay {
		return u
	}
	out := *u
	out.Models = make([]fleet.Resident, 0, len(u.Models)+1)
	for _, m := range u.Models {
		if m.Model == r.model {
			if r.adapter == "" && r.unloaded {
				continue
			}
			if r.adapter != "" {
				m.Adapters = removeAdapter(m.Adapters, r.adapter)
				if !r.unloaded {
					m.Adapters = append(m.Adapters, r.adapter)
				}
			}
		}
		out.Models = append(out.Models, m)
	}
	return &out
}

// removeAdapter returns a copy of adapters without removed.
func removeAdapter(adapters []string, removed string) []string {
	out := make([]string, 0, len(adapters)+1)
	for _, s := range adapters {
		if s != removed {
			out = append(out, s)
		}
	}
	return out
}
