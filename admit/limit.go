package admit

import (
	"math"

	"github.com/magnolialever/magnolialever/clock"
)

const (
	// initialLimit is the first value of a Limit.
	initialLimit = 16
	// operatingShare is the operating point relative to the probe. A probe ends up to
	// 15 % above the knee, so operation stays below it.
	operatingShare = 0.85
	// maxLatencyGradient is the relative growth of the latency by concurrency at which the
	// throughput no longer grows enough: 0 is a flat latency, 1 a constant
	// throughput. Below their knees the sites' adapters reach 0.5.
	maxLatencyGradient = 0.55
	// fastStep and limitSlow are the steps before and after the knee was first
	// passed.
	fastStep = 1.5
	slowStep = 1.05
	// samplesPerSlot is the number of latencies in a phase for each slot. The mean
	// latency of one phase must be known to about 1 %.
	samplesPerSlot = 6
	// minUtilization is the share of the slots that must be in use for a phase to count.
	minUtilization = 0.9
	// maxTokenWeight is how much the mean of one request counts at most. Its tokens are
	// not independent measurements: those of one engine step share their time.
	maxTokenWeight = 8
)

// phase is one step of a cycle: operation, probe, operation. Comparing the probe
// with the mean of what came before and after it cancels a slow drift.
type phase struct {
	// use sums up the concurrency at the start of each request, latency its time.
	use     float64
	latency float64
	count   int
}

func (p *phase) add(use, latency float64, count int) {
	p.use += use * float64(count)
	p.latency += latency * float64(count)
	p.count += count
}

const (
	phaseBefore = iota
	phaseProbe
	phaseAfter
	phases
)

// ConcurrencyLimit learns the concurrency up to which an upstream gets faster in total. It
// follows the gradient of the latency by concurrency between an operating point
// and a short probe above it.
type ConcurrencyLimit struct {
	probe   float64
	highest float64
	step    float64
	running int
	current int
	// cycle counts phases, so that a request counts in the phase it started in.
	cycle  uint64
	phases [phases]phase
}

// ConcurrencySlot belongs to one request in flight.
type ConcurrencySlot struct {
	cycle uint64
	use   float64
}

// NewConcurrencyLimit returns a limit that never exceeds highest.
func NewConcurrencyLimit(highest int) *ConcurrencyLimit {
	h := float64(max(highest, 1))
	return &ConcurrencyLimit{probe: min(initialLimit, h), highest: h, step: fastStep}
}

// Value returns the present limit.
func (l *ConcurrencyLimit) Value() int {
	v := l.probe
	if l.current != phaseProbe {
		v *= operatingShare
	}
	return max(int(v), 1)
}

// CanTake reports whether Take would start a request.
func (l *ConcurrencyLimit) CanTake() bool { return l.running < l.Value() }

// Take starts a request, or returns false at the limit.
func (l *ConcurrencyLimit) Take() (ConcurrencySlot, bool) {
	if !l.CanTake() {
		return ConcurrencySlot{}, false
	}
	l.running++
	return ConcurrencySlot{l.cycle, float64(l.running)}, true
}

// Release ends a request. Latency is 0 for one that failed or was cancelled.
func (l *ConcurrencyLimit) Release(t ConcurrencySlot, latency clock.Span) {
	l.ReleaseMicros(t, int64(latency)*1000, 1)
}

// ReleaseMicros is Release with a latency in microseconds, as whole milliseconds are
// too coarse for adapters. It is the mean of the given number of tokens.
func (l *ConcurrencyLimit) ReleaseMicros(t ConcurrencySlot, micros int64, tokens int) {
	l.running--
	if micros <= 0 || t.cycle != l.cycle {
		return
	}
	p := &l.phases[l.current]
	p.add(t.use, float64(micros), min(max(tokens, 1), maxTokenWeight))
	if p.count < l.samples() {
		return
	}
	if p.use/float64(p.count) < minUtilization*float64(l.Value()) {
		// Without enough requests the latency says nothing about the limit.
		l.restart()
		return
	}
	l.cycle++
	l.current++
	if l.current == phases {
		l.adjust()
		l.restart()
	}
}

// samples returns the number of latencies in the present phase. The probe is
// shorter, as it is above the operating point.
func (l *ConcurrencyLimit) samples() int {
	n := samplesPerSlot * max(int(l.probe), initialLimit)
	if l.current != phaseProbe {
		n *= 2
	}
	return n
}

func (l *ConcurrencyLimit) restart() {
	l.cycle++
	l.current = phaseBefore
	l.phases = [phases]phase{}
}

// adjust moves the limit along the gradient.
func (l *ConcurrencyLimit) adjust() {
	low := l.phases[phaseBefore]
	low.use += l.phases[phaseAfter].use
	low.latency += l.phases[phaseAfter].latency
	low.count += l.phases[phaseAfter].count
	high := l.phases[phaseProbe]
	use := math.Log(high.use / float64(high.count) * float64(low.count) / low.use)
	latency := math.Log(high.latency / float64(high.count) * float64(low.count) / low.latency)
	if use <= 0 {
		// The slots are too few to differ; a probe needs one more.
		l.probe = min(l.probe+1, l.highest)
		return
	}
	if latency/use < maxLatencyGradient {
		l.probe = min(l.probe*l.step, l.highest)
		return
	}
	// The first time this goes back to the last probe below the knee.
	l.probe = max(l.probe/l.step, 2)
	l.step = slowStep
}
