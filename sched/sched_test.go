package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/sched"
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

func newTable(entries ...*view.Entry) *sched.Scheduler {
	t := sched.New("zone-a", sched.ColdTolerance{Factor: 1.5, Slack: 5})
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

func want(s *fleet.Service, now clock.Time) sched.Request {
	return sched.Request{Service: s, Model: model, Prompt: 800, Output: 200, FirstEventDue: now.Add(300), LatestStart: now.Add(2000)}
}

// Guards against a burst that goes to one upstream while others are idle, and against
// more requests than an upstream has slots for.
func TestBurstIsSpread(t *testing.T) {
	s := engine(8)
	table := newTable(entry("one", "zone-a", 8), entry("two", "zone-b", 8), entry("three", "zone-b", 8))
	got := map[units.UpstreamID]int{}
	waiting := 0
	for range 30 {
		k := table.Add(100, want(s, 100))
		if k.Upstream == nil {
			waiting++
			continue
		}
		got[k.Upstream.ID]++
	}
	assert.Equal(t, waiting, 6)
	assert.DeepEqual(t, got, map[units.UpstreamID]int{"one": 8, "two": 8, "three": 8})
}

// Guards against urgent requests that wait behind others that came earlier.
func TestUrgentRequestsGoFirst(t *testing.T) {
	s := engine(1)
	table := newTable(entry("one", "zone-a", 1))
	running := table.Add(100, want(s, 100))
	low := want(s, 101)
	low.Rank = 2
	first := table.Add(101, low)
	late := want(s, 102)
	late.FirstEventDue = 5000
	second := table.Add(102, late)
	urgent := table.Add(103, want(s, 103))
	order := []*sched.Attempt{urgent, second, first}
	for i, k := range order {
		left := table.End(clock.Time(200+i), running, sched.Served)
		assert.Equal(t, len(left), 1)
		assert.Equal(t, left[0], k, "number %d", i)
		running = k
	}
}

// Guards against requests that wait in a stopping gateway until their connections are cut
// (hunt-d3af-7 of lsatcc-magnolia): they are refused at the bound, as not run.
func TestWaitingEndsAtBound(t *testing.T) {
	s := engine(1)
	table := newTable(entry("one", "zone-a", 1))
	running := table.Add(100, want(s, 100))
	waits := table.Add(110, want(s, 110))
	table.SetStartDeadline(600)
	later := table.Add(200, want(s, 200))
	assert.Equal(t, len(table.Dispatch(599)), 0)
	assert.Equal(t, len(table.Dispatch(600)), 2)
	for _, k := range []*sched.Attempt{waits, later} {
		assert.Equal(t, k.Refused.Code, units.DeadlineMissed)
	}
	assert.Assert(t, table.Add(700, want(s, 700)).Refused != nil)
	table.End(800, running, sched.Served)
}

// Guards against requests that wait in vain: they are refused as soon as they can't be
// served, and no later than their last useful start.
func TestHopelessRequestsAreRefused(t *testing.T) {
	s := engine(1)
	empty := newTable()
	assert.Equal(t, empty.Add(100, want(s, 100)).Refused.Code, units.NoUpstream)

	table := newTable(entry("one", "zone-a", 1))
	rare := want(s, 100)
	rare.Model = "rare"
	k := table.Add(100, rare)
	assert.Assert(t, k.ModelMissing)
	assert.Equal(t, k.Refused.Code, units.ModelLoading)
	assert.Equal(t, k.Refused.RetryAfter, 4*clock.Second, "the time that a load takes")

	adapter := want(s, 100)
	adapter.Adapter = "a2"
	k = table.Add(100, adapter)
	assert.Assert(t, k.ModelMissing && k.Refused == nil, "an adapter is there within milliseconds")

	running := table.Add(100, want(s, 100))
	assert.Assert(t, running.Upstream != nil)
	waits := table.Add(100, want(s, 100))
	assert.Assert(t, waits.Refused == nil)
	table.Dispatch(2099)
	assert.Assert(t, waits.Refused == nil)
	table.Dispatch(2100)
	assert.Equal(t, waits.Refused.Code, units.DeadlineMissed)
}

// Guards against a queue without bound when everybody comes at once.
func TestQueueIsBounded(t *testing.T) {
	s := engine(1)
	table := newTable(entry("one", "zone-a", 1))
	refused := 0
	for range sched.MaxQueued + 50 {
		if k := table.Add(100, want(s, 100)); k.Refused != nil {
			assert.Equal(t, k.Refused.Code, units.QueueFull)
			refused++
		}
	}
	assert.Equal(t, refused, 49)
	assert.Equal(t, table.QueueLen(), sched.MaxQueued)
}

// Guards against an upstream that turns cold and gets more than it bears from all
// gateways together, in any second.
func TestColdUpstreamIsSpared(t *testing.T) {
	const gateways = 5
	s := engine(64)
	e := entry("one", "zone-a", 64)
	e.WarmAt = 5000
	var tables []*sched.Scheduler
	for range gateways {
		table := newTable(e)
		table.SetGateways(gateways)
		tables = append(tables, table)
	}
	random := rand.New(rand.NewPCG(3, 4))
	var sent []clock.Time
	for now := clock.Time(1); now < 4000; now++ {
		for _, table := range tables {
			if random.Float64() > 0.05 {
				continue
			}
			k := table.Add(now, want(s, now))
			switch {
			case k.Upstream != nil:
				sent = append(sent, now)
				table.End(now, k, sched.Served)
			case k.Refused == nil:
				table.Cancel(k)
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

// Guards against an upstream that fails each request and still gets its share.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	s := engine(64)
	table := newTable(entry("bad", "zone-a", 64), entry("good", "zone-a", 64))
	got := map[units.UpstreamID]int{}
	for i := range 400 {
		now := clock.Time(100 + 10*i)
		k := table.Add(now, want(s, now))
		if k.Upstream == nil {
			table.Cancel(k)
			continue
		}
		got[k.Upstream.ID]++
		outcome := sched.Served
		if k.Upstream.ID == "bad" {
			outcome = sched.Failed
		}
		table.RecordFirstEvent(now.Add(40), k)
		table.End(now.Add(50), k, outcome)
	}
	assert.Assert(t, got["bad"] < 20, fmt.Sprint(got))
}

// Guards against load on a crashed upstream: after a broken connection one attempt at a
// time tells whether it is back.
func TestCrashedUpstreamIsProbed(t *testing.T) {
	s := engine(64)
	table := newTable(entry("one", "zone-a", 64))
	k := table.Add(100, want(s, 100))
	table.End(110, k, sched.Unreachable)
	now := clock.Time(500)
	probe := table.Add(now, want(s, now))
	assert.Assert(t, probe.Upstream != nil)
	other := table.Add(now, want(s, now))
	assert.Assert(t, other.Upstream == nil && other.Refused == nil)
	left := table.End(now.Add(20), probe, sched.Served)
	assert.Equal(t, len(left), 1, "the others follow once it has answered")
}

// Guards against upstreams that leave or are out and still get requests.
func TestLeavingUpstreamsGetNothing(t *testing.T) {
	s := engine(64)
	leaving := entry("leaving", "zone-a", 64)
	leaving.Draining = true
	snap := snapshot(leaving, entry("out", "zone-b", 64))
	snap.ExcludedZones["zone-b"] = true
	table := sched.New("zone-a", sched.ColdTolerance{})
	table.SetView(1, snap)
	assert.Equal(t, table.Add(100, want(s, 100)).Refused.Code, units.NoUpstream)
}

// Guards against a batch whose requests need more memory than the engine has, counting
// what other gateways have under way.
func TestMemoryOfEngineIsKept(t *testing.T) {
	s := engine(64)
	table := newTable(entry("one", "zone-a", 64))
	table.Add(100, want(s, 100))
	table.SetOtherLoads(map[units.UpstreamID]sched.Load{"one": {Upstream: "one", Running: 3, Tokens: 88_500}})
	k := table.Add(100, want(s, 100))
	assert.Assert(t, k.Upstream == nil, "91,000 of 100,000 tokens would be used")
}
