package admit

import (
	"math"

	"github.com/magnolialever/magnolialever/clock"
)

const (
	// throughputTimeConstant is the age at which a measurement has the weight 1/e.
	throughputTimeConstant = 10 * clock.Second
	// minBusyTime is the decayed busy time below which the throughput counts as unknown.
	minBusyTime = clock.Second
)

// throughputMeter measures the throughput of the upstream while requests wait, because an engine
// with continuous batching has a lower throughput when it isn't fully loaded. It counts reserved
// tokens, the unit of the queue, so that backlog / throughput is a time also if responses are
// shorter than reserved.
type throughputMeter struct {
	tokens    float64
	busyTime  float64
	updatedAt clock.Time
	busy      bool
}

// advance accounts for the time since the last call; waiting is true if requests wait from now
// on.
func (m *throughputMeter) advance(now clock.Time, waiting bool) {
	if m.busy && now.After(m.updatedAt) {
		span := float64(now.Sub(m.updatedAt))
		decay := math.Exp(-span / float64(throughputTimeConstant))
		m.tokens *= decay
		m.busyTime = m.busyTime*decay + span
	}
	m.updatedAt = now
	m.busy = waiting
}

// add records a completed request and its reserved tokens.
func (m *throughputMeter) add(now clock.Time, tokens float64, waiting bool) {
	wasBusy := m.busy
	m.advance(now, waiting)
	if wasBusy {
		m.tokens += tokens
	}
}

// tokensPerSecond returns the throughput, or 0 while it is unknown.
func (m *throughputMeter) tokensPerSecond() float64 {
	if m.busyTime < float64(minBusyTime) {
		return 0
	}
	return m.tokens / m.busyTime * float64(clock.Second)
}
