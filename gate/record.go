package gate

import (
	"context"
	"fmt"

	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

// beginOnce records the attempt of a call that must not be repeated. It is done when
// the answer of an earlier attempt has been sent.
func (r *relay) beginOnce(ctx context.Context, a *attempt) (done bool, p *Problem) {
	if r.request.idempotencyKey == "" {
		return false, nil
	}
	if r.server.options.Once == nil {
		r.retryBlocked = true
		return false, newProblem(units.StoreUnavailable, "calls with an Idempotency-Key can't be recorded")
	}
	s, err := r.server.options.Once.Begin(ctx, r.onceAttempt(a))
	if err != nil {
		r.retryBlocked = true
		return false, asProblem(err)
	}
	if s == nil {
		return false, nil
	}
	if s.BodyOmitted {
		r.retryBlocked = true
		message := fmt.Sprintf("the call is done with status %d, but its answer was too large to be stored", s.Status)
		return false, &Problem{Code: units.OutcomeUnknown, Message: message, MayHaveRun: true}
	}
	stats.Event("answer_replayed")
	return true, a.responseProblem(r.response.replay(s))
}

func (r *relay) onceAttempt(a *attempt) OnceAttempt {
	return OnceAttempt{
		Customer:    r.request.info.Customer,
		Key:         r.request.idempotencyKey,
		Attempt:     a.id,
		Upstream:    a.upstream.id,
		Incarnation: a.incarnation,
		Fingerprint: r.request.info.Fingerprint,
	}
}

// endOnce completes the record of the attempt.
func (r *relay) endOnce(ctx context.Context, a *attempt, p *Problem) {
	if r.request.idempotencyKey == "" {
		return
	}
	var s *StoredResponse
	if p == nil {
		s = r.response.storedResponse()
	}
	r.server.options.Once.End(context.WithoutCancel(ctx), r.onceAttempt(a), s, p == nil || p.MayHaveRun)
}
