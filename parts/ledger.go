// Package parts limits the damage of prompts with a part that crashes each upstream that begins to
// answer them. Requests with such a part differ in everything else, so that evidence is kept for the
// parts. A part is proven harmless once an answer to a prompt with it has begun. Until then only few
// requests with it may be on their way in the whole fleet, which one gateway, the owner of the part,
// counts. A part whose requests crashed upstreams is refused, except for rare trials.
package parts

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// maxUnproven is the number of requests with a part that may be on their way while the part is
	// neither proven nor suspect. A suspect part gets one.
	maxUnproven = 2
	// crashLimit is the number of crashes without an answer that begins from which on a part is
	// refused. Upstreams also end for other reasons, so that one crash is no verdict.
	crashLimit = 2
	// provenCrashLimit applies to a part that was proven before.
	provenCrashLimit = 3
	// permitTTL is the time after which a permit ends whose request has not been sent, because it waits or
	// its gateway is gone. sentPermitTTL applies from the time at which the request is sent, and while the
	// part is suspect: it covers the time until an answer begins.
	permitTTL     = 600 * clock.Millisecond
	sentPermitTTL = 2 * clock.Second
	// reserveTime is the time after which a permit whose request has not been sent gives way to a request
	// that is to be sent at once, so that requests in long queues don't keep each other waiting.
	reserveTime = 150 * clock.Millisecond
	// firstTrialDelay is the time from a verdict to its first trial, which ends a wrong verdict soon.
	// Each failed trial is an upstream lost: the next one follows after trialDelay, which doubles with
	// each further one up to maxTrialDelay.
	firstTrialDelay = clock.Second
	trialDelay      = clock.Minute
	maxTrialDelay   = clock.Hour
	// suspectTTL is the time after its last crash during which a part that is not refused stays suspect.
	suspectTTL = 10 * clock.Minute
	// maxSuspects bounds the suspects kept, maxCrashes the crashes kept of each.
	maxSuspects = 4096
	maxCrashes  = 12
)

// EverBegan is the earliest time at which an answer can have begun. It stands for an answer of which only
// is known that it began.
const EverBegan = clock.Time(1)

// ID identifies a part of prompts at a service.
type ID uint64

// NewID returns the ID of the part with a text id, which is unique among the prompts for the service.
func NewID(service units.ServiceID, part string) ID {
	d := xxhash.New()
	_, _ = d.WriteString(string(service) + "\x00" + part)
	return ID(d.Sum64())
}

// NewTargetID returns the ID of a model or adapter of a service.
func NewTargetID(service units.ServiceID, target string) ID { return NewID(service, "\x00"+target) }

// Prompt is what a request shares with others and may crash upstreams.
type Prompt struct {
	// Parts are the parts of the prompt that other requests may share.
	Parts []ID
	// Target is the model or adapter; 0 is none. Evidence for it is kept as for parts, but requests need no
	// permits for it unless it is refused: the upstreams that have loaded it bound those that it ends at once.
	Target ID
}

// all returns the parts and the target.
func (p Prompt) all() []ID {
	if p.Target == 0 {
		return p.Parts
	}
	return append(slices.Clone(p.Parts), p.Target)
}

// Crash is the end of an upstream's process before an answer to a prompt with the part began.
type Crash struct {
	ID retry.CrashID
	// SentAt is when the prompt was sent to the upstream.
	SentAt clock.Time
}

// Suspect is what is known of a part that was in prompts whose upstream crashed.
type Suspect struct {
	Part ID
	// BeganAt is when an answer to a prompt with the part began last; 0 is never. It refutes all crashes
	// of prompts that were sent before.
	BeganAt clock.Time
	Crashes []Crash
}

// count returns the number of crashes that no answer refutes.
func (s *Suspect) count() int {
	n := 0
	for _, c := range s.Crashes {
		if c.SentAt.After(s.BeganAt) {
			n++
		}
	}
	return n
}

// crashLimit returns the number of crashes that no answer refutes from which on the part is refused.
func (s *Suspect) crashLimit() int {
	if s.BeganAt != 0 {
		return provenCrashLimit
	}
	return crashLimit
}

// condemned reports whether the part is refused.
func (s *Suspect) condemned() bool { return s.count() >= s.crashLimit() }

// State tells whether a request with a part may be sent.
type State uint8

// States of a part.
const (
	// Unproven parts need the permission of their owner.
	Unproven State = iota
	// Proven parts are harmless.
	Proven
	// Refused parts crash upstreams.
	Refused
)

// Reply is the answer of a part's owner to a gateway that wants to send a request with the part.
type Reply uint8

// Replies of an owner.
const (
	// Busy means that enough requests with the part are on their way.
	Busy Reply = iota
	// Granted means that the request may be sent. Its end has to be reported.
	Granted
	// Harmless means that the part is proven.
	Harmless
	// Denied means that the part is refused.
	Denied
)

// Permit identifies a granted request.
type Permit uint64

// Stage is how far a request with a permit has come.
type Stage uint8

// Stages of a request.
const (
	// Queued requests wait for an upstream.
	Queued Stage = iota
	// Sending means that the request is sent as soon as the owner grants it.
	Sending
)

// Reach is how many of the gateways the one that decides on a part hears. Those that it does not hear may
// decide as well.
type Reach uint8

// Reaches of a gateway.
const (
	// ReachAll means that it hears all gateways.
	ReachAll Reach = iota
	// ReachMost means that it hears more than half of them, itself included.
	ReachMost
	// ReachFew means that it hears at most half of them.
	ReachFew
)

// String returns the name of the reach for logs.
func (r Reach) String() string {
	switch r {
	case ReachAll:
		return "all"
	case ReachMost:
		return "most"
	case ReachFew:
		return "few"
	}
	return "unknown"
}

// permit is a granted request on its way.
type permit struct {
	id                 Permit
	grantedAt, expires clock.Time
	// sent is set if the request has been sent.
	sent bool
}

// holds reports whether the permit counts against another request in the stage.
func (p permit) holds(now clock.Time, other Stage) bool {
	return other == Queued || p.sent || now.Sub(p.grantedAt) < reserveTime
}

// suspect is a Suspect with what this gateway decides about it.
type suspect struct {
	Suspect
	// trialAt is when a request may be sent although the part is refused. trial is the last one that was
	// granted here, until its end is known; 0 is none.
	trialAt clock.Time
	trial   Permit
	// changedAt is when the last crash was learned.
	changedAt clock.Time
}

// Ledger is what a gateway knows of parts, and the permits that it has granted as owner. It performs
// no I/O and is not safe for concurrent use; the caller passes the time.
type Ledger struct {
	proven   provenSet
	suspects map[ID]*suspect
	permits  map[ID][]permit
}

// NewLedger returns a Ledger without knowledge.
func NewLedger() *Ledger {
	return &Ledger{proven: newProvenSet(), suspects: map[ID]*suspect{}, permits: map[ID][]permit{}}
}

// State returns whether a request with the part may be sent. For a refused part it also returns the
// time until the next trial, which is 0 if a trial may be asked for.
func (l *Ledger) State(now clock.Time, part ID) (State, clock.Span) {
	s, ok := l.suspects[part]
	if ok && s.count() > 0 {
		if s.condemned() {
			return Refused, max(s.trialAt.Sub(now), 0)
		}
		return Unproven, 0
	}
	if l.proven.beganAt(part) != 0 {
		return Proven, 0
	}
	return Unproven, 0
}

// Request decides, as the owner of the part, on a request with it. The span is the time until the next
// trial for Denied.
func (l *Ledger) Request(now clock.Time, part ID, id Permit, stage Stage, reach Reach) (Reply, clock.Span) {
	state, _ := l.State(now, part)
	if state == Proven {
		return Harmless, 0
	}
	if wait := l.untilTrial(now, part, reach); wait > 0 && !l.isTrial(part, id) {
		return Denied, wait
	}
	limit, ttl := maxUnproven, permitTTL
	if reach == ReachFew {
		limit = 1
	}
	if s, ok := l.suspects[part]; ok && s.count() > 0 {
		limit, ttl = 1, sentPermitTTL
	}
	if stage == Sending {
		ttl = sentPermitTTL
	}
	others, holding := l.withoutPermit(now, part, id), 0
	for _, p := range others {
		if p.holds(now, stage) {
			holding++
		}
	}
	if holding >= limit {
		if state == Refused {
			return Denied, sentPermitTTL
		}
		return Busy, 0
	}
	l.permits[part] = append(others, permit{id: id, grantedAt: now, expires: now.Add(ttl), sent: stage == Sending})
	if state == Refused {
		// It counts as failed until its end is known: its gateway may be gone with what it saw.
		s := l.suspects[part]
		s.trial, s.trialAt = id, now.Add(trialDelay)
	}
	return Granted, 0
}

// isTrial reports whether a request is the trial of a refused part.
func (l *Ledger) isTrial(part ID, id Permit) bool {
	s, ok := l.suspects[part]
	return ok && s.trial == id && id != 0
}

// untilTrial returns the time until a request with a part may be sent that crashed upstreams; 0 if it may be
// sent now. Gateways that are not heard may lose upstreams to the part as well, so that a gateway that hears few
// refuses the part after one crash less, and trials come late unless all are heard.
func (l *Ledger) untilTrial(now clock.Time, part ID, reach Reach) clock.Span {
	s, ok := l.suspects[part]
	if !ok {
		return 0
	}
	limit := s.crashLimit()
	if reach == ReachFew {
		limit--
	}
	if s.count() < limit {
		return 0
	}
	trialAt := s.trialAt
	if reach != ReachAll {
		trialAt = max(trialAt, s.changedAt.Add(trialDelay))
	}
	return max(trialAt.Sub(now), 0)
}

// Extend records that the request of a permit has been sent, so that the permit lasts until its answer has
// begun. A request whose permit has ended counts again.
func (l *Ledger) Extend(now clock.Time, part ID, id Permit) {
	if state, _ := l.State(now, part); state != Proven {
		p := permit{id: id, grantedAt: now, expires: now.Add(sentPermitTTL), sent: true}
		l.permits[part] = append(l.withoutPermit(now, part, id), p)
	}
}

// withoutPermit returns the current permits of a part other than id.
func (l *Ledger) withoutPermit(now clock.Time, part ID, id Permit) []permit {
	return slices.DeleteFunc(slices.Clone(l.currentPermits(now, part)), func(p permit) bool { return p.id == id })
}

// currentPermits removes the expired permits of a part and returns the others.
func (l *Ledger) currentPermits(now clock.Time, part ID) []permit {
	list := slices.DeleteFunc(l.permits[part], func(p permit) bool { return !now.Before(p.expires) })
	if len(list) == 0 {
		delete(l.permits, part)
		return nil
	}
	l.permits[part] = list
	return list
}

// Return ends a permit. A trial of which no crash is known by then told nothing, so that another may follow soon.
func (l *Ledger) Return(now clock.Time, part ID, id Permit) {
	if l.isTrial(part, id) {
		s := l.suspects[part]
		s.trial, s.trialAt = 0, min(s.trialAt, now.Add(firstTrialDelay))
	}
	list := slices.DeleteFunc(l.permits[part], func(p permit) bool { return p.id == id })
	if len(list) == 0 {
		delete(l.permits, part)
		return
	}
	l.permits[part] = list
}

// RecordBegan records that an answer to a prompt with the part began. It reports whether that refutes a
// crash.
func (l *Ledger) RecordBegan(part ID, at clock.Time) bool {
	l.proven.add(part, at)
	s, ok := l.suspects[part]
	if !ok {
		return false
	}
	before := s.count()
	s.BeganAt = max(s.BeganAt, at)
	return s.count() < before
}

// RecordHarmless records that the owner of a part knows it as proven. When its answer began is not known
// here, so that this refutes no crash.
func (l *Ledger) RecordHarmless(part ID) { l.proven.add(part, EverBegan) }

// RecordCrash records that an upstream crashed before an answer to a prompt with the parts began. If some
// of them are refused, or else not proven, the others are innocent. It returns the parts for which this is a
// new crash that no answer refutes.
func (l *Ledger) RecordCrash(now clock.Time, prompt []ID, c Crash) []ID {
	return slices.DeleteFunc(l.blamed(now, prompt), func(part ID) bool {
		return !l.Merge(now, Suspect{Part: part, Crashes: []Crash{c}})
	})
}

// blamed returns the parts of a prompt that explain a crash.
func (l *Ledger) blamed(now clock.Time, prompt []ID) []ID {
	var refused, unproven []ID
	for _, part := range prompt {
		if state, _ := l.State(now, part); state == Refused {
			refused = append(refused, part)
		}
		if l.proven.beganAt(part) == 0 {
			unproven = append(unproven, part)
		}
	}
	switch {
	case len(refused) > 0:
		return refused
	case len(unproven) > 0:
		return unproven
	}
	return slices.Clone(prompt)
}

// Restore adds a verdict from the store, unless an answer with the part began that this gateway knows of, or it
// knows of as many crashes. It reports whether it did.
func (l *Ledger) Restore(now clock.Time, v Verdict) bool {
	known, ok := l.suspects[v.Part]
	if l.proven.beganAt(v.Part) != 0 || ok && (known.BeganAt != 0 || known.count() >= v.Crashes) {
		return false
	}
	s := Suspect{Part: v.Part}
	for i := range min(v.Crashes, maxCrashes) {
		// All gateways compute the same ids, so that the crashes count once.
		s.Crashes = append(s.Crashes, Crash{ID: retry.CrashID(uint64(v.Part) + uint64(i)), SentAt: now})
	}
	return l.Merge(now, s)
}

// Verdict returns the verdict on a part; its Crashes are 0 if the part is not refused.
func (l *Ledger) Verdict(part ID) Verdict {
	if s, ok := l.suspects[part]; ok && s.condemned() {
		return Verdict{part, s.count()}
	}
	return Verdict{Part: part}
}

// mayTry reports whether a request with several refused parts may be a trial. A failed one would speak
// against the sound ones among them, so that it comes only where no trial of one part alone has come.
func (l *Ledger) mayTry(now clock.Time, prompt []ID) bool {
	refused, overdue := 0, 0
	for _, part := range prompt {
		if state, _ := l.State(now, part); state == Refused {
			refused++
			if now.Sub(l.suspects[part].trialAt) >= trialDelay {
				overdue++
			}
		}
	}
	return refused <= 1 || overdue == refused
}

// Merge adds what another gateway knows of a suspect. It reports whether there are more crashes that no
// answer refutes.
func (l *Ledger) Merge(now clock.Time, other Suspect) bool {
	s, ok := l.suspects[other.Part]
	if !ok {
		l.evict(now)
		s = &suspect{Suspect: Suspect{Part: other.Part}}
		l.suspects[other.Part] = s
	}
	before := s.count()
	s.BeganAt = max(s.BeganAt, other.BeganAt, l.proven.beganAt(other.Part))
	for _, c := range other.Crashes {
		known := slices.ContainsFunc(s.Crashes, func(k Crash) bool { return k.ID == c.ID })
		if !known && len(s.Crashes) < maxCrashes {
			s.Crashes = append(s.Crashes, c)
		}
	}
	after := s.count()
	if after > before {
		s.changedAt = now
		s.trial, s.trialAt = 0, now.Add(delayOfTrial(after))
		return true
	}
	return false
}

// delayOfTrial returns the time from a crash, the last of n, to the next trial.
func delayOfTrial(n int) clock.Span {
	if n <= crashLimit {
		return firstTrialDelay
	}
	return min(trialDelay<<min(n-crashLimit-1, 10), maxTrialDelay)
}

// evict makes room for suspects if there are maxSuspects: it drops the less important half.
func (l *Ledger) evict(now clock.Time) {
	if len(l.suspects) < maxSuspects {
		return
	}
	list := l.byImportance(now)
	for _, s := range list[min(maxSuspects/2, len(list)):] {
		delete(l.suspects, s.Part)
	}
}

// byImportance drops suspects that have expired and returns the others: those with the most crashes first,
// then those that changed last.
func (l *Ledger) byImportance(now clock.Time) []*suspect {
	list := make([]*suspect, 0, len(l.suspects))
	for part, s := range l.suspects {
		if !s.condemned() && now.Sub(s.changedAt) >= suspectTTL {
			delete(l.suspects, part)
			continue
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(b.count(), a.count()), cmp.Compare(b.changedAt, a.changedAt))
	})
	return list
}

// Suspects returns at most n suspects, the most important first.
func (l *Ledger) Suspects(now clock.Time, n int) []Suspect {
	list := l.byImportance(now)
	out := make([]Suspect, 0, min(n, len(list)))
	for _, s := range list[:min(n, len(list))] {
		out = append(out, Suspect{s.Part, s.BeganAt, slices.Clone(s.Crashes)})
	}
	return out
}

// Get returns what is known of a suspect, and false if the part is none.
func (l *Ledger) Get(part ID) (Suspect, bool) {
	s, ok := l.suspects[part]
	if !ok {
		return Suspect{}, false
	}
	return Suspect{s.Part, s.BeganAt, slices.Clone(s.Crashes)}, true
}

// Expire drops permits that have expired.
func (l *Ledger) Expire(now clock.Time) {
	for part := range l.permits {
		l.currentPermits(now, part)
	}
}
