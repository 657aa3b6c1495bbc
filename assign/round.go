package assign

import (
	"cmp"
	"math"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/units"
)

// site is a usable upstream in a round.
type site struct {
	*upstreamState
	id units.UpstreamID
	// capacity and workRate, the estimated work, are in prompt tokens/s.
	capacity, workRate float64
	// usedMegabytes is the memory in use.
	usedMegabytes float64
	// ordered sites get no further order in this round: they paused, or get one already.
	ordered bool
}

// placement is a copy of a model at a site that has it, loads it or is about to.
type placement struct {
	*site
	model units.ModelID
	// copy is nil if the order to load has not been accepted yet.
	copy *modelCopy
	// modelWork is the part of the site's estimated work that is for the model.
	modelWork float64
}

// loaded reports whether requests can be sent to the copy.
func (l *placement) loaded() bool { return l.copy != nil && !l.copy.loading }

// arrival returns when a copy that is being loaded is expected to be there.
func (l *placement) arrival(now clock.Time, m *fleet.Model) clock.Time {
	o, since := l.activeOrder, l.activeSince
	if o == nil || o.Unload || o.Model != l.model {
		o, since = l.pendingOrder, now
	}
	return since.Add(LoadTime(m, o == nil || o.FromWeightStore))
}

// LoadTime returns how long the load of a model takes, from the weight store or from a copy of the upstream's host.
func LoadTime(m *fleet.Model, fromWeightStore bool) clock.Span {
	if fromWeightStore {
		return m.StoreLoadTime
	}
	return hostLoadTime
}

// round is the state of one planning round for one service.
type round struct {
	p       *Planner
	now     clock.Time
	input   *PlanInput
	service *fleet.Service
	engine  *fleet.Engine
	// models are the models of the service, by name.
	models map[units.ModelID]*fleet.Model
	// sites are sorted by ID.
	sites []*site
	// demands is the demand for each model, its adapters included.
	demands map[units.ModelID]*Demand
	// shortAdapters lists the adapters of a model that are short.
	shortAdapters map[units.ModelID][]Target
	// recentModels are the models requested within lastCopyIdleTime.
	recentModels map[units.ModelID]bool
	// copies lists the sites that have or load a model, without those that unload it.
	copies map[units.ModelID][]*placement
	budget *loadBudget
	// short is the number of models that need further copies.
	short int
	// storeLoads is the number of loads from the weight store in flight, maxStoreLoads its limit, reservedLoads the number
	// of those that will follow unloads.
	storeLoads, maxStoreLoads, reservedLoads int
	orders                                   []PlannedOrder
}

func (p *Planner) newRound(now clock.Time, input *PlanInput, s *fleet.Service) *round {
	r := &round{
		p: p, now: now, input: input, service: s, engine: s.Engine, models: make(map[units.ModelID]*fleet.Model, len(s.Engine.Models)),
		copies: map[units.ModelID][]*placement{}, demands: map[units.ModelID]*Demand{}, recentModels: map[units.ModelID]bool{},
		shortAdapters: map[units.ModelID][]Target{},
		budget:        p.budget(now, s), maxStoreLoads: maxStoreLoads(s.Engine),
	}
	for i := range s.Engine.Models {
		m := &s.Engine.Models[i]
		r.models[m.Name], r.demands[m.Name] = m, &Demand{}
	}
	r.addSites()
	for t, demand := range input.Demand {
		if sum, ok := r.demands[t.Model]; ok && t.Service == s.Name {
			sum.merge(&demand)
			if t.Adapter != "" && demand.shortage() > 0 {
				r.shortAdapters[t.Model] = append(r.shortAdapters[t.Model], t)
			}
		}
	}
	for t, at := range p.lastRequested {
		if t.Service == s.Name && now.Sub(at) < lastCopyIdleTime {
			r.recentModels[t.Model] = true
		}
	}
	r.estimateWork()
	r.updatePeaks()
	return r
}

// addSites adds the usable upstreams with their copies.
func (r *round) addSites() {
	for id, u := range r.p.ledger.states {
		e := u.entry
		if e.Service != r.service.Name || e.Draining || r.input.ExcludedZones[e.Zone] || r.input.Unreachable[id] {
			continue
		}
		s := &site{upstreamState: u, id: id, capacity: engineCapacity, usedMegabytes: u.usedMegabytes(r.models), ordered: r.input.Paused[id]}
		if learned := r.input.Capacity[id]; learned > 0 {
			s.capacity = learned
		}
		if s.ordered {
			s.workRate = s.capacity
		}
		r.sites = append(r.sites, s)
	}
	slices.SortFunc(r.sites, func(a, b *site) int { return cmp.Compare(a.id, b.id) })
	for _, s := range r.sites {
		r.addCopies(s)
	}
	for id, reserved := range r.p.reservations {
		if s, ok := r.p.ledger.states[id]; ok && s.entry.Service == r.service.Name && !s.hasHostCopy(reserved.model) {
			r.reservedLoads++
		}
	}
}

// addCopies adds the models of a site to r.copies and r.storeLoads.
func (r *round) addCopies(s *site) {
	for m, c := range s.models {
		if s.unloads(m) {
			continue
		}
		if c.loading && (s.activeOrder == nil || s.activeOrder.FromWeightStore) {
			r.storeLoads++
		}
		r.copies[m] = append(r.copies[m], &placement{site: s, model: m, copy: c})
	}
	if o := s.pendingOrder; o != nil && !o.Unload && o.Adapter == "" && s.models[o.Model] == nil {
		if o.FromWeightStore {
			r.storeLoads++
		}
		r.copies[o.Model] = append(r.copies[o.Model], &placement{site: s, model: o.Model})
	}
}

// loadReserved orders reserved models on the upstreams that have finished the unload.
func (r *round) loadReserved() {
	for _, s := range r.sites {
		reserved, ok := r.p.reservations[s.id]
		if !ok {
			continue
		}
		m, known := r.models[reserved.model]
		if _, resident := s.models[reserved.model]; resident || !known {
			delete(r.p.reservations, s.id)
			continue
		}
		if !r.mayLoad(m.Name) || !s.canSendModelOrder(r.now) || s.ordered {
			continue
		}
		switch {
		case !r.fits(s, m):
			// The unload was refused, or has been lost.
			delete(r.p.reservations, s.id)
		case r.withinStoreBudget(s, m.Name):
			delete(r.p.reservations, s.id)
			r.orderLoad(s, m.Name)
		}
	}
}

// mayLoad reports whether a model may be loaded on one more upstream, by what became of those that loaded it.
func (r *round) mayLoad(id units.ModelID) bool {
	if r.isLoaded(id) {
		return true
	}
	k, loads := modelKey{r.service.Name, id}, r.p.ledger.loads
	if loads.Blocked(r.now, k) {
		return false
	}
	return !loads.Suspect(k) || !slices.ContainsFunc(r.copies[id], func(l *placement) bool { return l.loading == id })
}

// isLoaded reports whether an upstream has loaded the model, so that its loads do not end upstreams.
func (r *round) isLoaded(id units.ModelID) bool {
	return slices.ContainsFunc(r.copies[id], (*placement).loaded)
}

// isReserved reports whether a site unloads a model to make room for another one.
func (r *round) isReserved(s *site) bool {
	_, reserved := r.p.reservations[s.id]
	return reserved
}

// reserve keeps a site for the model once it has unloaded the victim, whose unload it orders.
func (r *round) reserve(s *site, id, victim units.ModelID) {
	r.p.reservations[s.id] = reservation{id, r.now.Add(reservationTTL)}
	if !s.hasHostCopy(id) {
		r.reservedLoads++
	}
	r.addOrder(s, PlannedOrder{Unload: true, Model: victim})
	r.copies[victim] = slices.DeleteFunc(r.copies[victim], func(l *placement) bool { return l.site == s })
}

// orderLoad orders the model on the upstream and charges the load budget.
func (r *round) orderLoad(s *site, id units.ModelID) {
	if !s.hasHostCopy(id) {
		r.budget.tokens--
		r.storeLoads++
	}
	r.addOrder(s, PlannedOrder{Model: id, FromWeightStore: !s.hasHostCopy(id)})
	r.copies[id] = append(r.copies[id], &placement{site: s, model: id})
}

// addOrder adds an order for the upstream to the round and marks it as in flight in the ledger.
func (r *round) addOrder(s *site, o PlannedOrder) {
	s.ordered = true
	o.Upstream, o.Service, o.ExpectedOrders = s.id, r.service.Name, s.acceptedOrders
	s.callPending, s.pendingOrder = true, &o
	r.orders = append(r.orders, o)
}

// fits reports whether the upstream has memory for the model and for its adapters.
func (r *round) fits(s *site, m *fleet.Model) bool { return r.fitsWithout(s, m, 0) }

// fitsWithout reports whether the upstream has memory for the model and for its adapters once it has freed some.
func (r *round) fitsWithout(s *site, m *fleet.Model, freedMegabytes float64) bool {
	reserve := float64(min(m.AdapterCount, r.engine.AdapterSlots)) * m.AdapterMegabytes
	return s.usedMegabytes-freedMegabytes+m.WeightMegabytes+reserve <= r.engine.MemoryMegabytes
}

// leastWork returns the work rate of the least loaded of the sites.
func leastWork(copies []*placement) float64 {
	least := math.Inf(1)
	for _, l := range copies {
		least = min(least, l.workRate)
	}
	return least
}
