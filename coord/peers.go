package coord

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/rate"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// Connected implements gate.Peers.
func (c *Coord) Connected(peer wire.Identity, l gate.Link) {
	gateway := peer.Role == wire.Gateway
	c.options.Syncer.AddPeer(syncer.Peer{ID: units.VMID(peer.ID), Gateway: gateway, Link: l})
	if gateway {
		c.elector.setConnected(units.VMID(peer.ID), true)
		c.partTransport.connected(units.VMID(peer.ID), l)
	}
	c.post(connected{peer, l})
}

// Disconnected implements gate.Peers.
func (c *Coord) Disconnected(peer wire.Identity, l gate.Link) {
	c.options.Syncer.RemovePeer(units.VMID(peer.ID), l)
	if peer.Role == wire.Gateway {
		c.elector.setConnected(units.VMID(peer.ID), false)
		c.partTransport.disconnected(units.VMID(peer.ID), l)
	}
	c.post(disconnected{peer, l})
}

// Answered implements gate.Peers.
func (c *Coord) Answered(from wire.Identity, sent, peerNow clock.Time, versions uint64) {
	if from.Role == wire.Gateway {
		c.partTransport.answered(units.VMID(from.ID), sent, peerNow)
		c.options.Syncer.GatewayResponded(units.VMID(from.ID), sent, versions)
	}
}

// VersionsHash implements gate.Peers.
func (c *Coord) VersionsHash() uint64 { return c.options.Syncer.VersionsHash() }

// Receive implements gate.Peers. Frames for the control loop itself are queued.
func (c *Coord) Receive(from wire.Identity, f *wire.Frame, _ gate.Reply) {
	switch b := f.Body.(type) {
	case *wire.Frame_Config:
		c.options.Syncer.HandleFrame(units.VMID(from.ID), f)
		return
	case *wire.Frame_Leave:
		if from.Role == wire.Gateway {
			c.elector.setDraining(units.VMID(from.ID))
		}
		return
	case *wire.Frame_Suspects:
		c.suspects.Receive(b.Suspects)
		return
	case *wire.Frame_PromptPart:
		if from.Role == wire.Gateway {
			c.partExchange.Handle(b.PromptPart, parts.Sender{VM: units.VMID(from.ID)})
		}
		return
	case *wire.Frame_Outcome:
		c.outcomeQueries.deliver(units.UpstreamID(from.ID), b.Outcome)
		return
	case *wire.Frame_Versions:
		c.options.Syncer.HandleFrame(units.VMID(from.ID), f)
		if from.Role != wire.Agent || b.Versions.Owners == 0 {
			return
		}
	}
	if !c.post(received{from, f}) {
		stats.Event("control_frame_after_stop")
	}
}

// connected adds a link and sends the slot table and, if held, the control lease over it.
type connected struct {
	peer wire.Identity
	link gate.Link
}

func (e connected) apply(s *state) {
	s.coord.outboxes.open(e.peer.ID, e.link)
	s.isAgent[e.peer.ID] = e.peer.Role == wire.Agent
	if s.slotTable != nil {
		s.push(e.peer.ID, s.slotTable.Frame())
	}
	if e.peer.Role == wire.Gateway {
		s.sendSuspects(e.peer.ID)
	}
	s.announce(e.peer.ID)
}

// disconnected removes a link that has ended.
type disconnected struct {
	peer wire.Identity
	link gate.Link
}

func (e disconnected) apply(s *state) {
	if s.coord.outboxes.close(e.peer.ID, e.link) {
		delete(s.isAgent, e.peer.ID)
	}
}

// received handles a control frame of a peer.
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
		s.updateTable(rate.TableFromWire(b.Owners))
	case *wire.Frame_Versions:
		s.owner.Ack(now, units.UpstreamID(e.from.ID), b.Versions.Owners)
	case *wire.Frame_Demand:
		s.coord.placer.addDemand(now, from, b.Demand)
	case *wire.Frame_Leader:
		s.updateController(from, units.Fence(b.Leader.Fence))
	case *wire.Frame_OrderResult:
		s.coord.placer.addResult(units.UpstreamID(e.from.ID), b.OrderResult)
	default:
		stats.Event("control_frame_unknown")
	}
}
