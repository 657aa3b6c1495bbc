package place

import (
	"cmp"
	"slices"

	"github.com/magnolialever/magnolialever/units"
)

// makeRoom evicts targets so that t can be loaded, on the replica where the evictions
// displace the least work. It orders only the unloads: a later round loads t, after the
// agent has confirmed that the memory is free.
func (r *round) makeRoom(t Target) {
	var victims []Target
	var host *replica
	lowestCost := 0.0
	for _, v := range r.candidates(t) {
		if v.Capacity < t.Bytes || !r.canLoad(v, t) {
			continue
		}
		candidate, cost, ok := r.selectVictims(v, t)
		if ok && (host == nil || cost < lowestCost) {
			victims, host, lowestCost = candidate, v, cost
		}
	}
	if host == nil {
		return
	}
	for _, o := range victims {
		r.startUnload(host, o)
	}
	// Reserves the memory for t, so that no other target of this round gets it.
	host.free -= t.Bytes
}

// startUnload orders the unload of t from v.
func (r *round) startUnload(v *replica, t Target) {
	r.issue(Unload, v, t)
	v.unloading[t.ID] = true
	r.copies[t.ID] = slices.DeleteFunc(r.copies[t.ID], func(o *replica) bool { return o == v })
}

// eviction is a target that may be evicted from a replica, with its adapters there.
type eviction struct {
	target   Target
	adapters []Target
	// blocked is set while adapters of the target are being unloaded: a base model is
	// unloaded only after its adapters.
	blocked bool
	// bytes is the memory of the target and its adapters.
	bytes units.Bytes
	// cost is the load that the eviction displaces, in tokens per second.
	cost float64
}

// selectVictims returns the targets to unload from v so that t fits, and the load that
// this displaces in tokens per second; ok is false when t can't fit. Memory that pending
// unloads will free counts as free. A base model is unloaded in a later round than its
// adapters, which need it.
func (r *round) selectVictims(v *replica, t Target) (victims []Target, cost float64, ok bool) {
	shortfall := t.Bytes - v.free
	for id := range v.unloading {
		shortfall -= r.targets[id].Bytes
	}
	chosen := map[units.ModelID]bool{}
	for _, e := range r.evictionCandidates(v, t) {
		if shortfall <= 0 {
			break
		}
		for _, o := range e.adapters {
			if chosen[o.ID] {
				shortfall += o.Bytes
				continue
			}
			chosen[o.ID] = true
			victims = append(victims, o)
		}
		if len(e.adapters) == 0 && !e.blocked && !chosen[e.target.ID] {
			chosen[e.target.ID] = true
			victims = append(victims, e.target)
		}
		cost += e.cost
		shortfall -= e.bytes
	}
	return victims, cost, shortfall <= 0
}

// evictionCandidates returns the possible evictions from v in favor of t, those with the
// least cost first.
func (r *round) evictionCandidates(v *replica, t Target) []eviction {
	var evictions []eviction
	for id, resident := range v.resident {
		if !resident || !r.evictable(v, id, t) {
			continue
		}
		o := r.targets[id]
		// A target that is no longer configured is not in r.targets; its size is unknown.
		o.ID = id
		if e, ok := r.evictionWithAdapters(v, o, t); ok {
			evictions = append(evictions, e)
		}
	}
	slices.SortFunc(evictions, func(a, b eviction) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), -cmp.Compare(a.bytes, b.bytes), cmp.Compare(a.target.ID, b.target.ID))
	})
	return evictions
}

// evictionWithAdapters returns the eviction of o and its adapters from v in favor of t, or
// false when one of the adapters must stay.
func (r *round) evictionWithAdapters(v *replica, o, t Target) (eviction, bool) {
	e := eviction{target: o, bytes: o.Bytes, cost: v.targetLoad[o.ID]}
	if o.Base != "" {
		return e, true
	}
	for id, resident := range v.resident {
		a, configured := r.targets[id]
		if !configured || a.Base != o.ID {
			continue
		}
		if v.unloading[id] {
			e.blocked = true
			continue
		}
		if !resident || !r.evictable(v, id, t) {
			return e, false
		}
		e.adapters = append(e.adapters, a)
		e.bytes += a.Bytes
		e.cost += v.targetLoad[id]
	}
	slices.SortFunc(e.adapters, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return e, true
}

// evictable reports whether the target may be evicted from v in favor of t. A configured
// target may be if it has another resident copy, or if it is idle and the priority of t is
// clearly higher. A target that is no longer configured always may be, unless an order for
// it is pending or has just failed.
func (r *round) evictable(v *replica, id units.ModelID, t Target) bool {
	if _, configured := r.targets[id]; !configured {
		return !v.unloading[id] && !r.recentlyFailed(v, id)
	}
	if v.unloading[id] || id == t.Base || r.recentlyFailed(v, id) || r.recentlyLoaded(v, id, t) {
		return false
	}
	for _, other := range r.copies[id] {
		if other != v && other.resident[id] {
			return true
		}
	}
	return r.demand[id].Waiting == 0 && r.demand[id].ShortTerm < idleDemand && r.priority(t.ID) >= idleDemand && r.priority(t.ID) > displaceFactor*r.priority(id)
}

// recentlyLoaded reports whether the copy on v was loaded too recently to be evicted. An
// idle copy may be evicted at any age when requests wait for t.
func (r *round) recentlyLoaded(v *replica, id units.ModelID, t Target) bool {
	if _, ok := r.planner.loadedAt[placement{v.ID, id}]; !ok {
		return false
	}
	return r.priority(id) >= idleDemand || r.demand[t.ID].Waiting == 0
}
