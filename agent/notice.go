package agent

import (
	"net/http"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/notice"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

// parseNotice returns what an upstream says of itself in a response. The 429 of a service may concern one
// customer only; engines know no customers.
func parseNotice(resp *http.Response, isModel bool) notice.Notice {
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
	case resp.StatusCode == http.StatusTooManyRequests && isModel:
	default:
		return notice.Notice{}
	}
	return notice.Notice{Pause: notice.ParsePause(resp.Header.Values("Retry-After"))}
}

// process identifies the run of the upstream.
func (s *state) process() notice.Process {
	return notice.Process{Upstream: units.UpstreamID(s.options.Node.ID), Start: s.engineRun}
}

// recordNotice records what the upstream says of itself. Queued calls are refused, so that they go elsewhere.
func (s *state) recordNotice(now clock.Time, n notice.Notice) {
	if !s.notices.Record(now, s.process(), n) {
		return
	}
	stats.Event("upstream_pauses")
	klog.InfoS("agent: upstream wants no requests", "pause", n.Pause, "run", s.engineRun)
	for _, j := range s.jobs {
		if !j.running {
			s.rejectQueued(j, s.checkPause(now))
		}
	}
}

// checkPause refuses calls while the upstream wants a pause.
func (s *state) checkPause(now clock.Time) *refusal {
	left := s.notices.Pause(now, s.process())
	if left == 0 {
		return nil
	}
	r := notRun(units.QueueFull, "the upstream asked for a pause")
	r.retryAfter = left
	return r
}

// checkPause refuses a call that has started if the upstream wants a pause.
func (s *Server) checkPause() *refusal {
	r := notRun(units.Draining, "agent is stopping")
	s.loop.do(func() { r = s.state.checkPause(s.clock.Now()) })
	return r
}

// recordNotice records what the upstream says of itself.
func (s *Server) recordNotice(n notice.Notice) {
	if n == (notice.Notice{}) {
		return
	}
	s.loop.do(func() { s.state.recordNotice(s.clock.Now(), n) })
}
