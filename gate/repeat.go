package gate

import (
	"context"
	"math/rand/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

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
	wait := capacityWait
	if r.request.once != "" {
		// Each attempt writes its record to the store.
		wait = recordedWait
	}
	waitFor(ctx, changed, wait/2+rand.N(wait))
	return ctx.Err() == nil
}

func transient(p *Problem) bool {
	return !p.MayHaveRun && (p.Code == units.ColdLimit || p.Code == units.Quarantine)
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
	clock.Sleep(ctx, wait.Duration())
	if ctx.Err() != nil {
		return false
	}
	stats.Retry(p.Code)
	return true
}
