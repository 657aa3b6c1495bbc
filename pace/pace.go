package pace

import (
	"math"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// Prompts is the number of prompt tokens that an engine was given and has not read, as far as it reads them at a known rate. The zero
// value stands for none.
type Prompts struct {
	tokens float64
	at     clock.Time
}

// Add adds a prompt that was given now to an engine that reads rate tokens per millisecond.
func (p *Prompts) Add(now clock.Time, prompt units.Tokens, rate float64) {
	p.tokens, p.at = p.left(now, rate)+float64(prompt), now
}

// Left returns the tokens that have not been read.
func (p *Prompts) Left(now clock.Time, rate float64) units.Tokens {
	return units.Tokens(p.left(now, rate))
}

func (p *Prompts) left(now clock.Time, rate float64) float64 {
	return max(p.tokens-rate*float64(now.Sub(p.at)), 0)
}

// stopMemory is the time constant with which a stop that is over is forgotten. A stream that was stopped writes its next event within a
// few of these, and a further prompt would stop it again.
const stopMemory = 150 * clock.Millisecond

// Stops is what the streams that run at an engine show of its batch: it stops while the engine reads prompts, those of gateways that send
// no messages included. The zero value stands for an engine without streams.
type Stops struct {
	// streams is the number of streams of this gateway that have begun, lastAt the time of the last event of any of them.
	streams int
	lastAt  clock.Time
	// stoppedMs is how long the batch stood still at stoppedAt.
	stoppedMs float64
	stoppedAt clock.Time
}

// Begin records the first event of a stream.
func (p *Stops) Begin(now clock.Time) {
	p.streams++
	p.lastAt = now
}

// End records the end of a stream that has begun.
func (p *Stops) End() { p.streams-- }

// Event records an event of a stream that came a time after the one before; expectedMs is the usual time.
func (p *Stops) Event(now clock.Time, gap clock.Span, expectedMs float64) {
	p.stoppedMs, p.stoppedAt = max(p.past(now), float64(gap)-expectedMs), now
	p.lastAt = now
}

// past returns what is left, in milliseconds, of the last stop that is over.
func (p *Stops) past(now clock.Time) float64 {
	return p.stoppedMs * math.Exp(-float64(max(now.Sub(p.stoppedAt), 0))/float64(stopMemory))
}

// Ms returns for how many milliseconds the batch has stood still lately, a stop that goes on included.
func (p *Stops) Ms(now clock.Time, expectedMs float64) float64 {
	stopped := p.past(now)
	if p.streams > 0 {
		stopped = max(stopped, float64(now.Sub(p.lastAt))-expectedMs)
	}
	return max(stopped, 0)
}

// SinceDigest is an amount, in tokens, that other gateways have reported by messages since their last digests. The zero value
// stands for none.
type SinceDigest struct {
	amount float64
	at     clock.Time
}

// Add adds an amount; gateways send digests once in an interval.
func (u *SinceDigest) Add(now clock.Time, amount units.Tokens, interval clock.Span) {
	u.amount, u.at = u.left(now, interval)+float64(amount), now
}

// Left returns the amount that digests don't show yet, on average: those of all gateways have come after an interval.
func (u *SinceDigest) Left(now clock.Time, interval clock.Span) units.Tokens {
	return units.Tokens(u.left(now, interval))
}

func (u *SinceDigest) left(now clock.Time, interval clock.Span) float64 {
	if u.amount <= 0 {
		return 0
	}
	return u.amount * math.Exp(-float64(max(now.Sub(u.at), 0))/float64(max(interval, 1)))
}
