package gauge

import (
	"math"

	"github.com/magnolialever/magnolialever/clock"
)

const (
	// minRatio and maxRatio bound how much faster or slower than its service an upstream counts.
	minRatio, maxRatio = 0.2, 20.0
	// ratioWeight is the weight of an observation that follows others at once, oldRatioWeight that of one after a long time.
	ratioWeight, oldRatioWeight = 0.15, 0.5
	// ratioWindow is the time after which earlier observations weigh less than new ones.
	ratioWindow = clock.Second
	// ratioMemory is the time constant with which a ratio without new observations is forgotten, so that an upstream that gets
	// no requests as it was slow is tried again.
	ratioMemory = 8 * clock.Second
	// seenMemory is the time constant of the number of observations, by which those of several gateways are weighted.
	seenMemory = 2 * clock.Second
)

// ratio is a moving average of observed over expected times.
type ratio struct {
	value float64
	at    clock.Time
	// seen is the number of recent observations.
	seen float64
}

// decay returns the part of a value that is left after the age.
func decay(age, memory clock.Span) float64 { return math.Exp(-float64(max(age, 0)) / float64(memory)) }

// observe adds an observation.
func (r *ratio) observe(now clock.Time, v float64) {
	v = min(max(v, minRatio), maxRatio)
	if r.seen <= 0 {
		r.value = 1
	}
	age := now.Sub(r.at)
	weight := oldRatioWeight + (ratioWeight-oldRatioWeight)*decay(age, ratioWindow)
	r.value += (v - r.value) * weight
	r.seen = r.seen*decay(age, seenMemory) + 1
	r.at = now
}

// current returns the ratio, which fades towards the one that is assumed without observations.
func (r *ratio) current(now clock.Time, assumed float64) float64 {
	if r.seen <= 0 {
		return assumed
	}
	return assumed + (r.value-assumed)*decay(now.Sub(r.at), ratioMemory)
}

// weight returns the number of recent observations.
func (r *ratio) weight(now clock.Time) float64 { return r.seen * decay(now.Sub(r.at), seenMemory) }
