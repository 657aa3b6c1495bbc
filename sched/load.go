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
	// Streams and Paused are the numbers of recent streams, and of those with a pause beyond the bound.
	Streams, Paused float64
	// Stretch is the recent ratio of observed over expected times between events.
	Stretch gauge.Stretch
}

// Add returns the sum of two loads at the same upstream.
func (l Load) Add(other Load) Load {
	return Load{
		Upstream: other.Upstream, Running: l.Running + other.Running, Tokens: l.Tokens + other.Tokens,
		Backlog: l.Backlog + other.Backlog, Gateways: l.Gateways + other.Gateways, WantedRate: l.WantedRate + other.WantedRate,
		Streams: l.Streams + other.Streams, Paused: l.Paused + other.Paused, Stretch: l.Stretch.Add(other.Stretch),
	}
}

// minToldStreams is the number of recent streams from an upstream up to which what was seen there is not told to others.
const minToldStreams = 0.1

// Loads returns the work in flight from this gateway and what it has seen lately, by upstream in no order.
func (s *Scheduler) Loads(now clock.Time) []Load {
	out := make([]Load, 0, len(s.upstreams))
	for id, u := range s.upstreams {
		streams, paused := u.pauses.At(now)
		if u.running > 0 || streams > minToldStreams {
			out = append(out, Load{
				Upstream: id, Running: u.running, Tokens: u.reservedTokens, Backlog: u.pendingPrefill, Gateways: min(u.running, 1),
				WantedRate: u.wanted.at(now), Streams: streams, Paused: paused, Stretch: u.gauge.Stretch(now),
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
func (s *Scheduler) SetOtherLoads(now clock.Time, loads map[units.UpstreamID]Load, interval clock.Span) {
	s.loadInterval = interval
	for id, u := range s.upstreams {
		u.otherLoad = loads[id]
		u.gauge.SetOthers(u.otherLoad.Stretch)
	}
	s.sumPauses(now)
}

// sumPauses sets the part of the streams of each service that paused for too long, over all gateways.
func (s *Scheduler) sumPauses(now clock.Time) {
	type count struct{ streams, paused float64 }
	sums := map[*gauge.Service]count{}
	for _, u := range s.upstreams {
		streams, paused := u.pauses.At(now)
		c := sums[u.gauge.Service()]
		c.streams += streams + u.otherLoad.Streams
		c.paused += paused + u.otherLoad.Paused
		sums[u.gauge.Service()] = c
	}
	clear(s.pausedShares)
	for service, c := range sums {
		if c.streams > 0 {
			s.pausedShares[service] = c.paused / c.streams
		}
	}
}
