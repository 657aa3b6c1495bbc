package relay

import (
	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

// finishAttempt records the end of an attempt for scheduling and crash detection.
func (s *Server) finishAttempt(f retry.Fingerprint, scheduled *sched.Attempt, o sched.Outcome) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Scheduler.End(now, scheduled, o)
	switch o {
	case sched.Broken:
		s.crashes.RecordBrokenResponse(now, f, scheduled.Upstream.ID, scheduled.Upstream.ProcessStart)
	case sched.Served:
		s.crashes.RecordSuccess(now, f)
	}
}

// onProcessEnd calls f, with s.mu held, if the upstream's process turns out soon to have ended.
func (s *Server) onProcessEnd(u *fleet.Upstream, f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.OnProcessEnd(s.Clock.Now(), u.ID, u.ProcessStart, f)
}

// isCrashSuspect reports whether the request has crashed too many upstreams to be sent again.
func (s *Server) isCrashSuspect(f retry.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.Rejects(s.Clock.Now(), f)
}

// checkCrashes marks requests as crash suspects when their response broke off and the upstream
// process that ran them is no longer in the view. The caller holds s.mu.
func (s *Server) checkCrashes(now clock.Time, v *view.Snapshot) {
	s.reportSuspects(s.crashes.CheckProcesses(now, func(u units.UpstreamID, born int64) bool {
		e, ok := v.Upstreams[u]
		return !ok || e.ProcessStart != born
	}))
}

// markUpstreamEnded records that the upstream's process has ended, as its address refuses
// connections.
func (s *Server) markUpstreamEnded(u units.UpstreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportSuspects(s.crashes.RecordProcessEnd(s.Clock.Now(), u))
}

// reportSuspects logs and counts n new crash suspects.
func (s *Server) reportSuspects(n int) {
	if n > 0 {
		stats.Event("crash_suspects")
		klog.InfoS("relay: upstream ended after answers broke off", "requests", n)
	}
}

// maxDigestSuspects is the maximum number of crash suspects in a digest to other gateways.
const maxDigestSuspects = 32

// Suspects returns the newest crash suspects, at most 32, for the digest to other gateways.
func (s *Server) Suspects() []retry.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.List(s.Clock.Now(), maxDigestSuspects)
}

// MergeSuspect adds a crash suspect that another gateway reported.
func (s *Server) MergeSuspect(suspect retry.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.Merge(s.Clock.Now(), suspect)
}
