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
	// maxAskedBy bounds the digests that are sent to those who ask, in one tick. Others get the regular ones.
	maxAskedBy = 64
	// maxConfigWait bounds the time for which a gateway waits for a configuration that the store has lost. It bounds the
	// refusals where the operator doesn't write it again, or where this process can't read it.
	maxConfigWait = 10 * clock.Second
)

// beginEra handles a later era in an answer of the store. It is called from the goroutine that has received it.
func (g *Gateway) beginEra(era int64) {
	at := g.clock.Now()
	g.callStore()
	g.post(eraBegan{epoch.Era(era), at})
	g.onStoreEra(era)
}

// callStore makes the feed and the registration call the store soon.
func (g *Gateway) callStore() {
	g.feed.CheckEra()
	select {
	case g.register <- struct{}{}:
	default:
	}
}

// receiveEra handles the era of the store that a message of another gateway names; 0 if it names none. A later one ends
// leadership and makes this gateway call the store: the message may be wrong, so that only an answer of the store begins the
// era here. It must not be called from the control loop, to which it sends a message.
func (g *Gateway) receiveEra(era int64) {
	if era <= max(g.peersEra.Load(), int64(g.store.Era())) || !epoch.Valid(era) {
		return
	}
	// The goroutine that receives messages is the only one that sets it.
	g.peersEra.Store(era)
	g.callStore()
	g.post(eraReceived{epoch.Era(era)})
}

// handleReceivedEra gives up leadership, whose key the store may have lost in an era that another gateway has named.
func (c *controller) handleReceivedEra(now clock.Time, era epoch.Era) {
	klog.InfoS("entry: era of the store, by another gateway", "era", era)
	c.eraAt = now
	c.orders.elector.GiveUp(now)
}

// handleEraBegan ends what rests on the era before. It sends the era to the other gateways, unless one of them has sent it: those
// cut off from the store would learn of it by the next digest only.
func (c *controller) handleEraBegan(m eraBegan) {
	klog.InfoS("entry: era of the store", "era", m.era, "heard", c.gateway.peersEra.Load())
	if m.era <= c.era {
		return
	}
	c.era, c.eraAt = m.era, m.at
	c.orders.giveUpForEra(m.at, m.era)
	if int64(m.era) <= c.gateway.peersEra.Load() {
		return
	}
	c.sendEra(false)
}

// sendEra tells the other gateways the era of the store, and may ask them for their digests.
func (c *controller) sendEra(asks bool) {
	notice := &wire.EraNotice{Era: int64(c.gateway.store.Era()), Asks: asks}
	c.gateway.peers.Send(&wire.Datagram{Body: &wire.Datagram_EraNotice{EraNotice: notice}}, c.otherGateways()...)
}

// answerAsked sends a digest to those who asked for one since the last tick.
func (c *controller) answerAsked(now clock.Time) {
	if len(c.askedBy) == 0 {
		return
	}
	m := &wire.Datagram{Body: &wire.Datagram_Digest{Digest: c.newDigest(now)}}
	for _, to := range c.askedBy {
		c.gateway.peers.Reply(m, to)
	}
	c.askedBy = c.askedBy[:0]
}

// useView puts a view into use, unless it is the first one and the store may have lost a newer configuration.
func (c *controller) useView(now clock.Time) {
	config := c.snapshot.Config
	c.withheld = config != nil && !c.published && c.mayLackConfig(now)
	if c.withheld || c.used == c.snapshot {
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
// asks each gateway that becomes known for a digest, as the store may have lost registrations as well.
func (c *controller) mayLackConfig(now clock.Time) bool {
	if c.trustsStore(now) {
		return c.lacksConfig(now)
	}
	if c.askedVersion != c.members.Version() {
		c.askedVersion = c.members.Version()
		c.sendEra(true)
	}
	return true
}

// trustsStore reports whether the store has no older configuration at a time than the operator wrote last, as far as the time
// tells: it has lost none, or the operator has had the time to write it again. The word of a gateway that does not know that
// either, as it has just started, counts nothing.
func (c *controller) trustsStore(at clock.Time) bool {
	if c.era < c.gateway.store.Era() {
		// The control loop has not handled the begin of the era.
		return false
	}
	if c.era == 0 || c.gateway.settings.FirstStart && c.era <= 1 || c.settledEra >= c.era {
		return true
	}
	return at.Sub(c.eraAt) >= view.RewriteTime
}

// lacksConfig reports whether another gateway used a newer configuration before the time. If the store confirmed the
// view as of that time, it has lost that configuration.
func (c *controller) lacksConfig(at clock.Time) bool {
	if c.peersConfig <= c.configVersion() {
		c.newerConfigAt = 0
	}
	return c.eraAt != 0 && at.Sub(c.eraAt) < maxConfigWait && c.newerConfigAt != 0 && c.newerConfigAt.Before(at)
}

// recordConfig records what a digest says of the configuration and of the store's era.
func (c *controller) recordConfig(d peers.Digest) {
	version := max(d.GetConfig(), d.GetNewestConfig())
	c.peersConfig = max(c.peersConfig, version)
	if version > c.configVersion() && c.newerConfigAt == 0 {
		c.newerConfigAt = d.ReceivedAt
	}
	if epoch.Valid(d.GetSettledEra()) {
		c.settledEra = max(c.settledEra, epoch.Era(d.GetSettledEra()))
	}
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
	if c.eraAt == 0 || d.GetEra() != 0 && d.GetEra() < int64(c.gateway.store.Era()) {
		// What the store said before it came back is true of the time before. 0 is unknown.
		return false
	}
	age := at.Sub(c.eraAt)
	return age < view.RewriteTime || age < maxConfigWait && d.GetConfig() < c.configVersion()
}
