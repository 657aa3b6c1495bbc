package entry

import (
	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/epoch"
	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/peers"
	"github.com/magnolialever/magnolialever/view"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// askTime is how long a gateway that starts waits for the digests of others, which take a round trip and a turn of their
	// control loops.
	askTime = 150 * clock.Millisecond
	// maxConfigWait bounds the time for which a gateway waits for a configuration that the store has lost. It bounds the
	// refusals where the operator doesn't write it again, or where this process can't read it.
	maxConfigWait = 10 * clock.Second
)

// beginEra handles a later era of the store, from an answer of the store or from another gateway. It is called from the
// goroutine that has received it.
func (g *Gateway) beginEra(era int64) {
	g.feed.CheckEra()
	select {
	case g.register <- struct{}{}:
	default:
	}
	g.post(eraBegan{epoch.Era(era)})
}

// hearEra records the era of the store that another gateway knows of; 0 if it knows of none. It must not be called from the
// control loop, to which it sends a message.
func (g *Gateway) hearEra(era int64) {
	if era <= g.heardEra.Load() || !epoch.Valid(era) {
		return
	}
	// The goroutine that receives messages is the only one that sets it.
	g.heardEra.Store(era)
	g.store.ObserveEra(epoch.Era(era))
}

// beginEra ends what rests on the era before, and tells the other gateways unless one of them has told this one: those cut off
// from the store would learn of it by the next digest only.
func (c *controller) beginEra(now clock.Time, era epoch.Era) {
	klog.InfoS("entry: era of the store", "era", era, "heard", c.gateway.heardEra.Load())
	c.eraAt = now
	c.orders.beginEra(now, era)
	if int64(era) <= c.gateway.heardEra.Load() {
		return
	}
	c.sendEra(false)
}

// sendEra tells the other gateways the era of the store, and may ask them for their digests.
func (c *controller) sendEra(asks bool) {
	var to []string
	for _, m := range c.members.All() {
		if m.VM != c.gateway.settings.VM {
			to = append(to, m.Address)
		}
	}
	notice := &wire.EraNotice{Era: int64(c.gateway.store.Era()), Asks: asks}
	c.gateway.peers.Send(&wire.Datagram{Body: &wire.Datagram_EraNotice{EraNotice: notice}}, to...)
}

// useView puts a view into use, unless it is the first one and the store may have lost a newer configuration.
func (c *controller) useView(now clock.Time) {
	config := c.snapshot.Config
	c.held = config != nil && !c.published && c.mayLackConfig(now)
	if c.held || c.used == c.snapshot {
		return
	}
	c.used = c.snapshot
	if config != nil {
		c.published = true
		c.gateway.limiter.setCustomers(config.Customers())
	}
	c.publishView(now)
}

// mayLackConfig reports whether the store may have lost a newer configuration than the first one that this process has read. It
// asks the other gateways, if there are any.
func (c *controller) mayLackConfig(now clock.Time) bool {
	if c.gateway.store.Era() == 0 || c.gateway.settings.FirstStart || len(c.members.All()) <= 1 {
		return false
	}
	if c.askedAt == 0 {
		c.askedAt = now
		c.sendEra(true)
	}
	return now.Sub(c.askedAt) < askTime || c.lacksConfig(now)
}

// lacksConfig reports whether another gateway used a newer configuration before the time. If the store confirmed the
// view as of that time, it has lost that configuration.
func (c *controller) lacksConfig(at clock.Time) bool {
	if c.eraAt == 0 || at.Sub(c.eraAt) >= maxConfigWait {
		return false
	}
	for _, d := range c.gateway.peers.FreshDigests() {
		if d.GetConfig() > c.configVersion() && d.ReceivedAt.Before(at) {
			return true
		}
	}
	return false
}

// restoreVerdicts writes verdicts again that a store that came back from an older copy has lost, given its keys.
func (c *controller) restoreVerdicts(keys map[string]bool) {
	listed, requests := map[parts.ID]bool{}, map[parts.ID]bool{}
	for k := range keys {
		if part, ok := parts.ParseVerdictKey(k); ok {
			listed[part] = true
		}
		if request, ok := parts.ParseRequestVerdictKey(k); ok {
			requests[request] = true
		}
	}
	c.gateway.verdicts.StoreReturned(listed, false)
	c.gateway.requestVerdicts.StoreReturned(requests, true)
}

// mayPrecedeRewrite reports whether the confirmation in another gateway's digest, as of a time, may be by a store that has lost a
// configuration and in which the operator has not written again. That gateway may have started since, and not know.
func (c *controller) mayPrecedeRewrite(d peers.Digest, at clock.Time) bool {
	if c.eraAt == 0 || d.GetEra() < int64(c.gateway.store.Era()) {
		// What the store said before it came back is true of the time before.
		return false
	}
	age := at.Sub(c.eraAt)
	return age < view.RewriteTime || age < maxConfigWait && d.GetConfig() < c.configVersion()
}
