package reside

import (
	"math"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// needSpan is the time constant of the averaged demand. Demand moves to other models
	// within seconds.
	needSpan = 2500 * clock.Millisecond
	// missSpan is how long a miss counts.
	missSpan = 1500 * clock.Millisecond
	// outputWeight is the work of one output token, in prompt tokens: engines read
	// prompts in large pieces and write answers token by token.
	outputWeight = 6.0
	// minNeed is the demand, in tokens a second, below which a target is forgotten.
	minNeed = 0.5
)

// Work is the work of a request in prompt tokens.
func Work(prompt, output units.Tokens) float64 { return float64(prompt) + outputWeight*float64(output) }

type flow struct {
	tokens float64
	at     clock.Time
	missed int
	missAt clock.Time
}

// Meter measures the demand of one gateway for models and adapters.
type Meter struct {
	flows map[Target]*flow
}

// NewMeter returns a Meter that has seen nothing.
func NewMeter() *Meter { return &Meter{flows: map[Target]*flow{}} }

func (m *Meter) flow(now clock.Time, t Target) *flow {
	f, ok := m.flows[t]
	if !ok {
		f = &flow{at: now}
		m.flows[t] = f
	}
	f.decay(now)
	return f
}

func (f *flow) decay(now clock.Time) {
	if span := now.Sub(f.at); span > 0 {
		f.tokens *= math.Exp(-float64(span) / float64(needSpan))
		f.at = now
	}
	if f.missed > 0 && now.Sub(f.missAt) > missSpan {
		f.missed = 0
	}
}

// Used notes a request and its work.
func (m *Meter) Used(now clock.Time, t Target, work float64) {
	m.flow(now, t).tokens += work / needSpan.Seconds()
}

// Missed notes a request for which nothing held the target.
func (m *Meter) Missed(now clock.Time, t Target) {
	f := m.flow(now, t)
	f.missed++
	f.missAt = now
}

// Demands returns the demand of all targets.
func (m *Meter) Demands(now clock.Time) map[Target]Demand {
	out := make(map[Target]Demand, len(m.flows))
	for t, f := range m.flows {
		f.decay(now)
		if f.tokens < minNeed && f.missed == 0 {
			delete(m.flows, t)
			continue
		}
		out[t] = Demand{Tokens: f.tokens, Missed: f.missed}
	}
	return out
}
