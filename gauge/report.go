package gauge

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
)

// Report is what an upstream tells of itself in an answer.
type Report struct {
	fleet.ReportedLoad
	// Own is the number of requests that this gateway had running there.
	Own int
}

const (
	// slownessMemory is the time constant with which a reported slowness fades. It changes many times a second.
	slownessMemory = 150 * clock.Millisecond
	// runningMemory is that of the reported number of requests of other gateways.
	runningMemory = 250 * clock.Millisecond
	// minSlowness and maxSlowness bound the reported slowness that is believed.
	minSlowness, maxSlowness = 0.5, 10.0
	// contradicted is the ratio of observed over expected times from which on a report of little load is not believed.
	contradicted = 1.5
)

func (r *Report) slownessAt(now, reportedAt clock.Time) float64 {
	if reportedAt == 0 || r.Slowness <= 0 {
		return 1
	}
	s := min(max(r.Slowness, minSlowness), maxSlowness)
	return 1 + (s-1)*decay(now.Sub(reportedAt), slownessMemory)
}

// RecordReport records what an answer tells of the upstream.
func (u *Upstream) RecordReport(now clock.Time, r Report) { u.report, u.reportedAt = r, now }

// OthersRunning returns the number of requests of other gateways: the one known from these, corrected by what the upstream told
// a moment ago. Fewer are not believed while answers are slower than the report explains.
func (u *Upstream) OthersRunning(now clock.Time, known int) int {
	if u.reportedAt == 0 {
		return known
	}
	told := max(u.report.Running+u.report.Waiting-u.report.Own, 0)
	if told < known && max(u.calls.value, u.first.value) > contradicted {
		return known
	}
	return known + int(float64(told-known)*decay(now.Sub(u.reportedAt), runningMemory))
}
