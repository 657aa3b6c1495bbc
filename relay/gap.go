package relay

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/sched"
)

// gapInterval is the interval in which the scheduler is told of the times between events of a stream. A pause that is too long is told
// at once.
const gapInterval = 100 * clock.Millisecond

// eventGaps collects the times between events of an attempt.
type eventGaps struct {
	// lastAt is when the last events were complete, toldAt when the scheduler was told; 0 before the first event.
	lastAt, toldAt clock.Time
	gaps           sched.Gaps
}

// recordGap records that events are complete, as of the time of the last delivery.
func (a *attempt) recordGap(events int) {
	now, g := a.delivered.lastAt, &a.gaps
	if g.lastAt == 0 {
		g.lastAt, g.toldAt = now, now
		return
	}
	gap := now.Sub(g.lastAt)
	g.lastAt = now
	g.gaps.Add(events, gap)
	if now.Sub(g.toldAt) < gapInterval && (a.route.MaxEventGap <= 0 || gap <= a.route.MaxEventGap) {
		return
	}
	a.server.mu.Lock()
	a.server.Scheduler.RecordGaps(now, a.scheduled, g.gaps)
	a.server.mu.Unlock()
	g.gaps, g.toldAt = sched.Gaps{}, now
}

// recordLoad records what the response says of the load of its upstream.
func (a *attempt) recordLoad(res *response) {
	if !res.HasLoad || (res.Instance != "" && res.Instance != a.scheduled.Upstream.ID) {
		return
	}
	a.server.mu.Lock()
	defer a.server.mu.Unlock()
	a.server.Scheduler.RecordReport(a.server.Clock.Now(), a.scheduled, res.Load)
}
