package entry

import (
	"encoding/json"
	"expvar"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/units"
)

// learnedGauges has what was learned of upstreams used lately, by their IDs.
var learnedGauges = expvar.NewMap("upstreams_learned")

const (
	// learnedInterval is the interval in which gauges of upstreams are published.
	learnedInterval = 5 * clock.Second
	// maxLearned bounds the upstreams with gauges.
	maxLearned = 64
	// notableChange is the factor between two learned rates from which on a change is logged. One line is logged in an interval.
	notableChange = 2.0
)

// learnedVar is the gauge of one upstream.
type learnedVar sched.Learned

// String returns the gauge as JSON.
func (v learnedVar) String() string {
	data, err := json.Marshal(sched.Learned(v))
	if err != nil {
		return "null"
	}
	return string(data)
}

// learnedPublisher publishes what was learned of upstreams.
type learnedPublisher struct {
	publishedAt clock.Time
	// speeds has the published speeds of upstreams, in work per millisecond.
	speeds map[units.UpstreamID]float64
}

// publish publishes gauges once in an interval and logs the largest change of a speed if it is notable.
func (p *learnedPublisher) publish(now clock.Time, learned func(most int) []sched.Learned) {
	if now.Sub(p.publishedAt) < learnedInterval {
		return
	}
	p.publishedAt = now
	speeds := map[units.UpstreamID]float64{}
	var notable sched.Learned
	largest := notableChange
	learnedGauges.Init()
	for _, l := range learned(maxLearned) {
		learnedGauges.Set(string(l.Upstream), learnedVar(l))
		speed := speedOf(l)
		speeds[l.Upstream] = speed
		if before := p.speeds[l.Upstream]; before > 0 && max(speed/before, before/speed) > largest {
			notable, largest = l, max(speed/before, before/speed)
		}
	}
	if notable.Upstream != "" {
		klog.InfoS("entry: speed of an upstream changed", "upstream", notable.Upstream, "before", p.speeds[notable.Upstream],
			"now", speeds[notable.Upstream], "running", notable.Running)
	}
	p.speeds = speeds
}

// speedOf returns the speed of an upstream: prompt tokens, or calls, per millisecond.
func speedOf(l sched.Learned) float64 {
	if l.PrefillRate > 0 {
		return l.PrefillRate
	}
	return 1 / max(l.ServiceMs, 1)
}
