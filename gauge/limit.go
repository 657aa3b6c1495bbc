package gauge

import "github.com/magnolialever/magnolialever/clock"

const (
	// slowGradient is the ratio of a service time over that of an idle upstream from which on the limit falls, fastGradient the one up to
	// which it rises.
	slowGradient, fastGradient = 2.5, 1.5
	// limitFall is the factor by which one slow answer lowers the limit, limitRise what a fast one near the limit adds.
	limitFall, limitRise = 0.95, 0.2
	// nearLimit is the part of the limit that has to run for an answer to say something about it.
	nearLimit = 0.5
	// limitMemory is the time constant with which the limit returns to the slots without observations.
	limitMemory = 10 * clock.Second
)

// limit is the number of requests that an upstream can run at once without becoming slow. The zero value
// stands for the slots of the upstream.
type limit struct {
	// reduction is the number of slots above the limit, as of at.
	reduction float64
	at        clock.Time
}

func (l *limit) value(slots int) float64 { return max(float64(slots)-l.reduction, 1) }

// observe learns from an answer that took gradient times as long as it would on an idle upstream, beside running requests.
func (l *limit) observe(now clock.Time, slots, running int, gradient float64) {
	l.reduction *= decay(now.Sub(l.at), limitMemory)
	l.at = now
	v := l.value(slots)
	if float64(running) < v*nearLimit {
		return
	}
	switch {
	case gradient > slowGradient:
		v *= limitFall
	case gradient < fastGradient:
		v += limitRise
	}
	l.reduction = max(float64(slots)-max(v, 1), 0)
}
