package relay

import (
	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/notice"
	"github.com/magnolialever/magnolialever/stats"
)

// Accepts reports whether an upstream may get requests now, by its notices to this gateway.
func (s *Server) Accepts(u *fleet.Upstream) bool {
	return s.notices.Accepts(s.Clock.Now(), notice.Process{Upstream: u.ID, Start: u.ProcessStart})
}

// Leaving reports whether an upstream has announced to this gateway that it leaves.
func (s *Server) Leaving(u *fleet.Upstream) bool {
	return s.notices.Leaving(notice.Process{Upstream: u.ID, Start: u.ProcessStart})
}

// Paused reports whether an upstream asked this gateway for a pause that has not ended.
func (s *Server) Paused(u *fleet.Upstream) bool {
	return s.notices.Pause(s.Clock.Now(), notice.Process{Upstream: u.ID, Start: u.ProcessStart}) > 0
}

// RecordNotice records what an upstream says of itself in an answer.
func (s *Server) RecordNotice(u *fleet.Upstream, n notice.Notice) {
	if !s.notices.Record(s.Clock.Now(), notice.Process{Upstream: u.ID, Start: u.ProcessStart}, n) {
		return
	}
	if n.Leaving {
		stats.Event("upstreams_leaving")
	}
	if n.Pause > 0 {
		stats.Event("upstream_pauses")
	}
	klog.InfoS("relay: upstream wants no requests", "upstream", u.ID, "start", u.ProcessStart, "leaving", n.Leaving, "pause", n.Pause)
}

// recordNotice records what the response to a request says of its upstream. Another upstream at the address
// says nothing of it.
func (s *Server) recordNotice(u *fleet.Upstream, res *response) {
	if res.Instance == "" || res.Instance == u.ID {
		s.RecordNotice(u, res.Notice)
	}
}
