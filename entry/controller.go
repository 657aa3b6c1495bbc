package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/peers"
	"github.com/magnolialever/magnolialever/quota"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// tickInterval is the interval between two ticks of the control loop.
	tickInterval = 40 * time.Millisecond
	// digestInterval is the interval between two digests. digestIntervalPerGateway is added for
	// each gateway, so that the rate of digests that a gateway receives stays bounded.
	digestInterval           = 160 * clock.Millisecond
	digestIntervalPerGateway = 12 * clock.Millisecond
	// storeLostAfter is the age of the store's last confirmation above which the store counts as
	// lost.
	storeLostAfter = 1800 * clock.Millisecond
)

// controller is the state of a gateway's control loop. One goroutine runs the loop and calls all
// methods.
type controller struct {
	gateway *Gateway
	// members are the known gateways, including this one.
	members *member.List
	// snapshot is the latest view of the store.
	snapshot *view.Snapshot
	// confirmedAt is when the view was last known to be current.
	confirmedAt  clock.Time
	digestSentAt clock.Time
	// digestNumber is the number of the last digest, from 1.
	digestNumber uint64
	// gatewayCount is the last number of live gateways that was applied.
	gatewayCount int
	// drainRequested receives a value when a planned stop begins.
	drainRequested chan struct{}
	draining       bool
	orders         *orderManager
	// residencyChanges are recent loads and unloads that the upstreams' descriptions may not show
	// yet.
	residencyChanges []residencyChange
}

func newController(g *Gateway) *controller {
	c := &controller{gateway: g, members: member.NewList(), snapshot: &view.Snapshot{}, drainRequested: make(chan struct{}, 1)}
	c.members.Set(g.self())
	c.orders = newOrderManager(g, c)
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
		case <-c.drainRequested:
			c.draining = true
			c.orders.resign(ctx)
			c.sendDigest(c.gateway.clock.Now())
		case <-t.C:
			c.onTick()
		}
	}
}

func (c *controller) handle(m message) {
	now := c.gateway.clock.Now()
	switch m := m.(type) {
	case viewChanged:
		c.snapshot = m.snapshot
		c.publishView(now)
	case storeConfirmed:
		c.confirmedAt = max(c.confirmedAt, m.at)
		c.updateKeyValidity(now)
	case itemReceived:
		c.handleItem(now, m)
	case fullReadDone:
		c.handleFullRead(now, m.keys)
	case digestReceived:
		c.handleDigest(now, m.digest)
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
	}
}

// handleItem handles an item that is not part of the view: the leader's key or another gateway's
// registration.
func (c *controller) handleItem(now clock.Time, m itemReceived) {
	if m.item.Key == leaderKey {
		c.orders.handleItem(m.item)
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
	if err != nil {
		klog.InfoS("entry: invalid gateway registration ignored", "key", m.item.Key, "err", err)
		return
	}
	c.members.Set(g)
}

// handleFullRead removes gateways whose keys a full read did not return, and records that there is
// no leader if its key is missing.
func (c *controller) handleFullRead(now clock.Time, keys map[string]bool) {
	listed := map[units.VMID]bool{c.gateway.settings.VM: true}
	for k := range keys {
		if vm, ok := member.ParseKey(k); ok {
			listed[vm] = true
		}
	}
	c.members.RemoveUnlisted(now, listed)
	if !keys[leaderKey] {
		c.orders.elector.RecordHolder(now, c.snapshot.Revision, "")
	}
}

// handleDigest merges the residency changes, crash suspects and quota transfers of another gateway,
// and plans at once if that gateway had misses.
func (c *controller) handleDigest(now clock.Time, d peers.Digest) {
	c.mergeResidencyChanges(now, d)
	for _, w := range d.GetSuspects() {
		c.gateway.relay.MergeSuspect(decodeSuspect(now, w))
	}
	if d.HasMisses() {
		c.orders.plan(now)
	}
	c.gateway.limiter.mu.Lock()
	defer c.gateway.limiter.mu.Unlock()
	for _, t := range d.GetGifts() {
		if units.VMID(t.GetTo()) == c.gateway.settings.VM {
			c.gateway.limiter.quota.Receive(now, quota.Transfer{
				Customer: units.CustomerID(t.GetCustomer()), To: c.gateway.settings.VM, Tokens: t.GetTokens(),
			})
		}
	}
}

func (c *controller) onTick() {
	now := c.gateway.clock.Now()
	c.updateKeyValidity(now)
	if n := c.members.Count(now); n != c.gatewayCount {
		klog.InfoS("entry: gateways", "count", n, "before", c.gatewayCount)
		c.gatewayCount = n
		c.gateway.relay.SetGateways(n)
		c.gateway.limiter.mu.Lock()
		c.gateway.limiter.quota.SetGateways(n)
		c.gateway.limiter.mu.Unlock()
	}
	c.gateway.relay.SetOtherLoads(c.otherLoads())
	c.gateway.relay.Tick()
	c.orders.onTick(now)
	if now.Sub(c.digestSentAt) >= digestInterval+clock.Span(c.gatewayCount)*digestIntervalPerGateway {
		c.sendDigest(now)
	}
}

// otherLoads returns the sum of the other gateways' loads at each upstream.
func (c *controller) otherLoads() map[units.UpstreamID]sched.Load {
	sum := map[units.UpstreamID]sched.Load{}
	for _, d := range c.gateway.peers.FreshDigests() {
		for _, u := range d.GetShares() {
			id := units.UpstreamID(u.GetUpstream())
			load := sum[id]
			load.Upstream = id
			load.Running += int(u.GetRunning())
			load.Tokens += units.Tokens(u.GetTokens())
			load.Backlog += units.Tokens(u.GetBacklog())
			sum[id] = load
		}
	}
	return sum
}

// configVersion returns the version of the current configuration; 0 if there is none.
func (c *controller) configVersion() int64 {
	if c.snapshot.Config == nil {
		return 0
	}
	return c.snapshot.Config.Version
}

func (c *controller) storeLost(now clock.Time) bool { return now.Sub(c.confirmedAt) > storeLostAfter }

// updateKeyValidity extends the time until which API keys are accepted, from this gateway's and the
// other gateways' last confirmations by the store.
func (c *controller) updateKeyValidity(now clock.Time) {
	byVM := map[units.VMID]peers.Digest{}
	for _, d := range c.gateway.peers.FreshDigests() {
		byVM[units.VMID(d.GetVm())] = d
	}
	var others []storeStatus
	for _, m := range c.members.All() {
		if m.VM == c.gateway.settings.VM {
			continue
		}
		d, fresh := byVM[m.VM]
		status := storeStatus{fresh: fresh}
		if fresh {
			status.configVersion, status.storeLost = d.GetConfig(), d.GetLost()
			status.confirmedAt = d.ReceivedAt.Add(-clock.Span(d.GetConfirmedMs()))
		}
		others = append(others, status)
	}
	c.gateway.keyValidity.set(keysValidUntil(now, c.confirmedAt, c.storeLost(now), c.configVersion(), others,
		c.gateway.bounds.Load().RevocationDelay))
}

// sendDigest sends a digest of this gateway's state to all other gateways.
func (c *controller) sendDigest(now clock.Time) {
	c.digestSentAt = now
	c.digestNumber++
	d := &wire.Digest{
		Vm: string(c.gateway.settings.VM), Life: c.gateway.incarnation, Number: c.digestNumber, Zone: string(c.gateway.settings.Zone),
		Config: c.configVersion(), ConfirmedMs: int64(now.Sub(c.confirmedAt)), Lost: c.storeLost(now), Leaving: c.draining,
	}
	for _, s := range c.gateway.relay.Loads() {
		d.Shares = append(d.Shares, &wire.UpstreamShare{
			Upstream: string(s.Upstream), Running: int32(s.Running), Tokens: int64(s.Tokens), Backlog: int64(s.Backlog),
		})
	}
	c.addQuota(now, d)
	c.addDemand(now, d)
	c.addResidencyChanges(now, d)
	d.Suspects = encodeSuspects(now, c.gateway.relay.Suspects())
	var to []string
	for _, m := range c.members.All() {
		if m.VM != c.gateway.settings.VM {
			to = append(to, m.Address)
		}
	}
	c.gateway.peers.Send(d, to)
}

// addQuota adds this gateway's demand of each customer, and transfers of its surplus tokens to
// gateways with more demand.
func (c *controller) addQuota(now clock.Time, d *wire.Digest) {
	if c.snapshot.Config == nil {
		return
	}
	others := map[units.VMID][]quota.Demand{}
	for _, digest := range c.gateway.peers.FreshDigests() {
		vm := units.VMID(digest.GetVm())
		for _, q := range digest.GetDemands() {
			others[vm] = append(others[vm], quota.Demand{
				Customer: units.CustomerID(q.GetCustomer()), RequestedRate: q.GetWanted(), Available: q.GetLevel(),
			})
		}
	}
	c.gateway.limiter.mu.Lock()
	defer c.gateway.limiter.mu.Unlock()
	for _, q := range c.gateway.limiter.quota.TransferSurplus(now, c.snapshot.Config.Customers(), others) {
		d.Gifts = append(d.Gifts, &wire.CustomerGift{Customer: string(q.Customer), To: string(q.To), Tokens: q.Tokens})
	}
	for _, q := range c.gateway.limiter.quota.Demands(now) {
		d.Demands = append(d.Demands, &wire.CustomerDemand{Customer: string(q.Customer), Wanted: q.RequestedRate, Level: q.Available})
	}
}
