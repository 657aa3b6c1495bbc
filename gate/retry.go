package gate

import (
	"context"
	"math/rand/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

// prepareRetry waits for the next attempt and reports whether there is one. Refusals
// whose reason passes by itself cost the upstream nothing, so they count as no failure
// and end with the time for them.
func (r *relay) prepareRetry(ctx context.Context, p *Problem) bool {
	if !isTransient(p) {
		return r.waitForRetry(ctx, p)
	}
	if !r.server.clock.Now().Before(r.capacityDeadline()) {
		return false
	}
	stats.Event("capacity_awaited")
	changed := r.server.capacityChanged.wait()
	wait := capacityRetryDelay
	if r.request.idempotencyKey != "" {
		// Each attempt writes its record to the store.
		wait = recordedRetryDelay
	}
	waitFor(ctx, changed, wait/2+rand.N(wait))
	return ctx.Err() == nil
}

func isTransient(p *Problem) bool {
	return !p.MayHaveRun && (p.Code == units.ColdLimit || p.Code == units.Quarantine)
}

// capacityDeadline returns when waiting for capacity ends.
func (r *relay) capacityDeadline() clock.Time {
	if r.response.headSent {
		return r.waitDeadline()
	}
	return min(r.waitDeadline(), r.request.receivedAt.Add(maxCapacityWait))
}

// waitDeadline returns when waiting for an upstream ends: before the deadline of the start,
// or some time after an answer in progress broke.
func (r *relay) waitDeadline() clock.Time {
	if r.response.headSent {
		return r.brokenAt.Add(resumeTimeout)
	}
	return r.request.info.Deadline
}

// waitForRetry reports whether another attempt may start, after the wait for it.
func (r *relay) waitForRetry(ctx context.Context, p *Problem) bool {
	if ctx.Err() != nil || r.response.writer.failed || r.retryBlocked {
		return false
	}
	// Without a record nothing tells the next attempt from the first.
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
