package entry

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/peers"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// ownerFleet is gateways of which only the part that exchanges messages about parts runs.
type ownerFleet struct {
	t      *testing.T
	clock  *clock.Manual
	owners []*partOwners
	errs   chan error
	digest uint64
}

// newOwnerFleet starts n gateways that are informed.
func newOwnerFleet(t *testing.T, n int) *ownerFleet {
	t.Helper()
	f := &ownerFleet{t: t, clock: clock.NewManual(1000), errs: make(chan error, n)}
	ctx, cancel := context.WithCancel(context.Background())
	var gateways []member.Gateway
	for i := range n {
		o := f.newOwners(i, uint64(i+1))
		address := freeUDPAddress(t)
		transport, err := peers.Listen(peers.Options{
			Clock: f.clock, VM: o.vm, Life: o.incarnation, Address: address, OnDigest: func(peers.Digest) {},
			OnMessage: func(m *wire.Datagram, from netip.AddrPort) { o.handleMessage(m, from) },
		})
		assert.NilError(t, err)
		o.peers = transport
		gateways = append(gateways, member.Gateway{VM: o.vm, Address: address})
		go func() { f.errs <- transport.Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range n {
			assert.NilError(t, <-f.errs)
		}
	})
	for _, o := range f.owners {
		o.setGateways(gateways)
	}
	f.tick(clock.Second)
	f.sendDigests(gateways)
	return f
}

func (f *ownerFleet) newOwners(i int, life uint64) *partOwners {
	guard := parts.NewGuard(f.clock)
	o := newPartOwners(units.VMID(fmt.Sprint("gate-", i)), life, f.clock, guard)
	guard.SetOwners(o)
	f.owners = append(f.owners, o)
	return o
}

// freeUDPAddress returns a free address of the loopback interface.
func freeUDPAddress(t *testing.T) string {
	t.Helper()
	p, err := peers.Listen(peers.Options{Clock: clock.System{}, Address: "127.0.0.1:0"})
	assert.NilError(t, err)
	address := p.Address()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(t, p.Run(ctx))
	return address
}

// sendDigests makes all gateways appear alive to each other.
func (f *ownerFleet) sendDigests(gateways []member.Gateway) {
	f.t.Helper()
	f.digest++
	for _, o := range f.owners {
		for _, g := range gateways {
			o.peers.Send(&wire.Datagram{Body: &wire.Datagram_Digest{Digest: &wire.Digest{
				Vm: string(o.vm), Life: o.incarnation, Number: f.digest, SentMs: int64(f.clock.Now()),
			}}}, g.Address)
		}
	}
	for _, o := range f.owners {
		f.waitFor("digests", func() bool { return len(o.peers.FreshDigests()) == len(gateways)-1 })
	}
}

// tick passes time at gateways that run, without a pause.
func (f *ownerFleet) tick(s clock.Span) {
	for ; s > 0; s -= 100 {
		f.clock.Advance(100)
		for _, o := range f.owners {
			o.onTick(f.clock.Now())
		}
	}
}

func (f *ownerFleet) waitFor(what string, ok func() bool) {
	f.t.Helper()
	for range 500 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("timeout: %s", what)
}

// ownerOf returns the index of the gateway that owns a part.
func (f *ownerFleet) ownerOf(part parts.ID) int {
	first := f.owners[0].candidates(part)[0].VM
	for i, o := range f.owners {
		if o.vm == first {
			return i
		}
	}
	return -1
}

// partOwnedBy returns a part that the gateway owns.
func (f *ownerFleet) partOwnedBy(gateway int) parts.ID {
	for part := parts.ID(1); ; part++ {
		if f.ownerOf(part) == gateway {
			return part
		}
	}
}

func (f *ownerFleet) ask(gateway int, part parts.ID, id parts.Permit) parts.Reply {
	reply, _ := f.owners[gateway].Ask(context.Background(), part, id)
	return reply
}

// Guards against one request with an unproven part on its way for each gateway: all gateways together get
// as many permits as one.
func TestGatewaysShareThePermitsOfAPart(t *testing.T) {
	f := newOwnerFleet(t, 5)
	const part parts.ID = 4711
	granted := 0
	for i := range f.owners {
		if f.ask(i, part, parts.Permit(i)) == parts.Granted {
			granted++
		}
	}
	assert.Equal(t, granted, 2)
}

// Guards against a gateway that was paused, missed crashes meanwhile and lets requests with the part begin
// anew, for itself or for others.
func TestPausedOwnerIsPassedOver(t *testing.T) {
	f := newOwnerFleet(t, 4)
	part := f.partOwnedBy(0)
	list := []parts.Suspect{{Part: part, Crashes: []parts.Crash{{ID: 1, SentAt: 5}, {ID: 2, SentAt: 6}}}}
	for _, o := range f.owners[1:] {
		o.guard.Merge(list[0])
	}
	// The owner wakes up and has not run its loop yet; the others have.
	f.clock.Advance(500)
	for _, o := range f.owners[1:] {
		o.onTick(f.clock.Now())
		o.mu.Lock()
		o.informedAt = 0
		o.mu.Unlock()
	}
	assert.Equal(t, f.ask(1, part, 10), parts.Denied)
	assert.Equal(t, f.ask(0, part, 11), parts.Denied)
	f.owners[0].onTick(f.clock.Now())
	assert.Equal(t, f.ask(1, part, 12), parts.Denied)
	assert.Equal(t, f.ask(0, part, 13), parts.Denied)
	f.owners[2].Announce(list)
	f.waitFor("the owner learns of the crashes", func() bool { return len(f.owners[0].guard.Suspects(1)) == 1 })
}

// Guards against requests that fail because the owner of a part has gone.
func TestSilentOwnerIsPassedOver(t *testing.T) {
	f := newOwnerFleet(t, 3)
	part := f.partOwnedBy(0)
	f.owners[0].mu.Lock() // the gateway answers nothing
	defer f.owners[0].mu.Unlock()
	assert.Equal(t, f.ask(1, part, 1), parts.Granted)
}

// Guards against a crash that an older message of an answer refutes, because the message is dated by its
// reader's clock.
func TestUndatedAnswerRefutesNoCrash(t *testing.T) {
	m := encodePartSuspects(5000, []parts.Suspect{{Part: 1, BeganAt: 4000, Crashes: []parts.Crash{{ID: 1, SentAt: 3000}}}})[0]
	l := parts.NewLedger()
	for id := range parts.Permit(3) {
		l.Merge(9000, parts.Suspect{Part: 1, Crashes: []parts.Crash{{ID: 7, SentAt: 8000}, {ID: 8, SentAt: 8100}}})
		l.Merge(9000, decodePartSuspect(m, 9000, false))
		reply, _ := l.Request(9000, 1, id)
		assert.Equal(t, reply, parts.Denied)
	}
	l.Merge(9100, decodePartSuspect(m, 9100, true))
	state, _ := l.State(9100, 1)
	assert.Equal(t, state, parts.Unproven, "an answer at 8,100 refutes two crashes")
}
