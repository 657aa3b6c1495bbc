package admit

import (
	"math"

	"github.com/magnolialever/magnolialever/clock"
)

const (
	// initialLimit is the initial probeLimit of a ConcurrencyLimit.
	initialLimit = 16
	// operatingShare is the operating point relative to probeLimit. probeLimit settles up to
	// 15 % above the knee of the throughput curve, so that operation stays below the knee.
	operatingShare = 0.85
	// maxLatencyGradient is the ratio of the relative growth of the latency to that of the
	// concurrency from which the limit falls: 0 means constant latency, 1 constant throughput.
	// Below their knees, the adapters of the two sites reach 0.5.
	maxLatencyGradient = 0.55
	// fastStep and slowStep are the factors by which the limit changes before and after it has
	// first exceeded the knee.
	fastStep = 1.5
	slowStep = 1.05
	// samplesPerSlot is the number of latencies per phase and slot, which determines the mean
	// latency of a phase to about 1 %.
	samplesPerSlot = 6
	// minUtilization is the mean share of the slots that must be in use for a phase to count.
	minUtilization = 0.9
	// maxTokenWeight is the maximum weight of the mean latency of one request. Its tokens are
	// not independent samples, because those of one engine step share their latency.
	maxTokenWeight = 8
)

// phaseSums holds the samples of one phase. A cycle has three phases: operation, probe,
// operation. Comparing the probe with the mean of the phases before and after it cancels slow
// drift of the latency.
type phaseSums struct {
	// concurrency is the sum of the concurrency at the start of each request.
	concurrency float64
	// latency is the sum of the latencies, in microseconds.
	latency float64
	count   int
}

func (p *phaseSums) add(concurrency, latency float64, count int) {
	p.concurrency += concurrency * float64(count)
	p.latency += latency * float64(count)
	p.count += count
}

const (
	phaseBefore = iota
	phaseProbe
	phaseAfter
	phaseCount
)

// ConcurrencyLimit adapts a concurrency limit to the knee of the throughput curve, above which
// more concurrent requests hardly increase the throughput of an upstream. It follows the gradient
// of the latency over the concurrency between an operating point and a short probe above it.
type ConcurrencyLimit struct {
	probeLimit   float64
	maxLimit     float64
	stepFactor   float64
	running      int
	currentPhase int
	// phaseNumber counts the phases. A request only counts if it ends in the phase in which it
	// started.
	phaseNumber uint64
	phases      [phaseCount]phaseSums
}

// ConcurrencySlot is the place of one request in flight. Take returns it and Release frees it.
type ConcurrencySlot struct {
	phaseNumber uint64
	concurrency float64
}

// NewConcurrencyLimit returns a limit that never exceeds maxLimit concurrent requests.
func NewConcurrencyLimit(maxLimit int) *ConcurrencyLimit {
	limit := float64(max(maxLimit, 1))
	return &ConcurrencyLimit{probeLimit: min(initialLimit, limit), maxLimit: limit, stepFactor: fastStep}
}

// Value returns the present maximum number of requests in flight.
func (l *ConcurrencyLimit) Value() int {
	v := l.probeLimit
	if l.currentPhase != phaseProbe {
		v *= operatingShare
	}
	return max(int(v), 1)
}

// CanTake reports whether Take would succeed.
func (l *ConcurrencyLimit) CanTake() bool { return l.running < l.Value() }

// Take takes a slot for a request, or returns false if the limit is reached.
func (l *ConcurrencyLimit) Take() (ConcurrencySlot, bool) {
	if !l.CanTake() {
		return ConcurrencySlot{}, false
	}
	l.running++
	return ConcurrencySlot{l.phaseNumber, float64(l.running)}, true
}

// Release frees the slot of a request that has ended. The latency is 0 for a request that failed
// or was canceled; it doesn't count.
func (l *ConcurrencyLimit) Release(slot ConcurrencySlot, latency clock.Span) {
	l.ReleaseMicros(slot, int64(latency)*1000, 1)
}

// ReleaseMicros is like Release with a latency in microseconds, because milliseconds are too
// coarse for adapters. The latency is the mean over the given number of tokens.
func (l *ConcurrencyLimit) ReleaseMicros(slot ConcurrencySlot, micros int64, tokens int) {
	l.running--
	if micros <= 0 || slot.phaseNumber != l.phaseNumber {
		return
	}
	p := &l.phases[l.currentPhase]
	p.add(slot.concurrency, float64(micros), min(max(tokens, 1), maxTokenWeight))
	if p.count < l.samplesPerPhase() {
		return
	}
	if p.concurrency/float64(p.count) < minUtilization*float64(l.Value()) {
		// Below the limit, the latency doesn't show the effect of the limit.
		l.restartCycle()
		return
	}
	l.phaseNumber++
	l.currentPhase++
	if l.currentPhase == phaseCount {
		l.adjustLimit()
		l.restartCycle()
	}
}

// samplesPerPhase returns the number of latencies in the present phase. The probe is shorter
// than the operating phases, because it runs above the operating point.
func (l *ConcurrencyLimit) samplesPerPhase() int {
	n := samplesPerSlot * max(int(l.probeLimit), initialLimit)
	if l.currentPhase != phaseProbe {
		n *= 2
	}
	return n
}

// restartCycle discards the samples and starts a new cycle.
func (l *ConcurrencyLimit) restartCycle() {
	l.phaseNumber++
	l.currentPhase = phaseBefore
	l.phases = [phaseCount]phaseSums{}
}

// adjustLimit raises or lowers probeLimit by stepFactor, depending on the gradient measured in
// the past cycle.
func (l *ConcurrencyLimit) adjustLimit() {
	operating := l.phases[phaseBefore]
	operating.concurrency += l.phases[phaseAfter].concurrency
	operating.latency += l.phases[phaseAfter].latency
	operating.count += l.phases[phaseAfter].count
	probe := l.phases[phaseProbe]
	concurrencyGrowth := math.Log(probe.concurrency / float64(probe.count) * float64(operating.count) / operating.concurrency)
	latencyGrowth := math.Log(probe.latency / float64(probe.count) * float64(operating.count) / operating.latency)
	if concurrencyGrowth <= 0 {
		// Rounded, the two limits are equal; the probe needs one more slot.
		l.probeLimit = min(l.probeLimit+1, l.maxLimit)
		return
	}
	if latencyGrowth/concurrencyGrowth < maxLatencyGradient {
		l.probeLimit = min(l.probeLimit*l.stepFactor, l.maxLimit)
		return
	}
	// The first time, this returns to the last probeLimit below the knee.
	l.probeLimit = max(l.probeLimit/l.stepFactor, 2)
	l.stepFactor = slowStep
}
