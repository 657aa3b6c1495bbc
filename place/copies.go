package place

import (
	"cmp"
	"slices"

	"github.com/magnolialever/magnolialever/units"
)

// relieveOverloaded orders further copies of targets on replicas above highUtilization,
// the most utilized first. It orders at most one copy per replica and round.
func (r *round) relieveOverloaded() {
	byUtilization := slices.Clone(r.replicas)
	slices.SortFunc(byUtilization, func(a, b *replica) int {
		return cmp.Or(-cmp.Compare(a.utilization(), b.utilization()), cmp.Compare(a.ID, b.ID))
	})
	for _, v := range byUtilization {
		if v.utilization() < highUtilization || r.copySearches > maxSearches || r.planner.loadCredit < float64(1+r.deferredLoads) {
			return
		}
		for _, id := range v.copyCandidates() {
			if r.addCopy(v, r.targets[id]) {
				break
			}
		}
	}
}

// copyCandidates returns the targets whose load on v is large enough for another copy, the
// largest load first.
func (v *replica) copyCandidates() []units.ModelID {
	var targets []units.ModelID
	for id, load := range v.targetLoad {
		if load >= minGain*float64(v.Throughput) {
			targets = append(targets, id)
		}
	}
	slices.SortFunc(targets, func(a, b units.ModelID) int {
		return cmp.Or(-cmp.Compare(v.targetLoad[a], v.targetLoad[b]), cmp.Compare(a, b))
	})
	return targets
}

// addCopy orders another copy of t, or evictions that make room for one, to take load off
// v. It reports whether a copy of t or of its base model is being loaded or prepared.
func (r *round) addCopy(v *replica, t Target) bool {
	if r.isLoading(t.ID) && r.copiesSuffice(t.ID) {
		return true
	}
	r.copySearches++
	host, moved := r.bestCopyHost(v, t, v.targetLoad[t.ID])
	if host == nil && t.Base != "" {
		// No other replica with the base model can take the load, so the base model needs
		// another copy first.
		if r.isLoading(t.Base) {
			return true
		}
		host, moved = r.bestCopyHost(v, r.targets[t.Base], v.targetLoad[t.ID])
		t = r.targets[t.Base]
	}
	if host == nil {
		return false
	}
	if host.free < t.Bytes {
		victims, _, _ := r.selectVictims(host, t)
		for _, o := range victims {
			r.startUnload(host, o)
		}
		host.free -= t.Bytes
		r.deferredLoads++
	} else if !r.startLoad(host, t) {
		return false
	}
	v.load -= moved
	host.load += moved
	return true
}

// bestCopyHost returns the replica where another copy of t takes the most load off v, net
// of the load that evictions there displace, and the load that moves. load is the part of
// the load of v that the copy can share. Both are in tokens per second. host is nil when no
// copy would gain enough.
func (r *round) bestCopyHost(v *replica, t Target, load float64) (host *replica, movedLoad float64) {
	best := 0.0
	for _, u := range r.candidates(t) {
		moved := min(load/2, (v.utilization()-u.utilization())*float64(u.Throughput)/2)
		if u == v || moved < minGain*float64(u.Throughput) || moved <= best || !r.canLoad(u, t) {
			continue
		}
		net := moved
		if u.free < t.Bytes {
			_, cost, ok := r.selectVictims(u, t)
			if !ok {
				continue
			}
			net -= cost + evictionOverhead*float64(u.Throughput)
		}
		if net >= minGain*float64(u.Throughput) && net > best {
			host, movedLoad, best = u, moved, net
		}
	}
	return host, movedLoad
}

// copiesSuffice reports whether the replicas that have or load the target could serve its
// demand if they served nothing else. Otherwise further copies are loaded in parallel, so
// that a surge does not wait for one load after another.
func (r *round) copiesSuffice(id units.ModelID) bool {
	throughput := units.Tokens(0)
	for _, v := range r.copies[id] {
		throughput += v.Throughput
	}
	return max(r.demand[id].ShortTerm, r.demand[id].LongTerm) <= highUtilization*float64(throughput)
}

// isLoading reports whether a copy is being loaded. Decisions on further copies wait for its
// effect.
func (r *round) isLoading(id units.ModelID) bool {
	return slices.ContainsFunc(r.copies[id], func(v *replica) bool { return !v.resident[id] })
}

// addZoneCopies uses free memory for copies in a second availability zone, so that a
// target stays available when a zone fails.
func (r *round) addZoneCopies() {
	for _, t := range r.sortedTargets {
		if r.planner.loadCredit < 1+zoneCopyReserve {
			return
		}
		copies := r.copies[t.ID]
		if len(copies) == 0 || r.isLoading(t.ID) || len(zonesOf(copies)) > 1 {
			continue
		}
		if _, ok := r.planner.zoneCopiedAt[t.ID]; ok {
			continue
		}
		zone := copies[0].Zone
		var host *replica
		for _, v := range r.candidates(t) {
			demanded := r.demand[t.ID].LongTerm >= zoneCopyMinUtilization*float64(v.Throughput)
			if demanded && v.Zone != zone && v.free >= t.Bytes && (host == nil || v.free > host.free) && r.canLoad(v, t) {
				host = v
			}
		}
		if host != nil {
			r.startLoad(host, t)
			r.planner.zoneCopiedAt[t.ID] = r.now
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
