package place_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/place"
	"github.com/magnolialever/magnolialever/units"
)

// fleet simulates agents: it executes orders with a delay, and refuses loads that don't fit.
type fleet struct {
	replicas       []place.Replica
	targets        []place.Target
	loadOperations []pendingOperation
	loads          int
	loadTime       clock.Span
	refusedLoads   int
	// unloadTime is how long memory stays in use after an unload has started.
	unloadTime       clock.Span
	unloadOperations []pendingOperation
}

// pendingOperation is a load or unload in progress; replica is an index in fleet.replicas.
type pendingOperation struct {
	replica int
	target  place.Target
	endsAt  clock.Time
}

func (f *fleet) targetBytes(id units.ModelID) units.Bytes {
	i := slices.IndexFunc(f.targets, func(t place.Target) bool { return t.ID == id })
	return f.targets[i].Bytes
}

// apply starts a load or unload. Repeated commands have no effect.
func (f *fleet) apply(now clock.Time, c place.Command) {
	index := slices.IndexFunc(f.replicas, func(r place.Replica) bool { return r.ID == c.Replica })
	r := &f.replicas[index]
	switch {
	case c.Op == place.Unload:
		if j := slices.Index(r.Resident, c.Target.ID); j >= 0 {
			r.Resident = slices.Delete(r.Resident, j, j+1)
			f.unloadOperations = append(f.unloadOperations, pendingOperation{index, c.Target, now.Add(f.unloadTime)})
			f.releaseMemory(now)
		}
	case slices.Contains(r.Resident, c.Target.ID), slices.Contains(r.Loading, c.Target.ID):
	case r.Free < c.Target.Bytes:
		f.refusedLoads++
	default:
		r.Free -= c.Target.Bytes
		r.Loading = append(r.Loading, c.Target.ID)
		f.loadOperations = append(f.loadOperations, pendingOperation{index, c.Target, now.Add(f.loadTime)})
		f.loads++
	}
}

// releaseMemory frees the memory of the unloads that have ended.
func (f *fleet) releaseMemory(now clock.Time) {
	f.unloadOperations = slices.DeleteFunc(f.unloadOperations, func(op pendingOperation) bool {
		if now.Before(op.endsAt) {
			return false
		}
		f.replicas[op.replica].Free += op.target.Bytes
		return true
	})
}

// completeOperations completes the loads and unloads that have ended by now.
func (f *fleet) completeOperations(now clock.Time) {
	f.releaseMemory(now)
	f.loadOperations = slices.DeleteFunc(f.loadOperations, func(op pendingOperation) bool {
		if now.Before(op.endsAt) {
			return false
		}
		r := &f.replicas[op.replica]
		r.Loading = slices.DeleteFunc(r.Loading, func(id units.ModelID) bool { return id == op.target.ID })
		r.Resident = append(r.Resident, op.target.ID)
		return true
	})
}

// residentCopies returns the number of usable replicas where the target is resident.
func (f *fleet) residentCopies(id units.ModelID) int {
	n := 0
	for _, r := range f.replicas {
		if r.Usable && slices.Contains(r.Resident, id) {
			n++
		}
	}
	return n
}

// smallSite returns a fleet of the size of the smaller site: 9 replicas in 3
// zones, 20 models and 40 adapters.
func smallSite() *fleet {
	f := &fleet{loadTime: 4 * clock.Second}
	for i := range 9 {
		f.replicas = append(f.replicas, place.Replica{
			ID: units.UpstreamID(fmt.Sprint("u", i)), Zone: units.Zone(fmt.Sprint("z", i%3)),
			Free: 80, Capacity: 80, Throughput: 2000, Usable: true,
		})
	}
	for i := range 20 {
		f.targets = append(f.targets, place.Target{ID: units.ModelID(fmt.Sprintf("m%02d", i)), Bytes: 16})
	}
	for i := range 40 {
		f.targets = append(f.targets, place.Target{
			ID: units.ModelID(fmt.Sprintf("x%02d", i)), Base: units.ModelID(fmt.Sprintf("m%02d", i%20)), Bytes: 1,
		})
	}
	return f
}

var budget = place.Budget{Rate: 1.6, Concurrent: 6}

// run plans and applies the commands once per second; from is inclusive, to exclusive.
func (f *fleet) run(p *place.Planner, from, to clock.Time, demand map[units.ModelID]place.Demand) {
	for now := from; now.Before(to); now = now.Add(clock.Second) {
		f.completeOperations(now)
		for _, c := range p.Plan(now, place.Input{Targets: f.targets, Replicas: f.replicas, Demand: demand}) {
			f.apply(now, c)
		}
	}
}

// Guards against targets that are resident nowhere, and against loads that never stop
// although nothing changes.
func TestPlacementConverges(t *testing.T) {
	f := smallSite()
	p := place.NewPlanner(budget)
	f.run(p, 0, 120_000, nil)
	for _, target := range f.targets {
		assert.Assert(t, f.residentCopies(target.ID) >= 1, target.ID)
	}
	initial := f.loads
	f.run(p, 120_000, 300_000, nil)
	converged := f.loads
	f.run(p, 300_000, 900_000, nil)
	t.Logf("loads: %d for the start, %d for copies in other zones, %d afterwards", initial, converged-initial, f.loads-converged)
	assert.Equal(t, f.loads, converged)
}

// Guards against a slow reaction to a tenfold increase in demand, and against targets that
// are resident nowhere after it.
func TestTenfoldDemand(t *testing.T) {
	f := smallSite()
	p := place.NewPlanner(budget)
	demand := map[units.ModelID]place.Demand{"m03": {ShortTerm: 300, LongTerm: 300}}
	f.run(p, 0, 300_000, demand)
	copiesBefore := f.residentCopies("m03")
	demand["m03"] = place.Demand{ShortTerm: 3000, LongTerm: 500}
	f.run(p, 300_000, 315_000, demand)
	t.Logf("copies before %d, after 15 s %d", copiesBefore, f.residentCopies("m03"))
	assert.Assert(t, f.residentCopies("m03") >= 2)
	demand["m03"] = place.Demand{ShortTerm: 9000, LongTerm: 900}
	f.run(p, 315_000, 330_000, demand)
	t.Logf("copies for 9,000 tokens per second after 15 s: %d", f.residentCopies("m03"))
	assert.Assert(t, f.residentCopies("m03") >= 6)
	f.run(p, 330_000, 375_000, demand)
	for _, target := range f.targets {
		assert.Assert(t, f.residentCopies(target.ID) >= 1, target.ID)
	}
}

// Guards against targets that stay unavailable for more than a minute after the loss of a
// zone.
func TestZoneLoss(t *testing.T) {
	f := smallSite()
	p := place.NewPlanner(budget)
	f.run(p, 0, 300_000, nil)
	for i := range f.replicas {
		f.replicas[i].Usable = f.replicas[i].Zone != "z0"
	}
	f.run(p, 300_000, 360_000, nil)
	for _, target := range f.targets {
		assert.Assert(t, f.residentCopies(target.ID) >= 1, target.ID)
	}
}

// Guards against evicting the last copy of a model in demand, and against a model in demand
// that never displaces an idle one.
func TestLastCopyStaysInDemand(t *testing.T) {
	f := &fleet{
		replicas: []place.Replica{{ID: "u0", Zone: "z0", Capacity: 16, Throughput: 2000, Usable: true, Resident: []units.ModelID{"m0"}}},
		targets:  []place.Target{{ID: "m0", Bytes: 16}, {ID: "m1", Bytes: 16}},
		loadTime: clock.Second,
	}
	p := place.NewPlanner(budget)
	demand := map[units.ModelID]place.Demand{"m0": {ShortTerm: 10, LongTerm: 10}, "m1": {ShortTerm: 900, LongTerm: 900, Waiting: 1}}
	f.run(p, 0, 120_000, demand)
	assert.Equal(t, f.residentCopies("m0"), 1, "the last copy of a model in demand was unloaded")
	demand["m0"] = place.Demand{}
	f.run(p, 120_000, 240_000, demand)
	assert.Equal(t, f.residentCopies("m1"), 1)
}

// Guards against unloading the last usable copy of a model in demand while the other copies are on
// replicas that are unusable or unload them, and against counting an unload at an unusable replica
// as the loss of a usable copy, which would keep memory from a model with waiting requests.
func TestUnloadAtUnusableReplica(t *testing.T) {
	f := &fleet{targets: []place.Target{{ID: "m0", Bytes: 16}, {ID: "m1", Bytes: 16}}}
	for _, id := range []units.UpstreamID{"u0", "u1", "u2"} {
		f.replicas = append(f.replicas, place.Replica{ID: id, Capacity: 16, Throughput: 2000, Usable: true, Resident: []units.ModelID{"m0"}})
	}
	f.replicas = append(f.replicas, place.Replica{ID: "out", Capacity: 16, Throughput: 2000, Resident: []units.ModelID{"m0"}})
	p := place.NewPlanner(budget)
	demand := map[units.ModelID]place.Demand{"m0": {ShortTerm: 10, LongTerm: 10}, "m1": {ShortTerm: 10, LongTerm: 10, Waiting: 1}}
	// The unloads stay in flight, so that the reports show all copies in each round.
	plan := func(now clock.Time) []place.Command {
		return p.Plan(now, place.Input{Targets: f.targets, Replicas: f.replicas, Demand: demand})
	}
	for round := range clock.Time(2) {
		commands := plan((round + 1) * 1000)
		assert.Equal(t, len(commands), 1, "%v", commands)
		assert.Equal(t, commands[0].Op, place.Unload)
		i := slices.IndexFunc(f.replicas, func(r place.Replica) bool { return r.ID == commands[0].Replica })
		assert.Assert(t, f.replicas[i].Usable)
		f.replicas[i].Usable = false
	}
	assert.Equal(t, f.residentCopies("m0"), 1)
	assert.Equal(t, len(plan(3000)), 0, "the last usable copy is unloaded")
}

// Guards against overcommitted memory, loads beyond the budget, and the eviction of the last
// copy of a target in demand, when orders are lost and duplicated.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := smallSite()
		f.loadTime = clock.Span(rapid.IntRange(1, 8).Draw(t, "load time")) * clock.Second
		p := place.NewPlanner(budget)
		demand := map[units.ModelID]place.Demand{}
		started := 0
		for now := clock.Time(0); now < 60_000; now += 1000 {
			if rapid.IntRange(0, 9).Draw(t, "shift") == 0 {
				target := rapid.SampledFrom(f.targets).Draw(t, "target")
				demand[target.ID] = place.Demand{ShortTerm: float64(rapid.IntRange(0, 4000).Draw(t, "demand"))}
			}
			f.completeOperations(now)
			for _, c := range p.Plan(now, place.Input{Targets: f.targets, Replicas: f.replicas, Demand: demand}) {
				if c.Op == place.Load {
					started++
				} else if f.residentCopies(c.Target.ID) == 1 {
					assert.Assert(t, demand[c.Target.ID].ShortTerm < 1, "last copy of %s unloaded", c.Target.ID)
				}
				delivery := rapid.IntRange(0, 9).Draw(t, "fate")
				if delivery > 0 {
					f.apply(now, c)
				}
				if delivery == 9 {
					f.apply(now, c)
				}
			}
			assert.Assert(t, len(f.loadOperations) <= budget.Concurrent)
			assert.Assert(t, float64(started) <= 4+budget.Rate*float64(now+1000)/1000)
			for _, r := range f.replicas {
				used := units.Bytes(0)
				for _, id := range slices.Concat(r.Resident, r.Loading) {
					used += f.targetBytes(id)
				}
				assert.Assert(t, used <= r.Capacity)
			}
		}
		assert.Equal(t, f.refusedLoads, 0, "the planner ordered loads that don't fit")
	})
}

// delayedOrder is an order in flight to its agent.
type delayedOrder struct {
	command   place.Command
	arrivesAt clock.Time
}

// Guards against unloading a base model while its adapters are resident, loading into memory
// that is not yet free or reserved for another load, and evicting the last copy of a target
// in use, when orders are late, unloads are slow, and replicas become unusable and usable.
func TestLateOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := smallSite()
		for i := range f.replicas {
			f.replicas[i].Free, f.replicas[i].Capacity = 48, 48
		}
		f.loadTime = 2 * clock.Second
		f.unloadTime = clock.Span(rapid.IntRange(0, 5).Draw(t, "unload time")) * clock.Second
		delay := clock.Span(rapid.IntRange(0, 2).Draw(t, "delay")) * clock.Second
		p := place.NewPlanner(budget)
		demand := map[units.ModelID]place.Demand{}
		var queue []delayedOrder
		for now := clock.Time(0); now < 90_000; now += 1000 {
			if now >= 30_000 && rapid.IntRange(0, 2).Draw(t, "shift") == 0 {
				target := rapid.SampledFrom(f.targets).Draw(t, "target")
				demand[target.ID] = place.Demand{ShortTerm: float64(rapid.IntRange(0, 3000).Draw(t, "demand")), Waiting: rapid.IntRange(0, 2).Draw(t, "waiting")}
			}
			if rapid.IntRange(0, 19).Draw(t, "mark") == 0 {
				r := &f.replicas[rapid.IntRange(0, 8).Draw(t, "replica")]
				r.Usable = !r.Usable
			}
			f.completeOperations(now)
			for len(queue) > 0 && !queue[0].arrivesAt.After(now) {
				f.apply(now, queue[0].command)
				queue = queue[1:]
			}
			for _, c := range p.Plan(now, place.Input{Targets: f.targets, Replicas: f.replicas, Demand: demand}) {
				if c.Op == place.Unload {
					f.checkUnload(t, c)
					d := demand[c.Target.ID]
					last := f.remainingCopies(c, queue) == 0
					assert.Assert(t, !last || d.ShortTerm < 1 && d.Waiting == 0, "last copy of %s unloaded", c.Target.ID)
				}
				queue = append(queue, delayedOrder{c, now.Add(delay)})
			}
			if delay == 0 {
				for _, target := range queue {
					f.apply(now, target.command)
				}
				queue = nil
			}
		}
		assert.Equal(t, f.refusedLoads, 0, "the planner ordered loads that don't fit")
	})
}

// remainingCopies returns the number of usable replicas where the target stays resident after
// the unload c and the unloads in the queue.
func (f *fleet) remainingCopies(c place.Command, queue []delayedOrder) int {
	n := 0
	for _, r := range f.replicas {
		unloading := r.ID == c.Replica || slices.ContainsFunc(queue, func(o delayedOrder) bool {
			return o.command.Op == place.Unload && o.command.Replica == r.ID && o.command.Target.ID == c.Target.ID
		})
		if r.Usable && !unloading && slices.Contains(r.Resident, c.Target.ID) {
			n++
		}
	}
	return n
}

// checkUnload fails the test if an adapter of the target is resident or loading on the
// replica.
func (f *fleet) checkUnload(t *rapid.T, c place.Command) {
	index := slices.IndexFunc(f.replicas, func(r place.Replica) bool { return r.ID == c.Replica })
	for _, adapter := range f.targets {
		if adapter.Base == c.Target.ID {
			r := &f.replicas[index]
			assert.Assert(t, !slices.Contains(r.Resident, adapter.ID) && !slices.Contains(r.Loading, adapter.ID), "%s needs %s", adapter.ID, adapter.Base)
		}
	}
}

// Guards against a model that ends one engine after another as they load it, and against models that are evicted to make
// room for it meanwhile.
func TestTargetThatEndsEnginesIsHeldBack(t *testing.T) {
	f := smallSite()
	p := place.NewPlanner(budget)
	f.run(p, 0, 60_000, nil)
	deadly := place.Target{ID: "deadly", Bytes: 16}
	f.targets = append(f.targets, deadly)
	demand := map[units.ModelID]place.Demand{deadly.ID: {Waiting: 5, ShortTerm: 50}}
	ended, unloads := 0, 0
	for now := clock.Time(60_000); now < 120_000; now = now.Add(clock.Second) {
		f.completeOperations(now)
		for _, c := range p.Plan(now, place.Input{Targets: f.targets, Replicas: f.replicas, Demand: demand}) {
			if c.Target.ID != deadly.ID {
				f.apply(now, c)
				if c.Op == place.Unload {
					unloads++
				}
				continue
			}
			i := slices.IndexFunc(f.replicas, func(r place.Replica) bool { return r.ID == c.Replica })
			f.replicas[i].Resident, f.replicas[i].Free = nil, f.replicas[i].Capacity
			ended++
			p.LoadFailed(now.Add(500), c)
		}
	}
	assert.Assert(t, ended >= 1 && ended <= 3, "%d engines ended", ended)
	assert.Assert(t, unloads <= 3, "%d unloads", unloads)
	for _, target := range f.targets[:len(f.targets)-1] {
		assert.Assert(t, f.residentCopies(target.ID) >= 1, target.ID)
	}
}
