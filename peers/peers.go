// Package peers exchanges messages between gateways over UDP, one datagram per message: digests of
// their state, the withdrawals and deposits of rate tokens, and requests for each other's clocks.
package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// maxDatagram is the maximum size of an encoded message in bytes. UDP over IPv4 carries at
	// most 65,507 bytes.
	maxDatagram = 60 << 10
	// digestInterval is the interval between two digests. digestIntervalPerGateway is added for
	// each gateway, so that the rate of digests that a gateway receives stays bounded.
	digestInterval           = 120 * clock.Millisecond
	digestIntervalPerGateway = 5 * clock.Millisecond
	// digestsUntilStale is the number of intervals without a digest after which the last one no
	// longer counts as the state of its gateway, so that a single lost datagram changes nothing.
	digestsUntilStale = 2.5
	// minDigestAge is the least age at which a digest no longer counts. It covers the delays of a
	// busy gateway.
	minDigestAge = 900 * clock.Millisecond
	// maxStrangers is the number of gateways at once whose digests are kept although they are not known to be registered, as
	// those that have just started.
	maxStrangers = 32
)

// DigestInterval returns the interval between two digests of one gateway among n.
func DigestInterval(n int) clock.Span { return digestInterval + clock.Span(n)*digestIntervalPerGateway }

// maxDigestAge returns the age from which on a digest no longer counts as the current state of its
// gateway among n.
func maxDigestAge(n int) clock.Span {
	return max(clock.Span(digestsUntilStale*float64(DigestInterval(n))), minDigestAge)
}

// Digest is a received digest.
type Digest struct {
	*wire.Digest
	// ReceivedAt is the local time at which the digest was read, which may be long after it was sent.
	ReceivedAt clock.Time
	// From is the address of the sender.
	From netip.AddrPort
}

// HasMisses reports whether the gateway recently had requests for a model or adapter that no
// upstream held.
func (d Digest) HasMisses() bool {
	return slices.ContainsFunc(d.GetNeeds(), func(n *wire.ModelNeed) bool { return n.GetMissed() > 0 })
}

// Options configure a Transport.
type Options struct {
	Clock clock.Clock
	// VM is the id of the local VM, whose digests are ignored on receipt.
	VM units.VMID
	// Life identifies this incarnation of the gateway.
	Life uint64
	// Address is the UDP address to listen on, in the form IPv4:port.
	Address string
	// OnDigest is called from the receiving goroutine for each digest that is newer than the last
	// one of its gateway.
	OnDigest func(d Digest)
	// OnMessage is called from the receiving goroutine for each message other than a digest, with
	// its sender's address.
	OnMessage func(m *wire.Datagram, from netip.AddrPort)
}

// Transport sends and receives digests over UDP. It is safe for concurrent use.
type Transport struct {
	Options
	conn   *net.UDPConn
	clocks *Clocks
	mu     sync.Mutex
	latest map[units.VMID]Digest
	// known are the gateways that the store has listed; the interval of digests follows from their number.
	known map[units.VMID]bool
}

// Listen opens the UDP socket. It returns an error if the address is invalid or can't be
// bound.
func Listen(o Options) (*Transport, error) {
	a, err := netip.ParseAddrPort(o.Address)
	if err != nil {
		return nil, fmt.Errorf("peers: address %q: %w", o.Address, err)
	}
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, fmt.Errorf("peers: listen on %s: %w", a, err)
	}
	return &Transport{Options: o, conn: c, clocks: newClocks(o.Clock, o.Life), latest: map[units.VMID]Digest{}}, nil
}

// Address returns the address on which the Transport listens, in the form IPv4:port.
func (p *Transport) Address() string { return p.conn.LocalAddr().String() }

// Run receives digests until ctx is done, and then closes the socket and returns nil. It
// returns an error if receiving fails.
func (p *Transport) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { closeIgnoringError(p.conn) })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("peers: receive: %w", err)
		}
		p.receive(buf[:n], from)
	}
}

// closeIgnoringError closes a connection whose close error has no consequence.
func closeIgnoringError(c net.Conn) { _ = c.Close() }

// receive decodes a datagram and passes its message on.
func (p *Transport) receive(data []byte, from netip.AddrPort) {
	m := &wire.Datagram{}
	if err := proto.Unmarshal(data, m); err != nil || m.GetBody() == nil {
		stats.Event("digests_unreadable")
		klog.V(1).InfoS("peers: ignoring malformed datagram", "bytes", len(data), "err", err)
		return
	}
	switch b := m.GetBody().(type) {
	case *wire.Datagram_Digest:
		p.receiveDigest(b.Digest, from)
	case *wire.Datagram_ClockRequest:
		p.Reply(p.clocks.answer(b.ClockRequest), from)
	case *wire.Datagram_ClockAnswer:
		p.clocks.recordAnswer(b.ClockAnswer)
	default:
		p.OnMessage(m, from)
	}
}

// receiveDigest passes a digest on unless it is local, duplicate or older than the last one of the
// same incarnation of its gateway.
func (p *Transport) receiveDigest(d *wire.Digest, from netip.AddrPort) {
	vm := units.VMID(d.GetVm())
	if vm == "" || vm == p.VM {
		return
	}
	received := Digest{d, p.Clock.Now(), from}
	p.mu.Lock()
	old, ok := p.latest[vm]
	if ok && old.GetLife() == d.GetLife() && old.GetNumber() >= d.GetNumber() {
		p.mu.Unlock()
		return
	}
	if !ok && !p.makeRoom(vm) {
		p.mu.Unlock()
		stats.Event("digests_of_strangers")
		return
	}
	p.latest[vm] = received
	p.mu.Unlock()
	p.OnDigest(received)
}

// makeRoom reports whether the first digest of a gateway may be kept. It drops the last ones of gateways that are not known to
// be registered if they no longer count. p.mu must be held.
func (p *Transport) makeRoom(vm units.VMID) bool {
	if p.known[vm] {
		return true
	}
	now, strangers := p.Clock.Now(), 0
	for other, d := range p.latest {
		switch {
		case p.known[other]:
		case now.Sub(d.ReceivedAt) >= maxDigestAge(len(p.known)):
			delete(p.latest, other)
		default:
			strangers++
		}
	}
	return strangers < maxStrangers
}

// SetGateways sets the gateways that the store has listed, this one included.
func (p *Transport) SetGateways(list []units.VMID) {
	known := make(map[units.VMID]bool, len(list))
	for _, vm := range list {
		known[vm] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known = known
}

// FreshDigests returns the last digest of each gateway that has not missed several intervals.
func (p *Transport) FreshDigests() []Digest {
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Digest, 0, len(p.latest))
	for _, d := range p.latest {
		if now.Sub(d.ReceivedAt) < maxDigestAge(len(p.known)) {
			out = append(out, d)
		}
	}
	return out
}

// Send sends a message to the addresses, in the form IPv4:port. It is best effort: failures are
// counted or logged, and not retried.
func (p *Transport) Send(m *wire.Datagram, addresses ...string) {
	data, ok := encode(m)
	if !ok {
		return
	}
	for _, s := range addresses {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			klog.Warningf("peers: skipping invalid address %q: %v", s, err)
			continue
		}
		p.write(data, a)
	}
}

// Reply sends a message to the sender of another one, like Send.
func (p *Transport) Reply(m *wire.Datagram, to netip.AddrPort) {
	if data, ok := encode(m); ok {
		p.write(data, to)
	}
}

// encode encodes a message and reports whether it fits a datagram.
func encode(m *wire.Datagram) ([]byte, bool) {
	data, err := proto.Marshal(m)
	if err != nil {
		klog.Errorf("peers: encode message: %v", err)
		return nil, false
	}
	if len(data) > maxDatagram {
		stats.Event("digests_too_large")
		klog.Errorf("peers: message of %d bytes exceeds the datagram limit; not sent", len(data))
		return nil, false
	}
	return data, true
}

func (p *Transport) write(data []byte, to netip.AddrPort) {
	if _, err := p.conn.WriteToUDPAddrPort(data, to); err != nil {
		stats.Event("digests_not_sent")
	}
}
