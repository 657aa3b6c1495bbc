package coord

import (
	"sync"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// partsInterval is the time within which a gateway that has started is connected to the others, which
	// then tell it their suspects.
	partsInterval = clock.Second
	// maxPartSuspects is the maximum number of suspects that a gateway tells one that connects.
	maxPartSuspects = 128
	// driftDivisor bounds how far two clocks drift apart: by the elapsed time divided by it.
	driftDivisor = 1000
)

// partTransport carries messages about parts of prompts over the sessions between gateways. It implements
// parts.Transport.
type partTransport struct {
	coord *Coord
	self  units.VMID

	mu sync.Mutex // guards the fields below
	// links are the sessions with other gateways, clocks what is known of their clocks.
	links  map[units.VMID]gate.Link
	clocks map[units.VMID]peerClock
}

// peerClock says that another gateway's clock had reached peerNow after askedAt of this one's.
type peerClock struct {
	askedAt, peerNow clock.Time
}

func newPartTransport(c *Coord) *partTransport {
	return &partTransport{
		coord: c, self: c.options.Self, links: map[units.VMID]gate.Link{}, clocks: map[units.VMID]peerClock{},
	}
}

// connected adds the session with another gateway.
func (t *partTransport) connected(vm units.VMID, l gate.Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.links[vm] = l
}

// disconnected removes a session. What is known of the clock ends with it: the next session may be with
// another process.
func (t *partTransport) disconnected(vm units.VMID, l gate.Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[vm] == l {
		delete(t.links, vm)
		delete(t.clocks, vm)
	}
}

// answered records a reading of another gateway's clock.
func (t *partTransport) answered(vm units.VMID, askedAt, peerNow clock.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.links[vm]; ok {
		t.clocks[vm] = peerClock{askedAt, peerNow}
	}
}

// Alive implements parts.Transport.
func (t *partTransport) Alive() []member.Gateway {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]member.Gateway, 0, 1+len(t.links))
	list = append(list, member.Gateway{VM: t.self})
	for vm := range t.links {
		list = append(list, member.Gateway{VM: vm})
	}
	return list
}

// Send implements parts.Transport.
func (t *partTransport) Send(to units.VMID, m *wire.PartMessage) {
	if !t.coord.post(pushFrame{string(to), partFrame(m)}) {
		stats.Event("control_frame_after_stop")
	}
}

// Broadcast implements parts.Transport.
func (t *partTransport) Broadcast(m *wire.PartMessage) {
	for _, g := range t.Alive() {
		if g.VM != t.self {
			t.Send(g.VM, m)
		}
	}
}

// Reply implements parts.Transport.
func (t *partTransport) Reply(to parts.Sender, m *wire.PartMessage) { t.Send(to.VM, m) }

// SentAt implements parts.Transport.
func (t *partTransport) SentAt(from parts.Sender, _ uint64, sent clock.Time) (clock.Time, bool) {
	now := t.coord.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.clocks[from.VM]
	if !ok {
		return 0, false
	}
	drift := now.Sub(c.askedAt)/driftDivisor + clock.Millisecond
	return min(c.askedAt.Add(sent.Sub(c.peerNow)-drift), now), true
}

func partFrame(m *wire.PartMessage) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_PromptPart{PromptPart: m}}
}

// pushFrame sends a frame to a connected process.
type pushFrame struct {
	to    string
	frame *wire.Frame
}

func (e pushFrame) apply(s *state) { s.push(e.to, e.frame) }

// sendSuspects tells a gateway that has connected what is known of suspects.
func (s *state) sendSuspects(to string) {
	c := s.coord
	list := c.parts.Suspects(maxPartSuspects)
	if len(list) == 0 {
		return
	}
	now := s.now()
	s.push(to, partFrame(&wire.PartMessage{Body: &wire.PartMessage_Suspects{Suspects: &wire.PartSuspects{
		Suspects: parts.EncodeSuspects(now, list), Life: c.partExchange.Life, SentMs: int64(now),
	}}}))
}
