package entry

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// minTellInterval and tellIntervalPerGateway bound how often a gateway tells the others of its prompts, so that none receives
	// more than 1,000 such messages a second. It tells of a prompt at once unless it has just told of another.
	minTellInterval        = 10 * clock.Millisecond
	tellIntervalPerGateway = clock.Millisecond
	// maxTellInterval is the interval from which on prompts are not told: they would be read long before.
	maxTellInterval = 200 * clock.Millisecond
)

// promptTeller tells other gateways of the prompts that this one sends to engines, long before the next digest.
type promptTeller struct {
	toldAt clock.Time
	// ids has the upstreams of the snapshot by hash.
	ids      map[uint32]units.UpstreamID
	snapshot *view.Snapshot
}

// due reports whether prompts are to be told among n gateways.
func (p *promptTeller) due(now clock.Time, n int) bool {
	interval := max(minTellInterval, clock.Span(n)*tellIntervalPerGateway)
	if n <= 1 || interval > maxTellInterval || now.Sub(p.toldAt) < interval {
		return false
	}
	p.toldAt = now
	return true
}

// encodePrompts encodes what was sent to engines.
func encodePrompts(given []sched.Given) *wire.Prompts {
	m := &wire.Prompts{}
	for _, g := range given {
		m.Prompts = append(m.Prompts, &wire.Prompt{Upstream: hashUpstream(g.Upstream), Tokens: int64(g.Tokens), Reserved: int64(g.Reserved)})
	}
	return m
}

// decode returns what another gateway has sent to engines of the snapshot.
func (p *promptTeller) decode(v *view.Snapshot, m *wire.Prompts) []sched.Given {
	if p.snapshot != v {
		p.snapshot, p.ids = v, make(map[uint32]units.UpstreamID, len(v.Upstreams))
		for id := range v.Upstreams {
			p.ids[hashUpstream(id)] = id
		}
	}
	given := make([]sched.Given, 0, len(m.GetPrompts()))
	for _, w := range m.GetPrompts() {
		if id, ok := p.ids[w.GetUpstream()]; ok && w.GetTokens() >= 0 && w.GetReserved() >= 0 {
			given = append(given, sched.Given{Upstream: id, Tokens: units.Tokens(w.GetTokens()), Reserved: units.Tokens(w.GetReserved())})
		}
	}
	return given
}

// tellPrompts tells the other gateways of the prompts sent since the last time.
func (c *controller) tellPrompts(now clock.Time) {
	if !c.prompts.due(now, c.gatewayCount) {
		return
	}
	given := c.gateway.relay.TakeGiven()
	if len(given) == 0 {
		return
	}
	var to []string
	for _, g := range c.members.All() {
		if g.VM != c.gateway.settings.VM {
			to = append(to, g.Address)
		}
	}
	c.gateway.peers.Send(&wire.Datagram{Body: &wire.Datagram_Prompts{Prompts: encodePrompts(given)}}, to...)
}

// promptSent asks the control loop to tell of a prompt. It does not block.
func (g *Gateway) promptSent() {
	select {
	case g.prompted <- struct{}{}:
	default:
	}
}
