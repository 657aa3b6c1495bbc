package place

import (
	"math"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// shortTimeConstant and longTimeConstant are the times after which the weight of an
	// observation in the moving average has dropped to 1/e.
	shortTimeConstant = 10 * clock.Second
	longTimeConstant  = 5 * clock.Minute
	// waitingTTL is how long a gateway's count of waiting requests stays valid without an
	// update. Gateways repeat the count every second; the message with a 0 may be lost.
	waitingTTL = 3 * clock.Second
	// minTrackedDemand is the demand in tokens per second below which the meter drops a
	// target without waiting requests.
	minTrackedDemand = 0.01
)

// Meter measures the demand for each target from the counts that all gateways report. It
// is not safe for concurrent use.
type Meter struct {
	lastUpdate clock.Time
	targets    map[units.ModelID]*targetDemand
}

// targetDemand is the demand for one target.
type targetDemand struct {
	// newTokens counts the tokens since the last update.
	newTokens units.Tokens
	// shortTerm and longTerm are moving averages in tokens per second.
	shortTerm, longTerm float64
	waiting             []gatewayWaiting
}

// gatewayWaiting is the last count of waiting requests from one gateway.
type gatewayWaiting struct {
	gateway    units.VMID
	count      int
	receivedAt clock.Time
}

// NewMeter returns a Meter without demand that starts measuring at now.
func NewMeter(now clock.Time) *Meter {
	return &Meter{lastUpdate: now, targets: map[units.ModelID]*targetDemand{}}
}

// Add takes over a gateway's report: the tokens requested for the target since its last
// report, and the number of requests that wait there until the target is resident. It
// replaces the gateway's previous count of waiting requests.
func (m *Meter) Add(now clock.Time, gateway units.VMID, target units.ModelID, tokens units.Tokens, waiting int) {
	t := m.targets[target]
	if t == nil {
		t = &targetDemand{}
		m.targets[target] = t
	}
	t.newTokens += max(tokens, 0)
	t.waiting = slices.DeleteFunc(t.waiting, func(w gatewayWaiting) bool { return w.gateway == gateway })
	if waiting > 0 {
		t.waiting = append(t.waiting, gatewayWaiting{gateway, waiting, now})
	}
}

// Demand updates the averages with the tokens added since the last call and returns the
// demand for each target. Targets without demand are missing from the result.
func (m *Meter) Demand(now clock.Time) map[units.ModelID]Demand {
	elapsed := now.Sub(m.lastUpdate)
	m.lastUpdate = now
	demand := make(map[units.ModelID]Demand, len(m.targets))
	for id, t := range m.targets {
		t.update(elapsed)
		d := Demand{ShortTerm: t.shortTerm, LongTerm: t.longTerm, Waiting: t.waitingRequests(now)}
		if d.Waiting == 0 && max(d.ShortTerm, d.LongTerm) < minTrackedDemand {
			delete(m.targets, id)
			continue
		}
		demand[id] = d
	}
	return demand
}

// update adds the rate of the new tokens over the elapsed time to the averages.
func (t *targetDemand) update(elapsed clock.Span) {
	if elapsed <= 0 {
		return
	}
	rate := float64(t.newTokens) / elapsed.Seconds()
	t.newTokens = 0
	t.shortTerm += (rate - t.shortTerm) * averageWeight(elapsed, shortTimeConstant)
	t.longTerm += (rate - t.longTerm) * averageWeight(elapsed, longTimeConstant)
}

// averageWeight returns the weight, from 0 to 1, that an observation over the elapsed time
// has in an exponential moving average with the time constant.
func averageWeight(elapsed, timeConstant clock.Span) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
}

// waitingRequests drops expired counts and returns the sum of the others.
func (t *targetDemand) waitingRequests(now clock.Time) int {
	t.waiting = slices.DeleteFunc(t.waiting, func(w gatewayWaiting) bool { return now.Sub(w.receivedAt) > waitingTTL })
	sum := 0
	for _, w := range t.waiting {
		sum += w.count
	}
	return sum
}
