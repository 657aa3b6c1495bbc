package admit

import (
	"github.com/magnolialever/magnolialever/clock"
)

const (
	// jumpFactor is the rise of the first-token latency that counts as a jump. A
	// busy warm engine stays within a small multiple of its mean.
	jumpFactor = 4
	// jumpFloor keeps noise of fast upstreams from counting as a jump.
	jumpFloor = 100 * clock.Millisecond
	// jumpSamples is the number of latencies needed before jumps are recognised.
	jumpSamples = 8
	// latencyShare is the weight of one latency in the mean.
	latencyShare = 1.0 / 16
)

// ColdStartLimit is the number of requests at once that an upstream in cold start
// bears. It starts low and rises by one with each success, which doubles it each
// round. A report that the upstream is cold and a jump of the first-token latency
// set it back at once.
type ColdStartLimit struct {
	start int
	full  int
	// allowed is the present limit; at full there is none.
	allowed int
	running int
	cold    bool
	// epoch counts the falls. Successes of earlier rounds don't raise the limit.
	epoch   uint64
	mean    float64
	samples int
}

// ColdStartSlot belongs to one request in flight.
type ColdStartSlot struct {
	epoch uint64
}

// NewColdStartLimit returns an allowance that starts at start and is lifted at full.
func NewColdStartLimit(start, full int) *ColdStartLimit {
	start = max(start, 1)
	return &ColdStartLimit{start: start, full: max(full, start), allowed: start}
}

// Take starts a request, or returns false when the allowance is used up.
func (a *ColdStartLimit) Take() (ColdStartSlot, bool) {
	if !a.CanTake() {
		return ColdStartSlot{}, false
	}
	a.running++
	return ColdStartSlot{a.epoch}, true
}

// CanTake reports whether Take would start a request.
func (a *ColdStartLimit) CanTake() bool { return a.running < a.allowed || a.Limit() == 0 }

// Release ends a request.
func (a *ColdStartLimit) Release(t ColdStartSlot, success bool) {
	a.running--
	if success && t.epoch == a.epoch && !a.cold {
		a.allowed = min(a.allowed+1, a.full)
	}
}

// SetCold passes on whether the upstream says that it is cold. While it does, the
// allowance stays at its start.
func (a *ColdStartLimit) SetCold(cold bool) {
	a.cold = cold
	if cold {
		a.reset()
	}
}

// RecordFirstToken passes on the first-token latency of a request.
func (a *ColdStartLimit) RecordFirstToken(t ColdStartSlot, latency clock.Span) {
	if t.epoch != a.epoch {
		return
	}
	v := float64(latency)
	if a.samples >= jumpSamples && v > jumpFactor*a.mean && v > a.mean+float64(jumpFloor) {
		a.reset()
		return
	}
	a.samples++
	a.mean += (v - a.mean) * max(latencyShare, 1/float64(a.samples))
}

// Reset sets the allowance back, for example after the upstream died.
func (a *ColdStartLimit) Reset() { a.reset() }

// reset goes back to the start. The mean is learnt anew, so that a lasting change
// of the latency counts as a jump once.
func (a *ColdStartLimit) reset() {
	a.allowed = a.start
	a.epoch++
	a.mean, a.samples = 0, 0
}

// Running returns the number of requests in flight.
func (a *ColdStartLimit) Running() int { return a.running }

// Limit returns the allowance, or 0 when there is none.
func (a *ColdStartLimit) Limit() int {
	if a.allowed >= a.full {
		return 0
	}
	return a.allowed
}
