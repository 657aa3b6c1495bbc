package coord

import (
	"sync"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/retry"
)

// Retrier implements gate.Retrier with a retry.Policy.
type Retrier struct {
	mu     sync.Mutex
	policy *retry.Policy
}

// NewRetrier returns a Retrier that seeds the jitter of its delays with seed.
func NewRetrier(seed uint64) *Retrier { return &Retrier{policy: retry.NewPolicy(seed)} }

// Retry implements gate.Retrier.
func (r *Retrier) Retry(now clock.Time, q *gate.RequestInfo, f gate.Failure) (clock.Span, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	timeLeft := q.Deadline.Sub(now)
	if f.PartlyDelivered {
		// The response has started, so the deadline for its start no longer applies.
		timeLeft = clock.Minute
	}
	d := r.policy.Decide(retry.Failure{
		Customer:        q.Customer,
		Code:            f.Result.Code,
		MayHaveRun:      f.Result.MayHaveRun,
		UpstreamCrashed: f.Result.Crashed,
		Idempotent:      q.Idempotent,
		Attempts:        f.FailedAttempts - f.NotRunAttempts,
		Refusals:        f.NotRunAttempts,
		TimeLeft:        timeLeft,
	})
	return d.Delay, d.Retry
}

// Succeeded implements gate.Retrier.
func (r *Retrier) Succeeded(_ clock.Time, q *gate.RequestInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.RecordSuccess(q.Customer)
}
