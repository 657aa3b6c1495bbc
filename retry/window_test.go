package retry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/start"
)

// Guards against repeated sends that multiply the load when all upstreams of a service fail: over
// all gateways, they stay below the limit in any window.
func TestRepeatedSendsStayBelowLimit(t *testing.T) {
	checkRepeatedSends(t, 100_000)
}

// Guards against gateways that are all killed and use the budget of repeated sends once more as they start (142 to 157
// repeats for 132 to 137 after herd_kill on lsatcc-magnolia).
func TestRepeatedSendsStayBelowLimitWhenAllRestart(t *testing.T) {
	for _, restartAt := range []clock.Time{500, 7000, 15_000} {
		checkRepeatedSends(t, restartAt)
	}
}

// checkRepeatedSends plays gateways that are all started again at a time.
func checkRepeatedSends(t *testing.T, restartAt clock.Time) {
	t.Helper()
	const gateways = 5
	limit := retry.WindowLimit{Ratio: 0.2, Slack: 56, Span: 10 * clock.Second}
	var windows []*retry.Window
	for range gateways {
		windows = append(windows, retry.NewWindow(limit, start.Start{}))
	}
	var requests, repeats []clock.Time
	for now := clock.Time(1); now < 40_000; now += 20 {
		if now > restartAt {
			for i := range windows {
				windows[i] = retry.NewWindow(limit, start.Start{At: now})
			}
			restartAt = clock.Time(clock.Hour)
		}
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
