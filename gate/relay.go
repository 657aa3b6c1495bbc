package gate

import (
	"context"
	"slices"
	"sync"

	"github.com/google/uuid"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
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
	var last *Problem
	for {
		u := r.pick()
		if u == nil && r.awaits(last) {
			u = r.await(ctx)
			if cause := context.Cause(ctx); u == nil && cause != nil {
				return problemOf(cause)
			}
		}
		if u == nil {
			return r.final(last, problem(units.NoUpstream, "no upstream is available for "+r.request.query.Target))
		}
		p := r.renew(ctx)
		if p != nil {
			return r.final(nil, p)
		}
		if p = r.attempt(ctx, u); p == nil {
			r.server.options.Retrier.Succeeded(r.server.clock.Now(), &r.request.query)
			return nil
		}
		if last = p; !r.again(ctx, p) {
			return r.final(last, p)
		}
	}
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
		r.reservation = nil
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
func (r *relay) settle(p *Problem, used units.Tokens) {
	switch {
	case p == nil:
		r.reservation.Settle(true, min(used, r.request.query.Cost))
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
	if done, p := r.begin(ctx, a); done || p != nil {
		return p
	}
	u.outstanding.Add(1)
	s.options.Picker.Started(s.clock.Now(), u.id, &r.request.query)
	p := a.run(ctx, r.reservation.Permit())
	u.outstanding.Add(-1)
	s.options.Picker.Ended(s.clock.Now(), u.id, &r.request.query, a.result)
	r.end(ctx, a, p)
	r.settle(p, a.result.Used)
	if p == nil {
		r.ran = true
		return nil
	}
	r.ran = r.ran || p.Ran
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
	stats.Event("answer_replayed")
	return true, a.fail(r.answer.replay(s))
}

func (r *relay) record(a *attempt) OnceCall {
	return OnceCall{
		Customer:    r.request.query.Customer,
		Key:         r.request.once,
		Attempt:     a.id,
		Upstream:    a.upstream.id,
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
