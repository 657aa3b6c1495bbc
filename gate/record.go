package gate

import (
	"context"
	"fmt"

	"github.com/magnolialever/magnolialever/copies"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

// beginOnce records the attempt of a call with an Idempotency-Key before it is sent. It returns
// done when the stored response of an earlier attempt was sent to the caller.
func (r *relay) beginOnce(ctx context.Context, a *attempt) (done bool, p *Problem) {
	if r.request.idempotencyKey == "" {
		return false, nil
	}
	if r.server.options.Once == nil {
		r.retryBlocked = true
		return false, newProblem(units.StoreUnavailable, "this gateway does not support calls with an Idempotency-Key")
	}
	s, err := r.server.options.Once.Begin(ctx, r.onceAttempt(a))
	if err != nil {
		r.retryBlocked = true
		return false, asProblem(err)
	}
	if s == nil {
		return false, nil
	}
	if err := checkStored(s.Status); err != nil {
		r.retryBlocked = true
		return false, &Problem{Code: units.OutcomeUnknown, Message: err.Error(), MayHaveRun: true}
	}
	if s.BodyOmitted {
		r.retryBlocked = true
		message := fmt.Sprintf("the call completed with status %d, but its response was too large to be stored", s.Status)
		return false, &Problem{Code: units.OutcomeUnknown, Message: message, MayHaveRun: true}
	}
	stats.Event("answer_replayed")
	return true, a.responseProblem(r.response.replay(s))
}

// checkStored returns why a status that an agent has reported, or a gateway of another version has stored, must not be sent to
// the caller of a call that must not run twice.
func checkStored(status int) error {
	switch {
	case !copies.IsFinalStatus(status):
		return errOddStatus
	case retry.ClaimsNotRun(status):
		return errClaimsNotRun
	}
	return nil
}

// onceAttempt returns the identity of the attempt for Once.
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

// endOnce stores the outcome of the attempt of a call with an Idempotency-Key.
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
