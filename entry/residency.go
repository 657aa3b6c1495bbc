package entry

import (
	"slices"

	"github.com/magnolialever/magnolialever/assign"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// minMissDigestInterval is the least time between the last digest to the leader and one that is
	// sent because of a miss.
	minMissDigestInterval = 15 * clock.Millisecond
	// residencyChangeTTL is how long a residency change is kept. Descriptions show it by then, but for the unload of a
	// model, which waits for the requests that run.
	residencyChangeTTL = 6 * clock.Second
	// minAnnounceInterval is the least time between two announcements of loads; it grows by a
	// millisecond for every gatewaysPerAnnounceMs gateways.
	minAnnounceInterval   = 10 * clock.Millisecond
	gatewaysPerAnnounceMs = 3
	// announceRepeatDelay is when an announcement is repeated, as a datagram may be lost.
	announceRepeatDelay = 400 * clock.Millisecond
	maxAnnouncements    = 2
)

// publishView passes the view of the store to the relay, with the residency changes applied that
// the upstreams' descriptions don't show yet.
func (c *controller) publishView(now clock.Time) {
	if !c.withheld {
		c.gateway.relay.SetView(c.changedView(now))
	}
}

// changedView returns the view of the store with the residency changes applied, and forgets those that are over.
func (c *controller) changedView(now clock.Time) *view.Snapshot {
	c.residencyChanges = slices.DeleteFunc(c.residencyChanges, func(r residencyChange) bool { return c.isOver(now, &r) })
	s := *c.snapshot
	s.Upstreams = make(map[units.UpstreamID]*view.Entry, len(c.snapshot.Upstreams))
	for id, e := range c.snapshot.Upstreams {
		s.Upstreams[id] = e
	}
	for _, r := range c.residencyChanges {
		if e, ok := s.Upstreams[r.upstream]; ok {
			changed := *e
			changed.Upstream = r.apply(e)
			s.Upstreams[r.upstream] = &changed
		}
	}
	c.addLoads(now, &s)
	return &s
}

// isOver reports whether a residency change has to be applied no longer.
func (c *controller) isOver(now clock.Time, r *residencyChange) bool {
	if !r.removesModel() {
		return now.Sub(r.at) > residencyChangeTTL
	}
	e, ok := c.snapshot.Upstreams[r.upstream]
	if ok && r.isShownBy(e) {
		return true
	}
	longestRun := clock.Span(0)
	if c.snapshot.Config != nil {
		longestRun = c.snapshot.Config.LongestTimeout()
	}
	return now.Sub(r.at) > residencyChangeTTL+longestRun
}

// recordResidencyChange records a change that this gateway has ordered and sends it to the other
// gateways.
func (c *controller) recordResidencyChange(now clock.Time, change residencyChange) {
	c.residencyChanges = append(c.residencyChanges, change)
	c.publishView(now)
	if change.unloaded || now.Sub(c.announcedAt) >= announceInterval(c.gatewayCount) {
		c.announceChanges(now)
	}
}

// announceInterval returns the interval between two announcements of loads among n gateways. It
// bounds the messages that the leader sends.
func announceInterval(n int) clock.Span {
	return minAnnounceInterval + clock.Span(n)/gatewaysPerAnnounceMs
}

// announceChanges sends the changes that this gateway has ordered and not announced yet to all other
// gateways, and once more those announced announceRepeatDelay ago.
func (c *controller) announceChanges(now clock.Time) {
	m := &wire.ResidencyChanges{}
	for i := range c.residencyChanges {
		r := &c.residencyChanges[i]
		if !r.takeDue(now) {
			continue
		}
		m.Changes = append(m.Changes, &wire.Residency{
			Upstream: string(r.upstream), Model: string(r.model), Adapter: r.adapter, Dropped: r.unloaded,
			Orders: r.acceptedOrders, Born: r.processStart,
		})
	}
	if len(m.Changes) == 0 {
		return
	}
	c.announcedAt = now
	c.gateway.peers.Send(&wire.Datagram{Body: &wire.Datagram_ResidencyChanges{ResidencyChanges: m}}, c.otherGateways()...)
}

// discardUnload removes the residency change of an unload that the upstream did not accept.
func (c *controller) discardUnload(order assign.PlannedOrder) {
	c.residencyChanges = slices.DeleteFunc(c.residencyChanges, func(r residencyChange) bool {
		return r.upstream == order.Upstream && r.model == order.Model && r.adapter == order.Adapter && r.unloaded
	})
	c.publishView(c.gateway.clock.Now())
}

// mergeResidencyChanges adds the residency changes that the leader has announced.
func (c *controller) mergeResidencyChanges(now clock.Time, announced []*wire.Residency) {
	changed := false
	for _, residency := range announced {
		change := residencyChange{
			units.UpstreamID(residency.GetUpstream()), residency.GetBorn(), units.ModelID(residency.GetModel()),
			residency.GetAdapter(), residency.GetDropped(), residency.GetOrders(), now, announcement{},
		}
		if !slices.ContainsFunc(c.residencyChanges, change.sameChange) {
			c.residencyChanges = append(c.residencyChanges, change)
			changed = true
		}
	}
	if changed {
		c.publishView(now)
	}
}

// sameChange reports whether other results from the same order.
func (r *residencyChange) sameChange(other residencyChange) bool {
	return r.upstream == other.upstream && r.processStart == other.processStart && r.model == other.model &&
		r.adapter == other.adapter && r.acceptedOrders == other.acceptedOrders
}

// encodeSuspects encodes crash suspects for a digest.
func encodeSuspects(now clock.Time, list []retry.Suspect) []*wire.Suspect {
	out := make([]*wire.Suspect, 0, len(list))
	for _, s := range list {
		out = append(out, retry.EncodeSuspect(now, s))
	}
	return out
}

// handleMiss plans at once if this gateway is the leader, else it sends the miss to the leader in a
// digest.
func (c *controller) handleMiss(now clock.Time) {
	if c.orders.elector.Holds(now) {
		c.orders.planSoon()
		return
	}
	if now.Sub(c.demandSentAt) >= minMissDigestInterval {
		c.sendDemand(now, c.newDigest(now))
	}
}

// minUnreachableZones is the number of availability zones whose gateways must fail to connect to an
// upstream before it counts as unreachable: a zone may only be cut off from the upstream's.
const minUnreachableZones = 2

// unreachableUpstreams returns the upstreams that count as unreachable.
func (c *controller) unreachableUpstreams() map[units.UpstreamID]bool {
	reports := map[units.Zone][]units.UpstreamID{c.gateway.settings.Zone: c.gateway.relay.Unreachable()}
	for _, d := range c.gateway.peers.FreshDigests() {
		zone := units.Zone(d.GetZone())
		reports[zone] = append(reports[zone], toUpstreamIDs(d.GetUnreachable())...)
	}
	unreachable := unreachableFromZones(reports)
	for id, e := range c.snapshot.Upstreams {
		if c.gateway.relay.Leaving(e.Upstream) {
			unreachable[id] = true
		}
	}
	return unreachable
}

// pausedUpstreams returns the upstreams that asked this gateway for a pause.
func (c *controller) pausedUpstreams() map[units.UpstreamID]bool {
	paused := map[units.UpstreamID]bool{}
	for id, e := range c.snapshot.Upstreams {
		if c.gateway.relay.Paused(e.Upstream) {
			paused[id] = true
		}
	}
	return paused
}

func toUpstreamIDs(ids []string) []units.UpstreamID {
	out := make([]units.UpstreamID, 0, len(ids))
	for _, id := range ids {
		out = append(out, units.UpstreamID(id))
	}
	return out
}

// unreachableFromZones returns the upstreams that gateways of minUnreachableZones could not connect to,
// or of all zones if there are fewer. The map reports has an entry for each zone with gateways.
func unreachableFromZones(reports map[units.Zone][]units.UpstreamID) map[units.UpstreamID]bool {
	zones := map[units.UpstreamID]map[units.Zone]bool{}
	for zone, ids := range reports {
		for _, id := range ids {
			if zones[id] == nil {
				zones[id] = map[units.Zone]bool{}
			}
			zones[id][zone] = true
		}
	}
	out := map[units.UpstreamID]bool{}
	for id, from := range zones {
		if len(from) >= min(minUnreachableZones, len(reports)) {
			out[id] = true
		}
	}
	return out
}

// requestsInFlight returns the number of requests in flight at each upstream, over all gateways.
func (c *controller) requestsInFlight() map[units.UpstreamID]int {
	sum := map[units.UpstreamID]int{}
	for id, s := range c.otherLoads() {
		sum[id] = s.Running
	}
	for _, s := range c.gateway.relay.Loads() {
		sum[s.Upstream] += s.Running
	}
	return sum
}

// addDemand adds this gateway's demand for models and adapters, and the upstreams that it can't reach,
// to a digest.
func (c *controller) addDemand(now clock.Time, d *wire.Digest) {
	for _, id := range c.gateway.relay.Unreachable() {
		d.Unreachable = append(d.Unreachable, string(id))
	}
	d.Waits = c.duties.encodeWaits()
	d.Needs = encodeDemand(c.ownDemand(now))
}
