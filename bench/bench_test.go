package bench_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/bench"
)

// assertTargets runs the policies on the site for a shorter time than the bench command does and
// checks the performance targets of the design.
func assertTargets(t *testing.T, s bench.Site) {
	o := bench.Options{Site: s, Seed: 1, Length: 2 * bench.MinLength}
	table := bench.Run(o)
	var b strings.Builder
	assert.NilError(t, table.Write(&b))
	t.Logf("\n%s", &b)
	planner, offline := table.Result(bench.Planner), table.Result(bench.Offline)
	assert.Assert(t, planner.GoodputPerAccelerator >= 0.9*offline.GoodputPerAccelerator)
	assert.Assert(t, float64(planner.Moves) <= 1.5*float64(offline.Moves))
	assert.Equal(t, planner.Refused, 0, "orders that exceed memory or the load budget")
	for _, name := range []string{bench.Static, bench.LRU} {
		baseline := table.Result(name)
		assert.Assert(t, planner.GoodputPerAccelerator > baseline.GoodputPerAccelerator, name)
		assert.Assert(t, planner.WorstCustomerAttainment > baseline.WorstCustomerAttainment, name)
		assert.Assert(t, planner.OutageAttainment > baseline.OutageAttainment, name)
	}
}

// Guards against a planner that achieves less than an offline plan or a baseline, or that
// needs many more loads.
func TestSoudniMost(t *testing.T) { assertTargets(t, bench.SoudniMost) }

// Guards against the same failures at the size of the other site.
func TestCouncil(t *testing.T) { assertTargets(t, bench.Council) }

// Guards against runs whose results differ for the same seed.
func TestReproducible(t *testing.T) {
	o := bench.Options{Site: bench.SoudniMost, Seed: 7, Length: bench.MinLength}
	var first, second strings.Builder
	assert.NilError(t, bench.Run(o).Write(&first))
	assert.NilError(t, bench.Run(o).Write(&second))
	assert.Equal(t, first.String(), second.String())
}
