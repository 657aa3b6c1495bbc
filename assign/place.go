package assign

import (
	"math"

	"github.com/magnolialever/magnolialever/clock"
)

const (
	// highUtilization is the share of engineCapacity above which, if all copies of a model
	// exceed it, the model gets another copy.
	highUtilization = 0.15
	// lowUtilization limits the upstreams that can get another copy of a hot model: their
	// work rate is at most this share of that of the model's least-loaded copy.
	lowUtilization = 0.7
	// minCopyAge is the age below which a copy isn't unloaded, unless for a requested model
	// without a copy.
	minCopyAge = 5 * clock.Second
	// unloadCost and storeLoadCost are the costs of an unload and of a load from the weight
	// store when upstreams are compared, as a share of engineCapacity.
	unloadCost    = 0.15
	storeLoadCost = 0.3
	// crowdedCost is the cost of a site that has to unload a second model before the load.
	crowdedCost = 2.0
	// zoneCost is the cost of a site in a zone that asks for no copy.
	zoneCost = 0.2
)

// addCopy orders one more copy of the model on the upstream with the lowest cost (load, unload
// of a victim, read from the weight store). If the model doesn't fit, it orders the unload of a
// victim and reserves the upstream. Unless the model is missing (requested without a copy), only
// upstreams with a work rate of at most lowUtilization of workRate (prompt tokens/s) qualify.
func (r *round) addCopy(m *modelState, missing bool, workRate float64) {
	if !r.mayLoad(m) {
		return
	}
	var best *site
	var victim *placement
	bestCost := math.Inf(1)
	for _, s := range r.sites {
		if !missing && s.workRate > workRate*lowUtilization || !r.takesModel(s, m) {
			continue
		}
		cost := s.workRate / engineCapacity
		var v *placement
		if r.fits(s, m) {
			if !r.withinStoreBudget(s, m) {
				continue
			}
		} else {
			var loss float64
			if v, loss = r.chooseVictim(s, m, missing); v == nil || !r.withinNextBudget(s, m) {
				continue
			}
			cost += unloadCost + lossWeight*loss/engineCapacity
			if !r.fitsWithout(s, m, v.megabytes) {
				cost += crowdedCost
			}
		}
		if !s.hasHostCopy(m.Name) {
			cost += storeLoadCost
		}
		if m.demand.WorkRate > 0 {
			cost += zoneCost * (1 - m.zoneDeficit(s.entry.Zone)/m.demand.WorkRate)
		}
		if cost < bestCost {
			best, victim, bestCost = s, v, cost
		}
	}
	switch {
	case best == nil:
	case victim == nil:
		r.orderLoad(best, m)
	default:
		moveWork(victim)
		r.reserve(best, m, victim)
	}
}

// chooseVictim returns the copy to unload from the upstream so that m fits, or nil if no copy can be unloaded, and its
// work in prompt tokens/s for which the other copies have no room. Copies that still load can't stand in for it.
// The last copy of a model is only unloaded for a missing model, and only after lastCopyIdleTime without requests.
func (r *round) chooseVictim(s *site, m *modelState, missing bool) (*placement, float64) {
	var victim *placement
	least, leastLoss := math.Inf(1), 0.0
	for _, l := range s.copies {
		v := l.model
		if !missing && (v.recentlyShort || r.now.Sub(l.copy.since) < minCopyAge || !r.fitsWithout(s, m, l.megabytes)) {
			continue
		}
		spare, rest := r.spareWithout(l)
		cost, loss := v.demand.WorkRate/max(float64(rest), 0.5), 0.0
		switch {
		case rest > 0 && (missing || cost < highUtilization*engineCapacity):
		case rest <= 0 && missing && !v.recent:
			cost += engineCapacity
		default:
			continue
		}
		if rest > 0 {
			loss = max(l.modelWork-spare, 0)
			cost += lossWeight * loss
		}
		if cost < least {
			victim, least, leastLoss = l, cost, loss
		}
	}
	return victim, leastLoss
}
