package place

import (
	"math"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// shortSpan and longSpan are the times after which an observation counts for 1/e.
	shortSpan = 10 * clock.Second
	longSpan  = 5 * clock.Minute
	// waitingSpan is how long a count of waiting requests is valid without another
	// one. Gateways repeat it every second; a message that says 0 may be lost.
	waitingSpan = 3 * clock.Second
	// forgottenUse is the demand in tokens a second below which a target is dropped.
	forgottenUse = 0.01
)

// Meter measures demand from the counts of all gateways. It is not safe for
// concurrent use.
type Meter struct {
	last    clock.Time
	targets map[units.ModelID]*gauge
}

// gauge is the demand for one target.
type gauge struct {
	tokens      units.Tokens
	short, long float64
	waiting     []waiters
}

// waiters is the last count of one gateway.
type waiters struct {
	gateway units.VMID
	count   int
	heard   clock.Time
}

// NewMeter returns a Meter that starts at the time.
func NewMeter(now clock.Time) *Meter {
	return &Meter{last: now, targets: map[units.ModelID]*gauge{}}
}

// Add counts tokens requested at the gateway since its last report, and the requests
// that wait there for the target to be resident.
func (m *Meter) Add(now clock.Time, gateway units.VMID, target units.ModelID, tokens units.Tokens, waiting int) {
	g := m.targets[target]
	if g == nil {
		g = &gauge{}
		m.targets[target] = g
	}
	g.tokens += max(tokens, 0)
	g.waiting = slices.DeleteFunc(g.waiting, func(w waiters) bool { return w.gateway == gateway })
	if waiting > 0 {
		g.waiting = append(g.waiting, waiters{gateway, waiting, now})
	}
}

// Demand returns the averages up to now.
func (m *Meter) Demand(now clock.Time) map[units.ModelID]Demand {
	span := now.Sub(m.last)
	m.last = now
	demand := make(map[units.ModelID]Demand, len(m.targets))
	for id, g := range m.targets {
		g.update(span)
		d := Demand{ShortTerm: g.short, LongTerm: g.long, Waiting: g.waits(now)}
		if d.Waiting == 0 && max(d.ShortTerm, d.LongTerm) < forgottenUse {
			delete(m.targets, id)
			continue
		}
		demand[id] = d
	}
	return demand
}

// update moves the averages by the rate of the tokens counted in the span.
func (g *gauge) update(span clock.Span) {
	if span <= 0 {
		return
	}
	rate := float64(g.tokens) / span.Seconds()
	g.tokens = 0
	g.short += (rate - g.short) * share(span, shortSpan)
	g.long += (rate - g.long) * share(span, longSpan)
}

// share is the weight of an observation over the span in an average over memory.
func share(span, memory clock.Span) float64 {
	return 1 - math.Exp(-span.Seconds()/memory.Seconds())
}

func (g *gauge) waits(now clock.Time) int {
	g.waiting = slices.DeleteFunc(g.waiting, func(w waiters) bool { return now.Sub(w.heard) > waitingSpan })
	sum := 0
	for _, w := range g.waiting {
		sum += w.count
	}
	return sum
}
