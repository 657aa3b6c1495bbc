package parts

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// ownerTimeout is how long a request waits for the answer of one owner of a part.
	ownerTimeout = 60 * time.Millisecond
	// silentTimeout replaces ownerTimeout for silentTime after a gateway has not answered.
	silentTimeout = 15 * time.Millisecond
	silentTime    = 500 * clock.Millisecond
	// maxSilent is the number of gateways that are asked in vain before a gateway decides alone, maxUninformed
	// the number of those that answer without knowing what the others know.
	maxSilent     = 8
	maxUninformed = 3
	// pauseThreshold is the time between two ticks from which on the process counts as paused: it may have
	// missed messages.
	pauseThreshold = 400 * clock.Millisecond
	// informedSlack is added to two intervals of digests to give the time after which a gateway that was
	// started or paused knows what the others know.
	informedSlack = 100 * clock.Millisecond
)

// Transport is the way from a gateway to the others. Its methods are called from concurrent requests.
type Transport interface {
	// Alive returns the gateways that answered lately, this one included.
	Alive() []member.Gateway
	// Send sends a message to a gateway, Broadcast to all others. They don't block, and a message may be lost.
	Send(to units.VMID, m *wire.PartMessage)
	Broadcast(m *wire.PartMessage)
	// Reply sends a message to the sender of another one.
	Reply(from Sender, m *wire.PartMessage)
	// SentAt returns a time on this gateway's clock that is not later than sent on the sender's, and false
	// if it is not known.
	SentAt(from Sender, life uint64, sent clock.Time) (clock.Time, bool)
}

// Sender identifies the sender of a message: a VM, where it is known, or else an address in the form
// IPv4:port.
type Sender struct {
	VM      units.VMID
	Address string
}

// ExchangeOptions configure an Exchange.
type ExchangeOptions struct {
	Clock clock.Clock
	// VM is this gateway, Life its incarnation.
	VM        units.VMID
	Life      uint64
	Guard     *Guard
	Transport Transport
	// DigestInterval returns the interval at which each of n gateways tells the others its suspects.
	DigestInterval func(n int) clock.Span
}

// Exchange finds the owner of each part of prompts among the gateways and exchanges messages about parts
// with them. It implements Owners and is safe for concurrent use.
type Exchange struct {
	ExchangeOptions

	mu sync.Mutex // guards the fields below
	// gateways is the number of gateways.
	gateways int
	// reach is that of the last tick.
	reach Reach
	// tickedAt is the time of the last tick, informedAt when this gateway knows what the others know.
	tickedAt, informedAt clock.Time
	// asks are the unanswered requests to other gateways, granters the other gateways that may have granted requests.
	asks     map[partPermit]chan *wire.PartReply
	granters map[partPermit][]units.VMID
	// silentAt is when gateways did not answer; it has those that have not answered since.
	silentAt map[units.VMID]clock.Time
}

// partPermit identifies a request with a part.
type partPermit struct {
	part ID
	id   Permit
}

// NewExchange returns an Exchange, which the Guard uses from then on.
func NewExchange(o ExchangeOptions) *Exchange {
	e := &Exchange{
		ExchangeOptions: o, gateways: 1, asks: map[partPermit]chan *wire.PartReply{}, granters: map[partPermit][]units.VMID{},
		silentAt: map[units.VMID]clock.Time{},
	}
	o.Guard.SetOwners(e)
	return e
}

// SetGateways sets the number of gateways that share the ownership of parts.
func (e *Exchange) SetGateways(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gateways <= 1 && n > 1 {
		// Until now there was nobody to learn from.
		e.informedAt = e.Clock.Now().Add(e.informTime(n))
	}
	e.gateways = n
}

// OnTick notes pauses of the process. The caller has to call it several times per second.
func (e *Exchange) OnTick() {
	now := e.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.tickedAt != 0 && now.Sub(e.tickedAt) > pauseThreshold {
		e.informedAt = now.Add(e.informTime(e.gateways))
		klog.InfoS("parts: paused, others decide on parts", "for", now.Sub(e.tickedAt), "until", e.informedAt.Sub(now))
	}
	e.tickedAt = now
	maps.DeleteFunc(e.silentAt, func(_ units.VMID, at clock.Time) bool { return now.Sub(at) >= silentTime })
	if heard, reach := e.heard(); reach != e.reach {
		klog.InfoS("parts: gateways heard", "heard", heard, "of", e.gateways, "before", e.reach, "reach", reach)
		e.reach = reach
	}
}

// informTime returns the time after which a gateway among n has heard from all others.
func (e *Exchange) informTime(n int) clock.Span { return 2*e.DigestInterval(n) + informedSlack }

// informed reports whether this gateway knows what the others know. The caller holds e.mu.
func (e *Exchange) informed(now clock.Time) bool {
	paused := e.tickedAt != 0 && now.Sub(e.tickedAt) > pauseThreshold
	return e.gateways <= 1 || (!paused && !now.Before(e.informedAt))
}

// candidates returns the gateways that are alive, the owner of the part first, then those that take its place.
// All gateways agree on the order.
func (e *Exchange) candidates(part ID) []member.Gateway {
	return member.Rank(e.Transport.Alive(), strconv.FormatUint(uint64(part), 16))
}

// ownerReply is an owner's answer to a request.
type ownerReply struct {
	reply Reply
	wait  clock.Span
	// informed is not set if the owner was started or paused a moment ago and may have missed crashes.
	informed bool
}

// Ask implements Owners. The first gateway that answers and knows what the others know decides. If none knows
// it, the first of the others counts: after a restart of all gateways they share the permits of a part as well. A
// gateway that was started or paused a moment ago and hears nobody waits; later it decides by what it knows.
func (e *Exchange) Ask(ctx context.Context, part ID, id Permit, stage Stage) (Reply, clock.Span) {
	informed := e.isInformed()
	d := e.askOwners(ctx, partPermit{part, id}, stage, informed)
	switch {
	case d.counts != nil:
		return d.counts.reply, d.counts.wait
	case ctx.Err() != nil:
		return Busy, 0
	case d.uninformed == 0 && !informed:
		stats.Event("part_owners_awaited")
		return Busy, 0
	case d.silent > 0:
		stats.Event("part_owners_silent")
		klog.InfoS("parts: no owner of a part answers", "part", part, "asked", d.silent, "first", d.first)
	}
	if !d.first {
		// Other gateways that hear no owner may decide as well.
		return e.Guard.Request(part, id, stage, ReachFew)
	}
	return e.Guard.Request(part, id, stage, e.currentReach())
}

// decision says who decides on a request with a part.
type decision struct {
	// counts is the answer of another gateway; nil if this one has to decide.
	counts *ownerReply
	// uninformed is the number of gateways that answered, of which none was informed, silent that of those
	// that did not answer.
	uninformed, silent int
	// first is set if this gateway comes before all others that answer.
	first bool
}

// askOwners asks the candidates of a part one after the other, until one that is informed answers or this
// gateway's turn comes.
func (e *Exchange) askOwners(ctx context.Context, p partPermit, stage Stage, informed bool) decision {
	d := decision{}
	var asked []units.VMID
	for _, g := range e.candidates(p.part) {
		if d.silent >= maxSilent || d.uninformed >= maxUninformed || ctx.Err() != nil {
			break
		}
		if g.VM == e.VM {
			d.first = informed || d.uninformed == 0
			if informed {
				break
			}
			continue
		}
		asked = append(asked, g.VM)
		r, ok := e.askGateway(ctx, g, p, stage)
		if ok && r.reply == Granted {
			// A late answer of one that was asked before can't be told from this one.
			e.addGranters(p, asked)
		}
		switch {
		case ok && r.informed:
			d.counts = &r
			return d
		case !ok:
			d.silent++
			continue
		case d.uninformed == 0:
			d.counts = &r
		}
		d.uninformed++
	}
	if d.first {
		d.counts = nil
	}
	return d
}

// currentReach returns how many of the gateways this one hears.
func (e *Exchange) currentReach() Reach {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, reach := e.heard()
	return reach
}

// heard returns the number of gateways that this one hears, itself included, and what follows. The caller
// holds e.mu.
func (e *Exchange) heard() (int, Reach) {
	alive := len(e.Transport.Alive())
	switch {
	case alive >= e.gateways:
		return alive, ReachAll
	case 2*alive > e.gateways:
		return alive, ReachMost
	}
	return alive, ReachFew
}

// isInformed reports whether this gateway knows what the others know.
func (e *Exchange) isInformed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.informed(e.Clock.Now())
}

// decide decides as the owner of a part.
func (e *Exchange) decide(p partPermit, stage Stage) ownerReply {
	informed := e.isInformed()
	reply, wait := e.Guard.Request(p.part, p.id, stage, e.currentReach())
	return ownerReply{reply, wait, informed}
}

// askGateway asks another gateway. It returns false if that doesn't answer in time.
func (e *Exchange) askGateway(ctx context.Context, g member.Gateway, p partPermit, stage Stage) (ownerReply, bool) {
	answered := make(chan *wire.PartReply, 1)
	e.mu.Lock()
	e.asks[p] = answered
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.asks, p)
	}()
	e.Transport.Send(g.VM, &wire.PartMessage{Body: &wire.PartMessage_Request{Request: &wire.PartRequest{
		Permit: uint64(p.id), Part: uint64(p.part), Stage: encodeStage(stage),
	}}})
	timeout := time.NewTimer(e.timeout(g.VM))
	defer timeout.Stop()
	select {
	case m := <-answered:
		e.setSilent(g.VM, 0)
		reply, ok := decodeReply(m.GetReply())
		return ownerReply{reply, clock.Span(m.GetWaitMs()), !m.GetUninformed()}, ok
	case <-timeout.C:
		e.setSilent(g.VM, e.Clock.Now())
	case <-ctx.Done():
	}
	return ownerReply{}, false
}

// timeout returns how long the answer of another gateway is waited for.
func (e *Exchange) timeout(vm units.VMID) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at, ok := e.silentAt[vm]; ok && e.Clock.Now().Sub(at) < silentTime {
		return silentTimeout
	}
	return ownerTimeout
}

// setSilent records that a gateway did not answer at a time; 0 if it answered.
func (e *Exchange) setSilent(vm units.VMID, at clock.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at == 0 {
		delete(e.silentAt, vm)
		return
	}
	e.silentAt[vm] = at
}

// decodeReply returns false for unknown replies.
func decodeReply(r wire.PartReply_Reply) (Reply, bool) {
	switch r {
	case wire.PartReply_BUSY:
		return Busy, true
	case wire.PartReply_GRANTED:
		return Granted, true
	case wire.PartReply_HARMLESS:
		return Harmless, true
	case wire.PartReply_DENIED:
		return Denied, true
	}
	return 0, false
}

func encodeReply(r Reply) wire.PartReply_Reply {
	switch r {
	case Granted:
		return wire.PartReply_GRANTED
	case Harmless:
		return wire.PartReply_HARMLESS
	case Denied:
		return wire.PartReply_DENIED
	case Busy:
	}
	return wire.PartReply_BUSY
}

func encodeStage(s Stage) wire.PartRequest_Stage {
	if s == Sending {
		return wire.PartRequest_SENDING
	}
	return wire.PartRequest_QUEUED
}

func decodeStage(s wire.PartRequest_Stage) Stage {
	if s == wire.PartRequest_SENDING {
		return Sending
	}
	return Queued
}

// addGranters records that one of some gateways, or each of them, has granted a request.
func (e *Exchange) addGranters(p partPermit, list []units.VMID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, vm := range list {
		if !slices.Contains(e.granters[p], vm) {
			e.granters[p] = append(e.granters[p], vm)
		}
	}
}

// grantersOf returns the other gateways that may have granted a request.
func (e *Exchange) grantersOf(p partPermit) []units.VMID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.granters[p])
}

// Extend implements Owners.
func (e *Exchange) Extend(part ID, id Permit) {
	granters := e.grantersOf(partPermit{part, id})
	if len(granters) == 0 {
		e.Guard.Extend(part, id)
		return
	}
	for _, g := range granters {
		e.Transport.Send(g, &wire.PartMessage{Body: &wire.PartMessage_Request{Request: &wire.PartRequest{
			Permit: uint64(id), Part: uint64(part), Stage: wire.PartRequest_SENT,
		}}})
	}
}

// Return implements Owners.
func (e *Exchange) Return(part ID, id Permit, r Result) {
	p := partPermit{part, id}
	granters := e.grantersOf(p)
	e.mu.Lock()
	delete(e.granters, p)
	e.mu.Unlock()
	// This gateway may have granted the request too.
	e.Guard.Returned(part, id, r)
	if len(granters) == 0 {
		return
	}
	m := &wire.PartReturn{Permit: uint64(id), Part: uint64(part), Began: r.Began}
	if r.Suspect != nil {
		m.Crash = e.suspectsMessage([]Suspect{*r.Suspect})
	}
	for _, g := range granters {
		e.Transport.Send(g, &wire.PartMessage{Body: &wire.PartMessage_End{End: m}})
	}
}

// Announce implements Owners.
func (e *Exchange) Announce(list []Suspect) {
	e.Transport.Broadcast(&wire.PartMessage{Body: &wire.PartMessage_Suspects{Suspects: e.suspectsMessage(list)}})
}

func (e *Exchange) suspectsMessage(list []Suspect) *wire.PartSuspects {
	now := e.Clock.Now()
	return &wire.PartSuspects{Suspects: EncodeSuspects(now, list), Life: e.Life, SentMs: int64(now)}
}

// Handle handles a message of another gateway.
func (e *Exchange) Handle(m *wire.PartMessage, from Sender) {
	switch b := m.GetBody().(type) {
	case *wire.PartMessage_Request:
		if b.Request.GetStage() == wire.PartRequest_SENT {
			e.Guard.Extend(ID(b.Request.GetPart()), Permit(b.Request.GetPermit()))
			return
		}
		e.Transport.Reply(from, &wire.PartMessage{Body: &wire.PartMessage_Reply{Reply: e.handleRequest(b.Request)}})
	case *wire.PartMessage_Reply:
		e.handleReply(b.Reply)
	case *wire.PartMessage_End:
		// The crash counts before another request gets the permit.
		e.mergeMessage(b.End.GetCrash(), from)
		e.Guard.Returned(ID(b.End.GetPart()), Permit(b.End.GetPermit()), Result{Began: b.End.GetBegan()})
	case *wire.PartMessage_Suspects:
		e.mergeMessage(b.Suspects, from)
	default:
		stats.Event("part_message_unknown")
	}
}

// handleReply passes an owner's reply to the request that waits for it.
func (e *Exchange) handleReply(r *wire.PartReply) {
	e.mu.Lock()
	answered, ok := e.asks[partPermit{ID(r.GetPart()), Permit(r.GetPermit())}]
	e.mu.Unlock()
	if !ok {
		return
	}
	select {
	case answered <- r:
	default:
		stats.Event("part_replies_repeated")
	}
}

// handleRequest decides on another gateway's request.
func (e *Exchange) handleRequest(r *wire.PartRequest) *wire.PartReply {
	d := e.decide(partPermit{ID(r.GetPart()), Permit(r.GetPermit())}, decodeStage(r.GetStage()))
	return &wire.PartReply{
		Permit: r.GetPermit(), Part: r.GetPart(), Reply: encodeReply(d.reply), WaitMs: int64(d.wait), Uninformed: !d.informed,
	}
}

// mergeMessage adds the suspects of a message, which may be nil.
func (e *Exchange) mergeMessage(m *wire.PartSuspects, from Sender) {
	e.Merge(m.GetSuspects(), from, m.GetLife(), m.GetSentMs())
}

// Merge adds another gateway's suspects. Where the sender's clock is not known, crashes count as of now and
// answers that began are ignored, so that nothing refutes a crash that may have come later.
func (e *Exchange) Merge(list []*wire.PartSuspect, from Sender, life uint64, sentMs int64) {
	if len(list) == 0 {
		return
	}
	sentAt, dated := e.Transport.SentAt(from, life, clock.Time(sentMs))
	if !dated {
		sentAt = e.Clock.Now()
	}
	for _, m := range list {
		s := decodeSuspect(m, sentAt, dated)
		if e.Guard.Merge(s) {
			klog.InfoS("parts: suspect at another gateway", "part", s.Part, "crashes", len(s.Crashes), "from", from.VM, "address", from.Address)
		}
	}
}

// EncodeSuspects encodes suspects with ages that count back from now.
func EncodeSuspects(now clock.Time, list []Suspect) []*wire.PartSuspect {
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

// decodeSuspect decodes a suspect whose ages count back from sentAt.
func decodeSuspect(m *wire.PartSuspect, sentAt clock.Time, dated bool) Suspect {
	s := Suspect{Part: ID(m.GetPart())}
	switch {
	case m.GetBegan() && dated:
		s.BeganAt = max(sentAt.Add(-clock.Span(m.GetBeganAgeMs())), EverBegan)
	case m.GetBegan():
		s.BeganAt = EverBegan
	}
	for _, c := range m.GetCrashes() {
		s.Crashes = append(s.Crashes, Crash{
			ID: retry.CrashID(c.GetId()), SentAt: max(sentAt.Add(-clock.Span(c.GetAgeMs())), EverBegan+1),
		})
	}
	return s
}
