package entry

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/peers"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// ownerTimeout is how long a request waits for the answer of one owner of a part.
	ownerTimeout = 60 * time.Millisecond
	// maxOwners is the number of gateways that are asked before a gateway decides alone.
	maxOwners = 3
	// pauseThreshold is the time between two ticks from which on the process counts as paused: it may have
	// missed messages.
	pauseThreshold = 400 * clock.Millisecond
	// informedSlack is added to two intervals of digests to give the time after which a gateway that was
	// started or paused knows what the others know.
	informedSlack = 100 * clock.Millisecond
	// maxDigestParts is the maximum number of suspects in a digest.
	maxDigestParts = 32
)

// partOwners finds the owner of each part of prompts among the gateways and exchanges messages about parts
// with them. It implements parts.Owners and is safe for concurrent use.
type partOwners struct {
	vm          units.VMID
	incarnation uint64
	clock       clock.Clock
	peers       *peers.Transport
	guard       *parts.Guard

	mu       sync.Mutex // guards the fields below
	gateways []member.Gateway
	// tickedAt is the time of the last tick, informedAt when this gateway knows what the others know.
	tickedAt, informedAt clock.Time
	// asks are the unanswered requests to other gateways, granters the gateways that granted requests.
	asks     map[partPermit]chan *wire.PartReply
	granters map[partPermit]string
}

// partPermit identifies a request with a part.
type partPermit struct {
	part parts.ID
	id   parts.Permit
}

func newPartOwners(vm units.VMID, incarnation uint64, c clock.Clock, guard *parts.Guard) *partOwners {
	return &partOwners{
		vm: vm, incarnation: incarnation, clock: c, guard: guard,
		asks: map[partPermit]chan *wire.PartReply{}, granters: map[partPermit]string{},
	}
}

// setGateways sets the gateways that share the ownership of parts.
func (o *partOwners) setGateways(gateways []member.Gateway) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.gateways) <= 1 && len(gateways) > 1 {
		// Until now there was nobody to learn from.
		o.informedAt = o.clock.Now().Add(informTime(len(gateways)))
	}
	o.gateways = gateways
}

// onTick notes pauses of the process.
func (o *partOwners) onTick(now clock.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.tickedAt != 0 && now.Sub(o.tickedAt) > pauseThreshold {
		o.informedAt = now.Add(informTime(len(o.gateways)))
		klog.InfoS("entry: paused, others decide on parts", "for", now.Sub(o.tickedAt), "until", o.informedAt.Sub(now))
	}
	o.tickedAt = now
}

// informTime returns the time after which a gateway among n has heard from all others.
func informTime(n int) clock.Span { return 2*peers.DigestInterval(n) + informedSlack }

// informed reports whether this gateway knows what the others know. The caller holds o.mu.
func (o *partOwners) informed(now clock.Time) bool {
	paused := o.tickedAt != 0 && now.Sub(o.tickedAt) > pauseThreshold
	return len(o.gateways) <= 1 || (!paused && !now.Before(o.informedAt))
}

// candidates returns the gateways to ask about a part, best first. All gateways agree on the order of those
// that are alive.
func (o *partOwners) candidates(part parts.ID) []member.Gateway {
	fresh := map[units.VMID]bool{o.vm: true}
	for _, d := range o.peers.FreshDigests() {
		fresh[units.VMID(d.GetVm())] = true
	}
	o.mu.Lock()
	alive := make([]member.Gateway, 0, len(o.gateways))
	for _, g := range o.gateways {
		if fresh[g.VM] {
			alive = append(alive, g)
		}
	}
	o.mu.Unlock()
	ranked := member.Rank(alive, strconv.FormatUint(uint64(part), 16))
	return ranked[:min(len(ranked), maxOwners)]
}

// Ask implements parts.Owners. If no owner answers, this gateway decides by what it knows.
func (o *partOwners) Ask(ctx context.Context, part parts.ID, id parts.Permit) (parts.Reply, clock.Span) {
	for _, g := range o.candidates(part) {
		if g.VM == o.vm {
			o.mu.Lock()
			informed := o.informed(o.clock.Now())
			o.mu.Unlock()
			if informed {
				return o.guard.Request(part, id)
			}
			continue
		}
		if reply, wait, ok := o.askGateway(ctx, g, partPermit{part, id}); ok {
			return reply, wait
		}
	}
	stats.Event("part_owners_silent")
	klog.InfoS("entry: no owner of a part answers", "part", part)
	return o.guard.Request(part, id)
}

// askGateway asks another gateway. It returns false if that doesn't answer in time or may have missed
// crashes.
func (o *partOwners) askGateway(ctx context.Context, g member.Gateway, p partPermit) (parts.Reply, clock.Span, bool) {
	answered := make(chan *wire.PartReply, 1)
	o.mu.Lock()
	o.asks[p] = answered
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.asks, p)
	}()
	o.peers.Send(&wire.Datagram{Body: &wire.Datagram_PartRequest{PartRequest: &wire.PartRequest{
		Permit: uint64(p.id), Part: uint64(p.part),
	}}}, g.Address)
	timeout := time.NewTimer(ownerTimeout)
	defer timeout.Stop()
	select {
	case m := <-answered:
		reply, ok := decodeReply(m.GetReply())
		if ok && reply == parts.Granted {
			o.mu.Lock()
			o.granters[p] = g.Address
			o.mu.Unlock()
		}
		return reply, clock.Span(m.GetWaitMs()), ok
	case <-timeout.C:
	case <-ctx.Done():
	}
	return 0, 0, false
}

// decodeReply returns false for an owner that may have missed crashes, and for unknown replies.
func decodeReply(r wire.PartReply_Reply) (parts.Reply, bool) {
	switch r {
	case wire.PartReply_BUSY:
		return parts.Busy, true
	case wire.PartReply_GRANTED:
		return parts.Granted, true
	case wire.PartReply_HARMLESS:
		return parts.Harmless, true
	case wire.PartReply_DENIED:
		return parts.Denied, true
	case wire.PartReply_UNINFORMED:
	}
	return 0, false
}

func encodeReply(r parts.Reply) wire.PartReply_Reply {
	switch r {
	case parts.Granted:
		return wire.PartReply_GRANTED
	case parts.Harmless:
		return wire.PartReply_HARMLESS
	case parts.Denied:
		return wire.PartReply_DENIED
	case parts.Busy:
	}
	return wire.PartReply_BUSY
}

// Return implements parts.Owners.
func (o *partOwners) Return(part parts.ID, id parts.Permit, r parts.Result) {
	p := partPermit{part, id}
	o.mu.Lock()
	address, remote := o.granters[p]
	delete(o.granters, p)
	o.mu.Unlock()
	if !remote {
		o.guard.Returned(part, id, r)
		return
	}
	m := &wire.PartReturn{Permit: uint64(id), Part: uint64(part), Began: r.Began}
	if r.Suspect != nil {
		m.Crash = o.suspectsMessage([]parts.Suspect{*r.Suspect})
	}
	o.peers.Send(&wire.Datagram{Body: &wire.Datagram_PartReturn{PartReturn: m}}, address)
}

// Announce implements parts.Owners.
func (o *partOwners) Announce(list []parts.Suspect) {
	var to []string
	o.mu.Lock()
	for _, g := range o.gateways {
		if g.VM != o.vm {
			to = append(to, g.Address)
		}
	}
	o.mu.Unlock()
	o.peers.Send(&wire.Datagram{Body: &wire.Datagram_PartSuspects{PartSuspects: o.suspectsMessage(list)}}, to...)
}

func (o *partOwners) suspectsMessage(list []parts.Suspect) *wire.PartSuspects {
	now := o.clock.Now()
	return &wire.PartSuspects{Suspects: encodePartSuspects(now, list), Life: o.incarnation, SentMs: int64(now)}
}

// handleMessage handles a message about parts. It reports whether the message was one.
func (o *partOwners) handleMessage(m *wire.Datagram, from netip.AddrPort) bool {
	switch b := m.GetBody().(type) {
	case *wire.Datagram_PartRequest:
		o.peers.Reply(&wire.Datagram{Body: &wire.Datagram_PartReply{PartReply: o.handleRequest(b.PartRequest)}}, from)
	case *wire.Datagram_PartReply:
		o.mu.Lock()
		answered, ok := o.asks[partPermit{parts.ID(b.PartReply.GetPart()), parts.Permit(b.PartReply.GetPermit())}]
		o.mu.Unlock()
		if ok {
			select {
			case answered <- b.PartReply:
			default:
				stats.Event("part_replies_repeated")
			}
		}
	case *wire.Datagram_PartReturn:
		// The crash counts before another request gets the permit.
		o.mergeMessage(b.PartReturn.GetCrash(), from)
		o.guard.Returned(parts.ID(b.PartReturn.GetPart()), parts.Permit(b.PartReturn.GetPermit()), parts.Result{Began: b.PartReturn.GetBegan()})
	case *wire.Datagram_PartSuspects:
		o.mergeMessage(b.PartSuspects, from)
	default:
		return false
	}
	return true
}

// handleRequest decides on another gateway's request.
func (o *partOwners) handleRequest(r *wire.PartRequest) *wire.PartReply {
	m := &wire.PartReply{Permit: r.GetPermit(), Part: r.GetPart(), Reply: wire.PartReply_UNINFORMED}
	o.mu.Lock()
	informed := o.informed(o.clock.Now())
	o.mu.Unlock()
	if informed {
		reply, wait := o.guard.Request(parts.ID(r.GetPart()), parts.Permit(r.GetPermit()))
		m.Reply, m.WaitMs = encodeReply(reply), int64(wait)
	}
	return m
}

// mergeMessage adds the suspects of a message, which may be nil.
func (o *partOwners) mergeMessage(m *wire.PartSuspects, from netip.AddrPort) {
	o.merge(m.GetSuspects(), from, m.GetLife(), m.GetSentMs())
}

// merge adds another gateway's suspects. Where the sender's clock is not known, crashes count as of now and
// answers that began are ignored, so that nothing refutes a crash that may have come later.
func (o *partOwners) merge(list []*wire.PartSuspect, from netip.AddrPort, life uint64, sentMs int64) {
	if len(list) == 0 {
		return
	}
	sentAt, dated := o.peers.SentAt(from, life, clock.Time(sentMs))
	if !dated {
		sentAt = o.clock.Now()
	}
	for _, m := range list {
		s := decodePartSuspect(m, sentAt, dated)
		if o.guard.Merge(s) {
			klog.InfoS("entry: part suspect at another gateway", "part", s.Part, "crashes", len(s.Crashes), "from", from)
		}
	}
}

func encodePartSuspects(now clock.Time, list []parts.Suspect) []*wire.PartSuspect {
	out := make([]*wire.PartSuspect, 0, len(list))
	for _, s := range list {
		m := &wire.PartSuspect{Part: uint64(s.Part), Began: s.BeganAt != 0, BeganAgeMs: int64(now.Sub(s.BeganAt))}
		for _, c := range s.Crashes {
			m.Crashes = append(m.Crashes, &wire.PartCrash{Id: uint64(c.ID), AgeMs: int64(now.Sub(c.SentAt))})
		}
		out = append(out, m)
	}
	return out
}

// decodePartSuspect decodes a suspect whose ages count back from sentAt.
func decodePartSuspect(m *wire.PartSuspect, sentAt clock.Time, dated bool) parts.Suspect {
	s := parts.Suspect{Part: parts.ID(m.GetPart())}
	switch {
	case m.GetBegan() && dated:
		s.BeganAt = max(sentAt.Add(-clock.Span(m.GetBeganAgeMs())), parts.EverBegan)
	case m.GetBegan():
		s.BeganAt = parts.EverBegan
	}
	for _, c := range m.GetCrashes() {
		s.Crashes = append(s.Crashes, parts.Crash{
			ID: retry.CrashID(c.GetId()), SentAt: max(sentAt.Add(-clock.Span(c.GetAgeMs())), parts.EverBegan+1),
		})
	}
	return s
}
