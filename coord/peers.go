package coord

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/rate"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// Connected implements gate.Peers.
func (c *Coord) Connected(to wire.Identity, l gate.Link) {
	gateway := to.Role == wire.Gateway
	c.options.Syncer.Attach(syncer.Peer{ID: units.VMID(to.ID), Gateway: gateway, Link: l})
	if gateway {
		c.leader.setConnected(units.VMID(to.ID), true)
	}
	c.post(connected{to, l})
}

// Disconnected implements gate.Peers.
func (c *Coord) Disconnected(to wire.Identity, l gate.Link) {
	c.options.Syncer.Detach(units.VMID(to.ID), l)
	if to.Role == wire.Gateway {
		c.leader.setConnected(units.VMID(to.ID), false)
	}
	c.post(disconnected{to, l})
}

// Answered implements gate.Peers.
func (c *Coord) Answered(from wire.Identity, sent clock.Time) {
	if from.Role == wire.Gateway {
		c.options.Syncer.Answered(units.VMID(from.ID), sent)
	}
}

// Receive implements gate.Peers.
func (c *Coord) Receive(from wire.Identity, f *wire.Frame, _ gate.Reply) {
	switch b := f.Body.(type) {
	case *wire.Frame_Config:
		c.options.Syncer.Deliver(units.VMID(from.ID), f)
		return
	case *wire.Frame_Leave:
		if from.Role == wire.Gateway {
			c.leader.setLeaving(units.VMID(from.ID))
		}
		return
	case *wire.Frame_Suspects:
		c.suspects.Receive(b.Suspects)
		return
	case *wire.Frame_Outcome:
		c.queries.deliver(units.UpstreamID(from.ID), b.Outcome)
		return
	case *wire.Frame_Versions:
		c.options.Syncer.Deliver(units.VMID(from.ID), f)
		if from.Role != wire.Agent || b.Versions.Owners == 0 {
			return
		}
	}
	if !c.post(received{from, f}) {
		stats.Event("control_frame_after_stop")
	}
}

// connected tells the loop of a link.
type connected struct {
	to   wire.Identity
	link gate.Link
}

func (e connected) apply(s *state) {
	s.coord.outboxes.open(e.to.ID, e.link)
	s.agents[e.to.ID] = e.to.Role == wire.Agent
	if s.table != nil {
		s.push(e.to.ID, s.table.Frame())
	}
	s.announce(e.to.ID)
}

// disconnected tells the loop of the end of a link.
type disconnected struct {
	to   wire.Identity
	link gate.Link
}

func (e disconnected) apply(s *state) {
	if s.coord.outboxes.close(e.to.ID, e.link) {
		delete(s.agents, e.to.ID)
	}
}

// received is a control frame of a peer.
type received struct {
	from  wire.Identity
	frame *wire.Frame
}

func (e received) apply(s *state) {
	now, from := s.now(), units.VMID(e.from.ID)
	switch b := e.frame.Body.(type) {
	case *wire.Frame_Acquire:
		g := s.owner.Acquire(now, from, rate.AcquireFromWire(b.Acquire))
		s.push(e.from.ID, g.Frame())
	case *wire.Frame_Grant:
		s.client.HandleGrant(now, rate.GrantFromWire(b.Grant))
	case *wire.Frame_Settle:
		s.owner.Settle(now, from, rate.SettleFromWire(b.Settle))
	case *wire.Frame_Level:
		s.owner.RestoreBucket(now, rate.BucketTransferFromWire(b.Level))
	case *wire.Frame_Owners:
		s.learn(rate.TableFromWire(b.Owners))
	case *wire.Frame_Versions:
		s.owner.Ack(now, units.UpstreamID(e.from.ID), b.Versions.Owners)
	case *wire.Frame_Demand:
		s.coord.placer.demanded(now, from, b.Demand)
	case *wire.Frame_Leader:
		s.lead(from, units.Fence(b.Leader.Fence))
	case *wire.Frame_OrderResult:
		s.coord.placer.result(units.UpstreamID(e.from.ID), b.OrderResult)
	default:
		stats.Event("control_frame_unknown")
	}
}
