package parts

import (
	"maps"
	"slices"
	"sync"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// pauseThreshold is the time between two ticks from which on the process counts as paused: it may have
	// missed messages.
	pauseThreshold = 400 * clock.Millisecond
	// informedSlack is added to two intervals of digests to give the time after which a gateway that was
	// started or paused knows what the others know.
	informedSlack = 100 * clock.Millisecond
	// loneTime is the time after its start for which a gateway that knows no other one may not know those that start
	// with it: twice the pause before its first watch of the store.
	loneTime = 600 * clock.Millisecond
	// maxLoneTime is the time after which such a gateway counts as the only one even if the store does not answer.
	maxLoneTime = 3 * clock.Second
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
	// AwaitStore is set if RecordStoreRead will tell when the list of gateways was read.
	AwaitStore bool
}

// Exchange finds the owner of each part of prompts among the gateways and exchanges messages about parts
// with them. It implements Owners and is safe for concurrent use.
type Exchange struct {
	ExchangeOptions

	mu sync.Mutex // guards the fields below
	// gateways is the number of gateways.
	gateways int
	// startedAt is the time of the start.
	startedAt clock.Time
	// storeReadAt is the latest time as of which the list of gateways is known to have been current; 0 if none is.
	storeReadAt clock.Time
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
		ExchangeOptions: o, gateways: 1, startedAt: o.Clock.Now(), asks: map[partPermit]chan *wire.PartReply{}, granters: map[partPermit][]units.VMID{},
		silentAt: map[units.VMID]clock.Time{},
	}
	o.Guard.SetOwners(e)
	return e
}

// RecordStoreRead records that the list of gateways was current as of a time.
func (e *Exchange) RecordStoreRead(at clock.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.storeReadAt = max(e.storeReadAt, at)
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
	now := e.Clock.Now()
	if !dated || sentAt.After(now) {
		sentAt = now
	}
	for _, m := range list {
		s := decodeSuspect(m, sentAt, dated)
		if e.Guard.Merge(s) {
			klog.InfoS("parts: suspect at another gateway", "part", s.Part, "crashes", len(s.Crashes), "from", from.VM, "address", from.Address)
		}
	}
}
