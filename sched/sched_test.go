package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/start"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

const model = units.ModelID("small")

func engine(slots int) *fleet.Service {
	return &fleet.Service{
		Name: "engines", ColdRate: 15,
		Engine: &fleet.Engine{
			Slots: slots, MemoryTokens: 100_000,
			Models: []fleet.Model{{Name: model, StoreLoadTime: 4 * clock.Second}, {Name: "rare", StoreLoadTime: 4 * clock.Second}},
		},
	}
}

func entry(id string, zone units.Zone, slots int) *view.Entry {
	return &view.Entry{ReceivedAt: 1, Upstream: &fleet.Upstream{
		ID: units.UpstreamID(id), Service: "engines", Zone: zone, Slots: slots, ProcessStart: 1,
		Models: []fleet.Resident{{Model: model, Adapters: []string{"a1"}}},
	}}
}

func newScheduler(entries ...*view.Entry) *sched.Scheduler {
	return newZoneScheduler("zone-a", entries...)
}

func newZoneScheduler(z units.Zone, entries ...*view.Entry) *sched.Scheduler {
	t := sched.New(z, sched.ColdTolerance{Factor: 1.5, Slack: 5}, start.Start{})
	t.SetView(1, snapshot(entries...))
	return t
}

func snapshot(entries ...*view.Entry) *view.Snapshot {
	s := &view.Snapshot{Upstreams: map[units.UpstreamID]*view.Entry{}, ExcludedZones: map[units.Zone]bool{}}
	for _, e := range entries {
		s.Upstreams[e.ID] = e
	}
	return s
}

func newRequest(s *fleet.Service, now clock.Time) sched.Request {
	return sched.Request{Service: s, Model: model, Prompt: 800, Output: 200, FirstEventDue: now.Add(300), LatestStart: now.Add(2000)}
}

// Guards against a burst that goes to one upstream while others are idle, and against more
// requests at an upstream than it has slots.
func TestBurstIsSpread(t *testing.T) {
	s := engine(8)
	scheduler := newScheduler(entry("one", "zone-a", 8), entry("two", "zone-b", 8), entry("three", "zone-b", 8))
	started := map[units.UpstreamID]int{}
	queued := 0
	for range 30 {
		a := scheduler.Add(100, newRequest(s, 100))
		if a.Upstream == nil {
			queued++
			continue
		}
		started[a.Upstream.ID]++
	}
	assert.Equal(t, queued, 6)
	assert.DeepEqual(t, started, map[units.UpstreamID]int{"one": 8, "two": 8, "three": 8})
}

// Guards against urgent requests that queue behind less urgent ones that arrived earlier.
func TestUrgentRequestsGoFirst(t *testing.T) {
	s := engine(1)
	scheduler := newScheduler(entry("one", "zone-a", 1))
	running := scheduler.Add(100, newRequest(s, 100))
	low := newRequest(s, 101)
	low.Rank = 2
	first := scheduler.Add(101, low)
	late := newRequest(s, 102)
	late.FirstEventDue = 5000
	second := scheduler.Add(102, late)
	urgent := scheduler.Add(103, newRequest(s, 103))
	order := []*sched.Attempt{urgent, second, first}
	for i, a := range order {
		dequeued := scheduler.End(clock.Time(200+i), running, sched.Served)
		assert.Equal(t, len(dequeued), 1)
		assert.Equal(t, dequeued[0], a, "number %d", i)
		running = a
	}
}

// Guards against requests that stay queued in a stopping gateway until their connections are cut
// (hunt-d3af-7 of lsatcc-magnolia). They are refused, as not run, as soon as their run may outlast the stop.
func TestQueueEndsAtStop(t *testing.T) {
	s := engine(1)
	scheduler := newScheduler(entry("one", "zone-a", 1))
	for now := clock.Time(0); now < 400; now += 100 {
		scheduler.End(now+100, scheduler.Add(now, newRequest(s, now)), sched.Served)
	}
	running := scheduler.Add(500, newRequest(s, 500))
	queued := scheduler.Add(510, newRequest(s, 510))
	unknown := newRequest(s, 510)
	unknown.Kind.Route = "other"
	refused := scheduler.Add(510, unknown)
	unknown.Deadline = 700
	ends := scheduler.Add(510, unknown)
	scheduler.SetStop(520, 700, 700)
	assert.Equal(t, refused.Refused.Code, units.Draining, "nothing is known of its run")
	assert.Assert(t, ends.Refused == nil && scheduler.Cancel(ends), "it ends by its deadline")
	later := scheduler.Add(550, newRequest(s, 550))
	assert.Equal(t, len(scheduler.Dispatch(599)), 0)
	assert.Equal(t, len(scheduler.Dispatch(600)), 2)
	for _, a := range []*sched.Attempt{queued, later} {
		assert.Equal(t, a.Refused.Code, units.Draining)
	}
	scheduler.End(610, running, sched.Served)
	assert.Equal(t, scheduler.Add(610, newRequest(s, 610)).Refused.Code, units.Draining, "though there is room")
}

// Guards against requests that queue without a chance to be served. They are refused as soon as
// that is known, and at their latest start at the latest.
func TestUnservableRequestsAreRefused(t *testing.T) {
	s := engine(1)
	empty := newScheduler()
	assert.Equal(t, empty.Add(100, newRequest(s, 100)).Refused.Code, units.NoUpstream)

	scheduler := newScheduler(entry("one", "zone-a", 1))
	rare := newRequest(s, 100)
	rare.Model = "rare"
	a := scheduler.Add(100, rare)
	assert.Assert(t, a.ModelMissing)
	assert.Equal(t, a.Refused.Code, units.ModelLoading)
	assert.Equal(t, a.Refused.RetryAfter, 4*clock.Second, "the load time of the model")

	adapter := newRequest(s, 100)
	adapter.Adapter = "a2"
	a = scheduler.Add(100, adapter)
	assert.Assert(t, a.ModelMissing && a.Refused == nil, "an adapter loads within milliseconds")

	running := scheduler.Add(100, newRequest(s, 100))
	assert.Assert(t, running.Upstream != nil)
	queued := scheduler.Add(100, newRequest(s, 100))
	assert.Assert(t, queued.Refused == nil)
	scheduler.Dispatch(2099)
	assert.Assert(t, queued.Refused == nil)
	scheduler.Dispatch(2100)
	assert.Equal(t, queued.Refused.Code, units.DeadlineMissed)
}

// Guards against an unbounded queue during a burst.
func TestQueueIsBounded(t *testing.T) {
	s := engine(1)
	scheduler := newScheduler(entry("one", "zone-a", 1))
	refused := 0
	for range sched.MaxQueued + 50 {
		if a := scheduler.Add(100, newRequest(s, 100)); a.Refused != nil {
			assert.Equal(t, a.Refused.Code, units.QueueFull)
			refused++
		}
	}
	assert.Equal(t, refused, 49)
	assert.Equal(t, scheduler.QueueLen(), sched.MaxQueued)
}

// Guards against a cold upstream that gets more than its limit from all gateways together, in any
// second, also where there are more gateways than the limit.
func TestColdUpstreamLimit(t *testing.T) {
	for _, n := range []int{5, 31, 103} {
		t.Run(fmt.Sprint(n, " gateways"), func(t *testing.T) { checkColdLimit(t, n, clock.Time(clock.Hour)) })
	}
}

// Guards against gateways that are all killed and send a cold upstream once more what it bears in a second as they start (41
// to 49 requests in a second for 33.5).
func TestColdUpstreamLimitWhenAllRestart(t *testing.T) {
	for _, n := range []int{2, 5, 31} {
		t.Run(fmt.Sprint(n, " gateways"), func(t *testing.T) { checkColdLimit(t, n, 1500) })
	}
}

// checkColdLimit plays n gateways that are all started again at a time, 0.3 s after they were killed.
func checkColdLimit(t *testing.T, n int, restartAt clock.Time) {
	t.Helper()
	s := engine(64)
	e := entry("one", "zone-a", 64)
	e.WarmAt = 5000
	var gateways []member.Gateway
	for i := range n {
		gateways = append(gateways, member.Gateway{VM: units.VMID(fmt.Sprint("gate-", i))})
	}
	var schedulers []*sched.Scheduler
	for _, g := range gateways {
		scheduler := newScheduler(e)
		scheduler.SetGateways(g.VM, gateways)
		schedulers = append(schedulers, scheduler)
	}
	random := rand.New(rand.NewPCG(3, 4))
	var sent []clock.Time
	for now := clock.Time(1); now < 4000; now++ {
		if now == restartAt {
			for i, g := range gateways {
				schedulers[i] = sched.New("zone-a", sched.ColdTolerance{Factor: 1.5, Slack: 5}, start.Start{At: now})
				schedulers[i].SetView(now, snapshot(e))
				schedulers[i].SetGateways(g.VM, gateways)
			}
		}
		for _, scheduler := range schedulers {
			if now < restartAt && restartAt.Sub(now) < 300 {
				continue
			}
			if random.Float64() > 0.05 {
				continue
			}
			a := scheduler.Add(now, newRequest(s, now))
			switch {
			case a.Upstream != nil:
				sent = append(sent, now)
				scheduler.End(now, a, sched.Served)
			case a.Refused == nil:
				scheduler.Cancel(a)
			}
		}
	}
	for i, at := range sent {
		n := 0
		for _, later := range sent[i:] {
			if later.Sub(at) < clock.Second {
				n++
			}
		}
		assert.Assert(t, float64(n) <= 15*1.5+5, "%d requests in one second", n)
	}
	assert.Assert(t, len(sent) > 60, "%d requests in 4 s", len(sent))
}

// Guards against an upstream that fails each request and still gets its share of them.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	s := engine(64)
	scheduler := newScheduler(entry("bad", "zone-a", 64), entry("good", "zone-a", 64))
	started := map[units.UpstreamID]int{}
	for i := range 400 {
		now := clock.Time(100 + 10*i)
		a := scheduler.Add(now, newRequest(s, now))
		if a.Upstream == nil {
			scheduler.Cancel(a)
			continue
		}
		started[a.Upstream.ID]++
		outcome := sched.Served
		if a.Upstream.ID == "bad" {
			outcome = sched.Failed
		}
		scheduler.RecordFirstEvent(now.Add(40), a)
		scheduler.End(now.Add(50), a, outcome)
	}
	assert.Assert(t, started["bad"] < 20, fmt.Sprint(started))
}

// Guards against full load on a crashed upstream: after a connection failure, one request at a
// time probes it.
func TestCrashedUpstreamIsProbed(t *testing.T) {
	s := engine(64)
	scheduler := newScheduler(entry("one", "zone-a", 64))
	a := scheduler.Add(100, newRequest(s, 100))
	scheduler.End(110, a, sched.Unreachable)
	now := clock.Time(500)
	probe := scheduler.Add(now, newRequest(s, now))
	assert.Assert(t, probe.Upstream != nil)
	other := scheduler.Add(now, newRequest(s, now))
	assert.Assert(t, other.Upstream == nil && other.Refused == nil)
	dequeued := scheduler.End(now.Add(20), probe, sched.Served)
	assert.Equal(t, len(dequeued), 1, "queued requests start once the probe has succeeded")
}

// Guards against new requests to draining upstreams and to excluded zones.
func TestDrainingAndExcludedUpstreamsGetNothing(t *testing.T) {
	s := engine(64)
	leaving := entry("leaving", "zone-a", 64)
	leaving.Draining = true
	snap := snapshot(leaving, entry("out", "zone-b", 64))
	snap.ExcludedZones["zone-b"] = true
	scheduler := sched.New("zone-a", sched.ColdTolerance{}, start.Start{})
	scheduler.SetView(1, snap)
	assert.Equal(t, scheduler.Add(100, newRequest(s, 100)).Refused.Code, units.NoUpstream)
}

// Guards against a batch that needs more memory than the engine has, other gateways' requests in
// flight included.
func TestEngineMemoryLimit(t *testing.T) {
	s := engine(64)
	scheduler := newScheduler(entry("one", "zone-a", 64))
	scheduler.Add(100, newRequest(s, 100))
	scheduler.SetOtherLoads(map[units.UpstreamID]sched.Load{"one": {Upstream: "one", Running: 3, Tokens: 88_500}}, 200*clock.Millisecond)
	a := scheduler.Add(100, newRequest(s, 100))
	assert.Assert(t, a.Upstream == nil, "91,000 of 100,000 tokens would be used")
}

// Guards against requests to an upstream whose entry expired during an outage, between the time at which it counts as gone
// and the next view without it.
func TestExpiredUpstreamGetsNoRequests(t *testing.T) {
	s := engine(8)
	e := entry("one", "zone-a", 8)
	e.RemoveAt = 2000
	scheduler := newScheduler(e)
	a := scheduler.Add(1999, newRequest(s, 1999))
	assert.Assert(t, a.Upstream != nil)
	scheduler.End(1999, a, sched.Served)
	assert.Assert(t, scheduler.Add(2000, newRequest(s, 2000)).Upstream == nil)
}
