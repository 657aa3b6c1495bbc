package entry

import (
	"context"
	"errors"
	"net/netip"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/epoch"
	"github.com/magnolialever/magnolialever/feed"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/peers"
	"github.com/magnolialever/magnolialever/rawjson"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
	"github.com/magnolialever/magnolialever/wire"
)

// tickInterval is the interval between two ticks of the control loop.
const tickInterval = 40 * time.Millisecond

// controller is the state of a gateway's control loop. One goroutine runs the loop and calls all
// methods.
type controller struct {
	gateway *Gateway
	// members are the known gateways, including this one.
	members *member.List
	// snapshot is the latest view of the store.
	snapshot *view.Snapshot
	// published is set once a view with a configuration is in use. withheld is set while the first one is not put into use,
	// as the store may have lost a newer configuration.
	published, withheld bool
	// used is the view that was put into use last.
	used *view.Snapshot
	// era is the store's era, eraAt when this gateway learned of it or of a later one; 0 is never.
	era   epoch.Era
	eraAt clock.Time
	// settledEra is the latest era of which this gateway, or another one, knows that what the store had lost is written again.
	settledEra epoch.Era
	// askedVersion is the version of members that was asked for digests.
	askedVersion uint64
	// askedBy are the addresses that get a digest with the next tick.
	askedBy []netip.AddrPort
	// peersConfig is the highest version of the configuration in the other gateways' digests. newerConfigAt is when the first
	// one arrived that is higher than this gateway's; 0 if there is none.
	peersConfig   int64
	newerConfigAt clock.Time
	// confirmedAt is when the view was last known to match the store, keysConfirmedAt when it was also known to have the newest
	// configuration.
	confirmedAt, keysConfirmedAt clock.Time
	keys                         keyBelief
	keyLog                       keyBeliefLog
	digestSentAt                 clock.Time
	// demandSentAt is when the last digest was sent to the leader.
	demandSentAt clock.Time
	// digestNumber is the number of the last digest, from 1.
	digestNumber uint64
	// gatewayCount is the last number of gateways that was applied, membersVersion the version of
	// members that was.
	gatewayCount   int
	membersVersion uint64
	// drainRequested receives a value when a planned stop begins.
	drainRequested chan struct{}
	draining       bool
	orders         *orderManager
	duties         *dutyManager
	// residencyChanges are recent loads and unloads that the upstreams' descriptions may not show
	// yet.
	residencyChanges []residencyChange
	// pendingLoads are loads that go on, or were announced lately.
	pendingLoads []pendingLoad
	// loadsAnnouncedAt is when this gateway last announced loads under way.
	loadsAnnouncedAt clock.Time
	// prompts reports to the other gateways the prompts sent to engines.
	prompts promptSender
	learned learnedPublisher
	// announcedAt is when this gateway last announced changes to the others.
	announcedAt clock.Time
}

func newController(g *Gateway) *controller {
	c := &controller{gateway: g, members: member.NewList(), snapshot: &view.Snapshot{}, drainRequested: make(chan struct{}, 1)}
	c.members.Set(g.self())
	c.used = c.snapshot
	c.orders = newOrderManager(g, c)
	c.duties = newDutyManager(g, c)
	return c
}

// run runs the control loop until the context is done. It returns no error.
func (c *controller) run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-c.gateway.inbox:
			c.handle(m)
			c.publishLeadership()
			c.orders.planIfRequested(c.gateway.clock.Now())
		case <-c.drainRequested:
			c.draining = true
			c.orders.resign(ctx)
			c.publishLeadership()
			c.sendDigest(c.gateway.clock.Now())
		case <-t.C:
			c.onTick()
			c.publishLeadership()
		case <-c.gateway.prompted:
			c.sendPrompts(c.gateway.clock.Now())
		}
	}
}

// publishLeadership makes known to other goroutines until when this gateway is the leader.
func (c *controller) publishLeadership() {
	epoch, _ := c.orders.elector.OrderEpoch(c.gateway.clock.Now())
	c.gateway.leaderEpoch.Store(int64(epoch))
	c.gateway.leaderUntil.Store(int64(c.orders.elector.LeaderUntil()))
}

func (c *controller) handle(m message) {
	now := c.gateway.clock.Now()
	switch m := m.(type) {
	case viewChanged:
		c.snapshot = m.snapshot
		// A full read brings the other gateways first: shares of limits depend on their number.
		c.applyMembers(now)
		c.useView(now)
	case storeConfirmed:
		c.confirmedAt = max(c.confirmedAt, m.at)
		c.gateway.partExchange.RecordStoreRead(m.at)
		c.updateKeyValidity(now)
	case itemReceived:
		c.handleItem(now, m)
	case fullReadDone:
		c.handleFullRead(now, m.read)
	case eraBegan:
		c.handleEraBegan(m)
	case eraReceived:
		c.handleReceivedEra(now, m.era)
	case digestAsked:
		if len(c.askedBy) < maxAskedBy {
			c.askedBy = append(c.askedBy, m.from)
		}
	case digestReceived:
		c.handleDigest(now, m.digest)
	case promptsReceived:
		c.gateway.relay.RecordOthersSent(c.prompts.decode(c.snapshot, m.prompts))
	case residencyChanged:
		c.mergeResidencyChanges(now, m.changes)
	case loadsAnnounced:
		c.mergeLoads(now, m.loads)
	case targetMissed:
		c.handleMiss(now)
	case leaseAcquired:
		c.orders.handleAcquired(now, m)
	case leaseRenewed:
		c.orders.handleRenewed(m)
	case orderResult:
		c.orders.handleOrderResult(now, m)
	case reportResult:
		c.orders.handleReport(now, m)
	default:
		c.duties.handle(now, m)
	}
}

var errOtherGateway = errors.New("it names another gateway than its key")

// handleItem handles an item that is not part of the view: the leader's key, a verdict or another gateway's
// registration.
func (c *controller) handleItem(now clock.Time, m itemReceived) {
	if m.item.Key == leaderKey {
		c.orders.handleItem(m.item)
		return
	}
	if m.item.Key == usageKey || strings.HasPrefix(m.item.Key, usageTotalsPrefix) {
		c.duties.handleItem(m.item)
		return
	}
	if part, ok := parts.ParseVerdictKey(m.item.Key); ok {
		c.handleVerdict(c.gateway.verdicts, parts.Verdict{Part: part}, m)
		return
	}
	if request, ok := parts.ParseRequestVerdictKey(m.item.Key); ok {
		c.handleVerdict(c.gateway.requestVerdicts, parts.Verdict{Part: request, Request: true}, m)
		return
	}
	vm, ok := member.ParseKey(m.item.Key)
	if !ok || vm == c.gateway.settings.VM {
		return
	}
	if m.item.Deleted {
		c.members.Remove(now, vm)
		return
	}
	g, err := member.Decode(m.item.Value)
	if err == nil && g.VM != vm {
		err = errOtherGateway
	}
	if err != nil {
		klog.InfoS("entry: invalid gateway registration ignored", "key", rawjson.Shorten(m.item.Key), "err", err)
		return
	}
	c.members.Set(g)
}

// handleFullRead removes gateways whose keys a full read did not return, and records that there is
// no leader if its key is missing. A store that came back from an older copy may lack gateways that run; they register again.
func (c *controller) handleFullRead(now clock.Time, r feed.FullRead) {
	if !r.Keys[leaderKey] {
		c.orders.elector.RecordHolder(now, r.Revision, "")
	}
	if r.Returned {
		c.restoreVerdicts(r.Keys)
	}
	if r.Settling {
		return
	}
	listed := map[units.VMID]bool{c.gateway.settings.VM: true}
	for k := range r.Keys {
		if vm, ok := member.ParseKey(k); ok {
			listed[vm] = true
		}
	}
	c.members.RemoveUnlisted(now, listed)
}

// handleDigest merges the crash suspects and parts of another gateway, and plans soon if that gateway had misses.
func (c *controller) handleDigest(now clock.Time, d peers.Digest) {
	for _, w := range d.GetSuspects() {
		c.gateway.relay.MergeSuspect(retry.DecodeSuspect(now, w))
	}
	c.recordConfig(d)
	c.gateway.partExchange.Merge(d.GetParts(), parts.Sender{VM: units.VMID(d.GetVm()), Address: d.From.String()}, d.GetLife(), d.GetSentMs())
	c.duties.handleDigest(d)
	if d.HasMisses() {
		c.orders.planSoon()
	}
}

func (c *controller) onTick() {
	now := c.gateway.clock.Now()
	c.useView(now)
	c.answerAsked(now)
	c.updateKeyValidity(now)
	c.applyMembers(now)
	c.gateway.partExchange.OnTick()
	c.gateway.limiter.onTick(now)
	c.gateway.relay.SetOtherLoads(c.otherLoads(), peers.DigestInterval(c.gatewayCount))
	c.announceChanges(now)
	c.announceLoads(now)
	c.gateway.relay.Tick()
	c.sendPrompts(now)
	c.learned.publish(now, c.gateway.relay.Learned)
	c.orders.onTick(now)
	c.duties.onTick(now)
	if now.Sub(c.digestSentAt) >= peers.DigestInterval(c.gatewayCount) {
		c.sendDigest(now)
	}
}

// applyMembers passes changes of the list of gateways on to the parts that share limits.
func (c *controller) applyMembers(now clock.Time) {
	n := c.members.Count(now)
	if c.members.Version() == c.membersVersion {
		return
	}
	c.membersVersion = c.members.Version()
	if n != c.gatewayCount {
		klog.InfoS("entry: gateways", "count", n, "before", c.gatewayCount)
	}
	c.gatewayCount = n
	c.gateway.gateways.Store(int64(n))
	all, registered := c.members.All(), c.members.Registered()
	c.gateway.peers.SetGateways(c.members.VMs())
	c.gateway.relay.SetGateways(c.gateway.settings.VM, all)
	c.gateway.limiter.setGateways(n, registered)
	c.gateway.partTransport.setGateways(all)
	c.gateway.partExchange.SetGateways(n)
	c.orders.setGateways(registered)
	c.gateway.storeWatch.Store(newStoreWatch(c.gateway.settings.VM, c.gateway.settings.Zone, registered))
}

// otherLoads returns the sum of the other gateways' loads at each upstream.
func (c *controller) otherLoads() map[units.UpstreamID]sched.Load {
	sum := map[uint32]sched.Load{}
	for _, d := range c.gateway.peers.FreshDigests() {
		for _, u := range d.GetShares() {
			sum[u.GetUpstream()] = sum[u.GetUpstream()].Add(decodeLoad(u))
		}
	}
	out := make(map[units.UpstreamID]sched.Load, len(sum))
	for id := range c.snapshot.Upstreams {
		if load, ok := sum[hashUpstream(id)]; ok {
			load.Upstream = id
			out[id] = load
		}
	}
	return out
}

// configVersion returns the version of the current configuration; 0 if there is none.
func (c *controller) configVersion() int64 {
	if c.snapshot.Config == nil {
		return 0
	}
	return c.snapshot.Config.Version
}

// updateKeyValidity extends the time until which API keys are accepted, from this gateway's and, if that
// is old, other gateways' confirmations by the store.
func (c *controller) updateKeyValidity(now clock.Time) {
	revocationDelay := c.gateway.bounds.Load().RevocationDelay
	if c.confirmedAt != 0 && !c.withheld && !c.lacksConfig(c.confirmedAt) && c.trustsStore(c.confirmedAt) {
		c.settledEra = max(c.settledEra, c.era)
		c.keysConfirmedAt = c.confirmedAt
		c.keys.confirm(c.confirmedAt, "")
	}
	if now.Sub(c.keys.confirmedAt) >= clock.Span(float64(revocationDelay)*ownConfirmationShare) {
		c.useConfirmations()
	}
	until := c.keys.validUntil(revocationDelay)
	c.gateway.keyValidity.set(until)
	c.keyLog.record(now, c.keys, until, c.configVersion())
}

// useConfirmations uses the confirmations in digests of other gateways. They are dated by the time at
// which the digest was sent; one that can't be dated yet is not used.
func (c *controller) useConfirmations() {
	for _, d := range chooseConfirmers(c.gateway.peers.FreshDigests(), c.keys.confirmedAt, c.configVersion()) {
		sentAt, ok := c.gateway.peers.SentAt(d.From, d.GetLife(), clock.Time(d.GetSentMs()))
		at := sentAt.Add(-clock.Span(d.GetConfirmedMs()))
		if ok && !c.mayPrecedeRewrite(d, at) {
			c.keys.confirm(at, units.VMID(d.GetVm()))
		}
	}
}

// otherGateways returns the addresses of all other gateways.
func (c *controller) otherGateways() []string {
	var to []string
	for _, g := range c.members.All() {
		if g.VM != c.gateway.settings.VM {
			to = append(to, g.Address)
		}
	}
	return to
}

// sendDigest sends a digest of this gateway's state to all other gateways. Only the leader gets the
// demand for models, which is by far the largest part.
func (c *controller) sendDigest(now clock.Time) {
	leader := c.orders.elector.Holder()
	var to []string
	for _, m := range c.members.All() {
		if m.VM != c.gateway.settings.VM && m.VM != leader {
			to = append(to, m.Address)
		}
	}
	c.digestSentAt = now
	d := c.newDigest(now)
	c.gateway.peers.Send(&wire.Datagram{Body: &wire.Datagram_Digest{Digest: d}}, to...)
	c.sendDemand(now, d)
}

// sendDemand adds the demand for models to a digest and sends it to the leader.
func (c *controller) sendDemand(now clock.Time, d *wire.Digest) {
	leader, ok := c.members.Get(c.orders.elector.Holder())
	if !ok || leader.VM == c.gateway.settings.VM {
		return
	}
	c.demandSentAt = now
	c.addDemand(now, d)
	c.gateway.peers.Send(&wire.Datagram{Body: &wire.Datagram_Digest{Digest: d}}, leader.Address)
}

// newDigest returns a digest without the demand for models.
func (c *controller) newDigest(now clock.Time) *wire.Digest {
	c.digestNumber++
	d := &wire.Digest{
		Vm: string(c.gateway.settings.VM), Life: c.gateway.incarnation, Number: c.digestNumber, Zone: string(c.gateway.settings.Zone),
		Config: c.configVersion(), ConfirmedMs: confirmationAge(now, c.keysConfirmedAt), SentMs: int64(now), Leaving: c.draining,
		Era: int64(c.gateway.store.Era()), SettledEra: int64(c.settledEra),
	}
	if c.lacksConfig(now) {
		d.NewestConfig = c.peersConfig
	}
	for _, l := range c.gateway.relay.Loads() {
		d.Shares = append(d.Shares, encodeLoad(l))
	}
	d.Parts = parts.EncodeSuspects(now, c.gateway.parts.Suspects(maxDigestParts))
	d.Suspects = encodeSuspects(now, c.gateway.relay.Suspects())
	d.WallMs = c.duties.wallMillis(now)
	return d
}
