package assign

import (
	"math"

	"github.com/magnolialever/magnolialever/clock"
)

const (
	// minGain is the least work that a further copy of a model has to take on, as a part of a site's capacity.
	minGain = 0.1
	// demandLifetime is the time constant with which demand is expected to decay: what a copy takes on counts less the longer
	// it takes to load.
	demandLifetime = 6 * clock.Second
	// hostLoadTime is the duration of a load from the host's copy.
	hostLoadTime = 800 * clock.Millisecond
	// reportDelay is the time until the leader knows of a refusal.
	reportDelay = 300 * clock.Millisecond
	// typicalRequest is the work of a request in prompt tokens, typicalRun how long one runs under load. minUnloadTime is how
	// long the unload of a copy takes at which none runs.
	typicalRequest = 4000.0
	typicalRun     = 2 * clock.Second
	minUnloadTime  = 300 * clock.Millisecond
	// lossWeight is the weight of work that an unload puts at risk, against the work that the load takes on.
	lossWeight = 2.0
	// holdLoads is the number of store loads for whose duration a peak, or a shortage, of a model counts: to unload a copy and
	// to load it again costs two.
	holdLoads = 2
	// idleCopyLoss is the cost of the unload of the last copy of a model that was not requested in lastCopyIdleTime, as a part
	// of an engine's capacity; it is twice that if the model would have to be loaded from the weight store again.
	idleCopyLoss = 0.02
)

// peak is the greatest recent work of a model.
type peak struct {
	workRate float64
	at       clock.Time
	// shortAt is when the model was short last: more of its work than minGain was refused or waited.
	shortAt clock.Time
}

// updatePeaks updates the peaks of all models.
func (r *round) updatePeaks() {
	for _, m := range r.models {
		last, known := r.p.peaks[m.key]
		hold := holdLoads * m.StoreLoadTime
		if m.demand.shortage() > minGain*engineCapacity {
			last.shortAt = r.now
		}
		if !known || m.demand.WorkRate >= last.workRate || r.now.Sub(last.at) > hold {
			last.workRate, last.at = m.demand.WorkRate, r.now
		}
		r.p.peaks[m.key] = last
		m.peakWork = last.workRate
		m.recentlyShort = last.shortAt != 0 && r.now.Sub(last.shortAt) < hold
	}
}

// addShortCopies adds copies of the models whose requests are refused, wait for too long, or exceed what their upstreams
// can take: as many as the work needs and as there is room for, for the model that lacks most first.
func (r *round) addShortCopies() {
	needs := map[*modelState]float64{}
	for _, m := range r.models {
		if len(m.copies) == 0 {
			continue
		}
		if need := r.need(m); need > minGain*engineCapacity && r.mayLoad(m) {
			needs[m] = need
			r.recordShort(m, need)
		}
	}
	r.short = len(needs)
	for len(needs) > 0 {
		m := neediest(needs)
		gain := r.addShortCopy(m, needs[m])
		needs[m] -= gain
		if gain == 0 || needs[m] < minGain*engineCapacity {
			delete(needs, m)
		}
	}
}

// neediest returns the model with the greatest need.
func neediest(needs map[*modelState]float64) *modelState {
	var first *modelState
	for m, need := range needs {
		if first == nil || need > needs[first] || need == needs[first] && m.Name < first.Name {
			first = m
		}
	}
	return first
}

// need returns the work of a model, in prompt tokens/s, that neither its copies nor those that are being loaded can take.
func (r *round) need(m *modelState) float64 {
	shortage := m.demand.shortage()
	if shortage > 0 {
		shortage -= r.adapterRoom(m) + r.pendingRoom(m)
	}
	return max(shortage, min(excessWork(m.copies), m.demand.WorkRate))
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
func (r *round) adapterRoom(m *modelState) float64 {
	room := 0.0
	for _, t := range m.shortAdapters {
		demand := r.input.Demand[t]
		free := 0.0
		for _, l := range m.copies {
			if l.loaded() && !l.hasAdapter(t.Adapter) && r.hasSlot(l.site) {
				free += r.room(l.site)
			}
		}
		room += min(free, demand.shortage())
	}
	return room
}

// pendingRoom returns the free capacity of the copies of a model that are being loaded, and of those loaded lately in the
// share of the known refusals that are older than them: these don't show yet what such a copy takes on.
func (r *round) pendingRoom(m *modelState) float64 {
	room := 0.0
	for _, l := range m.copies {
		room += l.olderRefusals(r.now) * max(l.capacity-l.workRate+l.modelWork, 0)
	}
	for _, s := range m.reserved {
		room += max(s.capacity-s.workRate, 0)
	}
	return room
}

// olderRefusals returns the share of the known refusals that are older than the loaded copy; 1 if it is not loaded yet.
func (l *placement) olderRefusals(now clock.Time) float64 {
	switch {
	case !l.loaded():
		return 1
	case l.copy.loadedAt == 0:
		return 0
	}
	return olderRefusalShare(now.Sub(l.copy.loadedAt))
}

// olderRefusalShare returns the share of the known refusals that are older than the age.
func olderRefusalShare(age clock.Span) float64 {
	return math.Exp(-float64(max(age-reportDelay, 0)) / float64(refusalTimeConstant))
}

// excessWork returns the part of a model's work that is above the capacity of the upstreams of its copies, in prompt
// tokens/s, or 0 if one of them has spare capacity. What is above the capacity of an upstream is divided among its models:
// counted in full for each, it would ask for copies several times over, and make one load from the weight store look
// better than one from a host that takes less but is there sooner.
func excessWork(copies []*placement) float64 {
	excess := 0.0
	for _, l := range copies {
		if l.workRate <= l.capacity {
			return 0
		}
		excess += (l.workRate - l.capacity) * l.modelWork / (l.workRate - l.pauseWork)
	}
	return excess
}

// room returns the capacity of a site that is free, by its estimated work and by the requests that run there.
func (r *round) room(s *site) float64 {
	slots := float64(max(r.engine.Slots, 1))
	return max(min(s.capacity-s.workRate, s.capacity*(1-float64(r.input.InFlight[s.id])/slots)), 0)
}

// addShortCopy adds the copy of a model with the greatest value and returns its gain; 0 if none is worth its cost.
func (r *round) addShortCopy(m *modelState, need float64) float64 {
	var best move
	for _, s := range r.sites {
		if !r.takesModel(s, m) {
			continue
		}
		if o := r.shortMove(s, m, need); o.gain >= minGain*s.capacity && o.value > best.value {
			best = o
		}
	}
	switch {
	case best.site == nil:
		return 0
	case best.victim == nil:
		r.orderLoad(best.site, m)
	default:
		moveWork(best.victim)
		r.reserve(best.site, m, best.victim)
	}
	best.site.workRate += best.gain
	return best.gain
}

// move is a load of a model at a site, after the unload of the victim if that is not nil.
type move struct {
	site   *site
	victim *placement
	// gain is the work that the copy would take on, value what is left of it after all costs, both in prompt tokens/s.
	gain, value float64
}

// shortMove returns the load of a model that is short at a site; its gain is 0 if that is not possible.
func (r *round) shortMove(s *site, m *modelState, need float64) move {
	o := move{site: s, gain: min(r.room(s), need)}
	delay, loss := LoadTime(m.Model, !s.hasHostCopy(m.Name)), 0.0
	switch {
	case r.fits(s, m):
		if !r.withinStoreBudget(s, m) {
			return move{}
		}
	case !r.withinNextBudget(s, m):
		return move{}
	default:
		if o.victim, loss = r.leastLoss(s, m); o.victim == nil {
			return move{}
		}
		o.gain = min(r.room(s)+o.victim.modelWork, need)
		delay += o.victim.unloadTime()
		loss += zoneWeight / lossWeight * r.zoneLoss(o.victim)
	}
	o.value = o.gain*math.Exp(-float64(delay)/float64(demandLifetime)) - lossWeight*loss + zoneWeight*min(m.zoneDeficit(s.entry.Zone), o.gain)
	return o
}

// leastLoss returns the copy at a site whose unload makes room for the model and puts the least work at risk, and that
// work in prompt tokens/s. It returns nil if there is none: copies younger than minCopyAge, the last ones of models that
// were requested lately and those of models that were short lately stay. All last copies stay while no request is refused.
func (r *round) leastLoss(s *site, wanted *modelState) (*placement, float64) {
	var best *placement
	least := math.Inf(1)
	for _, l := range s.copies {
		m := l.model
		if m.recentlyShort || l.copy.loadedAt != 0 && r.now.Sub(l.copy.loadedAt) < minCopyAge || !r.fitsWithout(s, wanted, l.megabytes) {
			continue
		}
		spare, rest := r.spareWithout(l)
		if rest == 0 && (m.recent || len(m.copies) > 1 || wanted.demand.shortage() == 0) {
			continue
		}
		loss := max(max(l.modelWork, m.peakWork/float64(len(m.copies)))-spare, 0)
		if rest == 0 {
			loss = l.idleLoss()
		}
		if best == nil || loss < least || loss == least && l.modelWork < best.modelWork {
			best, least = l, loss
		}
	}
	return best, least
}

// idleLoss returns the cost of the unload of the last copy of a model without requests, in prompt tokens/s.
func (l *placement) idleLoss() float64 {
	if l.hasHostCopy(l.model.Name) {
		return idleCopyLoss * l.capacity
	}
	return 2 * idleCopyLoss * l.capacity
}

// unloadTime returns how long the unload of a copy is expected to take: it waits for the requests that run there.
func (l *placement) unloadTime() clock.Span {
	running := l.modelWork / typicalRequest * typicalRun.Seconds()
	return minUnloadTime + clock.Span(float64(typicalRun)*(1-math.Exp(-running)))
}

// spareWithout returns the spare capacity of the other loaded copies of the model and their number.
func (r *round) spareWithout(l *placement) (float64, int) {
	spare, rest := 0.0, 0
	for _, o := range l.model.copies {
		if o != l && o.loaded() {
			spare += r.room(o.site)
			rest++
		}
	}
	return spare, rest
}

// moveWork adds the work of a copy that is unloaded to the others.
func moveWork(l *placement) {
	others := float64(max(len(l.model.copies)-1, 1))
	for _, o := range l.model.copies {
		if o != l {
			o.workRate += l.modelWork / others
			o.modelWork += l.modelWork / others
		}
	}
	l.workRate -= l.modelWork
}
