package sched_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

// refuseAll adds n requests with the deadline to a full engine and returns the delays that their callers get once their latest start
// has passed.
func refuseAll(n int, arrived, deadline clock.Time) []clock.Span {
	s := engine(1)
	scheduler := newScheduler(entry("one", "zone-a", 1))
	scheduler.Add(arrived, newRequest(s, arrived))
	var waiting []*sched.Attempt
	for range n {
		r := newRequest(s, arrived)
		r.Deadline = deadline
		waiting = append(waiting, scheduler.Add(arrived, r))
	}
	scheduler.Dispatch(arrived.Add(2000))
	var delays []clock.Span
	for _, a := range waiting {
		delays = append(delays, a.Refused.RetryAfter)
	}
	slices.Sort(delays)
	return delays
}

// Guards against callers of a full engine that all get the same delay, come back together and are refused again.
func TestReturnsOfRefusedCallersAreSpread(t *testing.T) {
	delays := refuseAll(40, 100, 14_100)
	const timeLeft = 12 * clock.Second
	assert.Assert(t, delays[0] >= 300, "%v", delays)
	assert.Assert(t, delays[39] <= timeLeft/3, "callers come back by then anyway: %v", delays)
	assert.Assert(t, delays[39]-delays[0] >= clock.Second, "%v", delays)
}

// Guards against a delay that is longer than the caller can wait.
func TestCallersWithLittleTimeComeBackSoon(t *testing.T) {
	for _, d := range refuseAll(10, 100, 2400) {
		assert.Equal(t, d, 300*clock.Millisecond)
	}
}

// Guards against work with an objective of many seconds that passes urgent requests which are late, and against such work
// that starves behind them.
func TestDeferrableWorkLetsUrgentLateRequestsPass(t *testing.T) {
	for _, test := range []struct {
		freedAt clock.Time
		urgent  bool
	}{{1000, true}, {5000, false}} {
		s := engine(1)
		scheduler := newScheduler(entry("one", "zone-a", 1))
		running := scheduler.Add(100, newRequest(s, 100))
		deferrable := newRequest(s, 100)
		deferrable.Rank, deferrable.FirstEventDue, deferrable.LatestStart = 2, 8100, 9100
		waits := scheduler.Add(100, deferrable)
		late := newRequest(s, test.freedAt-500)
		first := scheduler.Add(test.freedAt-500, late)
		scheduler.End(test.freedAt, running, sched.Served)
		assert.Equal(t, first.Upstream != nil, test.urgent, "at %d", test.freedAt)
		assert.Equal(t, waits.Upstream != nil, !test.urgent, "at %d", test.freedAt)
	}
}

// Guards against callers that get the whole time of a load as their delay which has nearly ended.
func TestCallersAreToldWhenACopyIsThere(t *testing.T) {
	s := engine(1)
	e := entry("one", "zone-a", 1)
	e.Loading = []view.PendingLoad{{Model: "rare", ReadyAt: 3100}}
	scheduler := newScheduler(e)
	r := newRequest(s, 100)
	r.Model = "rare"
	a := scheduler.Add(100, r)
	assert.Equal(t, a.Refused.Code, units.ModelLoading)
	assert.Equal(t, a.Refused.RetryAfter, 3*clock.Second)
	r.LatestStart = 4000
	assert.Assert(t, scheduler.Add(100, r).Refused == nil, "the copy is there in time")
}
