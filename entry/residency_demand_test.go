package entry

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/assign"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

// Guards against refused or waiting work, or the zone that asks, that the leader doesn't hear of.
func TestDemandReachesTheLeader(t *testing.T) {
	target := assign.Target{Service: "engines", Model: "m", Adapter: "a1"}
	own := map[assign.Target]assign.Demand{target: {WorkRate: 5000, Misses: 2, RefusedRate: 3000, WaitingWork: 4e12}}
	sum := map[assign.Target]assign.Demand{}
	addNeeds(sum, "one", encodeDemand(own))
	addNeeds(sum, "two", encodeDemand(own))
	got := sum[target]
	assert.Equal(t, got.WorkRate, 10_000.0)
	assert.Equal(t, got.Misses, 4)
	assert.Equal(t, got.RefusedRate, 6000.0)
	assert.Equal(t, got.WaitingWork, 2.0*math.MaxInt32, "it is limited, not turned negative")
	assert.DeepEqual(t, got.Zones, []assign.ZoneWork{{Zone: "one", WorkRate: 5000}, {Zone: "two", WorkRate: 5000}})
}

// Guards against loads under way that callers hear of when they are done or lost with their process.
func TestLoadsUnderWayAreShownUntilTheyEnd(t *testing.T) {
	entry := &view.Entry{Upstream: &fleet.Upstream{ID: "one", Service: "engines", ProcessStart: 1}}
	c := &controller{snapshot: &view.Snapshot{Upstreams: map[units.UpstreamID]*view.Entry{"one": entry}}}
	c.pendingLoads = []pendingLoad{{upstream: "one", processStart: 1, model: "m", acceptedOrders: 3, readyAt: 5000}}
	shown := func(now clock.Time) int { return len(c.changedView(now).Upstreams["one"].Loading) }
	assert.Equal(t, shown(2000), 1)
	assert.Equal(t, len(entry.Loading), 0, "the entry of the view itself")
	assert.Equal(t, shown(6000), 1, "it takes longer than expected")
	restarted := *entry.Upstream
	restarted.ProcessStart = 2
	c.snapshot.Upstreams["one"] = &view.Entry{Upstream: &restarted}
	assert.Equal(t, shown(6100), 0)
	assert.Equal(t, len(c.pendingLoads), 0)
	l := pendingLoad{upstream: "one", processStart: 2, model: "m", acceptedOrders: 3, readyAt: 9000}
	assert.Assert(t, l.sameLoad(pendingLoad{upstream: "one", processStart: 2, acceptedOrders: 3}))
	loaded := restarted
	loaded.Models = []fleet.Resident{{Model: "m"}}
	assert.Assert(t, l.isOver(7000, &view.Entry{Upstream: &loaded}))
}
