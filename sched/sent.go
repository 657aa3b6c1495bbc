package sched

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// SentPrompts are the prompts that a gateway sent to one engine within a short time.
type SentPrompts struct {
	Upstream units.UpstreamID
	// Tokens are the prompt tokens that the upstream has to read, Reserved those of prompts and expected output that its memory has to
	// hold.
	Tokens, Reserved units.Tokens
}

// TakeSent returns the prompts that this gateway sent to engines since the last call, one entry an engine, in no order.
func (s *Scheduler) TakeSent() []SentPrompts {
	out := make([]SentPrompts, 0, len(s.sent))
	for _, g := range s.sent {
		out = append(out, g)
	}
	clear(s.sent)
	return out
}

// RecordOthersSent records prompts that another gateway has just sent to engines; upstreams that the snapshot lacks are skipped.
func (s *Scheduler) RecordOthersSent(now clock.Time, sent []SentPrompts) {
	s.othersSentAt = now
	for _, g := range sent {
		if u, ok := s.upstreams[g.Upstream]; ok {
			u.othersPrompts.Add(now, g.Tokens, u.gauge.PrefillRate(now, ""))
			u.othersReserved.Add(now, g.Reserved, s.loadInterval)
		}
	}
}

// othersSentTTL is the time since the last message about prompts after which the backlog in digests counts again.
const othersSentTTL = 2 * clock.Second

// othersSendPrompts reports whether other gateways have sent messages about their prompts lately.
func (s *Scheduler) othersSendPrompts(now clock.Time) bool {
	return s.othersSentAt != 0 && now.Sub(s.othersSentAt) <= othersSentTTL
}

// othersBacklog returns the prompt tokens of other gateways that an upstream has not read. Messages about
// prompts come sooner than digests, whose backlog is read long before the next one.
func (s *Scheduler) othersBacklog(now clock.Time, u *upstream, rate float64) units.Tokens {
	if !s.othersSendPrompts(now) {
		return u.otherLoad.Backlog
	}
	return u.othersPrompts.Left(now, rate)
}

// othersTokens returns the memory that requests of other gateways need at an upstream: by their last digests, and what they sent since.
func (s *Scheduler) othersTokens(now clock.Time, u *upstream) units.Tokens {
	return u.otherLoad.Tokens + u.othersReserved.Left(now, s.loadInterval)
}

// recordSent records a prompt for the next message to the other gateways.
func (s *Scheduler) recordSent(a *Attempt, uncached units.Tokens) {
	if a.Service.Engine == nil {
		return
	}
	g := s.sent[a.Upstream.ID]
	s.sent[a.Upstream.ID] = SentPrompts{a.Upstream.ID, g.Tokens + uncached, g.Reserved + a.reservedTokens}
}

// promptsDelay is the mean time from sending a prompt to the arrival of the message about it at the other gateways.
const promptsDelay = 60 * clock.Millisecond

// unreportedTokens returns the memory, in tokens, expected to be needed by requests of other gateways that no message has reported yet.
// They are taken to be like the request r.
func (s *Scheduler) unreportedTokens(now clock.Time, u *upstream, r *Request) float64 {
	delay := s.loadInterval
	if s.othersSendPrompts(now) {
		delay = min(delay, promptsDelay)
	}
	return u.otherLoad.WantedRate * delay.Seconds() * float64(r.Prompt+r.Output) / float64(max(r.Prompt, 1))
}
