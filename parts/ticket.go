package parts

import (
	"context"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
)

// Ticket is the permission to send one request.
type Ticket struct {
	guard *Guard
	// parts are the parts of the prompt and the target.
	parts []ID
	// granted are the permits whose owner has to learn how the request ended.
	granted []grantedPermit
	// crashes are the numbers of crashes for which parts were refused already when the ticket was granted.
	crashes map[ID]int
	id      Permit
	sentAt  clock.Time
	began   bool
}

// grantedPermit is the permit for a part, granted after askedAt.
type grantedPermit struct {
	part    ID
	askedAt clock.Time
}

// Confirm has to be called right before the request is sent. It returns Granted if the request may be sent.
// Denied means that a part was refused meanwhile, with the time after which the caller may come back, and
// Busy that a permit has ended meanwhile, so that the request needs a new ticket. A part that was refused
// when the ticket was granted is on trial.
func (t *Ticket) Confirm(ctx context.Context) (Reply, clock.Span) {
	if refused, retryAfter := t.refused(); refused {
		return Denied, retryAfter
	}
	for _, p := range slices.Clone(t.granted) {
		if reply, wait := t.confirmPart(ctx, p); reply == Busy || reply == Denied {
			return reply, retryTime(wait)
		}
	}
	t.sentAt = t.guard.clock.Now()
	t.guard.addUnanswered(t)
	return Granted, 0
}

// confirmPart extends a permit, and asks for it again if others may have it meanwhile.
func (t *Ticket) confirmPart(ctx context.Context, p grantedPermit) (Reply, clock.Span) {
	if t.guard.clock.Now().Sub(p.askedAt) < reserveTime-confirmMargin {
		t.guard.owners.Extend(p.part, t.id)
		return Granted, 0
	}
	reply, wait := t.guard.owners.Ask(ctx, p.part, t.id, Sending)
	if reply == Harmless {
		t.guard.recordHarmless(p.part)
	}
	return reply, wait
}

// refused reports whether one of the ticket's parts is refused now for more crashes than when the ticket was
// granted, and returns the time until its next trial.
func (t *Ticket) refused() (bool, clock.Span) {
	t.guard.mu.Lock()
	defer t.guard.mu.Unlock()
	for _, part := range t.parts {
		if t.guard.ledger.Verdict(part).Crashes > t.crashes[part] {
			_, wait := t.guard.ledger.State(t.guard.clock.Now(), part)
			return true, retryTime(wait)
		}
	}
	return false, 0
}

// Began records that an answer to the request has begun. All of its parts are harmless.
func (t *Ticket) Began() {
	if t.began {
		return
	}
	t.began = true
	t.guard.removeUnanswered(t)
	var refuted []Suspect
	t.guard.mu.Lock()
	for _, part := range t.parts {
		if t.guard.ledger.RecordBegan(part, t.guard.clock.Now()) {
			s, _ := t.guard.ledger.Get(part)
			refuted = append(refuted, s)
		}
	}
	t.guard.mu.Unlock()
	for _, p := range t.granted {
		t.guard.owners.Return(p.part, t.id, Result{Began: true})
	}
	t.granted = nil
	if len(refuted) > 0 {
		t.guard.owners.Announce(refuted)
		t.guard.reportVerdicts(refuted)
	}
}

// NeedsCause reports whether a part would become suspect if the upstream has crashed: no answer with it
// has begun since the request was sent.
func (t *Ticket) NeedsCause() bool {
	if t.began {
		return false
	}
	t.guard.mu.Lock()
	defer t.guard.mu.Unlock()
	return slices.ContainsFunc(t.parts, func(part ID) bool { return t.guard.ledger.proven.beganAt(part).Before(t.sentAt) })
}

// End ends the attempt for which the ticket was acquired. crash is nil unless the upstream crashed
// before the answer began. It returns the parts that the crash makes suspect.
func (t *Ticket) End(crash *Crash) []Suspect {
	t.guard.removeUnanswered(t)
	var suspects []Suspect
	if crash != nil && !t.began {
		suspects = t.guard.recordCrash(t.parts, *crash)
	}
	for _, s := range suspects {
		if i := slices.IndexFunc(t.granted, func(p grantedPermit) bool { return p.part == s.Part }); i >= 0 {
			// The owner learns of the crash together with the end of the permit.
			t.guard.owners.Return(s.Part, t.id, Result{Suspect: &s})
			t.granted = slices.Delete(t.granted, i, i+1)
		}
	}
	t.release()
	t.guard.announceCrash(suspects)
	return suspects
}

// RecordCrash records, after the ticket has ended, that the upstream turns out to have crashed before an answer began.
// It returns the parts that the crash makes suspect.
func (t *Ticket) RecordCrash(crash Crash) []Suspect {
	if t.began {
		return nil
	}
	suspects := t.guard.recordCrash(t.parts, crash)
	t.guard.announceCrash(suspects)
	return suspects
}

// SentAt returns when the request was sent.
func (t *Ticket) SentAt() clock.Time { return t.sentAt }

// HasPermits reports whether the request counts against the limit on requests with an unproven part.
func (t *Ticket) HasPermits() bool { return len(t.granted) > 0 }

// release returns the permits of the ticket.
func (t *Ticket) release() {
	for _, p := range t.granted {
		t.guard.owners.Return(p.part, t.id, Result{})
	}
	t.granted = nil
}
