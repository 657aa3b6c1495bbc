package gate

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// capacityRetryDelay is the mean delay after a refusal for lack of capacity. Usually a response
	// that ends on the upstream ends the wait earlier.
	capacityRetryDelay = 40 * time.Millisecond
	// recordedRetryDelay replaces capacityRetryDelay for calls with an Idempotency-Key: each of
	// their attempts writes a record to the store.
	recordedRetryDelay = 500 * time.Millisecond
	// firstStaleRetryDelay is the mean delay after the first refusal of a request's permit as stale.
	firstStaleRetryDelay = 5 * time.Millisecond
	// maxCapacityWait bounds the wait for capacity. A caller that is refused early can retry later
	// or elsewhere.
	maxCapacityWait = 3 * clock.Second
	// resumeTimeout is how long a partly delivered response waits for another upstream.
	resumeTimeout = 30 * clock.Second
)

// relay runs attempts of a request until the caller has a complete response or no further attempt
// is allowed.
type relay struct {
	server          *Server
	request         *request
	response        *response
	failedUpstreams []units.UpstreamID
	failure         Failure
	// mayHaveRun is set when an upstream may have run the request.
	mayHaveRun bool
	// retryBlocked is set when the record of the call with an Idempotency-Key allows no further
	// attempt.
	retryBlocked bool
	// leastRetryAfter is the shortest time after which an upstream that refused the request said to retry; 0 if
	// none did.
	leastRetryAfter clock.Span
	// stalePermits is the number of attempts whose permits upstreams refused as stale.
	stalePermits int
	// lastProblem is why the last attempt failed; nil before the first failure.
	lastProblem *Problem
	// brokenAt is when the last failed attempt that may have run ended.
	brokenAt clock.Time
	// demandCounted is set when the request has been counted as demand.
	demandCounted bool
	// ticket is the permission for the current attempt; nil if there is none.
	ticket *parts.Ticket
	// reservation is nil when the next attempt needs a new one.
	reservation Reservation
}

// run returns nil after a complete response.
func (r *relay) run(ctx context.Context) *Problem {
	p := r.runAttempts(ctx)
	if r.reservation != nil {
		r.reservation.Settle(false, 0)
	}
	return p
}

// runAttempts starts attempts one after the other until one succeeds or none is allowed.
func (r *relay) runAttempts(ctx context.Context) *Problem {
	for {
		if p := r.checkSuspect(); p != nil {
			return r.finalProblem(nil, p)
		}
		if !r.mayHaveRun && r.server.startsEnded.Load() {
			return r.finalProblem(r.lastProblem, newDrainingProblem())
		}
		u, p := r.prepareAttempt(ctx)
		if p != nil {
			r.endTicket(nil)
			return r.finalProblem(r.lastProblem, p)
		}
		if u == nil {
			r.endTicket(nil)
			continue
		}
		if !r.request.progress.CompareAndSwap(waiting, passedOn) && !r.mayHaveRun {
			r.endTicket(nil)
			return r.finalProblem(r.lastProblem, newDrainingProblem())
		}
		p = r.runAttempt(ctx, u)
		r.endTicket(nil)
		if !r.mayHaveRun {
			r.request.progress.Store(waiting)
		}
		if p == nil || r.response.ended && !r.response.writer.failed {
			// A stream whose last event the caller has is complete, however the attempt ended.
			r.reportSuccess()
			return nil
		}
		r.lastProblem = p
		if !r.prepareRetry(ctx, p) {
			return r.finalProblem(p, p)
		}
	}
}

// prepareAttempt waits until an attempt may be sent to the upstream that it returns. Without an upstream and
// a problem, it has to be called again.
func (r *relay) prepareAttempt(ctx context.Context) (*upstream, *Problem) {
	if p := r.acquireTicket(ctx); p != nil {
		return nil, p
	}
	u, p := r.chooseUpstream(ctx)
	if p == nil {
		p = r.ensureReservation(ctx)
	}
	if p != nil {
		return nil, p
	}
	confirmed, p := r.confirmTicket(ctx)
	if !confirmed {
		u = nil
	}
	return u, p
}

// reportSuccess informs the policies of a complete response.
func (r *relay) reportSuccess() {
	info := &r.request.info
	r.server.options.Retrier.Succeeded(r.server.clock.Now(), info)
	r.server.options.Suspects.Succeeded(retry.Fingerprint(info.Fingerprint))
}

// checkSuspect returns a problem when the request must not run because it is suspected of crashing
// upstreams. Otherwise it sets whether the request needs an upstream exclusively.
func (r *relay) checkSuspect() *Problem {
	info := &r.request.info
	switch r.server.options.Suspects.Verdict(retry.Fingerprint(info.Fingerprint)) {
	case retry.Reject:
		return newProblem(units.CrashSuspect, "the request was running when two upstreams crashed")
	case retry.Isolate:
		info.Exclusive = true
	case retry.Allow:
		info.Exclusive = false
	}
	return nil
}

// finalProblem returns the problem for the caller. The last refusal takes precedence: it says more
// than that no other upstream is available.
func (r *relay) finalProblem(last, p *Problem) *Problem {
	if last != nil {
		p = last
	}
	q := *p
	q.MayHaveRun = q.MayHaveRun || r.mayHaveRun
	if q.RetryAfter > 0 && r.leastRetryAfter > 0 {
		least := min(q.RetryAfter, r.leastRetryAfter)
		// Callers should not come back together.
		q.RetryAfter = least + clock.Span(rand.Int64N(int64(least)/4+1))
	}
	return &q
}

// runAttempt runs one attempt on the upstream, and records its outcome. The reservation must be
// valid.
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
		onBegan:      r.ticket.Began,
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
	r.endTicket(a)
	if p == nil {
		r.mayHaveRun = true
		return nil
	}
	if a.result.Crashed {
		f, c := retry.Fingerprint(r.request.info.Fingerprint), retry.CrashID(a.result.CrashID)
		s.options.Suspects.Crashed(f, c)
	}
	if !p.MayHaveRun && p.RetryAfter > 0 && (r.leastRetryAfter == 0 || p.RetryAfter < r.leastRetryAfter) {
		r.leastRetryAfter = p.RetryAfter
	}
	if p.MayHaveRun {
		r.mayHaveRun, r.brokenAt = true, s.clock.Now()
	}
	if isTransient(p) {
		return p
	}
	r.failedUpstreams = append(r.failedUpstreams, u.id)
	if isStalePermit(p) {
		return p
	}
	r.failure.Upstream = u.id
	r.failure.Result = a.result
	r.failure.FailedAttempts++
	if !p.MayHaveRun {
		r.failure.NotRunAttempts++
	}
	r.failure.PartlyDelivered = r.response.headSent
	return p
}

// startDeadline returns when the response to a request of the class has to start.
func (s *Server) startDeadline(receivedAt clock.Time, c units.Class) clock.Time {
	l := &s.options.Settings.Limits
	switch c {
	case units.Live:
		return receivedAt.Add(l.LiveDeadline)
	case units.Night:
		return receivedAt.Add(l.NightDeadline)
	default:
		return receivedAt.Add(l.NormalDeadline)
	}
}
