package assign

import (
	"math"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// minGain is the least part of a site's capacity that a further copy of a model that is short has to win.
	minGain = 0.1
	// demandLifetime is the time in which demand is expected to fall to a third, by which the time that a copy takes to come
	// is judged.
	demandLifetime = 6 * clock.Second
	// hostLoadTime is the duration of a load from the host's copy.
	hostLoadTime = 800 * clock.Millisecond
	// reportDelay is the time until refusals are known here.
	reportDelay = 300 * clock.Millisecond
	// typicalRequest is the work of a request in prompt tokens, typicalRun how long one runs under load. minUnloadTime is how
	// long the unload of a copy takes at which none runs.
	typicalRequest = 4000.0
	typicalRun     = 4 * clock.Second
	minUnloadTime  = 300 * clock.Millisecond
	// lossWeight is the weight of work that an unload puts at risk, against the work that the load wins.
	lossWeight = 2.0
	// holdLoads is the number of store loads for whose time a copy is kept after the last demand that needed it: to take
	// it away and to bring it back costs two.
	holdLoads = 2
	// idleCopyLoss is the part of an engine's capacity that the last copy of a model counts for that nobody has asked for
	// in lastCopyIdleTime, twice that if it has to come back from the weight store.
	idleCopyLoss = 0.1
)

// peak is the greatest work of a model since a time.
type peak struct {
	workRate float64
	at       clock.Time
	// shortAt is when the model was short last.
	shortAt clock.Time
}

// updatePeaks updates the peaks of all models.
func (r *round) updatePeaks() {
	for id, m := range r.models {
		k := modelKey{r.service.Name, id}
		held, known := r.p.peaks[k]
		demand := r.demands[id]
		if demand.shortage() > minGain*engineCapacity {
			held.shortAt = r.now
		}
		if !known || demand.WorkRate >= held.workRate || r.now.Sub(held.at) > holdLoads*m.StoreLoadTime {
			held.workRate, held.at = demand.WorkRate, r.now
		}
		r.p.peaks[k] = held
	}
}

// isHeld reports whether a model was short lately, so that it needs all its copies if that demand comes back.
func (r *round) isHeld(id units.ModelID) bool {
	held := r.p.peaks[modelKey{r.service.Name, id}]
	m, ok := r.models[id]
	return ok && held.shortAt != 0 && r.now.Sub(held.shortAt) < holdLoads*m.StoreLoadTime
}

// addShortCopies adds copies of the models whose requests are refused, wait for too long, or exceed what their upstreams
// can take: as many as the work needs and as there is room for, for the model that lacks most first.
func (r *round) addShortCopies() {
	needs := map[units.ModelID]float64{}
	for id := range r.models {
		if need := r.need(id); need > minGain*engineCapacity && len(r.copies[id]) > 0 && r.mayLoad(id) {
			needs[id] = need
		}
	}
	r.short = len(needs)
	for {
		id, need := greatestNeed(needs)
		if need < minGain*engineCapacity {
			return
		}
		won := r.addShortCopy(id, need)
		if won == 0 {
			delete(needs, id)
			continue
		}
		needs[id] = need - won
	}
}

func greatestNeed(needs map[units.ModelID]float64) (units.ModelID, float64) {
	var greatest units.ModelID
	most := 0.0
	for id, need := range needs {
		if need > most || need == most && id < greatest {
			greatest, most = id, need
		}
	}
	return greatest, most
}

// need returns the work of a model, in prompt tokens/s, that neither its copies nor those that are on their way can take.
func (r *round) need(id units.ModelID) float64 {
	demand := r.demands[id]
	return max(demand.shortage()-r.adapterRoom(id)-r.pendingRoom(id), min(r.excessWork(r.copies[id]), demand.WorkRate))
}

// hasSlot reports whether a site can load a further adapter, if need be in place of an idle one.
func (r *round) hasSlot(s *site) bool {
	if s.adapters() < r.engine.AdapterSlots {
		return true
	}
	_, ok := r.leastRecentAdapter(s, minIdleAdapterAge, false)
	return ok
}

// adapterRoom returns the part of a model's shortage for which there is room at its copies that lack the adapter.
func (r *round) adapterRoom(id units.ModelID) float64 {
	room := 0.0
	for _, t := range r.shortAdapters[id] {
		demand := r.input.Demand[t]
		free := 0.0
		for _, l := range r.copies[id] {
			if l.loaded() && !l.hasAdapter(t.Adapter) && r.hasSlot(l.site) {
				free += r.room(l.site)
			}
		}
		room += min(free, demand.shortage())
	}
	return room
}

// pendingRoom returns the capacity of the copies of a model that are on their way, and of those that just came to the
// extent that the refusals that are known are from before.
func (r *round) pendingRoom(id units.ModelID) float64 {
	room := 0.0
	for _, l := range r.copies[id] {
		room += l.unseen(r.now) * max(l.capacity-l.workRate+l.modelWork, 0)
	}
	for _, s := range r.sites {
		if reserved, ok := r.p.reservations[s.id]; ok && reserved.model == id {
			room += max(s.capacity-s.workRate, 0)
		}
	}
	return room
}

// unseen returns the part of the known refusals that are from before the copy came.
func (l *placement) unseen(now clock.Time) float64 {
	switch {
	case !l.loaded():
		return 1
	case l.copy.loadedAt == 0:
		return 0
	}
	return unseenPart(now.Sub(l.copy.loadedAt))
}

// unseenPart returns the part of the known refusals that are older than the age.
func unseenPart(age clock.Span) float64 {
	return math.Exp(-float64(max(age-reportDelay, 0)) / float64(refusalTimeConstant))
}

// excessWork returns the work above the capacity of the upstreams, in prompt tokens/s, or 0
// if one of them has spare capacity.
func (r *round) excessWork(copies []*placement) float64 {
	excess := 0.0
	for _, l := range copies {
		if l.workRate <= l.capacity {
			return 0
		}
		excess += l.workRate - l.capacity
	}
	return excess
}

// room returns the capacity of a site that is free, by its estimated work and by the requests that run there.
func (r *round) room(s *site) float64 {
	slots := float64(max(r.engine.Slots, 1))
	return max(min(s.capacity-s.workRate, s.capacity*(1-float64(r.input.InFlight[s.id])/slots)), 0)
}

// addShortCopy adds the copy of a model that wins most work, and returns how much; 0 if none is worth its cost.
func (r *round) addShortCopy(id units.ModelID, need float64) float64 {
	m := r.models[id]
	var best *site
	var victim *placement
	bestValue, bestGain := 0.0, 0.0
	for _, s := range r.sites {
		if _, has := s.models[id]; has || s.ordered || !s.canSendModelOrder(r.now) || r.isReserved(s) {
			continue
		}
		gain, delay, loss := min(r.room(s), need), LoadTime(m, !s.hasHostCopy(id)), 0.0
		var v *placement
		if r.fits(s, m) {
			if !r.withinStoreBudget(s, id) {
				continue
			}
		} else {
			if !r.withinNextBudget(s, id) {
				continue
			}
			if v, loss = r.leastLoss(s, id); v == nil {
				continue
			}
			gain, delay = min(r.room(s)+v.modelWork, need), delay+v.unloadTime()
		}
		value := gain*math.Exp(-float64(delay)/float64(demandLifetime)) - lossWeight*loss
		value += zoneWeight * min(r.zoneDeficit(id, s.entry.Zone), gain)
		if v != nil {
			value -= zoneWeight * r.zoneLoss(s, v.model)
		}
		if gain >= minGain*s.capacity && value > bestValue {
			best, victim, bestValue, bestGain = s, v, value, gain
		}
	}
	switch {
	case best == nil:
		return 0
	case victim == nil:
		r.orderLoad(best, id)
	default:
		r.moveWork(victim)
		r.reserve(best, id, victim.model)
	}
	best.workRate += bestGain
	return bestGain
}

// leastLoss returns the copy at a site whose unload makes room for the model and puts the least work at risk, and that
// work in prompt tokens/s. It returns nil if there is none: copies that just came, the last ones of models that were
// requested lately and those of models that were short lately stay. All last copies stay while no request is refused.
func (r *round) leastLoss(s *site, wanted units.ModelID) (*placement, float64) {
	var best *placement
	least := math.Inf(1)
	for id, c := range s.models {
		if c.loading || c.loadedAt != 0 && r.now.Sub(c.loadedAt) < minCopyAge || r.isHeld(id) || !r.fitsWithout(s, r.models[wanted], r.megabytes(s, id)) {
			continue
		}
		l, spare, rest := r.spareWithout(s, id)
		if l == nil || rest == 0 && (r.recentModels[id] || len(r.copies[id]) > 1 || r.demands[wanted].shortage() == 0) {
			continue
		}
		held := max(l.modelWork, r.p.peaks[modelKey{r.service.Name, id}].workRate/float64(len(r.copies[id])))
		loss := max(held-spare, 0)
		if rest == 0 {
			loss = r.idleLoss(s, id)
		}
		if best == nil || loss < least || loss == least && (l.modelWork < best.modelWork || l.modelWork == best.modelWork && l.model < best.model) {
			best, least = l, loss
		}
	}
	return best, least
}

// idleLoss returns what the last copy of a model that nobody asks for counts, in prompt tokens/s.
func (r *round) idleLoss(s *site, id units.ModelID) float64 {
	if s.hasHostCopy(id) {
		return idleCopyLoss * s.capacity
	}
	return 2 * idleCopyLoss * s.capacity
}

// unloadTime returns how long the unload of a copy is expected to take: it waits for the requests that run there.
func (l *placement) unloadTime() clock.Span {
	running := l.modelWork / typicalRequest * typicalRun.Seconds()
	return minUnloadTime + clock.Span(float64(typicalRun)*(1-math.Exp(-running)))
}

// spareWithout returns the copy of a model at a site, the spare capacity of the other loaded copies and their number.
func (r *round) spareWithout(s *site, id units.ModelID) (*placement, float64, int) {
	var own *placement
	spare, rest := 0.0, 0
	for _, l := range r.copies[id] {
		switch {
		case l.site == s:
			own = l
		case l.loaded():
			spare += r.room(l.site)
			rest++
		}
	}
	return own, spare, rest
}

// moveWork adds the work of a copy that is unloaded to the others.
func (r *round) moveWork(l *placement) {
	others := float64(max(len(r.copies[l.model])-1, 1))
	for _, o := range r.copies[l.model] {
		if o != l {
			o.workRate += l.modelWork / others
			o.modelWork += l.modelWork / others
		}
	}
	l.workRate -= l.modelWork
}
