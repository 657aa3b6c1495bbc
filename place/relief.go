package place

import (
	"cmp"
	"slices"

	"github.com/magnolialever/magnolialever/units"
)

// relieveReplicas adds copies of targets on replicas that are used too much.
func (r *round) relieveReplicas() {
	busy := slices.Clone(r.replicas)
	slices.SortFunc(busy, func(a, b *replica) int {
		return cmp.Or(-cmp.Compare(a.share(), b.share()), cmp.Compare(a.ID, b.ID))
	})
	for _, v := range busy {
		if v.share() < highUse || r.searches > maxSearches || r.planner.credit < float64(1+r.promised) {
			return
		}
		for _, id := range v.flows() {
			if r.relieve(v, r.targets[id]) {
				break
			}
		}
	}
}

// flows returns the targets whose work on v is worth another copy, the largest first.
func (v *replica) flows() []units.ModelID {
	var list []units.ModelID
	for id, f := range v.flow {
		if f >= minGain*float64(v.Throughput) {
			list = append(list, id)
		}
	}
	slices.SortFunc(list, func(a, b units.ModelID) int {
		return cmp.Or(-cmp.Compare(v.flow[a], v.flow[b]), cmp.Compare(a, b))
	})
	return list
}

// relieve orders another copy of t, and reports whether one is on its way.
func (r *round) relieve(v *replica, t Target) bool {
	if r.loadingSomewhere(t.ID) && r.suffice(t.ID) {
		return true
	}
	r.searches++
	to, gain := r.relief(v, t, v.flow[t.ID])
	if to == nil && t.Base != "" {
		// No other replica with the base model can help, so the base model needs another
		// copy first.
		if r.loadingSomewhere(t.Base) {
			return true
		}
		to, gain = r.relief(v, r.targets[t.Base], v.flow[t.ID])
		t = r.targets[t.Base]
	}
	if to == nil {
		return false
	}
	if to.free < t.Bytes {
		victims, _, _ := r.victims(to, t)
		for _, o := range victims {
			r.unload(to, o)
		}
		to.free -= t.Bytes
		r.promised++
	} else if !r.load(to, t) {
		return false
	}
	v.use -= gain
	to.use += gain
	return true
}

// relief returns the replica on which a further copy of t takes over most of the flow
// of v, less the work that making room displaces, and what it takes over.
func (r *round) relief(v *replica, t Target, flow float64) (to *replica, gain float64) {
	best := 0.0
	for _, u := range r.hosts(t) {
		moved := min(flow/2, (v.share()-u.share())*float64(u.Throughput)/2)
		if u == v || moved < minGain*float64(u.Throughput) || moved <= best || !r.canTake(u, t) {
			continue
		}
		net := moved
		if u.free < t.Bytes {
			_, cost, ok := r.victims(u, t)
			if !ok {
				continue
			}
			net -= cost + evictionCost*float64(u.Throughput)
		}
		if net >= minGain*float64(u.Throughput) && net > best {
			to, gain, best = u, moved, net
		}
	}
	return to, gain
}

// suffice tells whether the copies, with those on their way, could serve the target if
// they had nothing else to do. A surge beyond that does not wait for one load after
// the other.
func (r *round) suffice(id units.ModelID) bool {
	speed := units.Tokens(0)
	for _, v := range r.copies[id] {
		speed += v.Throughput
	}
	return max(r.demand[id].ShortTerm, r.demand[id].LongTerm) <= highUse*float64(speed)
}

// loadingSomewhere tells whether a copy is on its way, whose effect must be awaited.
func (r *round) loadingSomewhere(id units.ModelID) bool {
	return slices.ContainsFunc(r.copies[id], func(v *replica) bool { return !v.has[id] })
}

// spreadZones uses free memory for a copy in a second availability zone, so that a
// target stays reachable when a zone leaves.
func (r *round) spreadZones() {
	for _, t := range r.order {
		if r.planner.credit < 1+spareBudget {
			return
		}
		copies := r.copies[t.ID]
		if len(copies) == 0 || r.loadingSomewhere(t.ID) || len(zonesOf(copies)) > 1 {
			continue
		}
		if _, ok := r.planner.spread[t.ID]; ok {
			continue
		}
		zone := copies[0].Zone
		var best *replica
		for _, v := range r.hosts(t) {
			wanted := r.demand[t.ID].LongTerm >= spreadShare*float64(v.Throughput)
			if wanted && v.Zone != zone && v.free >= t.Bytes && (best == nil || v.free > best.free) && r.canTake(v, t) {
				best = v
			}
		}
		if best != nil {
			r.load(best, t)
			r.planner.spread[t.ID] = r.now
		}
	}
}

func zonesOf(copies []*replica) map[units.Zone]bool {
	zones := map[units.Zone]bool{}
	for _, v := range copies {
		zones[v.Zone] = true
	}
	return zones
}
