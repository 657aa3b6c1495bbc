package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

// Guards against models that are loaded again because one zone is cut off from a sound upstream, or
// because single gateways can't connect to it.
func TestOneZoneDoesNotMakeUpstreamUnreachable(t *testing.T) {
	reports := map[units.Zone][]units.UpstreamID{"one": {"cut", "cut", "dead"}, "two": {"dead"}, "three": nil}
	assert.DeepEqual(t, unreachableFromZones(reports), map[units.UpstreamID]bool{"dead": true})
	assert.DeepEqual(t, unreachableFromZones(map[units.Zone][]units.UpstreamID{"one": {"dead"}}), map[units.UpstreamID]bool{"dead": true})
}

// Guards against requests for a model that is being unloaded, which upstreams refuse until the requests that run have
// ended, while their descriptions still list it.
func TestModelThatIsBeingUnloadedIsNotUsed(t *testing.T) {
	config := fleet.NewConfig(1)
	config.AddRoute(&fleet.Route{Timeout: 15 * clock.Second})
	describe := func(at clock.Time, models ...units.ModelID) *view.Entry {
		u := &fleet.Upstream{ID: "one", ProcessStart: 1}
		for _, m := range models {
			u.Models = append(u.Models, fleet.Resident{Model: m})
		}
		return &view.Entry{Upstream: u, ReceivedAt: at}
	}
	c := &controller{snapshot: &view.Snapshot{Config: config, Upstreams: map[units.UpstreamID]*view.Entry{}}}
	c.residencyChanges = []residencyChange{{upstream: "one", processStart: 1, model: "a", unloaded: true, at: 1000}}
	holds := func(now clock.Time, e *view.Entry) bool {
		c.snapshot.Upstreams["one"] = e
		s := c.changedView(now)
		return s.Upstreams["one"].Holds("a", "")
	}
	for _, now := range []clock.Time{1001, 4000, 9000, 20_000} {
		assert.Check(t, !holds(now, describe(now, "a", "b")), "at %d", now)
	}
	assert.Check(t, !holds(20_500, describe(20_500, "b")))
	assert.Check(t, holds(21_000, describe(21_000, "a", "b")), "it is loaded again")
	c.residencyChanges = []residencyChange{{upstream: "one", processStart: 1, model: "a", unloaded: true, at: 1000}}
	assert.Check(t, holds(23_000, describe(23_000, "a")), "no request runs that long")
}
