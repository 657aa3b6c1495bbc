package pace

import (
	"math"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// usedBoundShare is the part of the bound on pauses that is planned for; the rest is for what other gateways send meanwhile.
	usedBoundShare = 0.8
	// holdMargin is the time that a held request needs at the least for its start, an interval of the control loop.
	holdMargin = 50 * clock.Millisecond
	// ownTimeFactor is the part of the expected time to the first event that has to be left when a held request starts.
	ownTimeFactor = 1.5
)

// Load is what an engine has to do, over all gateways.
type Load struct {
	// Running is the number of requests that run there.
	Running int
	// EventMs is the expected time between two events of a stream.
	EventMs float64
	// Backlog is the number of prompt tokens that the engine was given within the time of a pause and that it may not have read.
	Backlog units.Tokens
	// PrefillRate is the number of prompt tokens that it reads in a millisecond.
	PrefillRate float64
	// MaxEventGap is the bound on the pauses of its streams; 0 is none.
	MaxEventGap clock.Span
}

// ExcessMs returns by how much the expected longest pause of a stream that runs there exceeds its bound once a prompt is sent; 0 if it doesn't.
// A prompt alone at an engine stops no other.
func (l Load) ExcessMs(prompt units.Tokens) float64 {
	if l.MaxEventGap <= 0 {
		return 0
	}
	pause := l.EventMs
	if l.Running > 0 {
		pause += float64(l.Backlog+prompt) / l.PrefillRate
	}
	return max(pause-usedBoundShare*float64(l.MaxEventGap), 0)
}

// MayHold reports whether a request whose first event is expected after a time may wait: it still meets its objective, and its latest
// start is not near.
func MayHold(now, due, latestStart clock.Time, firstEventMs float64) bool {
	need := clock.Span(firstEventMs*ownTimeFactor) + holdMargin
	return due.Sub(now) > need && latestStart.Sub(now) > need
}

// Pauses counts streams and those with a pause beyond the bound, forgetting them with time.
type Pauses struct {
	streams, paused float64
	at              clock.Time
}

// pausesMemory is the time constant of the counts.
const pausesMemory = 10 * clock.Second

// Add counts a stream.
func (p *Pauses) Add(now clock.Time, paused bool) {
	p.streams, p.paused = p.At(now)
	p.at = now
	p.streams++
	if paused {
		p.paused++
	}
}

// At returns the counts as of now.
func (p *Pauses) At(now clock.Time) (streams, paused float64) {
	left := math.Exp(-float64(max(now.Sub(p.at), 0)) / float64(pausesMemory))
	return p.streams * left, p.paused * left
}

// priorStreams is the number of streams for which the mean of the service counts beside those of an upstream.
const priorStreams = 3.0

// Share returns the part of an upstream's streams that is expected to pause, by its counts and the share over its service.
func Share(streams, paused, mean float64) float64 {
	return (paused + mean*priorStreams) / (streams + priorStreams)
}
