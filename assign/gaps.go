package assign

import (
	"cmp"
	"math"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/units"
)

// maxPendingHotCopies is the maximum number of pending copies of a model that is hot, but not short.
const maxPendingHotCopies = 3

// pendingCopies returns the number of copies of the model that are loading or have a
// reservation.
func (r *round) pendingCopies(m units.ModelID) int {
	n := 0
	for _, l := range r.copies[m] {
		if !l.loaded() {
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

// addMissingCopies adds a copy of each requested model without one. The models with the most work come first.
func (r *round) addMissingCopies() {
	var missing []units.ModelID
	for _, m := range r.engine.Models {
		if r.demands[m.Name].requested() && len(r.copies[m.Name]) == 0 {
			missing = append(missing, m.Name)
		}
	}
	slices.SortStableFunc(missing, func(a, b units.ModelID) int { return cmp.Compare(r.workOf(b), r.workOf(a)) })
	for _, id := range missing {
		if r.hasReservation(id) {
			r.loadWhereFits(id)
			continue
		}
		r.addCopy(id, true, math.Inf(1))
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
	m, ok := r.models[id]
	if !ok || !r.mayLoad(id) {
		return
	}
	var best *site
	for _, s := range r.sites {
		if s.ordered || !s.canSendModelOrder(r.now) || r.isReserved(s) || !r.withinStoreBudget(s, id) || !r.fits(s, m) {
			continue
		}
		if best == nil || s.workRate < best.workRate {
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

// addFasterCopies adds a copy of each requested model that no upstream has loaded yet, where a host has it and there is
// memory for it, if its loads from the weight store will take longer than that: an upstream that comes back from a crash
// still has the models on its disk that others began to load.
func (r *round) addFasterCopies() {
	for i := range r.engine.Models {
		m := &r.engine.Models[i]
		if !r.demands[m.Name].requested() || len(r.copies[m.Name]) == 0 || r.isLoaded(m.Name) || !r.mayLoad(m.Name) {
			continue
		}
		if r.nextArrival(m).Sub(r.now) <= 2*hostLoadTime {
			continue
		}
		if s := r.emptiestHost(m); s != nil {
			r.orderLoad(s, m.Name)
		}
	}
}

// nextArrival returns when the first copy of a model that is being loaded is expected to be there.
func (r *round) nextArrival(m *fleet.Model) clock.Time {
	next := clock.Time(math.MaxInt64)
	for _, l := range r.copies[m.Name] {
		next = min(next, l.arrival(r.now, m))
	}
	return next
}

// emptiestHost returns the least loaded site that has a copy of the model on its host and memory for it; nil if there is
// none.
func (r *round) emptiestHost(m *fleet.Model) *site {
	var best *site
	for _, s := range r.sites {
		if _, has := s.models[m.Name]; has || s.ordered || !s.canSendModelOrder(r.now) || r.isReserved(s) || !s.hasHostCopy(m.Name) || !r.fits(s, m) {
			continue
		}
		if best == nil || s.workRate < best.workRate {
			best = s
		}
	}
	return best
}

// addHotCopies adds copies of models whose copies all exceed highUtilization.
func (r *round) addHotCopies() {
	type hot struct {
		model    units.ModelID
		workRate float64
	}
	var list []hot
	for _, m := range r.engine.Models {
		copies, work := r.copies[m.Name], r.workOf(m.Name)
		if len(copies) == 0 || work <= 0 {
			continue
		}
		leastRate, pending := leastWork(copies), r.pendingCopies(m.Name)
		wanted := int(math.Ceil(work / (highUtilization * engineCapacity)))
		if leastRate > highUtilization*engineCapacity && pending < min(max(wanted-len(copies)+pending, 1), maxPendingHotCopies) {
			list = append(list, hot{m.Name, leastRate})
		}
	}
	slices.SortStableFunc(list, func(a, b hot) int { return cmp.Compare(b.workRate, a.workRate) })
	for _, h := range list {
		r.addCopy(h.model, false, h.workRate)
	}
}

// restoreUnrequested adds a copy of each model that has none and isn't requested, while the
// load budget allows it or a host has it, because demand may shift to such a model at any time. While other models are
// short, none is unloaded for it.
func (r *round) restoreUnrequested() {
	for _, m := range r.engine.Models {
		if len(r.copies[m.Name]) > 0 || r.pendingCopies(m.Name) > 0 {
			continue
		}
		switch {
		case r.budget.tokens < spareLoadTokens:
			if s := r.emptiestHost(&m); s != nil && r.mayLoad(m.Name) {
				r.orderLoad(s, m.Name)
			}
		case r.short > 0:
			r.loadWhereFits(m.Name)
		default:
			r.addCopy(m.Name, false, math.Inf(1))
		}
	}
}
