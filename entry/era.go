package entry

import (
	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/epoch"
	"github.com/magnolialever/magnolialever/wire"
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
	c.orders.beginEra(now, era)
	if int64(era) <= c.gateway.heardEra.Load() {
		return
	}
	var to []string
	for _, m := range c.members.All() {
		if m.VM != c.gateway.settings.VM {
			to = append(to, m.Address)
		}
	}
	c.gateway.peers.Send(&wire.Datagram{Body: &wire.Datagram_EraNotice{EraNotice: &wire.EraNotice{Era: int64(era)}}}, to...)
}
