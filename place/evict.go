package place

import (
	"cmp"
	"slices"

	"github.com/magnolialever/magnolialever/units"
)

// makeRoom unloads what is worth least, on the replica where that costs least. The
// load follows when the agent has confirmed that the memory is free.
func (r *round) makeRoom(t Target) {
	var best []Target
	var from *replica
	bestCost := 0.0
	for _, v := range r.hosts(t) {
		if v.Capacity < t.Bytes || !r.canTake(v, t) {
			continue
		}
		victims, cost, ok := r.victims(v, t)
		if ok && (from == nil || cost < bestCost) {
			best, from, bestCost = victims, v, cost
		}
	}
	if from == nil {
		return
	}
	for _, o := range best {
		r.unload(from, o)
	}
	// The room is not for another target of this round too.
	from.free -= t.Bytes
}

func (r *round) unload(v *replica, t Target) {
	r.command(Unload, v, t)
	v.leaving[t.ID] = true
	r.copies[t.ID] = slices.DeleteFunc(r.copies[t.ID], func(o *replica) bool { return o == v })
}

// eviction is a target that may leave a replica, with its adapters there.
type eviction struct {
	target   Target
	adapters []Target
	// waits is set while adapters are being unloaded, before which the target can't go.
	waits bool
	bytes units.Bytes
	// cost is the work that it displaces, in tokens a second.
	cost float64
}

// victims returns what has to go from v for t, and the work that it would displace.
// Memory that pending unloads will free counts as free. A base model goes in a later
// round than its adapters, which need it.
func (r *round) victims(v *replica, t Target) (list []Target, cost float64, ok bool) {
	need := t.Bytes - v.free
	for id := range v.leaving {
		need -= r.targets[id].Bytes
	}
	chosen := map[units.ModelID]bool{}
	for _, e := range r.evictions(v, t) {
		if need <= 0 {
			break
		}
		for _, o := range e.adapters {
			if chosen[o.ID] {
				need += o.Bytes
				continue
			}
			chosen[o.ID] = true
			list = append(list, o)
		}
		if len(e.adapters) == 0 && !e.waits && !chosen[e.target.ID] {
			chosen[e.target.ID] = true
			list = append(list, e.target)
		}
		cost += e.cost
		need -= e.bytes
	}
	return list, cost, need <= 0
}

// evictions returns what may leave v for t, the cheapest first.
func (r *round) evictions(v *replica, t Target) []eviction {
	var list []eviction
	for id, resident := range v.has {
		if !resident || !r.expendable(v, id, t) {
			continue
		}
		o := r.targets[id]
		// A target that is no longer configured has no known size.
		o.ID = id
		if e, ok := r.withAdapters(v, o, t); ok {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b eviction) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), -cmp.Compare(a.bytes, b.bytes), cmp.Compare(a.target.ID, b.target.ID))
	})
	return list
}

// withAdapters returns the eviction of o, or false when one of its adapters has to
// stay.
func (r *round) withAdapters(v *replica, o, t Target) (eviction, bool) {
	e := eviction{target: o, bytes: o.Bytes, cost: v.flow[o.ID]}
	if o.Base != "" {
		return e, true
	}
	for id, resident := range v.has {
		a, known := r.targets[id]
		if !known || a.Base != o.ID {
			continue
		}
		if v.leaving[id] {
			e.waits = true
			continue
		}
		if !resident || !r.expendable(v, id, t) {
			return e, false
		}
		e.adapters = append(e.adapters, a)
		e.bytes += a.Bytes
		e.cost += v.flow[id]
	}
	slices.SortFunc(e.adapters, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return e, true
}

// expendable tells whether a target may leave v for t: it has another resident copy,
// or nobody asks for it while somebody asks for t.
func (r *round) expendable(v *replica, id units.ModelID, t Target) bool {
	if _, known := r.targets[id]; !known {
		return !v.leaving[id] && !r.failed(v, id)
	}
	if v.leaving[id] || id == t.Base || r.failed(v, id) || r.settling(v, id, t) {
		return false
	}
	for _, other := range r.copies[id] {
		if other != v && other.has[id] {
			return true
		}
	}
	return r.demand[id].Waiting == 0 && r.demand[id].ShortTerm < idleUse && r.wanted(t.ID) >= idleUse && r.wanted(t.ID) > keepFactor*r.wanted(id)
}

// settling reports whether a copy is too new to go. It may go at once when nobody
// asks for it and requests wait for t.
func (r *round) settling(v *replica, id units.ModelID, t Target) bool {
	if _, ok := r.planner.loaded[place{v.ID, id}]; !ok {
		return false
	}
	return r.wanted(id) >= idleUse || r.demand[t.ID].Waiting == 0
}
