package admit

import (
	"math"

	"github.com/magnolialever/magnolialever/clock"
)

const (
	// speedTimeConstant is the time after which a measurement counts for 1/e.
	speedTimeConstant = 10 * clock.Second
	// minBusyTime is the busy time below which the speed is not known.
	minBusyTime = clock.Second
)

// speed measures the tokens a second that the upstream finishes while requests
// wait: with less work an engine with continuous batching is slower in total.
// Tokens are reserved ones, the unit of the queue, so that the ratio of backlog
// and speed is a time also when answers are shorter than reserved.
type speed struct {
	tokens   float64
	busy     float64
	last     clock.Time
	counting bool
}

// observe accounts for the time since the last call; waiting tells whether
// requests wait from now on.
func (s *speed) observe(now clock.Time, waiting bool) {
	if s.counting && now.After(s.last) {
		span := float64(now.Sub(s.last))
		keep := math.Exp(-span / float64(speedTimeConstant))
		s.tokens *= keep
		s.busy = s.busy*keep + span
	}
	s.last = now
	s.counting = waiting
}

// add accounts for a finished request.
func (s *speed) add(now clock.Time, tokens float64, waiting bool) {
	counts := s.counting
	s.observe(now, waiting)
	if counts {
		s.tokens += tokens
	}
}

func (s *speed) value() float64 {
	if s.busy < float64(minBusyTime) {
		return 0
	}
	return s.tokens / s.busy * float64(clock.Second)
}
