package sched_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/units"
)

// Guards against requests that start although runs of their size take longer than what is left of the grace period, and
// against refusals of short ones because of long ones.
func TestLongestRunsBoundTheNext(t *testing.T) {
	s := newScheduler(entry("one", "zone-a", 8))
	now := clock.Time(1000)
	request := sched.Request{Service: &fleet.Service{Name: "engines"}, Deadline: clock.Time(clock.Hour), LatestStart: clock.Time(clock.Hour)}
	runs := func(n int, size units.Tokens, took clock.Span) {
		s.SetStop(now, 0, 0)
		r := request
		r.Size = size
		for range n {
			a := s.Add(now, r)
			now = now.Add(took)
			s.End(now, a, sched.Served)
		}
	}
	// expect asserts the least time before the stop at which a request may start; -1 if it never may.
	expect := func(size units.Tokens, once bool, least clock.Span) {
		t.Helper()
		r := request
		r.Size, r.Once = size, once
		for _, left := range []clock.Span{max(least-1, 0), max(least, 0), 20 * clock.Second} {
			s.SetStop(now, now.Add(left), now.Add(left))
			assert.Equal(t, s.MayStart(now, &r), least >= 0 && left >= least, "size %d, once %v, %d ms left", size, once, left)
			s.SetStop(now, now-1, now.Add(left))
			assert.Assert(t, !s.MayStart(now, &r), "not routed, size %d, once %v, %d ms left", size, once, left)
		}
	}
	expect(0, false, -1)
	for _, step := range []struct {
		n       int
		size    units.Tokens
		took    clock.Span
		once    bool
		of      units.Tokens
		longest clock.Span
	}{
		{3, 0, 90, false, 0, -1}, {1, 0, 120, false, 0, 120}, {0, 0, 0, true, 0, -1}, {16, 0, 90, true, 0, 120},
		{0, 0, 0, false, 100, -1}, {4, 100, 3000, false, 100, 3000}, {0, 0, 0, false, 400, 12_000}, {0, 0, 0, false, 10, 3000},
		{4, 400, 4000, false, 400, 4000}, {0, 0, 0, false, 0, 120},
	} {
		runs(step.n, step.size, step.took)
		expect(step.of, step.once, step.longest)
	}
	// A long run in progress, as soon after a start, tells as much as one that has ended.
	s.SetStop(now, 0, 0)
	long := s.Add(now, request)
	runs(20, 0, 100)
	expect(0, false, 2000)
	s.End(now, long, sched.Canceled)
	expect(0, false, 2000)
	now = now.Add(10 * clock.Minute)
	expect(0, false, -1)
}

// Guards against callers of resumable streams that are sent from one stopping gateway to the next because the longest
// stream would not end in time.
func TestMeanBoundsResumableStreamsWhileCallersAreRoutedHere(t *testing.T) {
	s := newScheduler(entry("one", "zone-a", 8))
	now := clock.Time(1000)
	request := sched.Request{
		Service: &fleet.Service{Name: "engines"}, Deadline: clock.Time(clock.Hour), LatestStart: clock.Time(clock.Hour), Size: 100, Resumable: true,
	}
	for _, took := range []clock.Span{1000, 1000, 1000, 5000} {
		a := s.Add(now, request)
		now = now.Add(took)
		s.End(now, a, sched.Served)
	}
	for _, c := range []struct {
		routedFor, left clock.Span
		begun, start    bool
	}{
		{1, 2000, false, true}, {1, 1999, false, false}, {-1, 4999, false, false}, {-1, 5000, false, false},
		{1, 1999, true, true}, {-1, 1, true, true}, {-1, -1, true, false},
	} {
		request.Begun = c.begun
		s.SetStop(now, now.Add(c.routedFor), now.Add(c.left))
		assert.Equal(t, s.MayStart(now, &request), c.start, "%+v", c)
	}
}

// Guards against requests that wait when the platform stops routing callers to a stopping gateway, start later and are cut
// by the stop, and against refusals of those that end by their own deadline.
func TestQueuedRequestsLeaveWhenRoutingEnds(t *testing.T) {
	s := newScheduler(entry("one", "zone-a", 1))
	now := clock.Time(1000)
	request := newRequest(engine(1), now)
	request.Deadline, request.LatestStart, request.FirstEventDue = clock.Time(clock.Hour), clock.Time(clock.Hour), clock.Time(clock.Hour)
	for range 30 {
		a := s.Add(now, request)
		now = now.Add(100)
		s.End(now, a, sched.Served)
	}
	occupant := s.Add(now, request)
	assert.Assert(t, occupant.Upstream != nil)
	waiting := s.Add(now, request)
	short := request
	short.Deadline = now.Add(4000)
	ending := s.Add(now, short)
	s.SetStop(now, now.Add(2500), now.Add(7600))
	now = now.Add(2499)
	s.Dispatch(now)
	assert.Assert(t, waiting.Refused == nil && ending.Refused == nil)
	now = now.Add(2)
	s.Dispatch(now)
	assert.Assert(t, waiting.Refused != nil && waiting.Refused.Code == units.Draining, "%+v", waiting.Refused)
	s.End(now, occupant, sched.Served)
	assert.Assert(t, ending.Upstream != nil)
}
