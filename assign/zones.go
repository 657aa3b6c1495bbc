package assign

import (
	"cmp"
	"math"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// zoneTimeConstant is the time constant of the average of demand by zone. It is longer than that of demand: traffic
	// between zones costs less than a refusal, so that only demand that stays is worth a load.
	zoneTimeConstant = 10 * clock.Second
	// zoneWeight is the weight of work that crosses zones, against work that is refused.
	zoneWeight = 0.25
	// minZoneWork is the work of a zone, as a share of an engine's capacity, that is worth a copy of its own.
	minZoneWork = 0.2
	// idleWork is the work, as a share of a site's capacity, up to which a copy may go for a zone alone: its unload waits for
	// few requests.
	idleWork = 0.02
	// zoneLoadsShare is the share of the weight store's concurrent loads up to which copies are added for a zone alone.
	zoneLoadsShare = 0.25
)

// zoneKey identifies the demand for a model in a zone.
type zoneKey struct {
	modelKey
	zone units.Zone
}

// zoneAverages are the averages of the work by zone, in prompt tokens/s.
type zoneAverages struct {
	work      map[zoneKey]float64
	updatedAt clock.Time
}

// update adds the present demand to the averages.
func (z *zoneAverages) update(now clock.Time, demands map[Target]Demand) {
	weight := 0.0
	if z.updatedAt != 0 {
		weight = 1 - math.Exp(-float64(now.Sub(z.updatedAt))/float64(zoneTimeConstant))
	}
	z.updatedAt = now
	for k, work := range z.work {
		if work *= 1 - weight; work < minDemand {
			delete(z.work, k)
			continue
		}
		z.work[k] = work
	}
	for t, demand := range demands {
		for _, w := range demand.Zones {
			if w.WorkRate > 0 && weight > 0 {
				z.work[zoneKey{modelKey{t.Service, t.Model}, w.Zone}] += weight * w.WorkRate
			}
		}
	}
}

// copiesIn returns the number of copies of a model in a zone, those on their way included.
func (m *modelState) copiesIn(zone units.Zone) int {
	n := 0
	for _, l := range m.copies {
		if l.entry.Zone == zone {
			n++
		}
	}
	for _, s := range m.reserved {
		if s.entry.Zone == zone {
			n++
		}
	}
	return n
}

// zoneDeficit returns the work of a model in a zone, in prompt tokens/s, beyond the zone's part of the copies.
func (m *modelState) zoneDeficit(zone units.Zone) float64 {
	work := m.demand.WorkRate * m.demand.zoneShare(zone)
	if work == 0 {
		return 0
	}
	each := m.demand.WorkRate / float64(len(m.copies)+1)
	return max(work-each*float64(m.copiesIn(zone)), 0)
}

// zoneLoss returns the work in the zone of a copy that will cross zones if the copy goes, in prompt tokens/s.
func (r *round) zoneLoss(l *placement) float64 {
	if l.model.copiesIn(l.entry.Zone) > 1 {
		return 0
	}
	return r.p.zones.work[zoneKey{l.model.key, l.entry.Zone}]
}

// addZoneCopies adds copies of models in zones that ask for them and have none, the greatest work first, while no model is
// short and the weight store has little to load.
func (r *round) addZoneCopies() {
	if r.short > 0 {
		return
	}
	type gap struct {
		model *modelState
		zone  units.Zone
		work  float64
	}
	var gaps []gap
	for k, work := range r.p.zones.work {
		m, ok := r.byName[k.model]
		if ok && k.service == r.service.Name && work >= minZoneWork*engineCapacity && len(m.copies) > 0 && m.pending() == 0 && m.copiesIn(k.zone) == 0 {
			gaps = append(gaps, gap{m, k.zone, work})
		}
	}
	slices.SortFunc(gaps, func(a, b gap) int {
		return cmp.Or(cmp.Compare(b.work, a.work), cmp.Compare(a.model.Name, b.model.Name), cmp.Compare(a.zone, b.zone))
	})
	for _, g := range gaps {
		if r.mayLoad(g.model) {
			r.addZoneCopy(g.model, g.zone, g.work)
		}
	}
}

// storeIsIdle reports whether the weight store has so little to load that copies may be added that no request waits for.
func (r *round) storeIsIdle() bool {
	return r.budget.tokens >= spareLoadTokens && float64(r.storeLoads+r.reservedLoads) < max(zoneLoadsShare*float64(r.maxStoreLoads), 1)
}

// addZoneCopy adds a copy of a model in the zone, at the site with most room. A copy that is unloaded for it must be
// needed neither by callers nor for as much work of the zone.
func (r *round) addZoneCopy(m *modelState, zone units.Zone, work float64) {
	var best *site
	var victim *placement
	bestRoom := work
	for _, s := range r.sites {
		room := r.room(s)
		if room <= bestRoom || s.entry.Zone != zone || !r.takesModel(s, m) || !s.hasHostCopy(m.Name) && !r.storeIsIdle() {
			continue
		}
		var v *placement
		if !r.fits(s, m) {
			var loss float64
			v, loss = r.leastLoss(s, m)
			if v == nil || loss > 0 || v.modelWork > idleWork*s.capacity || r.zoneLoss(v) > work/2 {
				continue
			}
		}
		best, victim, bestRoom = s, v, room
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
