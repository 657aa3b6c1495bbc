package entry

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/peers"
	"github.com/magnolialever/magnolialever/reside"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// missDigest is the least time between two digests that are sent for misses.
	missDigest = 15 * clock.Millisecond
	// factSpan is how long a fact is kept; descriptions show it by then.
	factSpan = 6 * clock.Second
)

// publish hands the belief to the traffic, with the facts that it does not show yet.
func (c *control) publish(now clock.Time) {
	c.facts = slices.DeleteFunc(c.facts, func(f fact) bool { return now.Sub(f.at) > factSpan })
	s := *c.snapshot
	s.Upstreams = make(map[units.UpstreamID]*view.Entry, len(c.snapshot.Upstreams))
	for id, e := range c.snapshot.Upstreams {
		s.Upstreams[id] = e
	}
	for _, f := range c.facts {
		if e, ok := s.Upstreams[f.upstream]; ok {
			changed := *e
			changed.Upstream = f.apply(e)
			s.Upstreams[f.upstream] = &changed
		}
	}
	c.g.relay.SetView(&s)
}

// news takes a fact over that this gateway has brought about, and tells the others.
func (c *control) news(now clock.Time, f fact) {
	c.facts = append(c.facts, f)
	c.publish(now)
	c.sendDigest(now)
}

// drop takes the news of an unload back that was not carried out.
func (c *control) drop(m reside.PlannedOrder) {
	c.facts = slices.DeleteFunc(c.facts, func(f fact) bool {
		return f.upstream == m.Upstream && f.model == m.Model && f.adapter == m.Adapter && f.dropped
	})
	c.publish(c.g.clock.Now())
}

// hear takes over what another gateway tells of upstreams.
func (c *control) hear(now clock.Time, d peers.Digest) {
	changed := false
	for _, n := range d.GetNews() {
		f := fact{
			units.UpstreamID(n.GetUpstream()), n.GetBorn(), units.ModelID(n.GetModel()), n.GetAdapter(),
			n.GetDropped(), n.GetOrders(), now,
		}
		if !slices.ContainsFunc(c.facts, f.same) {
			c.facts = append(c.facts, f)
			changed = true
		}
	}
	if changed {
		c.publish(now)
	}
}

func (f *fact) same(o fact) bool {
	return f.upstream == o.upstream && f.born == o.born && f.model == o.model && f.adapter == o.adapter && f.orders == o.orders
}

func suspectsOf(now clock.Time, list []retry.Suspect) []*wire.Suspect {
	out := make([]*wire.Suspect, 0, len(list))
	for _, s := range list {
		w := &wire.Suspect{Fingerprint: uint64(s.Fingerprint), Ttl: int64(s.Expires.Sub(now))}
		for _, c := range s.Crashes {
			w.Crash = append(w.Crash, uint64(c))
		}
		out = append(out, w)
	}
	return out
}

func suspect(now clock.Time, w *wire.Suspect) retry.Suspect {
	s := retry.Suspect{
		Fingerprint: retry.Fingerprint(w.GetFingerprint()),
		Expires:     now.Add(min(clock.Span(w.GetTtl()), retry.SuspectTTL)),
	}
	for _, c := range w.GetCrash() {
		s.Crashes = append(s.Crashes, retry.CrashID(c))
	}
	return s
}

// miss tells the holder of the duty at once that requests miss something.
func (c *control) miss(now clock.Time) {
	if c.holder.duty.Holds(now) {
		c.holder.plan(now)
		return
	}
	if now.Sub(c.sent) >= missDigest {
		c.sendDigest(now)
	}
}

// needs sums the demand of all gateways.
func (c *control) needs(now clock.Time) map[reside.Target]reside.Demand {
	sum := c.g.meter.needs(now)
	for _, d := range c.g.peers.FreshDigests() {
		for _, n := range d.GetNeeds() {
			t := reside.Target{Service: units.ServiceID(n.GetService()), Model: units.ModelID(n.GetModel()), Adapter: n.GetAdapter()}
			one := sum[t]
			one.WorkRate += n.GetTokens()
			one.Misses += int(n.GetMissed())
			sum[t] = one
		}
	}
	return sum
}

// load is the number of requests under way at each upstream, over all gateways.
func (c *control) load() map[units.UpstreamID]int {
	sum := map[units.UpstreamID]int{}
	for id, s := range c.others() {
		sum[id] = s.Running
	}
	for _, s := range c.g.relay.Loads() {
		sum[s.Upstream] += s.Running
	}
	return sum
}

func (c *control) addNeeds(now clock.Time, d *wire.Digest) {
	for t, n := range c.g.meter.needs(now) {
		d.Needs = append(d.Needs, &wire.ModelNeed{
			Service: string(t.Service), Model: string(t.Model), Adapter: t.Adapter, Tokens: n.WorkRate, Missed: int32(n.Misses),
		})
	}
}

func (c *control) addNews(now clock.Time, d *wire.Digest) {
	if !c.holder.duty.Holds(now) {
		return
	}
	for _, f := range c.facts {
		if now.Sub(f.at) < newsSpan {
			d.News = append(d.News, &wire.Residency{
				Upstream: string(f.upstream), Model: string(f.model), Adapter: f.adapter, Dropped: f.dropped,
				Orders: f.orders, Born: f.born,
			})
		}
	}
}
