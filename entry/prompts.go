package entry

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// minPromptsInterval and promptsIntervalPerGateway bound how often a gateway sends the others a message about its prompts, so that
	// none receives more than 1,000 of them a second. A prompt is reported at once unless another one has just been.
	minPromptsInterval        = 10 * clock.Millisecond
	promptsIntervalPerGateway = clock.Millisecond
	// maxPromptsInterval is the interval from which on no messages are sent: engines would have read the prompts long before.
	maxPromptsInterval = 200 * clock.Millisecond
)

// promptSender sends other gateways messages about the prompts that this one sends to engines, long before the next digest. It also
// decodes theirs.
type promptSender struct {
	sentAt clock.Time
	// ids has the upstreams of the snapshot by hash.
	ids      map[uint32]units.UpstreamID
	snapshot *view.Snapshot
}

// due reports whether a message may be sent now among n gateways, and if so counts it as sent.
func (p *promptSender) due(now clock.Time, n int) bool {
	interval := max(minPromptsInterval, clock.Span(n)*promptsIntervalPerGateway)
	if n <= 1 || interval > maxPromptsInterval || now.Sub(p.sentAt) < interval {
		return false
	}
	p.sentAt = now
	return true
}

// encodePrompts encodes prompts that were sent to engines.
func encodePrompts(sent []sched.SentPrompts) *wire.Prompts {
	m := &wire.Prompts{}
	for _, g := range sent {
		m.Prompts = append(m.Prompts, &wire.Prompt{Upstream: hashUpstream(g.Upstream), Tokens: int64(g.Tokens), Reserved: int64(g.Reserved)})
	}
	return m
}

// decode returns the prompts that another gateway has sent to engines of the snapshot; it skips other upstreams and negative counts.
func (p *promptSender) decode(v *view.Snapshot, m *wire.Prompts) []sched.SentPrompts {
	if p.snapshot != v {
		p.snapshot, p.ids = v, make(map[uint32]units.UpstreamID, len(v.Upstreams))
		for id := range v.Upstreams {
			p.ids[hashUpstream(id)] = id
		}
	}
	sent := make([]sched.SentPrompts, 0, len(m.GetPrompts()))
	for _, w := range m.GetPrompts() {
		if id, ok := p.ids[w.GetUpstream()]; ok && w.GetTokens() >= 0 && w.GetReserved() >= 0 {
			sent = append(sent, sched.SentPrompts{Upstream: id, Tokens: units.Tokens(w.GetTokens()), Reserved: units.Tokens(w.GetReserved())})
		}
	}
	return sent
}

// sendPrompts sends the other gateways a message about the prompts sent to engines since the last one.
func (c *controller) sendPrompts(now clock.Time) {
	if !c.prompts.due(now, c.gatewayCount) {
		return
	}
	sent := c.gateway.relay.TakeSent()
	if len(sent) == 0 {
		return
	}
	c.gateway.peers.Send(&wire.Datagram{Body: &wire.Datagram_Prompts{Prompts: encodePrompts(sent)}}, c.otherGateways()...)
}

// promptSent asks the control loop to report a prompt to the other gateways. It does not block.
func (g *Gateway) promptSent() {
	select {
	case g.prompted <- struct{}{}:
	default:
	}
}
