package entry

import (
	"net/netip"
	"sync"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/peers"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// maxDigestParts is the maximum number of suspects among the parts of prompts in a digest.
const maxDigestParts = 32

// partTransport carries messages about parts of prompts as datagrams. It implements parts.Transport.
type partTransport struct {
	vm    units.VMID
	peers *peers.Transport

	mu       sync.Mutex // guards gateways
	gateways map[units.VMID]member.Gateway
}

// setGateways replaces the gateways, those included whose keys have lapsed a moment ago: they may still serve.
func (t *partTransport) setGateways(list []member.Gateway) {
	gateways := make(map[units.VMID]member.Gateway, len(list))
	for _, g := range list {
		gateways[g.VM] = g
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gateways = gateways
}

// Alive implements parts.Transport.
func (t *partTransport) Alive() []member.Gateway {
	fresh := t.peers.FreshDigests()
	t.mu.Lock()
	defer t.mu.Unlock()
	alive := make([]member.Gateway, 0, len(fresh)+1)
	for _, d := range fresh {
		if g, ok := t.gateways[units.VMID(d.GetVm())]; ok {
			alive = append(alive, g)
		}
	}
	if self, ok := t.gateways[t.vm]; ok {
		alive = append(alive, self)
	}
	return alive
}

// Send implements parts.Transport.
func (t *partTransport) Send(to units.VMID, m *wire.PartMessage) {
	t.mu.Lock()
	g, ok := t.gateways[to]
	t.mu.Unlock()
	if ok {
		t.peers.Send(partDatagram(m), g.Address)
	}
}

// Broadcast implements parts.Transport.
func (t *partTransport) Broadcast(m *wire.PartMessage) {
	t.mu.Lock()
	to := make([]string, 0, len(t.gateways))
	for vm, g := range t.gateways {
		if vm != t.vm {
			to = append(to, g.Address)
		}
	}
	t.mu.Unlock()
	t.peers.Send(partDatagram(m), to...)
}

// Reply implements parts.Transport.
func (t *partTransport) Reply(to parts.Sender, m *wire.PartMessage) {
	if address, ok := senderAddress(to); ok {
		t.peers.Reply(partDatagram(m), address)
	}
}

// SentAt implements parts.Transport.
func (t *partTransport) SentAt(from parts.Sender, life uint64, sent clock.Time) (clock.Time, bool) {
	address, ok := senderAddress(from)
	if !ok {
		return 0, false
	}
	return t.peers.SentAt(address, life, sent)
}

// senderAddress returns the address of a sender of datagrams.
func senderAddress(s parts.Sender) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(s.Address)
	if err != nil {
		klog.ErrorS(err, "entry: address of a gateway", "address", s.Address)
		return netip.AddrPort{}, false
	}
	return a, true
}

func partDatagram(m *wire.PartMessage) *wire.Datagram {
	return &wire.Datagram{Body: &wire.Datagram_Part{Part: m}}
}
