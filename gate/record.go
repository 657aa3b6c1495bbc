package gate

import (
	"context"
	"fmt"

	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

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
	if s.BodyOmitted {
		r.stuck = true
		message := fmt.Sprintf("the call is done with status %d, but its answer was too large to be stored", s.Status)
		return false, &Problem{Code: units.OutcomeUnknown, Message: message, MayHaveRun: true}
	}
	stats.Event("answer_replayed")
	return true, a.fail(r.answer.replay(s))
}

func (r *relay) record(a *attempt) OnceAttempt {
	return OnceAttempt{
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
	var s *StoredResponse
	if p == nil {
		s = r.answer.stored()
	}
	r.server.options.Once.End(context.WithoutCancel(ctx), r.record(a), s, p == nil || p.MayHaveRun)
}
