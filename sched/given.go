package sched

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// Given is what a gateway sent to an upstream within a short time.
type Given struct {
	Upstream units.UpstreamID
	// Tokens are the prompt tokens that the upstream has to read, Reserved those of prompts and expected output that its memory has to
	// hold.
	Tokens, Reserved units.Tokens
}

// TakeGiven returns what this gateway sent to engines since the last call, in no order.
func (s *Scheduler) TakeGiven() []Given {
	out := make([]Given, 0, len(s.given))
	for _, g := range s.given {
		out = append(out, g)
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
			u.othersReserved.Add(now, g.Reserved, s.loadInterval)
		}
	}
}

// othersToldTTL is the time after which what gateways tell of their prompts is no longer all that they send, and digests count again.
const othersToldTTL = 2 * clock.Second

// othersTell reports whether other gateways tell of their prompts.
func (s *Scheduler) othersTell(now clock.Time) bool {
	return s.othersToldAt != 0 && now.Sub(s.othersToldAt) <= othersToldTTL
}

// othersBacklog returns the prompt tokens of other gateways that an upstream has not read. Gateways tell each other of their prompts sooner
// than by digests, whose backlog is read long before the next one.
func (s *Scheduler) othersBacklog(now clock.Time, u *upstream, rate float64) units.Tokens {
	if !s.othersTell(now) {
		return u.otherLoad.Backlog
	}
	return u.othersPrompts.Left(now, rate)
}

// othersTokens returns the memory that requests of other gateways need at an upstream: by their last digests, and what they sent since.
func (s *Scheduler) othersTokens(now clock.Time, u *upstream) units.Tokens {
	return u.otherLoad.Tokens + u.othersReserved.Left(now, s.loadInterval)
}

// recordGiven records a prompt to tell the other gateways of.
func (s *Scheduler) recordGiven(a *Attempt, uncached units.Tokens) {
	if a.Service.Engine == nil {
		return
	}
	g := s.given[a.Upstream.ID]
	s.given[a.Upstream.ID] = Given{a.Upstream.ID, g.Tokens + uncached, g.Reserved + a.reservedTokens}
}

// tellDelay is the time that passes on average until gateways that tell of their prompts have told of one.
const tellDelay = 60 * clock.Millisecond

// unheardTokens returns the memory that requests of other gateways are expected to need which this one has not heard of. They are taken to be
// like the request at hand.
func (s *Scheduler) unheardTokens(now clock.Time, u *upstream, r *Request) float64 {
	delay := s.loadInterval
	if s.othersTell(now) {
		delay = min(delay, tellDelay)
	}
	return u.otherLoad.WantedRate * delay.Seconds() * float64(r.Prompt+r.Output) / float64(max(r.Prompt, 1))
}
