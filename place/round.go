package place

import (
	"cmp"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// round is the state of one planning round.
type round struct {
	planner *Planner
	now     clock.Time
	targets map[units.ModelID]Target
	// sortedTargets has base models before adapters, and higher priority first.
	sortedTargets []Target
	demand        map[units.ModelID]Demand
	replicas      []*replica
	// copies lists the usable replicas that have or load each target.
	copies map[units.ModelID][]*replica
	// activeLoads counts the loads in progress on all replicas.
	activeLoads int
	// copySearches counts the searches for a further copy, up to maxSearches.
	copySearches int
	// deferredLoads counts the loads for which this round only frees memory.
	deferredLoads int
	commands      []Command
}

// replica is a reported Replica with the effect of pending orders.
type replica struct {
	Replica
	// free is Free less the memory that pending loads will take.
	free units.Bytes
	// resident holds true for each resident target and false for each loading one.
	resident map[units.ModelID]bool
	// unloading holds the targets with a pending unload.
	unloading map[units.ModelID]bool
	// load is the expected load in tokens per second.
	load float64
	// targetLoad is the part of load that each target causes.
	targetLoad map[units.ModelID]float64
}

func newRound(p *Planner, now clock.Time, in Input) *round {
	r := &round{
		planner: p, now: now, demand: in.Demand,
		targets:       make(map[units.ModelID]Target, len(in.Targets)),
		sortedTargets: slices.Clone(in.Targets),
		copies:        make(map[units.ModelID][]*replica, len(in.Targets)),
	}
	for _, t := range in.Targets {
		r.targets[t.ID] = t
	}
	// Base models come before adapters, which need them.
	slices.SortFunc(r.sortedTargets, func(a, b Target) int {
		return cmp.Or(
			cmp.Compare(len(a.Base), 0)-cmp.Compare(len(b.Base), 0),
			-cmp.Compare(r.priority(a.ID), r.priority(b.ID)),
			cmp.Compare(a.ID, b.ID))
	})
	for _, reported := range in.Replicas {
		r.addReplica(reported)
	}
	r.applyPendingOrders()
	// The load of targets with one copy is fixed. That of the others is distributed
	// afterwards, to the replicas that are then least utilized.
	for _, t := range r.sortedTargets {
		if len(r.copies[t.ID]) == 1 {
			r.distributeDemand(t.ID)
		}
	}
	for _, t := range r.sortedTargets {
		if len(r.copies[t.ID]) > 1 {
			r.distributeDemand(t.ID)
		}
	}
	return r
}

// priority returns the demand for the target in tokens per second, plus 1000 for each
// waiting request.
func (r *round) priority(id units.ModelID) float64 {
	d := r.demand[id]
	return float64(d.Waiting)*1000 + max(d.ShortTerm, d.LongTerm)
}

// addReplica adds a reported replica to the round, usable or not.
func (r *round) addReplica(reported Replica) {
	v := &replica{
		Replica: reported, free: reported.Free,
		resident:   make(map[units.ModelID]bool, len(reported.Resident)+len(reported.Loading)),
		unloading:  map[units.ModelID]bool{},
		targetLoad: map[units.ModelID]float64{},
	}
	for _, id := range reported.Loading {
		v.resident[id] = false
	}
	for _, id := range reported.Resident {
		v.resident[id] = true
		r.planner.loads.RecordSuccess(id)
	}
	r.activeLoads += len(reported.Loading)
	r.replicas = append(r.replicas, v)
}

// applyPendingOrders applies orders whose effect is not yet reported to the replicas, and
// forgets those whose effect is reported or that have timed out. Then it lists the copies.
func (r *round) applyPendingOrders() {
	byID := make(map[units.UpstreamID]*replica, len(r.replicas))
	for _, v := range r.replicas {
		byID[v.ID] = v
	}
	for key, o := range r.planner.pending {
		v, connected := byID[key.replica]
		resident, present := false, false
		if connected {
			resident, present = v.resident[key.target]
		}
		switch {
		case r.now.Sub(o.sentAt) >= pendingTimeout:
			delete(r.planner.pending, key)
		case !connected && o.op == Load:
			// The agent continues the load, which still counts against the budget.
			r.activeLoads++
		case !connected:
		case o.op == Load && resident:
			delete(r.planner.pending, key)
			r.planner.loadedAt[key] = r.now
		case o.op == Load && !present:
			v.resident[key.target] = false
			v.free -= r.targets[key.target].Bytes
			r.activeLoads++
		case o.op == Unload && !present && v.Free >= o.freeBefore+r.targets[key.target].Bytes:
			delete(r.planner.pending, key)
		case o.op == Unload:
			v.unloading[key.target] = true
		}
	}
	for _, v := range r.replicas {
		if !v.Usable {
			continue
		}
		for id := range v.resident {
			if !v.unloading[id] {
				r.copies[id] = append(r.copies[id], v)
			}
		}
	}
}

// distributeDemand adds the demand for a target to the load of its copies, in equal steps
// that each go to the least utilized copy.
func (r *round) distributeDemand(id units.ModelID) {
	copies := r.copies[id]
	demand := max(r.demand[id].ShortTerm, r.demand[id].LongTerm)
	if len(copies) == 0 || demand == 0 {
		return
	}
	const steps = 8
	for range steps {
		leastUtilized := slices.MinFunc(copies, func(a, b *replica) int {
			return cmp.Or(cmp.Compare(a.utilization(), b.utilization()), cmp.Compare(a.ID, b.ID))
		})
		leastUtilized.load += demand / steps
		leastUtilized.targetLoad[id] += demand / steps
	}
}

// utilization returns the expected load as a share of the throughput.
func (v *replica) utilization() float64 { return v.load / max(float64(v.Throughput), 1) }
