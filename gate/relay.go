package gate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// capacityWait is the mean wait after a refusal for lack of capacity. Answers that
	// end on the upstream usually end the wait before.
	capacityWait = 40 * time.Millisecond
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

// reserve takes the cost from the customer's rate. Calls of plain services cost no
// tokens.
func (r *relay) reserve(ctx context.Context) (Reservation, *Problem) {
	if r.request.query.Cost == 0 {
		return unlimited{expires: r.server.clock.Now().Add(permitSpan)}, nil
	}
	v, err := r.server.options.Limiter.Reserve(ctx, &r.request.query)
	if err != nil {
		return nil, problemOf(err)
	}
	return v, nil
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
	if q.Alone {
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
		q.Alone = true
	case retry.Clear:
		q.Alone = false
	}
	return nil
}

// choose returns the upstream for the next attempt, and waits if that can help.
func (r *relay) choose(ctx context.Context) (*upstream, *Problem) {
	u := r.pick()
	if u == nil && r.awaits() {
		u = r.await(ctx)
		if cause := context.Cause(ctx); u == nil && cause != nil {
			return nil, problemOf(cause)
		}
	}
	if u == nil {
		return nil, problem(units.NoUpstream, "no upstream is available for "+r.request.query.Target)
	}
	return u, nil
}

// repeats waits for the next attempt and reports whether there is one. Refusals
// whose reason passes by itself cost the upstream nothing, so they count as no failure
// and end with the time for them.
func (r *relay) repeats(ctx context.Context, p *Problem) bool {
	if !transient(p) {
		return r.again(ctx, p)
	}
	if !r.server.clock.Now().Before(r.capacityLimit()) {
		return false
	}
	stats.Event("capacity_awaited")
	changed := r.server.changed.wait()
	waitFor(ctx, changed, capacityWait/2+rand.N(capacityWait))
	return ctx.Err() == nil
}

func transient(p *Problem) bool {
	return !p.Ran && (p.Code == units.ColdLimit || p.Code == units.Quarantine)
}

// capacityLimit returns when waiting for capacity ends.
func (r *relay) capacityLimit() clock.Time {
	if r.answer.sent {
		return r.limit()
	}
	return min(r.limit(), r.request.arrived.Add(capacitySpan))
}

// limit returns when waiting for an upstream ends: before the deadline of the start,
// or some time after an answer in progress broke.
func (r *relay) limit() clock.Time {
	if r.answer.sent {
		return r.broken.Add(resumeSpan)
	}
	return r.request.query.Deadline
}

// renew makes sure that the next attempt has tokens and a valid permit. A
// reservation pays for one attempt that may have run, and for any number that did
// not.
func (r *relay) renew(ctx context.Context) (p *Problem) {
	if r.reservation != nil {
		if r.server.clock.Now().Before(r.reservation.Permit().Expires) {
			return nil
		}
		r.reservation.Settle(false, 0)
	}
	if r.reservation, p = r.reserve(ctx); p == nil {
		r.asked()
	}
	return p
}

// asked counts the request once, after the customer's rate has admitted it: what is
// refused must not displace the models of others.
func (r *relay) asked() {
	if r.counted || r.request.kind != kindModel || r.server.options.Demand == nil {
		return
	}
	r.counted = true
	r.server.options.Demand.Asked(units.ModelID(r.request.query.Target), r.request.query.Cost)
}

// settle ends the reservation unless the next attempt can use it.
func (r *relay) settle(p *Problem, result *Result) {
	switch {
	case p == nil:
		r.reservation.Settle(true, result.Used)
	case p.Ran && !result.Answered:
		r.reservation.Lost()
	case p.Ran:
		// What a broken attempt has used is not known, so it counts in full.
		r.reservation.Settle(true, r.request.query.Cost)
	case p.Code == units.PermitExpired || p.Code == units.PermitStale:
		r.reservation.Settle(false, 0)
	default:
		return
	}
	r.reservation = nil
}

// final returns the problem that the caller gets: the last refusal tells more than
// that there is no other upstream.
func (r *relay) final(last, p *Problem) *Problem {
	if last != nil {
		p = last
	}
	q := *p
	q.Ran = q.Ran || r.ran
	return &q
}

// again reports whether another attempt may start, after the wait for it.
func (r *relay) again(ctx context.Context, p *Problem) bool {
	if ctx.Err() != nil || r.answer.writer.failed || r.stuck {
		return false
	}
	// Without a record nothing tells the next attempt from the first.
	if !r.request.query.Idempotent && r.request.once == "" {
		return false
	}
	if r.answer.sent && (!r.answer.resumable || r.answer.next == 0) {
		return false
	}
	now := r.server.clock.Now()
	wait, ok := r.server.options.Retrier.Retry(now, &r.request.query, r.failure)
	if !ok || !now.Add(wait).Before(r.request.query.Deadline) && !r.answer.sent {
		return false
	}
	pause(ctx, wait.Duration())
	if ctx.Err() != nil {
		return false
	}
	stats.Retry(p.Code)
	return true
}

func (r *relay) attempt(ctx context.Context, u *upstream) *Problem {
	s := r.server
	a := &attempt{
		id:       units.AttemptID(uuid.NewString()),
		request:  r.request,
		upstream: u,
		answer:   r.answer,
		clock:    s.clock,
		stall:    s.options.Gate.Limits.Stall,
		confirm:  r.reservation.Started,
	}
	if r.request.once != "" {
		a.incarnation = u.report.Load().load.Incarnation
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
		f, c := retry.Fingerprint(r.request.query.Fingerprint), retry.CrashID(a.result.Crash)
		s.options.Suspects.Crashed(f, c)
	}
	if p.Ran {
		r.ran, r.broken = true, s.clock.Now()
	}
	if transient(p) {
		return p
	}
	r.failed = append(r.failed, u.id)
	r.failure.Upstream = u.id
	r.failure.Result = a.result
	r.failure.Failures++
	if !p.Ran {
		r.failure.NotRun++
	}
	r.failure.Delivered = r.answer.sent
	return p
}

// begin records the attempt of a call that must not be repeated. It is done when
// the answer of an earlier attempt has been sent.
func (r *relay) begin(ctx context.Context, a *attempt) (done bool, p *Problem) {
	if r.request.once == "" {
		return false, nil
	}
	if r.server.options.Once == nil {
		r.stuck = true
		return false, problem(units.StoreUnavailable, "calls with an Idempotency-Key can't be recorded")
	}
	s, err := r.server.options.Once.Begin(ctx, r.record(a))
	if err != nil {
		r.stuck = true
		return false, problemOf(err)
	}
	if s == nil {
		return false, nil
	}
	if s.Cut {
		r.stuck = true
		message := fmt.Sprintf("the call is done with status %d, but its answer was too large to be stored", s.Status)
		return false, &Problem{Code: units.OutcomeUnknown, Message: message, Ran: true}
	}
	stats.Event("answer_replayed")
	return true, a.fail(r.answer.replay(s))
}

func (r *relay) record(a *attempt) OnceCall {
	return OnceCall{
		Customer:    r.request.query.Customer,
		Key:         r.request.once,
		Attempt:     a.id,
		Upstream:    a.upstream.id,
		Incarnation: a.incarnation,
		Fingerprint: r.request.query.Fingerprint,
	}
}

// end completes the record of the attempt.
func (r *relay) end(ctx context.Context, a *attempt, p *Problem) {
	if r.request.once == "" {
		return
	}
	var s *Stored
	if p == nil {
		s = r.answer.stored()
	}
	r.server.options.Once.End(context.WithoutCancel(ctx), r.record(a), s, p == nil || p.Ran)
}

// choice is the memory of one choice; it is kept for later ones.
type choice struct {
	candidates []Candidate
	upstreams  []*upstream
}

var choices = sync.Pool{New: func() any { return &choice{} }}

func (r *relay) pick() *upstream {
	c := choices.Get().(*choice)
	defer choices.Put(c)
	c.candidates, c.upstreams = c.candidates[:0], c.upstreams[:0]
	now := r.server.clock.Now()
	for _, u := range *r.server.agents.up.Load() {
		if !u.usable(now) || !u.offers(r.request.kind, r.request.query.Target) {
			continue
		}
		c.candidates = append(c.candidates, r.candidate(u))
		c.upstreams = append(c.upstreams, u)
	}
	if len(c.candidates) == 0 {
		return nil
	}
	i := r.server.options.Picker.Pick(now, &r.request.query, c.candidates)
	if i < 0 {
		return nil
	}
	return c.upstreams[i]
}

func (r *relay) candidate(u *upstream) Candidate {
	report := u.report.Load()
	return Candidate{
		Upstream:    u.id,
		Zone:        u.zone,
		Load:        report.load,
		Heard:       report.heard,
		Outstanding: int(u.outstanding.Load()),
		Failed:      slices.Contains(r.failed, u.id),
	}
}

// deadline returns when an answer of the class has to start.
func (s *Server) deadline(arrived clock.Time, c units.Class) clock.Time {
	l := &s.options.Gate.Limits
	switch c {
	case units.Live:
		return arrived.Add(l.Live)
	case units.Night:
		return arrived.Add(l.Night)
	default:
		return arrived.Add(l.Normal)
	}
}
