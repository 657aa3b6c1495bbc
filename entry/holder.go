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
	// dutyKey is the key of the duty to give orders to upstreams.
	dutyKey = "duties/orders"
	// planEvery is the interval between two planning rounds; misses start one at once.
	planEvery = 200 * clock.Millisecond
	// adapterDelay is how long an adapter is on its way after the order was accepted.
	adapterDelay = 9 * time.Millisecond
	// takeRetry is the delay after a failed try to take the duty.
	takeRetry = 400 * clock.Millisecond
	// newsSpan is how long news are repeated in digests.
	newsSpan = 1500 * clock.Millisecond
)

// Messages about the duty and about orders.
type (
	// dutyTaken is the end of a try to take the duty.
	dutyTaken struct {
		begin clock.Time
		epoch units.Epoch
		lease platform.LeaseID
		ttl   clock.Span
		err   error
	}
	// dutyKept is the end of a renewal.
	dutyKept struct {
		begin clock.Time
		err   error
	}
	// orderEnded is the answer to an order.
	orderEnded struct {
		command reside.PlannedOrder
		epoch   units.Epoch
		err     error
		begun   bool
	}
	// reportRead is a report of an upstream.
	reportRead struct {
		upstream units.UpstreamID
		report   *platform.Report
		err      error
	}
	// missed says that nothing holds what a request asks for.
	missed struct{}
)

// holder gives orders to upstreams while this gateway has the duty. The control loop
// owns it.
type holder struct {
	g       *Gateway
	c       *control
	duty    *duty.Elector
	lease   platform.LeaseID
	ttl     clock.Span
	calling bool
	kept    clock.Time
	tried   clock.Time
	ledger  *reside.Ledger
	planner *reside.Planner
	planned clock.Time
	orders  *platform.OrderClient
	leaving bool
}

func newHolder(g *Gateway, c *control) *holder {
	l := reside.NewLedger()
	return &holder{
		g: g, c: c, duty: duty.New(g.boot.VM, g.boot.Bounds.LeaseTTL, g.boot.Bounds.Fenced), ledger: l, planner: reside.NewPlanner(l),
		orders: platform.NewOrderClient(),
	}
}

// key handles the key of the duty.
func (h *holder) key(i platform.Item) {
	vm := units.VMID(i.Value)
	if i.Deleted {
		vm = ""
	}
	h.duty.RecordHolder(h.g.clock.Now(), i.Revision, vm)
}

// tick takes or renews the duty and plans.
func (h *holder) tick(now clock.Time) {
	switch {
	case h.calling:
	case h.duty.Holds(now) && now.Sub(h.kept) >= duty.RenewInterval:
		h.keep(now)
	case !h.leaving && h.duty.ShouldAcquire(now) && now.Sub(h.tried) >= takeRetry:
		h.take(now)
	}
	if now.Sub(h.planned) >= planEvery {
		h.plan(now)
	}
}

// take tries to create the key of the duty.
func (h *holder) take(now clock.Time) {
	h.calling, h.tried = true, now
	h.g.start(func(ctx context.Context) {
		m := dutyTaken{begin: h.g.clock.Now()}
		m.lease, m.ttl, m.err = h.g.store.GrantLease(ctx, max(duty.LeaseTTL, h.g.boot.MinLeaseTTL))
		if m.err == nil {
			var rev units.Revision
			rev, m.err = h.g.store.Commit(ctx, platform.Txn{
				If:  []platform.Condition{{Key: dutyKey}},
				Put: []platform.Write{{Key: dutyKey, Value: []byte(h.g.boot.VM), Lease: m.lease}},
			})
			m.epoch = units.Epoch(rev)
		}
		h.g.post(m)
	})
}

func (h *holder) taken(now clock.Time, m dutyTaken) {
	h.calling = false
	if m.err != nil {
		var c *platform.Conflict
		if errors.As(m.err, &c) && len(c.Items) == 1 {
			h.key(c.Items[0])
			return
		}
		klog.InfoS("entry: duty not taken", "err", m.err)
		return
	}
	h.lease, h.ttl, h.kept = m.lease, m.ttl, m.begin
	h.duty.Acquired(now, m.begin, m.epoch, m.ttl)
	klog.InfoS("entry: duty taken", "epoch", m.epoch)
}

func (h *holder) keep(now clock.Time) {
	h.calling, h.kept = true, now
	lease := h.lease
	h.g.start(func(ctx context.Context) {
		begin := h.g.clock.Now()
		h.g.post(dutyKept{begin, h.g.store.RenewLease(ctx, lease)})
	})
}

func (h *holder) renewed(m dutyKept) {
	h.calling = false
	switch {
	case m.err == nil:
		h.duty.Renewed(m.begin, h.ttl)
	case errors.Is(m.err, platform.ErrLeaseNotFound):
		klog.InfoS("entry: duty lost", "err", m.err)
		h.duty.Lost(h.g.clock.Now())
	default:
		klog.InfoS("entry: duty not renewed", "err", m.err)
	}
}

// leave gives the duty up at a planned stop.
func (h *holder) leave(ctx context.Context) {
	h.leaving = true
	if !h.duty.Holds(h.g.clock.Now()) {
		return
	}
	h.duty.Lost(h.g.clock.Now())
	lease := h.lease
	h.g.start(func(context.Context) {
		end, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
		defer cancel()
		if err := h.g.store.RevokeLease(end, lease); err != nil {
			klog.InfoS("entry: duty stays until its lease ends", "err", err)
		}
	})
}

// plan gives the orders that the planner decides on.
func (h *holder) plan(now clock.Time) {
	h.planned = now
	if h.c.snapshot.Config == nil {
		return
	}
	services := h.c.snapshot.Config.Services()
	engines := map[units.ServiceID]bool{}
	for id, one := range services {
		engines[id] = one.Engine != nil
	}
	h.ledger.UpdateUpstreams(now, h.c.snapshot.Upstreams, engines)
	epoch, ok := h.duty.OrderEpoch(now)
	if !ok {
		return
	}
	for _, id := range h.ledger.StaleUpstreams(now) {
		h.read(id)
	}
	w := reside.PlanInput{
		Services: services, Demand: h.c.needs(now), ExcludedZones: h.c.snapshot.ExcludedZones, InFlight: h.c.load(),
	}
	for _, one := range h.planner.Plan(now, w) {
		h.order(now, one, epoch)
	}
}

func (h *holder) read(id units.UpstreamID) {
	e, ok := h.c.snapshot.Upstreams[id]
	if !ok {
		return
	}
	h.ledger.ReportStarted(id)
	u := e.Upstream
	h.g.start(func(ctx context.Context) {
		r, err := h.orders.Report(ctx, u)
		h.g.post(reportRead{u.ID, r, err})
	})
}

func (h *holder) reported(now clock.Time, m reportRead) {
	if m.err != nil {
		klog.InfoS("entry: report not read", "upstream", m.upstream, "err", m.err)
		h.ledger.ReportFailed(now, m.upstream)
		return
	}
	h.ledger.ApplyReport(now, m.upstream, m.report.AcceptedOrders, m.report.Models, m.report.Busy)
}

// order sends one order. Other gateways hear of an unload before it is sent.
func (h *holder) order(now clock.Time, one reside.PlannedOrder, epoch units.Epoch) {
	e, ok := h.c.snapshot.Upstreams[one.Upstream]
	if !ok {
		h.ledger.ApplyResult(now, one, reside.UpstreamGone)
		return
	}
	if one.Unload {
		h.c.news(now, fact{one.Upstream, e.ProcessStart, one.Model, one.Adapter, true, one.ExpectedOrders + 1, now})
	}
	u := e.Upstream
	h.g.start(func(ctx context.Context) {
		m := orderEnded{command: one, epoch: epoch}
		m.begun, m.err = h.orders.Send(ctx, u, platform.Order{
			Unload: one.Unload, Model: one.Model, Adapter: one.Adapter,
			ExpectedOrders: one.ExpectedOrders, Leader: h.g.boot.VM, Epoch: epoch,
		})
		if m.err == nil && one.Adapter != "" && !one.Unload {
			clock.Sleep(ctx, adapterDelay)
		}
		h.g.post(m)
	})
}

func (h *holder) ended(now clock.Time, m orderEnded) {
	r := resultOf(m)
	stats.Event("orders")
	klog.InfoS("entry: order", "upstream", m.command.Upstream, "unload", m.command.Unload, "model", m.command.Model,
		"adapter", m.command.Adapter, "expected", m.command.ExpectedOrders, "epoch", m.epoch, "begun", m.begun, "err", m.err)
	h.ledger.ApplyResult(now, m.command, r)
	if errors.Is(m.err, platform.ErrStaleEpoch) {
		h.duty.Lost(h.g.clock.Now())
	}
	e, ok := h.c.snapshot.Upstreams[m.command.Upstream]
	if !ok {
		return
	}
	accepted := r == reside.Accepted || r == reside.AlreadyApplied
	switch {
	case m.command.Unload && !accepted:
		h.c.drop(m.command)
	case m.command.Adapter != "" && !m.command.Unload && accepted:
		h.c.news(now, fact{e.ID, e.ProcessStart, m.command.Model, m.command.Adapter, false, m.command.ExpectedOrders + 1, now})
		h.plan(now)
	case m.command.Adapter != "":
		h.plan(now)
	}
}

func resultOf(m orderEnded) reside.Result {
	switch {
	case m.err == nil && m.begun:
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

// fact is news about what an upstream holds, ahead of its own description.
type fact struct {
	upstream units.UpstreamID
	born     int64
	model    units.ModelID
	adapter  string
	dropped  bool
	// orders is the number of orders that the upstream has accepted with it.
	orders int64
	at     clock.Time
}

// describeSpan is how old a description may be when it arrives.
const describeSpan = clock.Second

// apply changes a description as the fact says. Later descriptions go before it.
func (f *fact) apply(e *view.Entry) *fleet.Upstream {
	u := e.Upstream
	if u.ProcessStart != f.born || e.ReceivedAt.Sub(f.at) > describeSpan {
		return u
	}
	out := *u
	out.Models = make([]fleet.Resident, 0, len(u.Models)+1)
	for _, m := range u.Models {
		if m.Model == f.model {
			if f.adapter == "" && f.dropped {
				continue
			}
			if f.adapter != "" {
				m.Adapters = without(m.Adapters, f.adapter)
				if !f.dropped {
					m.Adapters = append(m.Adapters, f.adapter)
				}
			}
		}
		out.Models = append(out.Models, m)
	}
	return &out
}

func without(l []string, one string) []string {
	out := make([]string, 0, len(l)+1)
	for _, s := range l {
		if s != one {
			out = append(out, s)
		}
	}
	return out
}
