package assign

import (
	"cmp"
	"math"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
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

// zoneWork returns the average work of a model in a zone, in prompt tokens/s.
func (r *round) zoneWork(id units.ModelID, zone units.Zone) float64 {
	return r.p.zones.work[zoneKey{modelKey{r.service.Name, id}, zone}]
}

// copiesIn returns the number of copies of a model in a zone.
func (r *round) copiesIn(id units.ModelID, zone units.Zone) int {
	n := 0
	for _, l := range r.copies[id] {
		if l.entry.Zone == zone {
			n++
		}
	}
	for _, s := range r.sites {
		if reserved, ok := r.p.reservations[s.id]; ok && reserved.model == id && s.entry.Zone == zone {
			n++
		}
	}
	return n
}

// zoneDeficit returns the work of a model in a zone, in prompt tokens/s, beyond the zone's part of the copies.
func (r *round) zoneDeficit(id units.ModelID, zone units.Zone) float64 {
	demand := r.demands[id]
	work := demand.WorkRate * demand.zoneShare(zone)
	each := demand.WorkRate / float64(len(r.copies[id])+1)
	return max(work-each*float64(r.copiesIn(id, zone)), 0)
}

// zoneLoss returns the work of a model in a zone that will cross zones if its copy at a site there goes.
func (r *round) zoneLoss(s *site, id units.ModelID) float64 {
	if r.copiesIn(id, s.entry.Zone) > 1 {
		return 0
	}
	return r.zoneWork(id, s.entry.Zone)
}

// addZoneCopies adds copies of models in zones that ask for them and have none, the greatest work first, while the weight
// store has little else to load.
func (r *round) addZoneCopies() {
	if r.short > 0 {
		return
	}
	type gap struct {
		model units.ModelID
		zone  units.Zone
		work  float64
	}
	var gaps []gap
	for k, work := range r.p.zones.work {
		if k.service == r.service.Name && work >= minZoneWork*engineCapacity && len(r.copies[k.model]) > 0 &&
			r.copiesIn(k.model, k.zone) == 0 && r.pendingCopies(k.model) == 0 {
			gaps = append(gaps, gap{k.model, k.zone, work})
		}
	}
	slices.SortFunc(gaps, func(a, b gap) int {
		return cmp.Or(cmp.Compare(b.work, a.work), cmp.Compare(a.model, b.model), cmp.Compare(a.zone, b.zone))
	})
	for _, g := range gaps {
		if m, ok := r.models[g.model]; ok && r.mayLoad(g.model) {
			r.addZoneCopy(m, g.zone, g.work)
		}
	}
}

// storeIsIdle reports whether the weight store has so little to load that copies may be added that no request waits for.
func (r *round) storeIsIdle() bool {
	return r.budget.tokens >= spareLoadTokens && float64(r.storeLoads+r.reservedLoads) < max(zoneLoadsShare*float64(r.maxStoreLoads), 1)
}

// addZoneCopy adds a copy of a model in the zone, at the site with most room. A copy that is unloaded for it must be
// needed neither by callers nor for as much work of the zone.
func (r *round) addZoneCopy(m *fleet.Model, zone units.Zone, work float64) {
	var best *site
	var victim *placement
	bestRoom := 0.0
	for _, s := range r.sites {
		if _, has := s.models[m.Name]; has || s.entry.Zone != zone || s.ordered || !s.canSendModelOrder(r.now) || r.isReserved(s) {
			continue
		}
		if !s.hasHostCopy(m.Name) && !r.storeIsIdle() {
			continue
		}
		var v *placement
		if !r.fits(s, m) {
			var loss float64
			v, loss = r.leastLoss(s, m.Name)
			if v == nil || loss > 0 || v.modelWork > idleWork*s.capacity || r.zoneLoss(s, v.model) > work/2 {
				continue
			}
		}
		if room := r.room(s); room > max(bestRoom, work) {
			best, victim, bestRoom = s, v, room
		}
	}
	switch {
	case best == nil:
	case victim == nil:
		r.orderLoad(best, m.Name)
	default:
		r.moveWork(victim)
		r.reserve(best, m.Name, victim.model)
	}
}
