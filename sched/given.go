package sched

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// Given is what a gateway sent to an upstream within a short time.
type Given struct {
	Upstream units.UpstreamID
	// Tokens are the prompt tokens that the upstream has to read.
	Tokens units.Tokens
}

// TakeGiven returns what this gateway sent to engines since the last call, in no order.
func (s *Scheduler) TakeGiven() []Given {
	out := make([]Given, 0, len(s.given))
	for id, tokens := range s.given {
		out = append(out, Given{id, tokens})
	}
	clear(s.given)
	return out
}

// RecordGiven records what another gateway has just sent to engines.
func (s *Scheduler) RecordGiven(now clock.Time, given []Given) {
	s.othersToldAt = now
	for _, g := range given {
		if u, ok := s.upstreams[g.Upstream]; ok {
			u.othersPrompts.Add(now, g.Tokens, u.gauge.PrefillRate(now, ""))
		}
	}
}

// othersToldTTL is the time after which what gateways tell of their prompts is no longer all that they send, and digests count again.
const othersToldTTL = 2 * clock.Second

// othersBacklog returns the prompt tokens of other gateways that an upstream has not read. Gateways tell each other of their prompts sooner
// than by digests, whose backlog is read long before the next one.
func (s *Scheduler) othersBacklog(now clock.Time, u *upstream, rate float64) units.Tokens {
	if s.othersToldAt == 0 || now.Sub(s.othersToldAt) > othersToldTTL {
		return u.otherLoad.Backlog
	}
	return u.othersPrompts.Left(now, rate)
}
