package assign

import (
	"cmp"
	"math"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
)

// minAdapterAge is the time after its load or last request during which an adapter isn't
// unloaded.
const minAdapterAge = 800 * clock.Millisecond

// addMissingAdapters orders the requested adapters that no copy of their model has loaded,
// those with the most misses first.
func (r *round) addMissingAdapters() {
	var wanted []Target
	for t, demand := range r.input.Demand {
		if t.Service == r.service.Name && t.Adapter != "" && (demand.Misses > 0 || demand.WorkRate > 1) && !r.hasAdapter(t) {
			wanted = append(wanted, t)
		}
	}
	slices.SortFunc(wanted, func(a, b Target) int {
		return cmp.Or(cmp.Compare(r.input.Demand[b].Misses, r.input.Demand[a].Misses),
			cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	for _, t := range wanted {
		r.addAdapter(t)
	}
}

// hasAdapter reports whether a copy of the model has the adapter or is loading it.
func (r *round) hasAdapter(t Target) bool { return len(r.holders(t)) > 0 }

// addAdapter orders the adapter on the upstream of the least-loaded copy of its model. On
// an upstream whose adapter slots are all in use, it orders the unload of the least recently
// requested adapter instead; a later round loads the new one.
func (r *round) addAdapter(t Target) {
	m, ok := r.models[t.Model]
	if !ok {
		return
	}
	var best *placement
	bestCost := math.Inf(1)
	for _, l := range r.copies[t.Model] {
		// An upstream refuses adapter orders while it executes a model order.
		if !l.loaded() || l.ordered || !l.canSendModelOrder(r.now) {
			continue
		}
		cost := float64(r.input.InFlight[l.id]) + 2*float64(l.adapters())
		if l.adapters() >= r.engine.AdapterSlots {
			if _, ok := r.leastRecentAdapter(l.site); !ok {
				continue
			}
			cost += 100
		}
		if cost < bestCost {
			best, bestCost = l, cost
		}
	}
	switch {
	case best == nil:
	case best.adapters() >= r.engine.AdapterSlots:
		v, _ := r.leastRecentAdapter(best.site)
		r.addOrder(best.site, PlannedOrder{Unload: true, Model: v.Model, Adapter: v.Adapter})
	case best.usedMegabytes+m.AdapterMegabytes <= r.engine.MemoryMegabytes:
		r.addOrder(best.site, PlannedOrder{Model: t.Model, Adapter: t.Adapter})
	}
}

// leastRecentAdapter returns the least recently requested adapter of the upstream; ok is
// false if all of its adapters were loaded or requested within minAdapterAge.
func (r *round) leastRecentAdapter(s *site) (Target, bool) {
	var best Target
	bestAt := clock.Time(math.MaxInt64)
	for model, c := range s.models {
		for name, since := range c.adapters {
			t := Target{r.service.Name, model, name}
			at := r.p.lastRequested[t]
			if r.now.Sub(since) < minAdapterAge || r.now.Sub(at) < minAdapterAge && at != 0 {
				continue
			}
			if at < bestAt || (at == bestAt && name < best.Adapter) {
				best, bestAt = t, at
			}
		}
	}
	return best, best.Adapter != ""
}
