package retry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/retry"
)

// Guards against repeated sends that multiply the load when all upstreams of a service fail: over
// all gateways, they stay below the limit in any window.
func TestRepeatedSendsStayBelowLimit(t *testing.T) {
	const gateways = 5
	limit := retry.WindowLimit{Ratio: 0.2, Slack: 56, Span: 10 * clock.Second}
	var windows []*retry.Window
	for range gateways {
		windows = append(windows, retry.NewWindow(limit))
	}
	var requests, repeats []clock.Time
	for now := clock.Time(1); now < 40_000; now += 20 {
		w := windows[int(now/20)%gateways]
		w.RecordRequest(now)
		requests = append(requests, now)
		// Each request tries three repeated sends.
		for range 3 {
			if w.Take(now, gateways) {
				repeats = append(repeats, now)
			}
		}
	}
	countInWindow := func(l []clock.Time, from clock.Time) float64 {
		n := 0.0
		for _, at := range l {
			if at >= from && at.Sub(from) < limit.Span {
				n++
			}
		}
		return n
	}
	for from := clock.Time(0); from < 30_000; from += 500 {
		allowed := limit.Ratio*countInWindow(requests, from) + limit.Slack
		assert.Assert(t, countInWindow(repeats, from) <= allowed, "from %d", from)
	}
	assert.Assert(t, len(repeats) > 100, "%d repeats were allowed", len(repeats))
}
