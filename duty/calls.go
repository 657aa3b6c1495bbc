package duty

import (
	"cmp"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
)

// Outcome is what is known of a call that has ended.
type Outcome uint8

// Outcomes of calls.
const (
	// Unanswered calls may be carried out at any later time.
	Unanswered Outcome = iota
	// Acknowledged calls were carried out.
	Acknowledged
	// Postponed calls were not carried out, as there were too many.
	Postponed
	// Refused calls were not carried out, as a later epoch was seen.
	Refused
	// Invalid calls were not carried out and never will be.
	Invalid
	// NotSent calls never left this gateway.
	NotSent
)

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string {
	names := [...]string{"unanswered", "acknowledged", "postponed", "refused", "invalid", "not_sent"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

const (
	// minRepeatDelay and maxRepeatDelay bound the time from the end of a call without an answer to its repetition, which
	// doubles each time.
	minRepeatDelay = 300 * clock.Millisecond
	maxRepeatDelay = 2 * clock.Second
)

// Call is a call that has to be made now.
type Call[C any] struct {
	Proof
	// Content is what the call says, Repeated is set if it was sent under this epoch before.
	Content  C
	Repeated bool
	// Deadline is when the call is due.
	Deadline clock.Time
}

// Calls are the calls of one kind of duty, for any number of subjects. C is what a call says; it must not change once
// it is passed on. Calls is not safe for concurrent use.
type Calls[C any] struct {
	holder *Holder
	pacer  *Pacer
	// equal reports whether two calls say the same.
	equal    func(a, b C) bool
	subjects map[Subject]*subject[C]
}

// subject is the state of one subject.
type subject[C any] struct {
	// due is what has to be acknowledged, unless it is nil; deadline is when.
	due      *C
	deadline clock.Time
	// sent is the last call that was made under its proof and may still be carried out; nil if there is none.
	sent  *C
	proof Proof
	// sentDeadline is the deadline of sent.
	sentDeadline clock.Time
	// inFlight is set while sent has not ended, repeatAt is when it may be made again, after a delay.
	inFlight bool
	repeatAt clock.Time
	delay    clock.Span
	// acknowledged is what was carried out last; nil if nothing was.
	acknowledged *C
}

// NewCalls returns Calls without subjects. All kinds of duties that share a limit on the rate of calls share the pacer.
// equal reports whether two calls say the same.
func NewCalls[C any](holder *Holder, pacer *Pacer, equal func(a, b C) bool) *Calls[C] {
	return &Calls[C]{holder: holder, pacer: pacer, equal: equal, subjects: map[Subject]*subject[C]{}}
}

func (c *Calls[C]) subject(s Subject) *subject[C] {
	if _, ok := c.subjects[s]; !ok {
		c.subjects[s] = &subject[C]{}
	}
	return c.subjects[s]
}

// Require sets what is due for a subject, and when. It replaces what was due before. A call that was sent and not
// answered comes first all the same.
func (c *Calls[C]) Require(s Subject, content C, deadline clock.Time) {
	v := c.subject(s)
	v.deadline = deadline
	switch {
	case v.due != nil && c.equal(*v.due, content):
	case v.sent != nil && c.equal(*v.sent, content):
		v.due = v.sent
	default:
		v.due = &content
	}
}

// Pending reports whether a call for a subject was sent under the current epoch and may still be carried out.
func (c *Calls[C]) Pending(now clock.Time, s Subject) bool {
	v, ok := c.subjects[s]
	return ok && v.sent != nil && c.holder.Holds(now, v.proof)
}

// Withdraw makes nothing due for a subject. A call that was sent and not answered is no longer repeated.
func (c *Calls[C]) Withdraw(s Subject) {
	if v, ok := c.subjects[s]; ok {
		v.due = nil
	}
}

// Next returns the call that has to be made now, the one with the earliest deadline if there are several, and false if
// there is none. The caller makes it and records its end.
func (c *Calls[C]) Next(now clock.Time) (Call[C], bool) {
	names := make([]Subject, 0, len(c.subjects))
	for s := range c.subjects {
		names = append(names, s)
	}
	slices.SortFunc(names, func(a, b Subject) int {
		return cmp.Or(cmp.Compare(c.subjects[a].deadline, c.subjects[b].deadline), cmp.Compare(a, b))
	})
	for _, s := range names {
		p, ok := c.holder.Prove(now, s)
		if !ok {
			continue
		}
		v := c.subjects[s]
		v.beginEpoch(p)
		if v.due == nil || v.inFlight || now.Before(v.repeatAt) {
			continue
		}
		if !c.pacer.Take(now, p.Epoch) {
			return Call[C]{}, false
		}
		repeated := v.sent != nil
		if !repeated {
			v.sent, v.sentDeadline = v.due, v.deadline
		}
		v.inFlight = true
		return Call[C]{p, *v.sent, repeated, v.sentDeadline}, true
	}
	return Call[C]{}, false
}

// beginEpoch forgets the call of an earlier epoch, if the proof is of another one: the earlier call is refused once one of the
// new epoch was seen.
func (v *subject[C]) beginEpoch(p Proof) {
	if v.proof == p {
		return
	}
	v.proof, v.sent, v.inFlight, v.repeatAt, v.delay = p, nil, false, 0, 0
	v.acknowledged = nil
}

// Record records how a call has ended. It reports whether the content was what is due, and is acknowledged now.
func (c *Calls[C]) Record(now clock.Time, call Call[C], o Outcome) bool {
	switch o {
	case Refused:
		c.holder.GiveUp(call.Proof)
	case Postponed:
		c.pacer.Postpone(now)
	case Acknowledged, Invalid:
		c.pacer.Accept()
	}
	v, ok := c.subjects[call.Subject]
	if !ok || v.proof != call.Proof || !v.inFlight {
		return false
	}
	v.inFlight = false
	switch o {
	case Unanswered:
		v.delayNext(now)
		return false
	case Postponed, NotSent:
		v.delayNext(now)
		if !call.Repeated {
			// Nothing of it is on its way.
			v.sent = nil
		}
		return false
	case Refused:
		v.sent = nil
		return false
	}
	wasDue := v.due == v.sent
	if wasDue {
		v.due = nil
	}
	if o == Acknowledged {
		v.acknowledged = v.sent
	}
	v.sent, v.repeatAt, v.delay = nil, 0, 0
	return wasDue
}

// delayNext delays the next call, longer each time.
func (v *subject[C]) delayNext(now clock.Time) {
	v.delay = min(max(v.delay*2, minRepeatDelay), maxRepeatDelay)
	v.repeatAt = now.Add(v.delay)
}

// Acknowledged returns what was carried out last for a subject under the current epoch, and false if nothing is known
// to have been.
func (c *Calls[C]) Acknowledged(now clock.Time, s Subject) (C, bool) {
	var none C
	v, ok := c.subjects[s]
	if !ok || v.acknowledged == nil || !c.holder.Holds(now, v.proof) {
		return none, false
	}
	return *v.acknowledged, true
}
