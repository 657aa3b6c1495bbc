package assign

import (
	"cmp"
	"math"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
)

const (
	// minAdapterAge is the time after its load or last request during which an adapter isn't
	// unloaded.
	minAdapterAge = 800 * clock.Millisecond
	// minIdleAdapterAge is that time if an adapter that others have too needs the slot.
	minIdleAdapterAge = 3 * clock.Second
	// minAdapterGain is the least part of an engine's capacity that a further copy of an adapter has to win. It is lower
	// than that of a model, as adapters load in milliseconds.
	minAdapterGain = 0.02
	// hotAdapterWork is the work at each copy of an adapter, as a share of an engine's capacity, above which it gets another
	// one where a slot is free.
	hotAdapterWork = 0.05
)

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

// addFurtherAdapters orders adapters at further copies of their models: where requests for an adapter are refused or wait
// for too long, as many as that work needs, the one that lacks most first; else where all copies that have it are hot.
func (r *round) addFurtherAdapters() {
	type short struct {
		target Target
		need   float64
	}
	var list []short
	for t, demand := range r.input.Demand {
		if t.Service != r.service.Name || t.Adapter == "" || demand.WorkRate <= 0 {
			continue
		}
		holders := r.holdersOf(t)
		if len(holders) == 0 || len(holders) >= len(r.copiesOf(t)) {
			continue
		}
		list = append(list, short{t, demand.shortage() - r.pendingAdapterRoom(t, holders)})
	}
	slices.SortFunc(list, func(a, b short) int {
		return cmp.Or(cmp.Compare(b.need, a.need), cmp.Compare(a.target.Model, b.target.Model), cmp.Compare(a.target.Adapter, b.target.Adapter))
	})
	for _, a := range list {
		if a.need <= minAdapterGain*engineCapacity {
			r.addHotAdapter(a.target)
			continue
		}
		for need := a.need; need > 0; {
			won := r.addShortAdapter(a.target, need)
			if won == 0 {
				break
			}
			need -= won
		}
	}
}

// pendingAdapterRoom returns the capacity of the upstreams that have an adapter since so late that the refusals that are
// known are from before.
func (r *round) pendingAdapterRoom(t Target, holders []*placement) float64 {
	room := 0.0
	for _, l := range holders {
		at := r.now
		if l.copy != nil {
			if loadedAt, ok := l.copy.adapters[t.Adapter]; ok {
				at = loadedAt
			}
		}
		room += olderRefusalShare(r.now.Sub(at)) * r.room(l.site)
	}
	return room
}

// addShortAdapter orders the adapter at the copy of its model with most room and returns that room, at most need; 0 if no
// copy has enough.
func (r *round) addShortAdapter(t Target, need float64) float64 {
	best, most := (*placement)(nil), 0.0
	for _, l := range r.copiesOf(t) {
		if !r.takesAdapter(l, t) {
			continue
		}
		room := r.room(l.site)
		if l.adapters() >= r.engine.AdapterSlots {
			if _, ok := r.leastRecentAdapter(l.site, minIdleAdapterAge, false); !ok {
				continue
			}
			room /= 2
		}
		if room >= minAdapterGain*l.capacity && room > most {
			best, most = l, room
		}
	}
	if best == nil || !r.orderAdapter(best, t, minIdleAdapterAge, false) {
		return 0
	}
	won := min(most, need)
	best.workRate += won
	return won
}

// addHotAdapter orders the adapter at a copy of its model with a free slot if there is more than hotAdapterWork for each of
// those that have it.
func (r *round) addHotAdapter(t Target) {
	if r.input.Demand[t].WorkRate <= hotAdapterWork*engineCapacity*float64(len(r.holdersOf(t))) {
		return
	}
	var best *placement
	for _, l := range r.copiesOf(t) {
		if r.takesAdapter(l, t) && l.adapters() < r.engine.AdapterSlots && (best == nil || l.workRate < best.workRate) {
			best = l
		}
	}
	if best != nil {
		r.orderAdapter(best, t, minIdleAdapterAge, false)
	}
}

// takesAdapter reports whether an order for the adapter can be sent to the upstream of a copy now. An upstream refuses
// adapter orders while it executes a model order.
func (r *round) takesAdapter(l *placement, t Target) bool {
	return l.loaded() && !l.ordered && l.canSendModelOrder(r.now) && !l.hasAdapter(t.Adapter)
}

// hasAdapter reports whether the copy has the adapter, or is about to load it.
func (l *placement) hasAdapter(adapter string) bool {
	if o := l.pendingOrder; o != nil && l.unansweredAt == 0 && !o.Unload && o.Model == l.model.Name && o.Adapter == adapter {
		return true
	}
	if l.copy == nil {
		return false
	}
	_, has := l.copy.adapters[adapter]
	return has
}

// copiesOf returns the copies of the target's model.
func (r *round) copiesOf(t Target) []*placement {
	if m, ok := r.byName[t.Model]; ok {
		return m.copies
	}
	return nil
}

// holdersOf returns the copies of its model that have the adapter, or load it.
func (r *round) holdersOf(t Target) []*placement {
	if m, ok := r.byName[t.Model]; ok {
		return m.holders(t.Adapter)
	}
	return nil
}

// hasAdapter reports whether a copy of the model has the adapter or is loading it.
func (r *round) hasAdapter(t Target) bool { return len(r.holdersOf(t)) > 0 }

// addAdapter orders the adapter on the upstream of the least-loaded copy of its model.
func (r *round) addAdapter(t Target) {
	var best *placement
	bestCost := math.Inf(1)
	for _, l := range r.copiesOf(t) {
		if !r.takesAdapter(l, t) {
			continue
		}
		cost := float64(r.input.InFlight[l.id]) + 2*float64(l.adapters())
		if l.adapters() >= r.engine.AdapterSlots {
			if _, ok := r.leastRecentAdapter(l.site, minAdapterAge, true); !ok {
				continue
			}
			cost += 100
		}
		if cost < bestCost {
			best, bestCost = l, cost
		}
	}
	if best != nil {
		r.orderAdapter(best, t, minAdapterAge, true)
	}
}

// orderAdapter orders an adapter on an upstream. If all its adapter slots are in use, it orders the unload of the least
// recently requested adapter instead, as leastRecentAdapter chooses it; a later round loads the new one. It returns
// false if it ordered nothing.
func (r *round) orderAdapter(l *placement, t Target, minAge clock.Span, further bool) bool {
	switch {
	case l.adapters() >= r.engine.AdapterSlots:
		v, ok := r.leastRecentAdapter(l.site, minAge, further)
		if !ok {
			return false
		}
		r.addOrder(l.site, PlannedOrder{Unload: true, Model: v.Model, Adapter: v.Adapter})
	case l.usedMegabytes+l.model.AdapterMegabytes <= r.engine.MemoryMegabytes:
		r.addOrder(l.site, PlannedOrder{Model: t.Model, Adapter: t.Adapter})
	default:
		return false
	}
	return true
}

// leastRecentAdapter returns the least recently requested adapter of the upstream; ok is false if all of its adapters were
// loaded or requested within minAge, or the upstream refused to unload them. With further set, adapters that another
// upstream has too come first, whenever they were requested.
func (r *round) leastRecentAdapter(s *site, minAge clock.Span, further bool) (Target, bool) {
	var best Target
	bestAt := clock.Time(math.MaxInt64)
	for model, c := range s.models {
		for name, since := range c.adapters {
			t := Target{r.service.Name, model, name}
			at := r.p.lastRequested[t]
			if further && r.now.Sub(since) >= minAge && r.hasOtherHolder(s, t) {
				at = 0
			}
			if r.now.Sub(since) < minAge || at != 0 && r.now.Sub(at) < minAge || r.unloadRefused(s, t) {
				continue
			}
			if at < bestAt || (at == bestAt && name < best.Adapter) {
				best, bestAt = t, at
			}
		}
	}
	return best, best.Adapter != ""
}

// hasOtherHolder reports whether another upstream has the adapter too.
func (r *round) hasOtherHolder(s *site, t Target) bool {
	return slices.ContainsFunc(r.copiesOf(t), func(l *placement) bool { return l.site != s && l.loaded() && l.hasAdapter(t.Adapter) })
}

// unloadRefused reports whether the upstream refused to unload the adapter a moment ago.
func (r *round) unloadRefused(s *site, t Target) bool {
	at := s.unloadRefusedAt[t]
	return at != 0 && r.now.Sub(at) < refusedUnloadDelay
}
