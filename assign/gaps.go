package assign

import (
	"cmp"
	"math"
	"slices"

	"github.com/magnolialever/magnolialever/units"
)

// pendingCopies returns the number of copies of the model that are loading or have a
// reservation.
func (r *round) pendingCopies(m units.ModelID) int {
	n := 0
	for _, s := range r.copies[m] {
		if s.models[m] != nil && s.models[m].loading {
			n++
		}
	}
	for _, reserved := range r.p.reservations {
		if reserved.model == m {
			n++
		}
	}
	return n
}

// addMissingCopies adds copies where requests can't be served: first of requested models
// without a copy, then of models whose copies are all overloaded. Within each group, the
// models with the most work come first.
func (r *round) addMissingCopies() {
	type gap struct {
		model   units.ModelID
		work    float64
		missing bool
	}
	var gaps []gap
	for _, m := range r.engine.Models {
		demand, copies := r.demands[m.Name], r.copies[m.Name]
		if len(copies) == 0 {
			if demand.Misses > 0 || demand.WorkRate > 1 {
				gaps = append(gaps, gap{m.Name, demand.WorkRate, true})
			}
			continue
		}
		if excess := r.excessWork(copies); excess > 0 && r.pendingCopies(m.Name) < maxPendingCopies {
			gaps = append(gaps, gap{m.Name, min(excess, demand.WorkRate), false})
		}
	}
	// Requests for a model without a copy are refused, while requests for a model with
	// overloaded copies are only delayed.
	slices.SortStableFunc(gaps, func(a, b gap) int {
		return cmp.Or(compareTrueFirst(a.missing, b.missing), cmp.Compare(b.work, a.work))
	})
	for _, g := range gaps {
		if g.missing && r.hasReservation(g.model) {
			r.loadWhereFits(g.model)
			continue
		}
		r.addCopy(g.model, g.missing, math.Inf(1))
	}
}

// compareTrueFirst is a comparison function that sorts true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// hasReservation reports whether an upstream is unloading another model to make room for this
// one.
func (r *round) hasReservation(id units.ModelID) bool {
	for _, reserved := range r.p.reservations {
		if reserved.model == id {
			return true
		}
	}
	return false
}

// loadWhereFits orders a model without a copy on an upstream with enough free memory and
// cancels the model's reservations. This is faster than the reserved upstream, where the
// unload waits for all requests that run on the victim.
func (r *round) loadWhereFits(id units.ModelID) {
	m, ok := r.engine.Model(id)
	if !ok || !r.mayLoad(id) {
		return
	}
	var best *upstreamState
	for _, s := range r.states {
		if r.ordered[s] || !s.canSendModelOrder(r.now) || !r.withinStoreBudget(s, id) || !r.fits(s, m) {
			continue
		}
		if _, busy := r.p.reservations[r.ids[s]]; busy {
			continue
		}
		if best == nil || r.workRate[s] < r.workRate[best] {
			best = s
		}
	}
	if best == nil {
		return
	}
	for u, reserved := range r.p.reservations {
		if reserved.model == id {
			delete(r.p.reservations, u)
		}
	}
	r.orderLoad(best, id)
}

// excessWork returns the work above engineCapacity of the upstreams, in prompt tokens/s, or 0
// if one of them has spare capacity.
func (r *round) excessWork(states []*upstreamState) float64 {
	excess := 0.0
	for _, s := range states {
		if r.workRate[s] <= engineCapacity {
			return 0
		}
		excess += r.workRate[s] - engineCapacity
	}
	return excess
}

// addHotCopies adds copies of models whose copies all exceed highUtilization.
func (r *round) addHotCopies() {
	type hot struct {
		model    units.ModelID
		workRate float64
	}
	var list []hot
	for _, m := range r.engine.Models {
		copies := r.copies[m.Name]
		if len(copies) == 0 || r.demands[m.Name].WorkRate <= 0 {
			continue
		}
		leastRate := math.Inf(1)
		for _, s := range copies {
			leastRate = min(leastRate, r.workRate[s])
		}
		wanted := int(math.Ceil(r.demands[m.Name].WorkRate / (highUtilization * engineCapacity)))
		if leastRate > highUtilization*engineCapacity && r.pendingCopies(m.Name) < max(wanted-len(copies)+r.pendingCopies(m.Name), 1) {
			list = append(list, hot{m.Name, leastRate})
		}
	}
	slices.SortStableFunc(list, func(a, b hot) int { return cmp.Compare(b.workRate, a.workRate) })
	for _, h := range list {
		if r.pendingCopies(h.model) < maxPendingCopies {
			r.addCopy(h.model, false, h.workRate)
		}
	}
}

// maxPendingCopies is the maximum number of pending copies of one model.
const maxPendingCopies = 3

// restoreUnrequested adds a copy of each model that has none and isn't requested, while the
// load budget allows it, because demand may shift to such a model at any time.
func (r *round) restoreUnrequested() {
	for _, m := range r.engine.Models {
		if len(r.copies[m.Name]) == 0 && r.pendingCopies(m.Name) == 0 && r.p.loadTokens[r.service.Name] >= spareLoadTokens {
			r.addCopy(m.Name, false, math.Inf(1))
		}
	}
}
