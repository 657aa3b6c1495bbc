package devel_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/devel"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

// hasRevision reports whether all gateways and agents have the revision.
func hasRevision(f *devel.Fleet, team units.TeamID, r units.Revision) bool {
	for _, g := range f.Gateways {
		if g.Syncer().Snapshot().Revision(team) < r {
			return false
		}
	}
	for _, a := range f.Agents {
		if a.Snapshot().Revision(team) < r {
			return false
		}
	}
	return true
}

// Guards against changes that take longer than 2 s to be in force on each node.
func TestConfigurationPropagation(t *testing.T) {
	f := startFleet(t, func(o *devel.Options) { o.GatewayCount = 3 })
	waitFor(t, "fleet is ready", f.Ready)
	const changes, limit = 20, 2 * time.Second
	v := &tree.Team{Customers: []tree.Customer{{ID: "court", Rate: 1, Burst: 1}}}
	var revision units.Revision
	var worst time.Duration
	for i := range changes {
		v.Customers[0].Rate = units.Tokens(i + 1)
		revision = writeTeam(t, f, v, revision)
		began := time.Now()
		for !hasRevision(f, "court", revision) && time.Since(began) < limit {
			time.Sleep(time.Millisecond)
		}
		worst = max(worst, time.Since(began))
	}
	t.Logf("slowest of %d changes: %v", changes, worst)
	assert.Assert(t, worst < limit)
}
