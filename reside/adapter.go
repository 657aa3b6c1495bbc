package reside

import (
	"cmp"
	"math"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
)

// coverAdapters loads adapters that are asked for and that no copy of their model
// holds.
func (r *round) coverAdapters() {
	var wanted []Target
	for t, n := range r.w.Demands {
		if t.Service == r.service.Name && t.Adapter != "" && (n.Missed > 0 || n.Tokens > 1) && !r.held(t) {
			wanted = append(wanted, t)
		}
	}
	slices.SortFunc(wanted, func(a, b Target) int {
		return cmp.Or(cmp.Compare(r.w.Demands[b].Missed, r.w.Demands[a].Missed),
			cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	for _, t := range wanted {
		r.addAdapter(t)
	}
}

func (r *round) held(t Target) bool {
	return slices.ContainsFunc(r.copies[t.Model], func(s *site) bool {
		c, ok := s.models[t.Model]
		if !ok {
			return false
		}
		_, ok = c.adapters[t.Adapter]
		return ok
	})
}

// addAdapter loads an adapter beside a copy of its model, in place of the one that was
// not asked for longest if need be.
func (r *round) addAdapter(t Target) {
	m, ok := r.engine.Model(t.Model)
	if !ok {
		return
	}
	var best *site
	bestCost := math.Inf(1)
	for _, s := range r.copies[t.Model] {
		c, has := s.models[t.Model]
		// An upstream refuses orders for adapters while one for a model is under way.
		if !has || c.loading || r.used[s] || !s.idle(r.now) {
			continue
		}
		cost := float64(r.w.InFlight[r.ids[s]]) + 2*float64(s.adapters())
		if s.adapters() >= r.engine.AdapterSlots {
			if _, ok := r.oldest(s); !ok {
				continue
			}
			cost += 100
		}
		if cost < bestCost {
			best, bestCost = s, cost
		}
	}
	switch {
	case best == nil:
	case best.adapters() >= r.engine.AdapterSlots:
		v, _ := r.oldest(best)
		r.command(best, PlannedOrder{Unload: true, Model: v.Model, Adapter: v.Adapter})
	case best.usedMegabytes(r.engine)+m.AdapterMegabytes <= r.engine.Megabytes:
		r.command(best, PlannedOrder{Model: t.Model, Adapter: t.Adapter})
	}
}

// oldest returns the adapter of the upstream that was not asked for longest.
func (r *round) oldest(s *site) (Target, bool) {
	var best Target
	bestAt := clock.Time(math.MaxInt64)
	for model, c := range s.models {
		for name, since := range c.adapters {
			t := Target{r.service.Name, model, name}
			at := r.p.asked[t]
			if r.now.Sub(since) < adapterKeep || r.now.Sub(at) < adapterKeep && at != 0 {
				continue
			}
			if at < bestAt || (at == bestAt && name < best.Adapter) {
				best, bestAt = t, at
			}
		}
	}
	return best, best.Adapter != ""
}
