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
	// pauseWork is the part of workRate by which a paused upstream counts as fully loaded; it belongs to no model.
	pauseWork float64
	// usedMegabytes is the memory in use.
	usedMegabytes float64
	// ordered sites get no further order in this round: they paused, or get one already.
	ordered bool
	// reserved is the model for which the site unloads another one; nil if there is none.
	reserved *modelState
	// copies are the copies of models that the site has loaded and does not unload.
	copies []*placement
}

// modelState is a model in a round.
type modelState struct {
	*fleet.Model
	key modelKey
	// demand is the demand for the model, its adapters included.
	demand Demand
	// shortAdapters lists its adapters that are short.
	shortAdapters []Target
	// copies are at the sites that have or load it, without those that unload it.
	copies []*placement
	// reserved are the sites that unload another model to make room for it.
	reserved []*site
	// recent is set if it was requested within lastCopyIdleTime.
	recent bool
	// recentlyShort is set if it was short a few loads ago, so that it needs all its copies if that demand comes back.
	recentlyShort bool
	// peakWork is its greatest recent work in prompt tokens/s.
	peakWork float64
}

// loaded reports whether an upstream has loaded the model.
func (m *modelState) loaded() bool { return slices.ContainsFunc(m.copies, (*placement).loaded) }

// pending returns the number of copies that are loading, or will once a site has unloaded another model.
func (m *modelState) pending() int {
	n := len(m.reserved)
	for _, l := range m.copies {
		if !l.loaded() {
			n++
		}
	}
	return n
}

// placement is a copy of a model at a site that has it, loads it or is about to.
type placement struct {
	*site
	model *modelState
	// copy is nil if the order to load has not been accepted yet.
	copy *modelCopy
	// modelWork is the part of the site's estimated work that is for the model.
	modelWork float64
	// megabytes is the memory of the copy and its adapters.
	megabytes float64
}

// loaded reports whether requests can be sent to the copy.
func (l *placement) loaded() bool { return l.copy != nil && !l.copy.loading }

// arrival returns when a copy that is being loaded is expected to be there.
func (l *placement) arrival(now clock.Time) clock.Time {
	o, since := l.activeOrder, l.activeSince
	if o == nil || o.Unload || o.Model != l.model.Name {
		o, since = l.expectedOrder(now), now
	}
	return since.Add(LoadTime(l.model.Model, o == nil || o.FromWeightStore))
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
	// models are the models of the service, byName finds them by name.
	models []*modelState
	byName map[units.ModelID]*modelState
	// sites are sorted by ID.
	sites  []*site
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
		p: p, now: now, input: input, service: s, engine: s.Engine, byName: make(map[units.ModelID]*modelState, len(s.Engine.Models)),
		budget: p.budget(now, s), maxStoreLoads: maxStoreLoads(s.Engine),
	}
	for i := range s.Engine.Models {
		m := &modelState{Model: &s.Engine.Models[i], key: modelKey{s.Name, s.Engine.Models[i].Name}}
		r.models, r.byName[m.Name] = append(r.models, m), m
	}
	r.addSites()
	for t, demand := range input.Demand {
		if m, ok := r.byName[t.Model]; ok && t.Service == s.Name {
			m.demand.merge(&demand)
			if t.Adapter != "" && demand.shortage() > 0 {
				m.shortAdapters = append(m.shortAdapters, t)
			}
		}
	}
	for t, at := range p.lastRequested {
		if m, ok := r.byName[t.Model]; ok && t.Service == s.Name && now.Sub(at) < lastCopyIdleTime {
			m.recent = true
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
		s := &site{upstreamState: u, id: id, capacity: engineCapacity, usedMegabytes: u.usedMegabytes(r.byName), ordered: r.input.Paused[id]}
		if learned := r.input.Capacity[id]; learned > 0 {
			s.capacity = learned
		}
		if s.ordered {
			s.workRate, s.pauseWork = s.capacity, s.capacity
		}
		r.sites = append(r.sites, s)
	}
	slices.SortFunc(r.sites, func(a, b *site) int { return cmp.Compare(a.id, b.id) })
	for _, s := range r.sites {
		r.addCopies(s)
		reserved, ok := r.p.reservations[s.id]
		if m, known := r.byName[reserved.model]; ok && known {
			s.reserved, m.reserved = m, append(m.reserved, s)
			if !s.hasHostCopy(m.Name) {
				r.reservedLoads++
			}
		}
	}
}

// addCopies adds the models of a site to theirs and to r.storeLoads.
func (r *round) addCopies(s *site) {
	for id, c := range s.models {
		m, known := r.byName[id]
		if !known || s.unloads(r.now, id) {
			continue
		}
		if c.loading && (s.activeOrder == nil || s.activeOrder.FromWeightStore) {
			r.storeLoads++
		}
		l := &placement{site: s, model: m, copy: c, megabytes: m.WeightMegabytes + float64(len(c.adapters))*m.AdapterMegabytes}
		m.copies = append(m.copies, l)
		if l.loaded() {
			s.copies = append(s.copies, l)
		}
	}
	slices.SortFunc(s.copies, func(a, b *placement) int { return cmp.Compare(a.model.Name, b.model.Name) })
	if o := s.expectedOrder(r.now); o != nil && !o.Unload && o.Adapter == "" && s.models[o.Model] == nil {
		if o.FromWeightStore {
			r.storeLoads++
		}
		if m, known := r.byName[o.Model]; known {
			m.copies = append(m.copies, &placement{site: s, model: m})
		}
	}
}

// loadReserved orders reserved models on the upstreams that have finished the unload.
func (r *round) loadReserved() {
	for _, s := range r.sites {
		m := s.reserved
		if m == nil {
			continue
		}
		if _, resident := s.models[m.Name]; resident {
			r.unreserve(s)
			continue
		}
		if !r.mayLoad(m) || !s.canSendModelOrder(r.now) || s.ordered {
			continue
		}
		switch {
		case !r.fits(s, m):
			// The unload was refused, or has been lost.
			r.unreserve(s)
		case r.withinStoreBudget(s, m):
			r.unreserve(s)
			r.orderLoad(s, m)
		}
	}
}

// mayLoad reports whether a model may be loaded on one more upstream, by what became of those that loaded it.
func (r *round) mayLoad(m *modelState) bool {
	// Loads of a model that an upstream has loaded do not end upstreams.
	if m.loaded() {
		return true
	}
	loads := r.p.ledger.loads
	if loads.Blocked(r.now, m.key) {
		return false
	}
	return !loads.Suspect(m.key) || !slices.ContainsFunc(m.copies, func(l *placement) bool { return l.loading == m.Name })
}

// takesModel reports whether the order to load the model, or to unload another one for it, can be sent to a site now.
func (r *round) takesModel(s *site, m *modelState) bool {
	if s.ordered || s.reserved != nil || !s.canSendModelOrder(r.now) {
		return false
	}
	_, has := s.models[m.Name]
	return !has
}

// unreserve ends the reservation of a site.
func (r *round) unreserve(s *site) {
	delete(r.p.reservations, s.id)
	m := s.reserved
	m.reserved = slices.DeleteFunc(m.reserved, func(o *site) bool { return o == s })
	s.reserved = nil
	if !s.hasHostCopy(m.Name) {
		r.reservedLoads--
	}
}

// reserve keeps a site for the model once it has unloaded the victim, whose unload it orders.
func (r *round) reserve(s *site, m *modelState, victim *placement) {
	r.p.reservations[s.id] = reservation{m.Name, r.now.Add(reservationTTL)}
	s.reserved, m.reserved = m, append(m.reserved, s)
	if !s.hasHostCopy(m.Name) {
		r.reservedLoads++
	}
	r.addOrder(s, PlannedOrder{Unload: true, Model: victim.model.Name})
	victim.model.copies = slices.DeleteFunc(victim.model.copies, func(l *placement) bool { return l == victim })
}

// orderLoad orders the model on the upstream and charges the load budget.
func (r *round) orderLoad(s *site, m *modelState) {
	fromStore := !s.hasHostCopy(m.Name)
	if fromStore {
		r.budget.tokens--
		r.storeLoads++
	}
	r.addOrder(s, PlannedOrder{Model: m.Name, FromWeightStore: fromStore})
	m.copies = append(m.copies, &placement{site: s, model: m})
}

// addOrder adds an order for the upstream to the round and marks it as in flight in the ledger.
func (r *round) addOrder(s *site, o PlannedOrder) {
	s.ordered = true
	o.Upstream, o.Service, o.ExpectedOrders = s.id, r.service.Name, s.acceptedOrders
	s.callPending, s.pendingOrder, s.unansweredAt = true, &o, 0
	r.orders = append(r.orders, o)
}

// fits reports whether the upstream has memory for the model and for its adapters.
func (r *round) fits(s *site, m *modelState) bool { return r.fitsWithout(s, m, 0) }

// fitsWithout reports whether the upstream has memory for the model and for its adapters once it has freed some.
func (r *round) fitsWithout(s *site, m *modelState, freedMegabytes float64) bool {
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
