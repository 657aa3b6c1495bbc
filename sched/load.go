package sched

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/gauge"
	"github.com/magnolialever/magnolialever/units"
)

// Load is the work in flight from one gateway at an upstream.
type Load struct {
	Upstream units.UpstreamID
	Running  int
	// Tokens are the prompt and expected output tokens of the running requests.
	Tokens units.Tokens
	// Backlog is the number of prompt tokens still to be prefilled.
	Backlog units.Tokens
	// Gateways is the number of gateways that have requests running at the upstream.
	Gateways int
	// WantedRate is the rate of prompt tokens per second of the requests for which the upstream is one
	// of the possible ones, divided among those.
	WantedRate float64
	// Stretch is the recent ratio of observed over expected times between events.
	Stretch gauge.Stretch
}

// Add returns the sum of two loads at the same upstream.
func (l Load) Add(other Load) Load {
	return Load{
		Upstream: other.Upstream, Running: l.Running + other.Running, Tokens: l.Tokens + other.Tokens,
		Backlog: l.Backlog + other.Backlog, Gateways: l.Gateways + other.Gateways, WantedRate: l.WantedRate + other.WantedRate,
		Stretch: l.Stretch.Add(other.Stretch),
	}
}

// minReportedWeight is the number of recent observations up to which what was seen of an upstream is not sent to other gateways.
const minReportedWeight = 0.2

// Loads returns the work in flight from this gateway and what it has seen lately, by upstream in no order.
func (s *Scheduler) Loads(now clock.Time) []Load {
	out := make([]Load, 0, len(s.upstreams))
	for id, u := range s.upstreams {
		stretch := u.gauge.Stretch(now)
		if u.running > 0 || stretch.Weight > minReportedWeight {
			out = append(out, Load{
				Upstream: id, Running: u.running, Tokens: u.reservedTokens, Backlog: u.pendingPrefill, Gateways: min(u.running, 1),
				WantedRate: u.wanted.at(now), Stretch: stretch,
			})
		}
	}
	return out
}

// unreachableTTL is how long a failed connection tells that an upstream is unreachable.
const unreachableTTL = 1500 * clock.Millisecond

// Unreachable returns the upstreams to which this gateway could not connect lately, in no order.
func (s *Scheduler) Unreachable(now clock.Time) []units.UpstreamID {
	var out []units.UpstreamID
	for id, u := range s.upstreams {
		if u.unreachableAt != 0 && now.Sub(u.unreachableAt) < unreachableTTL {
			out = append(out, id)
		}
	}
	return out
}

// SetOtherLoads replaces the summed work in flight from the other gateways. Each of them reports it
// once in an interval.
func (s *Scheduler) SetOtherLoads(loads map[units.UpstreamID]Load, interval clock.Span) {
	s.loadInterval = interval
	for id, u := range s.upstreams {
		u.otherLoad = loads[id]
		u.gauge.SetOthers(u.otherLoad.Stretch)
	}
}
