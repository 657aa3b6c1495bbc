package gauge

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
)

// Report is the load that an upstream states in an answer.
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
	// minSlowness and maxSlowness bound the reported slowness, as a factor of service times.
	minSlowness, maxSlowness = 0.5, 10.0
	// contradicted is the ratio of observed over expected times from which on a report of fewer requests than are known is ignored.
	contradicted = 1.5
)

func (r *Report) slownessAt(now, reportedAt clock.Time) float64 {
	if reportedAt == 0 || r.Slowness <= 0 {
		return 1
	}
	s := min(max(r.Slowness, minSlowness), maxSlowness)
	return 1 + (s-1)*decay(now.Sub(reportedAt), slownessMemory)
}

// RecordReport records the load that an upstream stated in an answer.
func (u *Upstream) RecordReport(now clock.Time, r Report) { u.report, u.reportedAt = r, now }

// OthersRunning returns the number of requests of other gateways: the one known from these, corrected by what the upstream stated
// a moment ago. A lower number is ignored while answers are slower than it explains.
func (u *Upstream) OthersRunning(now clock.Time, known int) int {
	if u.reportedAt == 0 {
		return known
	}
	reported := max(u.report.Running+u.report.Waiting-u.report.Own, 0)
	if reported < known && max(u.calls.value, u.first.value) > contradicted {
		return known
	}
	return known + int(float64(reported-known)*decay(now.Sub(u.reportedAt), runningMemory))
}
