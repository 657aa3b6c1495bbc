package place

import (
	"cmp"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// round is the state of one planning round.
type round struct {
	planner  *Planner
	now      clock.Time
	targets  map[units.ModelID]Target
	order    []Target
	demand   map[units.ModelID]Demand
	replicas []*replica
	// copies lists the usable replicas that have or load a target.
	copies   map[units.ModelID][]*replica
	loads    int
	searches int
	// promised counts loads for which this round makes room.
	promised int
	commands []Command
}

type replica struct {
	Replica
	// free is Free less what pending loads will take.
	free units.Bytes
	// has is true for resident and false for loading targets.
	has map[units.ModelID]bool
	// leaving targets have a pending unload.
	leaving map[units.ModelID]bool
	// use is the expected work in tokens a second.
	use float64
	// flow is the part of use for each target.
	flow map[units.ModelID]float64
}

func newRound(p *Planner, now clock.Time, w Input) *round {
	r := &round{
		planner: p, now: now, demand: w.Demand,
		targets: make(map[units.ModelID]Target, len(w.Targets)),
		order:   slices.Clone(w.Targets),
		copies:  make(map[units.ModelID][]*replica, len(w.Targets)),
	}
	for _, t := range w.Targets {
		r.targets[t.ID] = t
	}
	// Models go before adapters, which need them, and wanted targets before others.
	slices.SortFunc(r.order, func(a, b Target) int {
		return cmp.Or(
			cmp.Compare(len(a.Base), 0)-cmp.Compare(len(b.Base), 0),
			-cmp.Compare(r.wanted(a.ID), r.wanted(b.ID)),
			cmp.Compare(a.ID, b.ID))
	})
	for _, one := range w.Replicas {
		r.add(one)
	}
	r.settlePending()
	// Targets with one copy leave no choice; the others go where that leaves room.
	for _, t := range r.order {
		if len(r.copies[t.ID]) == 1 {
			r.spread(t.ID)
		}
	}
	for _, t := range r.order {
		if len(r.copies[t.ID]) > 1 {
			r.spread(t.ID)
		}
	}
	return r
}

// wanted is the demand that orders targets: requests that wait count most.
func (r *round) wanted(id units.ModelID) float64 {
	d := r.demand[id]
	return float64(d.Waiting)*1000 + max(d.ShortTerm, d.LongTerm)
}

func (r *round) add(one Replica) {
	v := &replica{
		Replica: one, free: one.Free,
		has:     make(map[units.ModelID]bool, len(one.Resident)+len(one.Loading)),
		leaving: map[units.ModelID]bool{},
		flow:    map[units.ModelID]float64{},
	}
	for _, id := range one.Loading {
		v.has[id] = false
	}
	for _, id := range one.Resident {
		v.has[id] = true
	}
	r.loads += len(one.Loading)
	r.replicas = append(r.replicas, v)
}

// settlePending takes orders into account whose effect is not reported yet.
func (r *round) settlePending() {
	byID := make(map[units.UpstreamID]*replica, len(r.replicas))
	for _, v := range r.replicas {
		byID[v.ID] = v
	}
	for at, o := range r.planner.pending {
		v, connected := byID[at.replica]
		resident, known := false, false
		if connected {
			resident, known = v.has[at.target]
		}
		switch {
		case r.now.Sub(o.at) >= pendingSpan:
			delete(r.planner.pending, at)
		case !connected && o.op == Load:
			// The load goes on and takes its part of the budget.
			r.loads++
		case !connected:
		case o.op == Load && resident:
			delete(r.planner.pending, at)
			r.planner.loaded[at] = r.now
		case o.op == Load && !known:
			v.has[at.target] = false
			v.free -= r.targets[at.target].Bytes
			r.loads++
		case o.op == Unload && !known && v.Free >= o.free+r.targets[at.target].Bytes:
			delete(r.planner.pending, at)
		case o.op == Unload:
			v.leaving[at.target] = true
		}
	}
	for _, v := range r.replicas {
		if !v.Usable {
			continue
		}
		for id := range v.has {
			if !v.leaving[id] {
				r.copies[id] = append(r.copies[id], v)
			}
		}
	}
}

// spread divides the demand of a target among its copies, the less used first.
func (r *round) spread(id units.ModelID) {
	copies := r.copies[id]
	work := max(r.demand[id].ShortTerm, r.demand[id].LongTerm)
	if len(copies) == 0 || work == 0 {
		return
	}
	const steps = 8
	for range steps {
		least := slices.MinFunc(copies, func(a, b *replica) int {
			return cmp.Or(cmp.Compare(a.share(), b.share()), cmp.Compare(a.ID, b.ID))
		})
		least.use += work / steps
		least.flow[id] += work / steps
	}
}

func (v *replica) share() float64 { return v.use / max(float64(v.Throughput), 1) }
