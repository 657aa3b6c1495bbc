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

// fleet carries out orders with a delay, as agents do that check their memory.
type fleet struct {
	replicas []place.Replica
	targets  []place.Target
	loading  []underway
	loads    int
	loadTime clock.Span
	refused  int
	// unloadTime is how long memory stays in use after an unload has begun.
	unloadTime clock.Span
	freeing    []underway
}

type underway struct {
	replica int
	target  place.Target
	done    clock.Time
}

func (f *fleet) bytes(id units.ModelID) units.Bytes {
	i := slices.IndexFunc(f.targets, func(t place.Target) bool { return t.ID == id })
	return f.targets[i].Bytes
}

func (f *fleet) apply(now clock.Time, c place.Command) {
	i := slices.IndexFunc(f.replicas, func(r place.Replica) bool { return r.ID == c.Replica })
	r := &f.replicas[i]
	switch {
	case c.Op == place.Unload:
		if j := slices.Index(r.Resident, c.Target.ID); j >= 0 {
			r.Resident = slices.Delete(r.Resident, j, j+1)
			f.freeing = append(f.freeing, underway{i, c.Target, now.Add(f.unloadTime)})
			f.free(now)
		}
	case slices.Contains(r.Resident, c.Target.ID), slices.Contains(r.Loading, c.Target.ID):
	case r.Free < c.Target.Bytes:
		f.refused++
	default:
		r.Free -= c.Target.Bytes
		r.Loading = append(r.Loading, c.Target.ID)
		f.loading = append(f.loading, underway{i, c.Target, now.Add(f.loadTime)})
		f.loads++
	}
}

// free returns the memory of unloads that are over.
func (f *fleet) free(now clock.Time) {
	f.freeing = slices.DeleteFunc(f.freeing, func(u underway) bool {
		if now.Before(u.done) {
			return false
		}
		f.replicas[u.replica].Free += u.target.Bytes
		return true
	})
}

func (f *fleet) finish(now clock.Time) {
	f.free(now)
	f.loading = slices.DeleteFunc(f.loading, func(u underway) bool {
		if now.Before(u.done) {
			return false
		}
		r := &f.replicas[u.replica]
		r.Loading = slices.DeleteFunc(r.Loading, func(id units.ModelID) bool { return id == u.target.ID })
		r.Resident = append(r.Resident, u.target.ID)
		return true
	})
}

func (f *fleet) copies(id units.ModelID) int {
	n := 0
	for _, r := range f.replicas {
		if r.Usable && slices.Contains(r.Resident, id) {
			n++
		}
	}
	return n
}

// soudniMost has the sizes of the smaller site: 9 replicas in 3 zones, 20 models, 40
// adapters.
func soudniMost() *fleet {
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

func (f *fleet) run(p *place.Planner, from, to clock.Time, demand map[units.ModelID]place.Demand) {
	for now := from; now.Before(to); now = now.Add(clock.Second) {
		f.finish(now)
		for _, c := range p.Plan(now, place.Input{Targets: f.targets, Replicas: f.replicas, Demand: demand}) {
			f.apply(now, c)
		}
	}
}

// Guards against models that are reachable nowhere, and against placement that never
// comes to rest.
func TestAllReachableThenQuiet(t *testing.T) {
	f := soudniMost()
	p := place.NewPlanner(budget)
	f.run(p, 0, 120_000, nil)
	for _, o := range f.targets {
		assert.Assert(t, f.copies(o.ID) >= 1, o.ID)
	}
	before := f.loads
	f.run(p, 120_000, 300_000, nil)
	settled := f.loads
	f.run(p, 300_000, 900_000, nil)
	t.Logf("loads: %d for the start, %d for copies in other zones, %d afterwards", before, settled-before, f.loads-settled)
	assert.Equal(t, f.loads, settled)
}

// Guards against a slow answer to tenfold demand: the loads for it start in the next
// round and stay inside the budget.
func TestTenfoldDemand(t *testing.T) {
	f := soudniMost()
	p := place.NewPlanner(budget)
	demand := map[units.ModelID]place.Demand{"m03": {ShortTerm: 300, LongTerm: 300}}
	f.run(p, 0, 300_000, demand)
	before := f.copies("m03")
	demand["m03"] = place.Demand{ShortTerm: 3000, LongTerm: 500}
	f.run(p, 300_000, 315_000, demand)
	t.Logf("copies before %d, after 15 s %d", before, f.copies("m03"))
	assert.Assert(t, f.copies("m03") >= 2)
	demand["m03"] = place.Demand{ShortTerm: 9000, LongTerm: 900}
	f.run(p, 315_000, 330_000, demand)
	t.Logf("copies for 9,000 tokens a second after 15 s: %d", f.copies("m03"))
	assert.Assert(t, f.copies("m03") >= 6)
	f.run(p, 330_000, 375_000, demand)
	for _, o := range f.targets {
		assert.Assert(t, f.copies(o.ID) >= 1, o.ID)
	}
}

// Guards against a zone whose loss leaves a model unreachable for long.
func TestZoneLeaves(t *testing.T) {
	f := soudniMost()
	p := place.NewPlanner(budget)
	f.run(p, 0, 300_000, nil)
	for i := range f.replicas {
		f.replicas[i].Usable = f.replicas[i].Zone != "z0"
	}
	f.run(p, 300_000, 360_000, nil)
	for _, o := range f.targets {
		assert.Assert(t, f.copies(o.ID) >= 1, o.ID)
	}
}

// Guards against the unload of the last copy of a model that callers ask for, and
// against a model in demand that never displaces one that nobody asks for.
func TestLastCopyStaysWhileWanted(t *testing.T) {
	f := &fleet{
		replicas: []place.Replica{{ID: "u0", Zone: "z0", Capacity: 16, Throughput: 2000, Usable: true, Resident: []units.ModelID{"m0"}}},
		targets:  []place.Target{{ID: "m0", Bytes: 16}, {ID: "m1", Bytes: 16}},
		loadTime: clock.Second,
	}
	p := place.NewPlanner(budget)
	demand := map[units.ModelID]place.Demand{"m0": {ShortTerm: 10, LongTerm: 10}, "m1": {ShortTerm: 900, LongTerm: 900, Waiting: 1}}
	f.run(p, 0, 120_000, demand)
	assert.Equal(t, f.copies("m0"), 1, "the last copy of a model in demand was unloaded")
	demand["m0"] = place.Demand{}
	f.run(p, 120_000, 240_000, demand)
	assert.Equal(t, f.copies("m1"), 1)
}

// Guards against overcommitted memory, loads beyond the budget, and the unload of a
// last copy for a target that is not wanted more, with orders lost and doubled.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := soudniMost()
		f.loadTime = clock.Span(rapid.IntRange(1, 8).Draw(t, "load time")) * clock.Second
		p := place.NewPlanner(budget)
		demand := map[units.ModelID]place.Demand{}
		started := 0
		for now := clock.Time(0); now < 60_000; now += 1000 {
			if rapid.IntRange(0, 9).Draw(t, "shift") == 0 {
				o := rapid.SampledFrom(f.targets).Draw(t, "target")
				demand[o.ID] = place.Demand{ShortTerm: float64(rapid.IntRange(0, 4000).Draw(t, "demand"))}
			}
			f.finish(now)
			for _, c := range p.Plan(now, place.Input{Targets: f.targets, Replicas: f.replicas, Demand: demand}) {
				if c.Op == place.Load {
					started++
				} else if f.copies(c.Target.ID) == 1 {
					assert.Assert(t, demand[c.Target.ID].ShortTerm < 1, "last copy of %s unloaded", c.Target.ID)
				}
				fate := rapid.IntRange(0, 9).Draw(t, "fate")
				if fate > 0 {
					f.apply(now, c)
				}
				if fate == 9 {
					f.apply(now, c)
				}
			}
			assert.Assert(t, len(f.loading) <= budget.Concurrent)
			assert.Assert(t, float64(started) <= 4+budget.Rate*float64(now+1000)/1000)
			for _, r := range f.replicas {
				used := units.Bytes(0)
				for _, id := range slices.Concat(r.Resident, r.Loading) {
					used += f.bytes(id)
				}
				assert.Assert(t, used <= r.Capacity)
			}
		}
		assert.Equal(t, f.refused, 0, "the planner ordered loads that don't fit")
	})
}

// late is an order on its way to its agent.
type late struct {
	command place.Command
	at      clock.Time
}

// Guards against a base model that is unloaded under its adapters, loads into memory
// that is not free yet or promised to another load, and the unload of a last copy that
// is in use, when orders are late, unloads are slow, and replicas come and go.
func TestLateOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := soudniMost()
		for i := range f.replicas {
			f.replicas[i].Free, f.replicas[i].Capacity = 48, 48
		}
		f.loadTime = 2 * clock.Second
		f.unloadTime = clock.Span(rapid.IntRange(0, 5).Draw(t, "unload time")) * clock.Second
		delay := clock.Span(rapid.IntRange(0, 2).Draw(t, "delay")) * clock.Second
		p := place.NewPlanner(budget)
		demand := map[units.ModelID]place.Demand{}
		var queue []late
		for now := clock.Time(0); now < 90_000; now += 1000 {
			if now >= 30_000 && rapid.IntRange(0, 2).Draw(t, "shift") == 0 {
				o := rapid.SampledFrom(f.targets).Draw(t, "target")
				demand[o.ID] = place.Demand{ShortTerm: float64(rapid.IntRange(0, 3000).Draw(t, "demand")), Waiting: rapid.IntRange(0, 2).Draw(t, "waiting")}
			}
			if rapid.IntRange(0, 19).Draw(t, "mark") == 0 {
				r := &f.replicas[rapid.IntRange(0, 8).Draw(t, "replica")]
				r.Usable = !r.Usable
			}
			f.finish(now)
			for len(queue) > 0 && !queue[0].at.After(now) {
				f.apply(now, queue[0].command)
				queue = queue[1:]
			}
			for _, c := range p.Plan(now, place.Input{Targets: f.targets, Replicas: f.replicas, Demand: demand}) {
				if c.Op == place.Unload {
					f.checkUnload(t, c)
					d := demand[c.Target.ID]
					last := f.copies(c.Target.ID)-unloads(queue, c.Target.ID) == 1
					assert.Assert(t, !last || d.ShortTerm < 1 && d.Waiting == 0, "last copy of %s unloaded", c.Target.ID)
				}
				queue = append(queue, late{c, now.Add(delay)})
			}
			if delay == 0 {
				for _, o := range queue {
					f.apply(now, o.command)
				}
				queue = nil
			}
		}
		assert.Equal(t, f.refused, 0, "the planner ordered loads that don't fit")
	})
}

func unloads(queue []late, id units.ModelID) int {
	n := 0
	for _, o := range queue {
		if o.command.Op == place.Unload && o.command.Target.ID == id {
			n++
		}
	}
	return n
}

// checkUnload checks that no adapter on the replica needs the target.
func (f *fleet) checkUnload(t *rapid.T, c place.Command) {
	i := slices.IndexFunc(f.replicas, func(r place.Replica) bool { return r.ID == c.Replica })
	for _, o := range f.targets {
		if o.Base == c.Target.ID {
			r := &f.replicas[i]
			assert.Assert(t, !slices.Contains(r.Resident, o.ID) && !slices.Contains(r.Loading, o.ID), "%s needs %s", o.ID, o.Base)
		}
	}
}
