package sched

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// Learned is what was learned of one upstream.
type Learned struct {
	Upstream units.UpstreamID `json:"-"`
	// PrefillRate is the number of prompt tokens that an engine reads in a millisecond, EventMs the time between two events of a stream;
	// 0 for plain services.
	PrefillRate float64 `json:"prefill_rate,omitempty"`
	EventMs     float64 `json:"event_ms,omitempty"`
	// ServiceMs is the time of a call of a plain service; 0 for engines.
	ServiceMs float64 `json:"service_ms,omitempty"`
	// Running is the number of requests there, over all gateways, Limit how many it takes well.
	Running int `json:"running"`
	Limit   int `json:"limit"`
}

// Learned returns what was learned of the upstreams that this gateway used lately, of at most a number of them, in no order.
func (s *Scheduler) Learned(now clock.Time, most int) []Learned {
	var out []Learned
	for id, e := range s.snap.Upstreams {
		u, ok := s.upstreams[id]
		if !ok || !u.gauge.Known(now) {
			continue
		}
		if len(out) == most {
			break
		}
		running := u.running + u.gauge.OthersRunning(now, u.otherLoad.Running)
		l := Learned{Upstream: id, Running: running, Limit: u.gauge.Limit()}
		if len(e.Models) > 0 {
			speed := u.gauge.Speed(now, e.Models[0].Model)
			l.PrefillRate, l.EventMs = speed.PrefillRate(), speed.EventMs(running)
		} else {
			l.ServiceMs = u.gauge.ServiceMs(now, running)
		}
		out = append(out, l)
	}
	return out
}
