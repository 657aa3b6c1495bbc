package assign

import (
	"cmp"
	"math"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
)

// maxPendingHotCopies is the maximum number of pending copies of a model that is hot, but not short.
const maxPendingHotCopies = 3

// addMissingCopies adds a copy of each requested model without one. The models with the most work come first.
func (r *round) addMissingCopies() {
	var missing []*modelState
	for _, m := range r.models {
		if len(m.copies) == 0 && m.demand.requested() {
			missing = append(missing, m)
		}
	}
	slices.SortStableFunc(missing, func(a, b *modelState) int { return cmp.Compare(b.demand.WorkRate, a.demand.WorkRate) })
	for _, m := range missing {
		if len(m.reserved) > 0 {
			r.loadWhereFits(m)
			continue
		}
		r.addCopy(m, true, math.Inf(1))
	}
}

// loadWhereFits orders a model without a copy on an upstream with enough free memory and
// cancels the model's reservations. This is faster than the reserved upstream, where the
// unload waits for all requests that run on the victim.
func (r *round) loadWhereFits(m *modelState) {
	if !r.mayLoad(m) {
		return
	}
	var best *site
	for _, s := range r.sites {
		if (best == nil || s.workRate < best.workRate) && r.takesModel(s, m) && r.fits(s, m) && r.withinStoreBudget(s, m) {
			best = s
		}
	}
	if best == nil {
		return
	}
	for _, s := range slices.Clone(m.reserved) {
		r.unreserve(s)
	}
	r.orderLoad(best, m)
}

// addFasterCopies adds a copy of each requested model that no upstream has loaded yet, where a host has it and there is
// memory for it, if its loads from the weight store will take longer than that: an upstream that comes back from a crash
// still has the models on its disk that others began to load.
func (r *round) addFasterCopies() {
	for _, m := range r.models {
		if len(m.copies) == 0 || m.loaded() || !m.demand.requested() || !r.mayLoad(m) || r.nextArrival(m).Sub(r.now) <= 2*hostLoadTime {
			continue
		}
		if s := r.emptiestHost(m); s != nil {
			r.orderLoad(s, m)
		}
	}
}

// nextArrival returns when the first copy of a model that is being loaded is expected to be there.
func (r *round) nextArrival(m *modelState) clock.Time {
	next := clock.Time(math.MaxInt64)
	for _, l := range m.copies {
		next = min(next, l.arrival(r.now))
	}
	return next
}

// emptiestHost returns the least loaded site that has a copy of the model on its host and memory for it; nil if there is
// none.
func (r *round) emptiestHost(m *modelState) *site {
	var best *site
	for _, s := range r.sites {
		if (best == nil || s.workRate < best.workRate) && r.takesModel(s, m) && r.fits(s, m) && s.hasHostCopy(m.Name) {
			best = s
		}
	}
	return best
}

// addHotCopies adds copies of models whose copies all exceed highUtilization.
func (r *round) addHotCopies() {
	type hot struct {
		model    *modelState
		workRate float64
	}
	var list []hot
	for _, m := range r.models {
		if len(m.copies) == 0 || m.demand.WorkRate <= 0 {
			continue
		}
		leastRate, pending := leastWork(m.copies), m.pending()
		wanted := int(math.Ceil(m.demand.WorkRate / (highUtilization * engineCapacity)))
		if leastRate > highUtilization*engineCapacity && pending < min(max(wanted-len(m.copies)+pending, 1), maxPendingHotCopies) {
			list = append(list, hot{m, leastRate})
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
	for _, m := range r.models {
		if m.pending() > 0 || len(m.copies) > 0 {
			continue
		}
		switch {
		case r.budget.tokens < spareLoadTokens:
			if s := r.emptiestHost(m); s != nil && r.mayLoad(m) {
				r.orderLoad(s, m)
			}
		case r.short > 0:
			r.loadWhereFits(m)
		default:
			r.addCopy(m, false, math.Inf(1))
		}
	}
}
