package entry

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/elect"
	"github.com/magnolialever/magnolialever/epoch"
	"github.com/magnolialever/magnolialever/feed"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/peers"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/platform/fakes"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
	"github.com/magnolialever/magnolialever/wire"
)

// newCutOffGateway returns a gateway that does not reach the store, and its control loop, which nobody runs.
func newCutOffGateway(t *testing.T) (*Gateway, *controller) {
	t.Helper()
	l, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	port := netip.MustParseAddrPort(l.LocalAddr().String()).Port()
	l.Close()
	g, err := New(&platform.Settings{VM: "self", IP: "127.0.0.1", FirstPort: int(port), LastPort: int(port) + 1, StoreAddress: "127.0.0.1:1"})
	assert.NilError(t, err)
	return g, newController(g)
}

// Guards against a leader that goes on after the store has forgotten it, because it does not reach the store itself; and against late
// or odd messages that bring back an earlier era.
func TestGatewayCutOffFromStoreHearsOfNewEra(t *testing.T) {
	g, c := newCutOffGateway(t)
	notice := func(era int64) {
		g.handleMessage(&wire.Datagram{Body: &wire.Datagram_EraNotice{EraNotice: &wire.EraNotice{Era: era}}}, netip.AddrPort{})
		for len(g.inbox) > 0 {
			c.handle(<-g.inbox)
		}
	}
	now := g.clock.Now()
	c.handle(eraBegan{era: 1, at: now})
	free, _ := epoch.Join(1, 5)
	taken, _ := epoch.Join(1, 6)
	c.orders.elector.RecordHolder(now, free, "")
	c.orders.elector.Acquired(now, now, units.Epoch(taken), elect.LeaseTTL)
	for _, era := range []int64{0, -3, 1 << 50} {
		notice(era)
	}
	assert.Assert(t, c.orders.elector.Holds(now), "no later era")
	notice(8_000_000)
	assert.Assert(t, !c.orders.elector.Holds(now), "it goes on although the store may have forgotten it")
	assert.Equal(t, g.store.Era(), epoch.Era(0), "only the store's own word makes its answers late")
	assert.Equal(t, c.newDigest(now).GetEra(), int64(0), "others' words are not passed on")
	again, _ := epoch.Join(1, 7)
	c.orders.elector.RecordHolder(now, again, "")
	assert.Assert(t, c.orders.elector.Acquired(now, now, units.Epoch(again)+1, elect.LeaseTTL), "a wrong notice ends leadership for good")
	notice(2)
	assert.Assert(t, c.orders.elector.Holds(now), "a late notice")
}

// Guards against keys of an older configuration that a gateway accepts once the others have sent more digests: what arrived before
// the store confirmed its own still counts.
func TestNewerConfigIsRemembered(t *testing.T) {
	_, c := newCutOffGateway(t)
	c.snapshot, c.eraAt = &view.Snapshot{Config: &fleet.Config{Version: 5}}, 900
	for _, at := range []clock.Time{1000, 1200, 1400} {
		c.recordConfig(peers.Digest{Digest: &wire.Digest{Config: 8}, ReceivedAt: at})
	}
	assert.Assert(t, c.lacksConfig(1100))
	assert.Assert(t, !c.lacksConfig(950), "the others may have read it since")
	c.snapshot = &view.Snapshot{Config: &fleet.Config{Version: 8}}
	assert.Assert(t, !c.lacksConfig(1500))
}

// Guards against shares of limits that grow because the store has forgotten gateways that run: they stay until all have had
// the time to register again.
func TestForgottenGatewaysStay(t *testing.T) {
	_, c := newCutOffGateway(t)
	for i := range 3 {
		c.members.Set(member.Gateway{VM: units.VMID(fmt.Sprint("gate-", i)), Address: fmt.Sprint("127.0.0.1:", 10+i)})
	}
	c.handleFullRead(clock.Time(1000), feed.FullRead{Keys: map[string]bool{}, Revision: 5, Returned: true, Settling: true})
	assert.Equal(t, len(c.members.Registered()), 4)
	c.handleFullRead(clock.Time(4000), feed.FullRead{Keys: map[string]bool{member.Key("gate-1"): true}, Revision: 9, Returned: true})
	assert.Equal(t, len(c.members.Registered()), 2)
}

// Guards against keys that others' words confirm after the store has lost a newer configuration: a gateway that has started since
// does not know that there was one.
func TestConfirmationsBeforeRewriteDontCount(t *testing.T) {
	g, c := newCutOffGateway(t)
	c.snapshot = &view.Snapshot{Config: &fleet.Config{Version: 7}}
	c.handle(eraBegan{era: 1})
	digest := func(era, version int64) peers.Digest {
		return peers.Digest{Digest: &wire.Digest{Era: era, Config: version}}
	}
	assert.Assert(t, !c.mayPrecedeRewrite(digest(1, 7), 500), "nothing was lost")
	fake := fakes.NewStore()
	defer fake.Close()
	fake.SetEra(2)
	g.store = platform.NewStore(fake.Addr())
	_, err := g.store.Revision(context.Background())
	assert.NilError(t, err)
	c.eraAt = 1000
	assert.Assert(t, c.mayPrecedeRewrite(digest(2, 7), 1500))
	assert.Assert(t, !c.mayPrecedeRewrite(digest(1, 7), 900), "the store said so before it came back")
	assert.Assert(t, c.mayPrecedeRewrite(digest(0, 7), 1500), "an earlier version of the program does not know eras")
	assert.Assert(t, !c.mayPrecedeRewrite(digest(2, 7), 2500))
	assert.Assert(t, c.mayPrecedeRewrite(digest(2, 6), 2500), "the operator has not written again")
	assert.Assert(t, !c.mayPrecedeRewrite(digest(2, 6), 1000+clock.Time(maxConfigWait)))
}

// Guards against a gateway that starts after a return of the store and takes the word of one that does not know either what was
// lost; against one that waits although another one knows that nothing is missing; and against a control loop that has not
// heard of the era yet.
func TestOnlyGatewaysThatKnowEndTheWait(t *testing.T) {
	g, c := newCutOffGateway(t)
	fake := fakes.NewStore()
	defer fake.Close()
	fake.SetEra(2)
	g.store = platform.NewStore(fake.Addr())
	c.snapshot = &view.Snapshot{Config: &fleet.Config{Version: 7}}
	assert.Assert(t, !c.mayLackConfig(1000), "the store states no era")
	_, err := g.store.Revision(context.Background())
	assert.NilError(t, err)
	assert.Assert(t, c.mayLackConfig(1000), "the begin of the era is not handled")
	c.handle(eraBegan{era: 2, at: 1000})
	digest := func(d *wire.Digest) peers.Digest { return peers.Digest{Digest: d, ReceivedAt: 1100} }
	c.recordConfig(digest(&wire.Digest{Era: 2, Config: 7, ConfirmedMs: 10}))
	c.recordConfig(digest(&wire.Digest{Era: 2, Config: 7, SettledEra: 1}))
	c.recordConfig(digest(&wire.Digest{Era: 2, Config: 7, SettledEra: 1 << 60}))
	assert.Assert(t, c.mayLackConfig(1100))
	assert.Assert(t, !c.mayLackConfig(1000+clock.Time(view.RewriteTime)), "the operator has written again")
	c.confirmedAt = 1100
	c.updateKeyValidity(1200)
	assert.Equal(t, c.keysConfirmedAt, clock.Time(0))
	assert.Equal(t, c.newDigest(1200).GetSettledEra(), int64(1), "it does not know")
	c.recordConfig(digest(&wire.Digest{Era: 2, Config: 7, SettledEra: 2}))
	assert.Assert(t, !c.mayLackConfig(1100), "another gateway knows")
	c.updateKeyValidity(1200)
	assert.Equal(t, c.keysConfirmedAt, clock.Time(1100))
	assert.Equal(t, c.newDigest(1200).GetSettledEra(), int64(2))
}

// Guards against a newer configuration that is forgotten with the last gateway that used it.
func TestNewerConfigIsPassedOn(t *testing.T) {
	_, c := newCutOffGateway(t)
	c.snapshot, c.eraAt = &view.Snapshot{Config: &fleet.Config{Version: 5}}, 900
	assert.Equal(t, c.newDigest(1000).GetNewestConfig(), int64(0))
	c.recordConfig(peers.Digest{Digest: &wire.Digest{Config: 5, NewestConfig: 8}, ReceivedAt: 1000})
	assert.Equal(t, c.newDigest(1100).GetNewestConfig(), int64(8))
	assert.Equal(t, c.newDigest(900+clock.Time(maxConfigWait)).GetNewestConfig(), int64(0), "the operator does not write it again")
}
