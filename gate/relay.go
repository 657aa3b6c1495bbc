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
	// capacityRetryDelay is the mean wait after a refusal for lack of capacity. Answers that
	// end on the upstream usually end the wait before.
	capacityRetryDelay = 40 * time.Millisecond
	// recordedRetryDelay replaces capacityWait for calls that must not be repeated.
	recordedRetryDelay = 500 * time.Millisecond
	// maxCapacityWait bounds the wait for capacity. A caller that is told early can try
	// again later or elsewhere.
	maxCapacityWait = 3 * clock.Second
	// resumeTimeout is how long a broken answer waits for another upstream.
	resumeTimeout = 30 * clock.Second
)

// relay runs a request until the caller has the answer or no attempt is left.
type relay struct {
	server          *Server
	request         *request
	response        *response
	failedUpstreams []units.UpstreamID
	failure         Failure
	// mayHaveRun is set when an upstream may have run the request.
	mayHaveRun bool
	// retryBlocked is set when the record of the call does not allow an attempt.
	retryBlocked bool
	// lastProblem is why the last attempt failed.
	lastProblem *Problem
	// brokenAt is when the last attempt that may have run ended.
	brokenAt clock.Time
	// demandCounted is set when the request has been counted as demand.
	demandCounted bool
	// reservation is nil when the next attempt needs a new one.
	reservation Reservation
}

// run returns nil after a complete answer.
func (r *relay) run(ctx context.Context) *Problem {
	p := r.runAttempts(ctx)
	if r.reservation != nil {
		r.reservation.Settle(false, 0)
	}
	return p
}

func (r *relay) runAttempts(ctx context.Context) *Problem {
	for {
		if p := r.checkSuspect(); p != nil {
			return r.finalProblem(nil, p)
		}
		u, p := r.chooseUpstream(ctx)
		if p == nil {
			p = r.ensureReservation(ctx)
		}
		if p != nil {
			return r.finalProblem(r.lastProblem, p)
		}
		if p = r.runAttempt(ctx, u); p == nil {
			r.reportSuccess()
			return nil
		}
		r.lastProblem = p
		if !r.prepareRetry(ctx, p) {
			return r.finalProblem(p, p)
		}
	}
}

func (r *relay) reportSuccess() {
	q := &r.request.info
	r.server.options.Retrier.Succeeded(r.server.clock.Now(), q)
	if q.Exclusive {
		r.server.options.Suspects.Succeeded(retry.Fingerprint(q.Fingerprint))
	}
}

// checkSuspect tells whether the request may run, and whether it has to run alone.
func (r *relay) checkSuspect() *Problem {
	q := &r.request.info
	switch r.server.options.Suspects.Verdict(retry.Fingerprint(q.Fingerprint)) {
	case retry.Reject:
		return newProblem(units.CrashSuspect, "the request was running when two upstreams crashed")
	case retry.Isolate:
		q.Exclusive = true
	case retry.Allow:
		q.Exclusive = false
	}
	return nil
}

// finalProblem returns the problem that the caller gets: the last refusal tells more than
// that there is no other upstream.
func (r *relay) finalProblem(last, p *Problem) *Problem {
	if last != nil {
		p = last
	}
	q := *p
	q.MayHaveRun = q.MayHaveRun || r.mayHaveRun
	return &q
}

func (r *relay) runAttempt(ctx context.Context, u *upstream) *Problem {
	s := r.server
	a := &attempt{
		id:           units.AttemptID(uuid.NewString()),
		request:      r.request,
		upstream:     u,
		response:     r.response,
		clock:        s.clock,
		stallTimeout: s.options.Settings.Limits.StallTimeout,
		onConfirmed:  r.reservation.Started,
	}
	if r.request.idempotencyKey != "" {
		a.incarnation = u.report.Load().load.Incarnation
		a.onResponded = func() { s.options.Once.Answered(r.onceAttempt(a)) }
	}
	if done, p := r.beginOnce(ctx, a); done || p != nil {
		return p
	}
	u.outstanding.Add(1)
	s.options.Picker.Started(s.clock.Now(), u.id, &r.request.info)
	p := a.run(ctx, r.reservation.Permit())
	u.outstanding.Add(-1)
	s.options.Picker.Ended(s.clock.Now(), u.id, &r.request.info, a.result)
	r.endOnce(ctx, a, p)
	r.settleReservation(p, &a.result)
	if p == nil {
		r.mayHaveRun = true
		return nil
	}
	if a.result.Crashed {
		f, c := retry.Fingerprint(r.request.info.Fingerprint), retry.CrashID(a.result.CrashID)
		s.options.Suspects.Crashed(f, c)
	}
	if p.MayHaveRun {
		r.mayHaveRun, r.brokenAt = true, s.clock.Now()
	}
	if isTransient(p) {
		return p
	}
	r.failedUpstreams = append(r.failedUpstreams, u.id)
	r.failure.Upstream = u.id
	r.failure.Result = a.result
	r.failure.FailedAttempts++
	if !p.MayHaveRun {
		r.failure.NotRunAttempts++
	}
	r.failure.PartlyDelivered = r.response.headSent
	return p
}

// startDeadline returns when an answer of the class has to start.
func (s *Server) startDeadline(arrived clock.Time, c units.Class) clock.Time {
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
