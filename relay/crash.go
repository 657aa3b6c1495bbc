package relay

import (
	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

// outcome notes the end of an attempt.
func (s *Server) outcome(f retry.Fingerprint, k *sched.Attempt, o sched.Outcome) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Scheduler.End(now, k, o)
	switch o {
	case sched.Broken:
		s.crashes.RecordBrokenResponse(now, f, k.Upstream.ID, k.Upstream.ProcessStart)
	case sched.Served:
		s.crashes.RecordSuccess(f)
	}
}

// rejects reports whether the request has crashed too many upstreams to run again.
func (s *Server) rejects(f retry.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.Rejects(s.Clock.Now(), f)
}

// ended blames requests whose answers broke off at upstreams that the view no longer
// has. The caller holds the lock.
func (s *Server) ended(now clock.Time, v *view.Snapshot) {
	s.blamed(s.crashes.CheckProcesses(now, func(u units.UpstreamID, born int64) bool {
		e, ok := v.Upstreams[u]
		return !ok || e.ProcessStart != born
	}))
}

// closed notes that nothing listens any more at the upstream's address.
func (s *Server) closed(u units.UpstreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blamed(s.crashes.RecordProcessEnd(s.Clock.Now(), u))
}

func (s *Server) blamed(n int) {
	if n > 0 {
		stats.Event("crash_suspects")
		klog.InfoS("relay: upstream ended after answers broke off", "requests", n)
	}
}

// maxTold bounds the suspects that a digest carries.
const maxTold = 32

// Suspects returns the newest requests that crashed upstreams, for other gateways.
func (s *Server) Suspects() []retry.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.List(s.Clock.Now(), maxTold)
}

// MergeSuspect takes over what another gateway knows of such a request.
func (s *Server) MergeSuspect(one retry.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.Merge(s.Clock.Now(), one)
}
