package entry

import (
	"slices"

	"github.com/magnolialever/magnolialever/assign"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
	"github.com/magnolialever/magnolialever/wire"
)

// lateLoadTime is how long a load may take longer than expected until it no longer counts.
const lateLoadTime = 2 * clock.Second

// minLoadAnnounceInterval is the least time between two announcements of loads under way; it grows by a millisecond for
// each gateway, as nothing waits for them.
const minLoadAnnounceInterval = 100 * clock.Millisecond

// pendingLoad is a load of a model that the leader has ordered.
type pendingLoad struct {
	upstream units.UpstreamID
	// processStart identifies the upstream's process, as fleet.Upstream.ProcessStart.
	processStart int64
	model        units.ModelID
	// acceptedOrders is the number of orders that the upstream has accepted, including this one.
	acceptedOrders int64
	// readyAt is when the load is expected to be done.
	readyAt         clock.Time
	fromWeightStore bool
	announcement
}

// isOver reports whether the load is done, or was lost with its process, by the description of the upstream.
func (l *pendingLoad) isOver(now clock.Time, e *view.Entry) bool {
	return e == nil || e.ProcessStart != l.processStart || e.Holds(l.model, "") || now.Sub(l.readyAt) > lateLoadTime
}

// recordLoad records a load that an upstream has accepted from this gateway and announces it to the others.
func (c *controller) recordLoad(now clock.Time, e *view.Entry, order assign.PlannedOrder) {
	service, ok := c.snapshot.Config.Service(order.Service)
	if !ok || service.Engine == nil {
		return
	}
	m, ok := service.Engine.Model(order.Model)
	if !ok {
		return
	}
	c.pendingLoads = append(c.pendingLoads, pendingLoad{
		upstream: order.Upstream, processStart: e.ProcessStart, model: order.Model, acceptedOrders: order.ExpectedOrders + 1,
		readyAt: now.Add(assign.LoadTime(&m, order.FromWeightStore)), fromWeightStore: order.FromWeightStore,
		announcement: announcement{ordered: true},
	})
	c.publishView(now)
	c.announceLoads(now)
}

// announceLoads sends the loads that this gateway has ordered and not announced yet to all other gateways, and once more
// those announced announceRepeatDelay ago.
func (c *controller) announceLoads(now clock.Time) {
	if now.Sub(c.loadsAnnouncedAt) < minLoadAnnounceInterval+clock.Span(c.gatewayCount) {
		return
	}
	m := &wire.PendingLoads{}
	for i := range c.pendingLoads {
		l := &c.pendingLoads[i]
		if !l.takeDue(now) {
			continue
		}
		m.Loads = append(m.Loads, &wire.PendingLoad{
			Upstream: string(l.upstream), Born: l.processStart, Model: string(l.model), Orders: l.acceptedOrders,
			DueMs: int64(l.readyAt.Sub(now)), FromStore: l.fromWeightStore,
		})
	}
	if len(m.Loads) > 0 {
		c.loadsAnnouncedAt = now
		c.gateway.peers.Send(&wire.Datagram{Body: &wire.Datagram_PendingLoads{PendingLoads: m}}, c.otherGateways()...)
	}
}

// mergeLoads adds the loads that the leader has announced. Those from the weight store count against its limit, should
// this gateway become the leader.
func (c *controller) mergeLoads(now clock.Time, announced []*wire.PendingLoad) {
	changed := false
	for _, w := range announced {
		l := pendingLoad{
			upstream: units.UpstreamID(w.GetUpstream()), processStart: w.GetBorn(), model: units.ModelID(w.GetModel()),
			acceptedOrders: w.GetOrders(), readyAt: now.Add(clock.Span(w.GetDueMs())), fromWeightStore: w.GetFromStore(),
		}
		if slices.ContainsFunc(c.pendingLoads, l.sameLoad) {
			continue
		}
		c.pendingLoads = append(c.pendingLoads, l)
		c.chargeLoad(now, &l)
		changed = true
	}
	if changed {
		c.publishView(now)
	}
}

// sameLoad reports whether other is the load of the same order.
func (l *pendingLoad) sameLoad(other pendingLoad) bool {
	return l.upstream == other.upstream && l.processStart == other.processStart && l.acceptedOrders == other.acceptedOrders
}

// chargeLoad counts a load that another gateway has ordered against the limit of the weight store.
func (c *controller) chargeLoad(now clock.Time, l *pendingLoad) {
	e, ok := c.snapshot.Upstreams[l.upstream]
	if !ok || !l.fromWeightStore || c.snapshot.Config == nil {
		return
	}
	if service, ok := c.snapshot.Config.Service(e.Service); ok {
		c.orders.planner.RecordLoad(now, service)
	}
}

// addLoads adds the loads that go on to the entries of a view, and forgets the others.
func (c *controller) addLoads(now clock.Time, s *view.Snapshot) {
	c.pendingLoads = slices.DeleteFunc(c.pendingLoads, func(l pendingLoad) bool {
		announced := !l.ordered || l.announcements >= maxAnnouncements || now.Sub(l.readyAt) >= lateLoadTime
		return announced && l.isOver(now, s.Upstreams[l.upstream])
	})
	for _, l := range c.pendingLoads {
		e := s.Upstreams[l.upstream]
		if l.isOver(now, e) {
			continue
		}
		changed := *e
		changed.Loading = append(slices.Clone(e.Loading), view.PendingLoad{Model: l.model, ReadyAt: l.readyAt})
		s.Upstreams[l.upstream] = &changed
	}
}
