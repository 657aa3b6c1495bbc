package assign

import (
	"math"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// demandTimeConstant is the time constant of the exponentially decaying average of the
	// demand. It is short because demand shifts between models within seconds.
	demandTimeConstant = 2500 * clock.Millisecond
	// missTTL is the time after the last miss at which the misses are reset.
	missTTL = 1500 * clock.Millisecond
	// outputWeight is the work of one output token, in prompt tokens: engines process
	// prompts in large chunks and generate output token by token.
	outputWeight = 6.0
	// refusalTimeConstant is the time constant of the average of refused work: a shortage is over a moment after the
	// last refusal.
	refusalTimeConstant = 700 * clock.Millisecond
	// minDemand is the demand, in prompt tokens/s, below which a target is dropped.
	minDemand = 0.5
)

// Work returns the cost of a request in prompt tokens.
func Work(prompt, output units.Tokens) float64 { return float64(prompt) + outputWeight*float64(output) }

// targetDemand is the demand for one target.
type targetDemand struct {
	// workRate is in prompt tokens/s, decayed up to updatedAt.
	workRate  float64
	updatedAt clock.Time
	misses    int
	lastMiss  clock.Time
	// refusedRate is in prompt tokens/s, decayed up to updatedAt.
	refusedRate float64
}

// Meter measures the demand for models and adapters at one gateway.
type Meter struct {
	targets map[Target]*targetDemand
}

// NewMeter returns an empty Meter.
func NewMeter() *Meter { return &Meter{targets: map[Target]*targetDemand{}} }

func (m *Meter) targetDemand(now clock.Time, t Target) *targetDemand {
	f, ok := m.targets[t]
	if !ok {
		f = &targetDemand{updatedAt: now}
		m.targets[t] = f
	}
	f.decay(now)
	return f
}

func (f *targetDemand) decay(now clock.Time) {
	if span := now.Sub(f.updatedAt); span > 0 {
		f.workRate *= math.Exp(-float64(span) / float64(demandTimeConstant))
		f.refusedRate *= math.Exp(-float64(span) / float64(refusalTimeConstant))
		f.updatedAt = now
	}
	if f.misses > 0 && now.Sub(f.lastMiss) > missTTL {
		f.misses = 0
	}
}

// RecordWork records a request for the target; work is its cost in prompt tokens.
func (m *Meter) RecordWork(now clock.Time, t Target, work float64) {
	m.targetDemand(now, t).workRate += work / demandTimeConstant.Seconds()
}

// RecordRefused records a request for the target that no upstream could start in time; work is its cost in prompt
// tokens. RecordWork counts the request too.
func (m *Meter) RecordRefused(now clock.Time, t Target, work float64) {
	m.targetDemand(now, t).refusedRate += work / refusalTimeConstant.Seconds()
}

// RecordMiss records a request for a target that no upstream had loaded.
func (m *Meter) RecordMiss(now clock.Time, t Target) {
	f := m.targetDemand(now, t)
	f.misses++
	f.lastMiss = now
}

// Demand returns the demand for each target and drops those below minDemand without misses.
func (m *Meter) Demand(now clock.Time) map[Target]Demand {
	out := make(map[Target]Demand, len(m.targets))
	for t, f := range m.targets {
		f.decay(now)
		if f.workRate < minDemand && f.refusedRate < minDemand && f.misses == 0 {
			delete(m.targets, t)
			continue
		}
		out[t] = Demand{WorkRate: f.workRate, Misses: f.misses, RefusedRate: f.refusedRate}
	}
	return out
}
