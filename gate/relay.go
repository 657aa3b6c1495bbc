package gate

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// capacityWait is the mean wait after a refusal for lack of capacity. Answers that
	// end on the upstream usually end the wait before.
	capacityWait = 40 * time.Millisecond
	// recordedWait replaces capacityWait for calls that must not be repeated.
	recordedWait = 500 * time.Millisecond
	// capacitySpan bounds the wait for capacity. A caller that is told early can try
	// again later or elsewhere.
	capacitySpan = 3 * clock.Second
	// resumeSpan is how long a broken answer waits for another upstream.
	resumeSpan = 30 * clock.Second
)

// relay runs a request until the caller has the answer or no attempt is left.
type relay struct {
	server  *Server
	request *request
	answer  *answer
	failed  []units.UpstreamID
	failure Failure
	// ran is set when an upstream may have run the request.
	ran bool
	// stuck is set when the record of the call does not allow an attempt.
	stuck bool
	// last is why the last attempt failed.
	last *Problem
	// broken is when the last attempt that may have run ended.
	broken clock.Time
	// counted is set when the request has been counted as demand.
	counted bool
	// reservation is nil when the next attempt needs a new one.
	reservation Reservation
}

// run returns nil after a complete answer.
func (r *relay) run(ctx context.Context) *Problem {
	p := r.attempts(ctx)
	if r.reservation != nil {
		r.reservation.Settle(false, 0)
	}
	return p
}

func (r *relay) attempts(ctx context.Context) *Problem {
	for {
		if p := r.quarantine(); p != nil {
			return r.final(nil, p)
		}
		u, p := r.choose(ctx)
		if p == nil {
			p = r.renew(ctx)
		}
		if p != nil {
			return r.final(r.last, p)
		}
		if p = r.attempt(ctx, u); p == nil {
			r.succeeded()
			return nil
		}
		r.last = p
		if !r.repeats(ctx, p) {
			return r.final(p, p)
		}
	}
}

func (r *relay) succeeded() {
	q := &r.request.query
	r.server.options.Retrier.Succeeded(r.server.clock.Now(), q)
	if q.Exclusive {
		r.server.options.Suspects.Succeeded(retry.Fingerprint(q.Fingerprint))
	}
}

// quarantine tells whether the request may run, and whether it has to run alone.
func (r *relay) quarantine() *Problem {
	q := &r.request.query
	switch r.server.options.Suspects.Verdict(retry.Fingerprint(q.Fingerprint)) {
	case retry.Reject:
		return problem(units.CrashSuspect, "the request was running when two upstreams crashed")
	case retry.Isolate:
		q.Exclusive = true
	case retry.Allow:
		q.Exclusive = false
	}
	return nil
}

// final returns the problem that the caller gets: the last refusal tells more than
// that there is no other upstream.
func (r *relay) final(last, p *Problem) *Problem {
	if last != nil {
		p = last
	}
	q := *p
	q.MayHaveRun = q.MayHaveRun || r.ran
	return &q
}

func (r *relay) attempt(ctx context.Context, u *upstream) *Problem {
	s := r.server
	a := &attempt{
		id:       units.AttemptID(uuid.NewString()),
		request:  r.request,
		upstream: u,
		answer:   r.answer,
		clock:    s.clock,
		stall:    s.options.Settings.Limits.StallTimeout,
		confirm:  r.reservation.Started,
	}
	if r.request.once != "" {
		a.incarnation = u.report.Load().load.Incarnation
		a.answered = func() { s.options.Once.Answered(r.record(a)) }
	}
	if done, p := r.begin(ctx, a); done || p != nil {
		return p
	}
	u.outstanding.Add(1)
	s.options.Picker.Started(s.clock.Now(), u.id, &r.request.query)
	p := a.run(ctx, r.reservation.Permit())
	u.outstanding.Add(-1)
	s.options.Picker.Ended(s.clock.Now(), u.id, &r.request.query, a.result)
	r.end(ctx, a, p)
	r.settle(p, &a.result)
	if p == nil {
		r.ran = true
		return nil
	}
	if a.result.Crashed {
		f, c := retry.Fingerprint(r.request.query.Fingerprint), retry.CrashID(a.result.CrashID)
		s.options.Suspects.Crashed(f, c)
	}
	if p.MayHaveRun {
		r.ran, r.broken = true, s.clock.Now()
	}
	if transient(p) {
		return p
	}
	r.failed = append(r.failed, u.id)
	r.failure.Upstream = u.id
	r.failure.Result = a.result
	r.failure.FailedAttempts++
	if !p.MayHaveRun {
		r.failure.NotRunAttempts++
	}
	r.failure.PartlyDelivered = r.answer.sent
	return p
}

// deadline returns when an answer of the class has to start.
func (s *Server) deadline(arrived clock.Time, c units.Class) clock.Time {
	l := &s.options.Settings.Limits
	switch c {
	case units.Live:
		return arrived.Add(l.LiveDeadline)
	case units.Night:
		return arrived.Add(l.NightDeadline)
	default:
		return arrived.Add(l.NormalDeadline)
	}
}
