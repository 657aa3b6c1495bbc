package admit

import (
	"github.com/magnolialever/magnolialever/clock"
)

const (
	// jumpFactor is the ratio of the first-token latency to its mean that counts as a jump. A
	// warm engine stays within a small multiple of its mean also under load.
	jumpFactor = 4
	// minJump is the minimum increase over the mean that counts as a jump, because noise of fast
	// upstreams exceeds jumpFactor.
	minJump = 100 * clock.Millisecond
	// jumpSamples is the number of latencies that are required to detect jumps.
	jumpSamples = 8
	// latencyWeight is the weight of a new latency in the exponentially weighted mean.
	latencyWeight = 1.0 / 16
)

// ColdStartLimit limits the number of concurrent requests on an upstream in cold start, similar
// to TCP slow start: it starts low and increases by one with each successful request, so that it
// doubles each time that all requests in flight have completed. It falls back to its initial
// value if the upstream reports that it is cold or if the first-token latency jumps.
type ColdStartLimit struct {
	initial int
	ceiling int
	// current is the present limit; from ceiling on, requests are not limited.
	current int
	running int
	cold    bool
	// epoch counts the resets. Requests that were started in an earlier epoch don't raise the
	// limit and don't count in meanLatency.
	epoch       uint64
	meanLatency float64
	samples     int
}

// ColdStartSlot is the place of one request in flight. Take returns it and Release frees it.
type ColdStartSlot struct {
	epoch uint64
}

// NewColdStartLimit returns a limit that starts at initial concurrent requests, at least 1, and
// no longer applies once it has reached ceiling.
func NewColdStartLimit(initial, ceiling int) *ColdStartLimit {
	initial = max(initial, 1)
	return &ColdStartLimit{initial: initial, ceiling: max(ceiling, initial), current: initial}
}

// Take takes a slot for a request, or returns false if the limit is reached.
func (l *ColdStartLimit) Take() (ColdStartSlot, bool) {
	if !l.CanTake() {
		return ColdStartSlot{}, false
	}
	l.running++
	return ColdStartSlot{l.epoch}, true
}

// CanTake reports whether Take would succeed.
func (l *ColdStartLimit) CanTake() bool { return l.running < l.current || l.Limit() == 0 }

// Release frees the slot of a request that has ended. If success is true, the limit increases
// by one, unless the upstream is cold or the limit was reset since Take.
func (l *ColdStartLimit) Release(slot ColdStartSlot, success bool) {
	l.running--
	if success && slot.epoch == l.epoch && !l.cold {
		l.current = min(l.current+1, l.ceiling)
	}
}

// SetCold sets whether the upstream reports that it is cold. While it does, the limit stays at
// its initial value.
func (l *ColdStartLimit) SetCold(cold bool) {
	l.cold = cold
	if cold {
		l.reset()
	}
}

// RecordFirstToken records the first-token latency of a request and resets the limit if it is a
// jump.
func (l *ColdStartLimit) RecordFirstToken(slot ColdStartSlot, latency clock.Span) {
	if slot.epoch != l.epoch {
		return
	}
	millis := float64(latency)
	if l.samples >= jumpSamples && millis > jumpFactor*l.meanLatency && millis > l.meanLatency+float64(minJump) {
		l.reset()
		return
	}
	l.samples++
	l.meanLatency += (millis - l.meanLatency) * max(latencyWeight, 1/float64(l.samples))
}

// Reset returns the limit to its initial value, for example after the upstream process died.
func (l *ColdStartLimit) Reset() { l.reset() }

// reset returns the limit to its initial value. It also restarts the mean, so that a lasting
// change of the latency counts as one jump.
func (l *ColdStartLimit) reset() {
	l.current = l.initial
	l.epoch++
	l.meanLatency, l.samples = 0, 0
}

// Running returns the number of requests in flight.
func (l *ColdStartLimit) Running() int { return l.running }

// Limit returns the maximum number of requests in flight, or 0 if there is no limit.
func (l *ColdStartLimit) Limit() int {
	if l.current >= l.ceiling {
		return 0
	}
	return l.current
}
