// Package peers carries digests between gateways, one datagram each.
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

// maxDatagram bounds a digest. UDP carries no more over IPv4.
const maxDatagram = 60 << 10

// MaxDigestAge is the age up to which a digest tells the present state of its gateway.
const MaxDigestAge = 900 * clock.Millisecond

// Digest is a digest as received.
type Digest struct {
	*wire.Digest
	ReceivedAt clock.Time
}

// HasMisses reports whether requests at the gateway miss a model or adapter.
func (d Digest) HasMisses() bool {
	return slices.ContainsFunc(d.GetNeeds(), func(n *wire.ModelNeed) bool { return n.GetMissed() > 0 })
}

// Options are what a Peers needs.
type Options struct {
	Clock   clock.Clock
	VM      units.VMID
	Address string
	// OnDigest is called from the receiving goroutine for each new digest.
	OnDigest func(d Digest)
}

// Transport sends and receives digests.
type Transport struct {
	Options
	conn *net.UDPConn
	mu   sync.Mutex
	last map[units.VMID]Digest
}

// Listen opens the socket.
func Listen(o Options) (*Transport, error) {
	a, err := netip.ParseAddrPort(o.Address)
	if err != nil {
		return nil, fmt.Errorf("peers: address %q: %w", o.Address, err)
	}
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, fmt.Errorf("peers: listen on %s: %w", a, err)
	}
	return &Transport{Options: o, conn: c, last: map[units.VMID]Digest{}}, nil
}

// Run receives digests until the context is done.
func (p *Transport) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { closeQuietly(p.conn) })
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

// closeQuietly closes a connection whose state no longer matters.
func closeQuietly(c net.Conn) { _ = c.Close() }

func (p *Transport) receive(data []byte) {
	d := &wire.Digest{}
	if err := proto.Unmarshal(data, d); err != nil || d.GetVm() == "" {
		stats.Event("digests_unreadable")
		klog.V(1).InfoS("peers: datagram can't be read", "bytes", len(data), "err", err)
		return
	}
	vm := units.VMID(d.GetVm())
	if vm == p.VM {
		return
	}
	one := Digest{d, p.Clock.Now()}
	p.mu.Lock()
	old, ok := p.last[vm]
	if ok && old.GetLife() == d.GetLife() && old.GetNumber() >= d.GetNumber() {
		p.mu.Unlock()
		return
	}
	p.last[vm] = one
	p.mu.Unlock()
	p.OnDigest(one)
}

// FreshDigests returns the digests that tell the present.
func (p *Transport) FreshDigests() []Digest {
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Digest, 0, len(p.last))
	for _, d := range p.last {
		if now.Sub(d.ReceivedAt) < MaxDigestAge {
			out = append(out, d)
		}
	}
	return out
}

// Send sends a digest to the addresses. A digest that can't be sent is lost.
func (p *Transport) Send(d *wire.Digest, addresses []string) {
	data, err := proto.Marshal(d)
	if err != nil {
		klog.Errorf("peers: encode a digest: %v", err)
		return
	}
	if len(data) > maxDatagram {
		stats.Event("digests_too_large")
		klog.Errorf("peers: digest of %d bytes is too large", len(data))
		return
	}
	for _, s := range addresses {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			klog.Warningf("peers: address %q: %v", s, err)
			continue
		}
		if _, err := p.conn.WriteToUDPAddrPort(data, a); err != nil {
			stats.Event("digests_not_sent")
		}
	}
}
