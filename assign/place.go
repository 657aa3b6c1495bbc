package assign

import (
	"math"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/units"
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
func (r *round) addCopy(id units.ModelID, missing bool, workRate float64) {
	m, ok := r.models[id]
	if !ok || !r.mayLoad(id) {
		return
	}
	var best *site
	var victim units.ModelID
	bestCost := math.Inf(1)
	for _, s := range r.sites {
		if _, has := s.models[id]; has || s.ordered || !s.canSendModelOrder(r.now) || r.isReserved(s) {
			continue
		}
		if !missing && s.workRate > workRate*lowUtilization {
			continue
		}
		cost := s.workRate / engineCapacity
		var v units.ModelID
		if r.fits(s, m) {
			if !r.withinStoreBudget(s, id) {
				continue
			}
		} else {
			if v, ok = r.chooseVictim(s, m, missing); !ok || !r.withinNextBudget(s, id) {
				continue
			}
			cost += unloadCost
			if !r.fitsWithout(s, m, r.megabytes(s, v)) {
				cost += crowdedCost
			}
		}
		if !s.hasHostCopy(id) {
			cost += storeLoadCost
		}
		if demand := r.demands[id]; demand.WorkRate > 0 {
			cost += zoneCost * (1 - r.zoneDeficit(id, s.entry.Zone)/demand.WorkRate)
		}
		if cost < bestCost {
			best, victim, bestCost = s, v, cost
		}
	}
	switch {
	case best == nil:
	case victim == "":
		r.orderLoad(best, id)
	default:
		r.reserve(best, id, victim)
	}
}

// megabytes returns the memory that the model and its adapters use at a site.
func (r *round) megabytes(s *site, id units.ModelID) float64 {
	m, ok := r.models[id]
	if !ok {
		return 0
	}
	return m.WeightMegabytes + float64(len(s.models[id].adapters))*m.AdapterMegabytes
}

// chooseVictim returns the model to unload from the upstream so that m fits, ok is false if no model can be unloaded.
// The last copy of a model is only unloaded for a missing model, and only after lastCopyIdleTime without requests.
func (r *round) chooseVictim(s *site, m *fleet.Model, missing bool) (units.ModelID, bool) {
	var victim units.ModelID
	least := math.Inf(1)
	for id, c := range s.models {
		if c.loading || !missing && (r.now.Sub(c.since) < minCopyAge || r.isHeld(id) || !r.fitsWithout(s, m, r.megabytes(s, id))) {
			continue
		}
		rest := len(r.copies[id]) - 1
		cost := r.workOf(id) / max(float64(rest), 0.5)
		switch {
		case rest > 0 && (missing || cost < highUtilization*engineCapacity):
		case rest <= 0 && missing && !r.recentModels[id]:
			cost += engineCapacity
		default:
			continue
		}
		if cost < least || (cost == least && id < victim) {
			victim, least = id, cost
		}
	}
	return victim, victim != ""
}

// workOf returns the demand for a model in prompt tokens/s.
func (r *round) workOf(id units.ModelID) float64 {
	demand, ok := r.demands[id]
	if !ok {
		return 0
	}
	return demand.WorkRate
}
