package devel_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/devel"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

// hasRevision reports whether all gateways and agents have received the revision of the team's
// configuration.
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

// Checks that each configuration change reaches all gateways and agents within 2 s.
func TestConfigurationPropagation(t *testing.T) {
	f := startFleet(t, func(o *devel.Options) { o.GatewayCount = 3 })
	waitFor(t, "fleet is ready", f.Ready)
	const changes, limit = 20, 2 * time.Second
	team := &tree.Team{Customers: []tree.Customer{{ID: "court", Rate: 1, Burst: 1}}}
	var revision units.Revision
	var slowest time.Duration
	for i := range changes {
		team.Customers[0].Rate = units.Tokens(i + 1)
		revision = writeTeam(t, f, team, revision)
		written := time.Now()
		for !hasRevision(f, "court", revision) && time.Since(written) < limit {
			time.Sleep(time.Millisecond)
		}
		slowest = max(slowest, time.Since(written))
	}
	t.Logf("slowest of %d configuration changes: %v", changes, slowest)
	assert.Assert(t, slowest < limit)
}
