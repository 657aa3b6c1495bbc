package gate

import (
	"context"
	"math/rand/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

// prepareRetry waits until the next attempt may start, and reports whether it may. Transient
// refusals cost the upstream nothing, so they don't count as failures; they are retried until the
// capacity deadline.
func (r *relay) prepareRetry(ctx context.Context, p *Problem) bool {
	if !isTransient(p) && !isStalePermit(p) {
		return r.waitForRetry(ctx, p)
	}
	if !r.server.clock.Now().Before(r.capacityDeadline()) {
		return false
	}
	if isStalePermit(p) {
		return r.waitForSlotTable(ctx, p)
	}
	stats.Event("capacity_awaited")
	changed := r.server.capacityChanged.wait()
	wait := capacityRetryDelay
	if r.request.idempotencyKey != "" {
		// Each attempt writes a record to the store.
		wait = recordedRetryDelay
	}
	waitFor(ctx, changed, wait/2+rand.N(wait))
	return ctx.Err() == nil
}

// isTransient reports whether the reason of the refusal passes by itself, without a run.
func isTransient(p *Problem) bool {
	return !p.MayHaveRun && (p.Code == units.ColdLimit || p.Code == units.Quarantine)
}

// isStalePermit reports whether an upstream refused the permit since it has a newer slot table than this gateway, or none yet.
// A new permit is valid once this gateway has that table, or at another upstream.
func isStalePermit(p *Problem) bool { return !p.MayHaveRun && p.Code == units.PermitStale }

// waitForSlotTable waits for the time in which the newer slot table usually arrives, and reports whether the next attempt
// may start. The first one follows soon, as other upstreams may accept the permit.
func (r *relay) waitForSlotTable(ctx context.Context, p *Problem) bool {
	r.stalePermits++
	stats.Event("permits_stale")
	wait := max(p.RetryAfter.Duration(), capacityRetryDelay)
	switch {
	case r.request.idempotencyKey != "":
		wait = recordedRetryDelay
	case r.stalePermits == 1:
		wait = firstStaleRetryDelay
	}
	clock.Sleep(ctx, wait/2+rand.N(wait))
	return ctx.Err() == nil
}

// capacityDeadline returns when waiting for capacity ends.
func (r *relay) capacityDeadline() clock.Time {
	if r.response.headSent {
		return r.waitDeadline()
	}
	return min(r.waitDeadline(), r.request.receivedAt.Add(maxCapacityWait))
}

// waitDeadline returns when waiting for an upstream ends: at the deadline for the start of the
// response or, for a partly delivered response, resumeTimeout after it broke.
func (r *relay) waitDeadline() clock.Time {
	if r.response.headSent {
		return r.brokenAt.Add(resumeTimeout)
	}
	return r.request.info.Deadline
}

// waitForRetry asks the Retrier whether another attempt may start, and waits for its delay. It
// returns false when the request must not be retried.
func (r *relay) waitForRetry(ctx context.Context, p *Problem) bool {
	if ctx.Err() != nil || r.response.writer.failed || r.retryBlocked {
		return false
	}
	// Without a record of the call, nothing keeps a further attempt from running it twice.
	if !r.request.info.Idempotent && r.request.idempotencyKey == "" {
		return false
	}
	if r.response.headSent && (!r.response.resumable || r.response.nextEvent == 0) {
		return false
	}
	now := r.server.clock.Now()
	wait, ok := r.server.options.Retrier.Retry(now, &r.request.info, r.failure)
	if !ok || !now.Add(wait).Before(r.request.info.Deadline) && !r.response.headSent {
		return false
	}
	clock.Sleep(ctx, wait.Duration())
	if ctx.Err() != nil {
		return false
	}
	stats.Retry(p.Code)
	return true
}
