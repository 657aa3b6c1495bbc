// Package parts limits the damage of prompts with a part that crashes each upstream that begins to
// answer them. Requests with such a part differ in everything else, so that evidence is kept for the
// parts. A part is proven harmless once an answer to a prompt with it has begun. Until then only few
// requests with it may be on their way in the whole fleet, which one gateway, the owner of the part,
// counts. A part whose requests crashed upstreams is refused, except for rare trials. The model or adapter of a
// request is treated alike, but needs no permission before it is refused.
//
// A Guard decides on the requests of a gateway by its Ledger; an Exchange finds the owners of parts among the
// gateways; a Keeper keeps verdicts in the store.
package parts

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
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
	// part is suspect; it is renewed until the answer begins.
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
	// jointTrialStep is added to the delay of a trial for each further refused part of the request: a failed trial
	// speaks against all of them, so that requests with fewer go first.
	jointTrialStep = 2 * clock.Second
	// suspectTTL is the time after its last crash during which a part that is not refused stays suspect.
	suspectTTL = 10 * clock.Minute
	// maxSuspects bounds the suspects kept, maxCrashes the crashes kept of each.
	maxSuspects = 4096
	maxCrashes  = 12
)

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

// untilJointTrial returns the time until a request with several refused parts may be a trial; 0 if it may be one now,
// or if at most one is refused.
func (l *Ledger) untilJointTrial(now clock.Time, prompt []ID) clock.Span {
	refused, lastDue := 0, clock.Time(0)
	for _, part := range prompt {
		if state, _ := l.State(now, part); state == Refused {
			refused++
			lastDue = max(lastDue, l.suspects[part].trialAt)
		}
	}
	if refused <= 1 {
		return 0
	}
	return max(lastDue.Add(jointTrialStep*clock.Span(refused-1)).Sub(now), 0)
}

// Expire drops permits that have expired.
func (l *Ledger) Expire(now clock.Time) {
	for part := range l.permits {
		l.currentPermits(now, part)
	}
}
