package duty

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// defaultRate is the rate of calls, per second, where the settings name none.
	defaultRate = 1
	// paceMargin lengthens the interval between two calls, so that those that arrive early stay within the rate too.
	paceMargin = 1.25
	// maxPostponement is the longest time without calls after one that was too many.
	maxPostponement = 4 * clock.Second
)

// Pacer keeps the calls of all duties within the rate of all gateways together. It is not safe for concurrent use.
type Pacer struct {
	interval clock.Span
	epoch    units.Epoch
	nextAt   clock.Time
	// postponement is the last time without calls after one that was too many; 0 if the last one was not.
	postponement clock.Span
}

// NewPacer returns a Pacer for a rate in calls per second; 0 is the default.
func NewPacer(rate float64) *Pacer {
	if rate <= 0 {
		rate = defaultRate
	}
	return &Pacer{interval: clock.FromMilliseconds(float64(clock.Second) / rate * paceMargin)}
}

// Take reports whether a call may be made now under the epoch, and counts it. A new epoch waits for an interval, since
// the leader before may have called a moment ago.
func (p *Pacer) Take(now clock.Time, epoch units.Epoch) bool {
	if epoch != p.epoch {
		p.epoch, p.nextAt = epoch, max(p.nextAt, now.Add(p.interval))
	}
	if now.Before(p.nextAt) {
		return false
	}
	p.nextAt = now.Add(p.interval)
	return true
}

// Postpone records that a call was too many. The time without calls doubles each time until Accept.
func (p *Pacer) Postpone(now clock.Time) {
	p.postponement = min(max(2*p.postponement, 2*p.interval), max(maxPostponement, p.interval))
	p.nextAt = max(p.nextAt, now.Add(p.postponement))
}

// Accept records that a call was not too many.
func (p *Pacer) Accept() { p.postponement = 0 }
