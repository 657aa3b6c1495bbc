package gauge_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/gauge"
	"github.com/magnolialever/magnolialever/units"
)

const model = units.ModelID("small")

func newUpstream(s *gauge.Service, slots int) *gauge.Upstream {
	u := gauge.NewUpstream(s)
	u.Describe(s, slots)
	return u
}

// feed plays first events of an engine that reads a number of tokens per millisecond, ten a second until a time.
func feed(u *gauge.Upstream, from, until clock.Time, rate float64, m units.ModelID) {
	random := rand.New(rand.NewPCG(uint64(from), 1))
	for now := from; now < until; now += 100 {
		prompt := units.Tokens(100 + random.IntN(1500))
		u.RecordFirstEvent(now, u.Started(now, m, prompt, 5), clock.Span(20+float64(prompt)/rate))
	}
}

// Guards against fixed rates: an engine three times faster than the start values, and a larger model that is read at a third of its
// rate, are both taken as they are.
func TestRatesAreLearnedByModel(t *testing.T) {
	u := newUpstream(gauge.Services{}.Get("engines"), 64)
	for now := clock.Time(1); now < 30_000; now += 1000 {
		feed(u, now, now+500, 75, model)
		feed(u, now+500, now+1000, 25, "large")
	}
	for m, rate := range map[units.ModelID]float64{model: 75, "large": 25} {
		took := u.Speed(30_000, m).FirstEventMs(0, 1000, 5)
		want := 20 + 1000/rate
		assert.Check(t, took > 0.6*want && took < 1.6*want, "%s: %.1f ms, %.1f ms true", m, took, want)
	}
}

// Guards against a new upstream that begins from a constant: it gets its service's mean.
func TestNewUpstreamBeginsWithItsService(t *testing.T) {
	s := gauge.Services{}.Get("engines")
	feed(newUpstream(s, 64), 1, 30_000, 100, model)
	took := newUpstream(s, 64).Speed(30_000, model).FirstEventMs(0, 1000, 5)
	assert.Check(t, took < 45, "%.1f ms, 30 true", took)
}

// Guards against an engine that becomes slow, or normal again, and counts as before for more than a second.
func TestSpeedIsFollowedWithinASecond(t *testing.T) {
	u := newUpstream(gauge.Services{}.Get("engines"), 64)
	events := func(from, until clock.Time, gapMs float64) {
		for now := from; now < until; now += 40 {
			u.RecordEvents(now, model, 5, gapMs)
		}
	}
	events(1, 10_000, 35)
	usual := u.Speed(10_000, model).EventMs(5)
	events(10_000, 11_000, 175)
	assert.Check(t, u.Speed(11_000, model).EventMs(5) > 2.5*usual, "%.1f ms, usual %.1f", u.Speed(11_000, model).EventMs(5), usual)
	events(11_000, 12_000, 35)
	assert.Check(t, u.Speed(12_000, model).EventMs(5) < 1.5*usual, "%.1f ms, usual %.1f", u.Speed(12_000, model).EventMs(5), usual)
}

// Guards against load that an upstream is given up to its slots although it slows down when they are half full.
func TestLimitFallsWhereAnswersSlowDown(t *testing.T) {
	u := newUpstream(gauge.Services{}.Get("app"), 16)
	random := rand.New(rand.NewPCG(2, 1))
	now := clock.Time(1)
	for ; now < 20_000; now += 20 {
		running := random.IntN(16)
		took := clock.Span(15)
		if running > 8 {
			took = 90
		}
		u.RecordCall(now, u.Started(now, "", 0, running), took)
	}
	assert.Check(t, u.Limit() < 14, "limit %d", u.Limit())
	assert.Check(t, u.ServiceMs(now, 12) > 2*u.ServiceMs(now, 1), "%.1f and %.1f ms", u.ServiceMs(now, 12), u.ServiceMs(now, 1))
	for until := now + 30_000; now < until; now += 20 {
		u.RecordCall(now, u.Started(now, "", 0, random.IntN(16)), 15)
	}
	assert.Check(t, u.Limit() >= 15, "limit %d after it takes all slots well", u.Limit())
}

// Guards against an upstream that says that it is idle and fast while its answers are slow: what callers see counts.
func TestReportsThatContradictAnswersAreNotBelieved(t *testing.T) {
	s := gauge.Services{}.Get("app")
	fast, slow := newUpstream(s, 6), newUpstream(s, 6)
	now := clock.Time(1)
	for ; now < 5000; now += 25 {
		idle := gauge.Report{ReportedLoad: fleet.ReportedLoad{Slots: 6, Slowness: 1}}
		for _, u := range []*gauge.Upstream{fast, slow} {
			took := clock.Span(15)
			if u == slow {
				took = 120
			}
			started := u.Started(now, "", 0, 1)
			u.RecordReport(now, idle)
			u.RecordCall(now, started, took)
		}
	}
	assert.Check(t, slow.ServiceMs(now, 1) > 3*fast.ServiceMs(now, 1), "%.1f and %.1f ms", slow.ServiceMs(now, 1), fast.ServiceMs(now, 1))
	assert.Equal(t, slow.OthersRunning(now, 4), 4, "it says 0")
	assert.Check(t, fast.OthersRunning(now, 4) <= 1, "its report is some milliseconds old")
}

// Guards against a reported slowness that is used after it has passed: it changes many times a second.
func TestReportedSlownessFades(t *testing.T) {
	u := newUpstream(gauge.Services{}.Get("app"), 6)
	usual := u.ServiceMs(1000, 1)
	u.RecordReport(1000, gauge.Report{ReportedLoad: fleet.ReportedLoad{Running: 1, Slots: 6, Slowness: 4}})
	assert.Check(t, u.ServiceMs(1000, 1) > 3.9*usual)
	assert.Check(t, u.ServiceMs(1600, 1) < 1.1*usual)
}
