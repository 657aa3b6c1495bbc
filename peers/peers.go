// Package peers exchanges load digests between gateways, one UDP datagram per digest.
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

// maxDatagram is the maximum size of an encoded digest in bytes. UDP over IPv4 carries at
// most 65,507 bytes.
const maxDatagram = 60 << 10

// MaxDigestAge is the age from which on a digest no longer counts as the current state of its
// gateway.
const MaxDigestAge = 900 * clock.Millisecond

// Digest is a received digest.
type Digest struct {
	*wire.Digest
	// ReceivedAt is the local time of receipt.
	ReceivedAt clock.Time
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
	// Address is the UDP address to listen on, in the form IPv4:port.
	Address string
	// OnDigest is called from the receiving goroutine for each digest that is newer than the last
	// one of its gateway.
	OnDigest func(d Digest)
}

// Transport sends and receives digests over UDP. It is safe for concurrent use.
type Transport struct {
	Options
	conn   *net.UDPConn
	mu     sync.Mutex
	latest map[units.VMID]Digest
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
	return &Transport{Options: o, conn: c, latest: map[units.VMID]Digest{}}, nil
}

// Run receives digests until ctx is done, and then closes the socket and returns nil. It
// returns an error if receiving fails.
func (p *Transport) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { closeIgnoringError(p.conn) })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("peers: receive: %w", err)
		}
		p.receive(buf[:n])
	}
}

// closeIgnoringError closes a connection whose close error has no consequence.
func closeIgnoringError(c net.Conn) { _ = c.Close() }

// receive decodes a datagram and passes it on unless the digest is local, duplicate or
// older than the last one of the same incarnation of its gateway.
func (p *Transport) receive(data []byte) {
	d := &wire.Digest{}
	if err := proto.Unmarshal(data, d); err != nil || d.GetVm() == "" {
		stats.Event("digests_unreadable")
		klog.V(1).InfoS("peers: ignoring malformed datagram", "bytes", len(data), "err", err)
		return
	}
	vm := units.VMID(d.GetVm())
	if vm == p.VM {
		return
	}
	received := Digest{d, p.Clock.Now()}
	p.mu.Lock()
	old, ok := p.latest[vm]
	if ok && old.GetLife() == d.GetLife() && old.GetNumber() >= d.GetNumber() {
		p.mu.Unlock()
		return
	}
	p.latest[vm] = received
	p.mu.Unlock()
	p.OnDigest(received)
}

// FreshDigests returns the last digest of each gateway if it is younger than MaxDigestAge.
func (p *Transport) FreshDigests() []Digest {
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Digest, 0, len(p.latest))
	for _, d := range p.latest {
		if now.Sub(d.ReceivedAt) < MaxDigestAge {
			out = append(out, d)
		}
	}
	return out
}

// Send sends a digest to the addresses, in the form IPv4:port. It is best effort: failures
// are counted or logged, and not retried.
func (p *Transport) Send(d *wire.Digest, addresses []string) {
	data, err := proto.Marshal(d)
	if err != nil {
		klog.Errorf("peers: encode digest: %v", err)
		return
	}
	if len(data) > maxDatagram {
		stats.Event("digests_too_large")
		klog.Errorf("peers: digest of %d bytes exceeds the datagram limit; not sent", len(data))
		return
	}
	for _, s := range addresses {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			klog.Warningf("peers: skipping invalid address %q: %v", s, err)
			continue
		}
		if _, err := p.conn.WriteToUDPAddrPort(data, a); err != nil {
			stats.Event("digests_not_sent")
		}
	}
}
