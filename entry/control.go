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
	// tick is the interval of the control loop.
	tick = 40 * time.Millisecond
	// digestEvery is the interval between two digests; digestPerPeer is added for each
	// gateway, so that the messages that each receives stay bounded.
	digestEvery   = 160 * clock.Millisecond
	digestPerPeer = 12 * clock.Millisecond
	// lostSpan is the age of the last confirmation from which the store counts as lost.
	lostSpan = 1800 * clock.Millisecond
)

// control owns the control state of a gateway. One goroutine runs it.
type control struct {
	g         *Gateway
	members   *member.List
	snapshot  *view.Snapshot
	confirmed clock.Time
	sent      clock.Time
	number    uint64
	gateways  int
	leaving   chan struct{}
	left      bool
	holder    *holder
	// facts are news about upstreams that their descriptions do not show yet.
	facts []fact
}

func newControl(g *Gateway) *control {
	c := &control{g: g, members: member.NewList(), snapshot: &view.Snapshot{}, leaving: make(chan struct{}, 1)}
	c.members.Set(g.self())
	c.holder = newHolder(g, c)
	return c
}

func (c *control) run(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-c.g.inbox:
			c.handle(m)
		case <-c.leaving:
			c.left = true
			c.holder.leave(ctx)
			c.sendDigest(c.g.clock.Now())
		case <-t.C:
			c.onTick()
		}
	}
}

func (c *control) handle(m message) {
	now := c.g.clock.Now()
	switch m := m.(type) {
	case viewChanged:
		c.snapshot = m.snapshot
		c.publish(now)
	case storeConfirmed:
		c.confirmed = max(c.confirmed, m.at)
		c.updateTrust(now)
	case keyChanged:
		c.key(now, m)
	case keysRead:
		c.keys(now, m.keys)
	case digestReceived:
		c.digest(now, m.digest)
	case missed:
		c.miss(now)
	case dutyTaken:
		c.holder.taken(now, m)
	case dutyKept:
		c.holder.renewed(m)
	case orderEnded:
		c.holder.ended(now, m)
	case reportRead:
		c.holder.reported(now, m)
	}
}

// key handles a key of the system's own.
func (c *control) key(now clock.Time, m keyChanged) {
	if m.item.Key == dutyKey {
		c.holder.key(m.item)
		return
	}
	vm, ok := member.ParseKey(m.item.Key)
	if !ok || vm == c.g.boot.VM {
		return
	}
	if m.item.Deleted {
		c.members.Remove(now, vm)
		return
	}
	g, err := member.Decode(m.item.Value)
	if err != nil {
		klog.InfoS("entry: gateway's key is ignored", "key", m.item.Key, "err", err)
		return
	}
	c.members.Set(g)
}

func (c *control) keys(now clock.Time, keys map[string]bool) {
	named := map[units.VMID]bool{c.g.boot.VM: true}
	for k := range keys {
		if vm, ok := member.ParseKey(k); ok {
			named[vm] = true
		}
	}
	c.members.RemoveUnlisted(now, named)
	if !keys[dutyKey] {
		c.holder.duty.RecordHolder(now, c.snapshot.Revision, "")
	}
}

// digest takes over what another gateway gives and tells.
func (c *control) digest(now clock.Time, d peers.Digest) {
	c.hear(now, d)
	for _, w := range d.GetSuspects() {
		c.g.relay.MergeSuspect(suspect(now, w))
	}
	if d.HasMisses() {
		c.holder.plan(now)
	}
	c.g.limits.mu.Lock()
	defer c.g.limits.mu.Unlock()
	for _, l := range d.GetGifts() {
		if units.VMID(l.GetTo()) == c.g.boot.VM {
			c.g.limits.quota.Receive(now, quota.Transfer{
				Customer: units.CustomerID(l.GetCustomer()), To: c.g.boot.VM, Tokens: l.GetTokens(),
			})
		}
	}
}

func (c *control) onTick() {
	now := c.g.clock.Now()
	c.updateTrust(now)
	if n := c.members.Count(now); n != c.gateways {
		klog.InfoS("entry: gateways", "count", n, "before", c.gateways)
		c.gateways = n
		c.g.relay.SetGateways(n)
		c.g.limits.mu.Lock()
		c.g.limits.quota.SetGateways(n)
		c.g.limits.mu.Unlock()
	}
	c.g.relay.SetOtherLoads(c.others())
	c.g.relay.Tick()
	c.holder.tick(now)
	if now.Sub(c.sent) >= digestEvery+clock.Span(c.gateways)*digestPerPeer {
		c.sendDigest(now)
	}
}

// others sums what the other gateways have under way.
func (c *control) others() map[units.UpstreamID]sched.Load {
	sum := map[units.UpstreamID]sched.Load{}
	for _, d := range c.g.peers.FreshDigests() {
		for _, u := range d.GetShares() {
			id := units.UpstreamID(u.GetUpstream())
			s := sum[id]
			s.Upstream = id
			s.Running += int(u.GetRunning())
			s.Tokens += units.Tokens(u.GetTokens())
			s.Backlog += units.Tokens(u.GetBacklog())
			sum[id] = s
		}
	}
	return sum
}

func (c *control) version() int64 {
	if c.snapshot.Config == nil {
		return 0
	}
	return c.snapshot.Config.Version
}

func (c *control) lost(now clock.Time) bool { return now.Sub(c.confirmed) > lostSpan }

func (c *control) updateTrust(now clock.Time) {
	byVM := map[units.VMID]peers.Digest{}
	for _, d := range c.g.peers.FreshDigests() {
		byVM[units.VMID(d.GetVm())] = d
	}
	var others []witness
	for _, m := range c.members.All() {
		if m.VM == c.g.boot.VM {
			continue
		}
		d, fresh := byVM[m.VM]
		w := witness{fresh: fresh}
		if fresh {
			w.version, w.lost = d.GetConfig(), d.GetLost()
			w.confirmed = d.ReceivedAt.Add(-clock.Span(d.GetConfirmedMs()))
		}
		others = append(others, w)
	}
	c.g.trust.set(trustedUntil(now, c.confirmed, c.lost(now), c.version(), others, c.g.bounds.Load().RevocationDelay))
}

func (c *control) sendDigest(now clock.Time) {
	c.sent = now
	c.number++
	d := &wire.Digest{
		Vm: string(c.g.boot.VM), Life: c.g.life, Number: c.number, Zone: string(c.g.boot.Zone),
		Config: c.version(), ConfirmedMs: int64(now.Sub(c.confirmed)), Lost: c.lost(now), Leaving: c.left,
	}
	for _, s := range c.g.relay.Loads() {
		d.Shares = append(d.Shares, &wire.UpstreamShare{
			Upstream: string(s.Upstream), Running: int32(s.Running), Tokens: int64(s.Tokens), Backlog: int64(s.Backlog),
		})
	}
	c.addQuota(now, d)
	c.addNeeds(now, d)
	c.addNews(now, d)
	d.Suspects = suspectsOf(now, c.g.relay.Suspects())
	var to []string
	for _, m := range c.members.All() {
		if m.VM != c.g.boot.VM {
			to = append(to, m.Address)
		}
	}
	c.g.peers.Send(d, to)
}

// addQuota adds the demand of customers and tokens for other gateways.
func (c *control) addQuota(now clock.Time, d *wire.Digest) {
	if c.snapshot.Config == nil {
		return
	}
	others := map[units.VMID][]quota.Demand{}
	for _, o := range c.g.peers.FreshDigests() {
		vm := units.VMID(o.GetVm())
		for _, q := range o.GetDemands() {
			others[vm] = append(others[vm], quota.Demand{
				Customer: units.CustomerID(q.GetCustomer()), RequestedRate: q.GetWanted(), Available: q.GetLevel(),
			})
		}
	}
	c.g.limits.mu.Lock()
	defer c.g.limits.mu.Unlock()
	for _, q := range c.g.limits.quota.TransferSurplus(now, c.snapshot.Config.Customers(), others) {
		d.Gifts = append(d.Gifts, &wire.CustomerGift{Customer: string(q.Customer), To: string(q.To), Tokens: q.Tokens})
	}
	for _, q := range c.g.limits.quota.Demands(now) {
		d.Demands = append(d.Demands, &wire.CustomerDemand{Customer: string(q.Customer), Wanted: q.RequestedRate, Level: q.Available})
	}
}
