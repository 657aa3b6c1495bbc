package assign

import (
	"cmp"
	"math"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/units"
)

// Target identifies a model of a service, or an adapter of that model if Adapter is set.
type Target struct {
	Service units.ServiceID
	Model   units.ModelID
	Adapter string
}

// Demand is the demand for a model or adapter.
type Demand struct {
	// WorkRate is the rate of requested work, in prompt tokens/s.
	WorkRate float64
	// Misses counts the recent requests for the target that no upstream could serve.
	Misses int
}

// PlanInput is the input of one call of Planner.Plan.
type PlanInput struct {
	Services map[units.ServiceID]*fleet.Service
	// Demand is the demand over all gateways.
	Demand map[Target]Demand
	// ExcludedZones holds the availability zones that get no new models.
	ExcludedZones map[units.Zone]bool
	// Unreachable holds the upstreams to which gateways can't connect. They get no orders, and what
	// they hold doesn't count, so that it is loaded elsewhere before their keys expire.
	Unreachable map[units.UpstreamID]bool
	// Paused holds the upstreams that asked for a pause. They get no orders; what they hold counts, as on an
	// upstream that is fully loaded.
	Paused map[units.UpstreamID]bool
	// InFlight is the number of requests in flight at each upstream.
	InFlight map[units.UpstreamID]int
}

const (
	// engineCapacity is the throughput of one engine, in prompt tokens/s.
	engineCapacity = 40_000.0
	// highUtilization is the share of engineCapacity above which, if all copies of a model
	// exceed it, the model gets another copy.
	highUtilization = 0.15
	// lowUtilization limits the upstreams that can get another copy of an overloaded model: their
	// work rate is at most this share of that of the model's least-loaded copy.
	lowUtilization = 0.7
	// minCopyAge is the age below which a copy isn't unloaded, unless for a requested model
	// without a copy.
	minCopyAge = 5 * clock.Second
	// lastCopyIdleTime is the time without requests after which the last copy of a model can
	// be unloaded for a requested model without a copy.
	lastCopyIdleTime = 12 * clock.Second
	// reservationTTL is how long an upstream is reserved for a model after the unload that makes
	// room for it was ordered.
	reservationTTL = 6 * clock.Second
	// loadBurst is the size of the token bucket for loads from the weight store.
	loadBurst = 3.0
	// loadShare is the share of the weight store's rate limit that the planner uses.
	loadShare = 0.9
	// spareLoadTokens is the number of load tokens required to load a model that isn't
	// requested.
	spareLoadTokens = 2.0
	// minAdapterAge is the time after its load or last request during which an adapter isn't
	// unloaded.
	minAdapterAge = 800 * clock.Millisecond
)

// Planner decides which models and adapters to load and unload.
type Planner struct {
	ledger *Ledger
	// loadTokens is the token bucket for loads from the weight store, per service.
	loadTokens map[units.ServiceID]float64
	lastPlan   clock.Time
	// lastRequested is the time of the last demand for each target.
	lastRequested map[Target]clock.Time
	// reservations maps upstreams that unload a model to the model to load next.
	reservations map[units.UpstreamID]reservation
}

type reservation struct {
	model units.ModelID
	// until is the expiry.
	until clock.Time
}

// NewPlanner returns a Planner that reads and updates the ledger.
func NewPlanner(l *Ledger) *Planner {
	return &Planner{
		ledger: l, loadTokens: map[units.ServiceID]float64{}, lastRequested: map[Target]clock.Time{},
		reservations: map[units.UpstreamID]reservation{},
	}
}

// Plan returns the orders to send now. The ledger already counts each as in flight, so that
// the caller must pass the outcome of each to Ledger.ApplyResult.
func (p *Planner) Plan(now clock.Time, input PlanInput) []PlannedOrder {
	span := clock.Span(0)
	if p.lastPlan != 0 {
		span = now.Sub(p.lastPlan)
	}
	p.lastPlan = now
	for t, demand := range input.Demand {
		if demand.WorkRate > 1 || demand.Misses > 0 {
			p.lastRequested[t] = now
		}
	}
	p.dropReservations(now, input.ExcludedZones)
	var orders []PlannedOrder
	for _, id := range sortedServices(input.Services) {
		s := input.Services[id]
		if s.Engine == nil {
			continue
		}
		if tokens, ok := p.loadTokens[id]; !ok {
			p.loadTokens[id] = 1
		} else {
			p.loadTokens[id] = min(tokens+span.Seconds()*s.Engine.LoadsPerSecond*loadShare, loadBurst)
		}
		r := p.newRound(now, &input, s)
		r.loadReserved()
		r.addMissingCopies()
		r.addMissingAdapters()
		r.addHotCopies()
		r.restoreUnrequested()
		orders = append(orders, r.orders...)
	}
	return orders
}

// dropReservations removes reservations that have expired or whose upstream is gone, draining
// or in an excluded zone.
func (p *Planner) dropReservations(now clock.Time, excludedZones map[units.Zone]bool) {
	for id, reserved := range p.reservations {
		s, ok := p.ledger.states[id]
		if !ok || !now.Before(reserved.until) || s.entry.Draining || excludedZones[s.entry.Zone] {
			delete(p.reservations, id)
		}
	}
}

func sortedServices(m map[units.ServiceID]*fleet.Service) []units.ServiceID {
	out := make([]units.ServiceID, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// round is the state of one planning round for one service.
type round struct {
	p       *Planner
	now     clock.Time
	input   *PlanInput
	service *fleet.Service
	engine  *fleet.Engine
	// states are the usable upstreams, sorted by ID.
	states []*upstreamState
	ids    map[*upstreamState]units.UpstreamID
	// demands is the demand for each model, its adapters included.
	demands map[units.ModelID]Demand
	// recentModels are the models requested within lastCopyIdleTime.
	recentModels map[units.ModelID]bool
	// copies lists the usable upstreams that have or load a model, without those that unload it.
	copies map[units.ModelID][]*upstreamState
	// workRate is the estimated work of each upstream, in prompt tokens/s.
	workRate map[*upstreamState]float64
	// storeLoads is the number of loads from the weight store in flight.
	storeLoads int
	orders     []PlannedOrder
	// ordered holds the upstreams that get no further order in this round: they paused, or get one already.
	ordered map[*upstreamState]bool
}

func (p *Planner) newRound(now clock.Time, input *PlanInput, s *fleet.Service) *round {
	r := &round{
		p: p, now: now, input: input, service: s, engine: s.Engine,
		ids: map[*upstreamState]units.UpstreamID{}, copies: map[units.ModelID][]*upstreamState{}, ordered: map[*upstreamState]bool{},
		demands: map[units.ModelID]Demand{}, recentModels: map[units.ModelID]bool{},
	}
	for id, u := range p.ledger.states {
		e := u.entry
		if e.Service != s.Name || e.Draining || input.ExcludedZones[e.Zone] || input.Unreachable[id] {
			continue
		}
		r.ids[u] = id
		r.states = append(r.states, u)
		if input.Paused[id] {
			r.ordered[u] = true
		}
	}
	slices.SortFunc(r.states, func(a, b *upstreamState) int { return cmp.Compare(r.ids[a], r.ids[b]) })
	for _, u := range r.states {
		r.addCopies(u)
	}
	for t, demand := range input.Demand {
		if t.Service == s.Name {
			sum := r.demands[t.Model]
			sum.WorkRate += demand.WorkRate
			sum.Misses += demand.Misses
			r.demands[t.Model] = sum
		}
	}
	for t, at := range p.lastRequested {
		if t.Service == s.Name && now.Sub(at) < lastCopyIdleTime {
			r.recentModels[t.Model] = true
		}
	}
	r.estimateWork()
	return r
}

// addCopies adds the models of the upstream to r.copies and r.storeLoads.
func (r *round) addCopies(s *upstreamState) {
	for m, c := range s.models {
		if s.activeOrder != nil && s.activeOrder.Unload && s.activeOrder.Model == m {
			continue
		}
		if c.loading && (s.activeOrder == nil || s.activeOrder.FromWeightStore) {
			r.storeLoads++
		}
		r.copies[m] = append(r.copies[m], s)
	}
}

// loadReserved orders reserved models on the upstreams that have finished the unload.
func (r *round) loadReserved() {
	for _, s := range r.states {
		id := r.ids[s]
		reserved, ok := r.p.reservations[id]
		if !ok {
			continue
		}
		m, known := r.engine.Model(reserved.model)
		if _, resident := s.models[reserved.model]; resident || !known {
			delete(r.p.reservations, id)
			continue
		}
		if r.mayLoad(m.Name) && s.canSendModelOrder(r.now) && !r.ordered[s] && r.fits(s, m) && r.withinStoreBudget(s, m.Name) {
			delete(r.p.reservations, id)
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
	return !loads.Suspect(k) || !slices.ContainsFunc(r.copies[id], func(s *upstreamState) bool { return s.loading == id })
}

// isLoaded reports whether an upstream has loaded the model, so that its loads do not end upstreams.
func (r *round) isLoaded(id units.ModelID) bool {
	return slices.ContainsFunc(r.copies[id], func(s *upstreamState) bool {
		c, ok := s.models[id]
		return ok && !c.loading
	})
}

// withinStoreBudget reports whether the weight store's limits allow a load; a load from a host
// copy is always allowed.
func (r *round) withinStoreBudget(s *upstreamState, m units.ModelID) bool {
	if s.hasHostCopy(m) || r.engine.LoadsPerSecond <= 0 {
		return true
	}
	return r.storeLoads < r.maxStoreLoads() && r.p.loadTokens[r.service.Name] >= 1
}

// maxStoreLoads returns the number of concurrent loads that saturate the weight store: its rate
// times the duration of the shortest load. Additional loads would only slow each other down.
func (r *round) maxStoreLoads() int {
	shortest := math.Inf(1)
	for _, m := range r.engine.Models {
		shortest = min(shortest, m.StoreLoadTime.Seconds())
	}
	if math.IsInf(shortest, 1) {
		return 1
	}
	return max(int(r.engine.LoadsPerSecond*shortest), 1)
}

// addCopy orders one more copy of the model on the upstream with the lowest cost (load, unload
// of a victim, read from the weight store). If the model doesn't fit, it orders the unload of a
// victim and reserves the upstream. Unless the model is missing (requested without a copy), only
// upstreams with a work rate of at most lowUtilization of workRate (prompt tokens/s) qualify.
func (r *round) addCopy(id units.ModelID, missing bool, workRate float64) {
	m, ok := r.engine.Model(id)
	if !ok || !r.mayLoad(id) {
		return
	}
	var best *upstreamState
	var victim units.ModelID
	bestCost := math.Inf(1)
	for _, s := range r.states {
		if _, has := s.models[id]; has || r.ordered[s] || !s.canSendModelOrder(r.now) || !r.withinStoreBudget(s, id) {
			continue
		}
		if _, busy := r.p.reservations[r.ids[s]]; busy || (!missing && r.workRate[s] > workRate*lowUtilization) {
			continue
		}
		v, ok := r.chooseVictim(s, m, missing)
		if !ok {
			continue
		}
		cost := r.workRate[s] / engineCapacity
		if v != "" {
			cost += unloadCost
		}
		if !s.hasHostCopy(id) {
			cost += storeLoadCost
		}
		if cost < bestCost {
			best, victim, bestCost = s, v, cost
		}
	}
	if best == nil {
		return
	}
	if victim == "" {
		r.orderLoad(best, id)
		return
	}
	r.p.reservations[r.ids[best]] = reservation{id, r.now.Add(reservationTTL)}
	r.addOrder(best, PlannedOrder{Unload: true, Model: victim})
	r.copies[victim] = slices.DeleteFunc(r.copies[victim], func(s *upstreamState) bool { return s == best })
}

const (
	// unloadCost and storeLoadCost are the costs of an unload and of a load from the weight
	// store when upstreams are compared, as a share of engineCapacity.
	unloadCost    = 0.15
	storeLoadCost = 0.3
)

// fits reports whether the upstream has memory for the model and for its adapters.
func (r *round) fits(s *upstreamState, m fleet.Model) bool {
	reserve := float64(min(m.AdapterCount, r.engine.AdapterSlots)) * m.AdapterMegabytes
	return s.usedMegabytes(r.engine)+m.WeightMegabytes+reserve <= r.engine.MemoryMegabytes
}

// chooseVictim returns the model to unload from the upstream so that m fits, or an empty ID if
// m fits already; ok is false if no model can be unloaded. The last copy of a model is only
// unloaded for a missing model, and only after lastCopyIdleTime without requests.
func (r *round) chooseVictim(s *upstreamState, m fleet.Model, missing bool) (units.ModelID, bool) {
	if r.fits(s, m) {
		return "", true
	}
	var victim units.ModelID
	least := math.Inf(1)
	for id, c := range s.models {
		if c.loading || r.now.Sub(c.since) < minCopyAge && !missing {
			continue
		}
		rest := len(r.copies[id]) - 1
		cost := r.demands[id].WorkRate / max(float64(rest), 0.5)
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

// orderLoad orders the model on the upstream and charges the load budget.
func (r *round) orderLoad(s *upstreamState, id units.ModelID) {
	if !s.hasHostCopy(id) {
		r.p.loadTokens[r.service.Name]--
		r.storeLoads++
	}
	r.addOrder(s, PlannedOrder{Model: id, FromWeightStore: !s.hasHostCopy(id)})
	r.copies[id] = append(r.copies[id], s)
}

// addOrder adds an order for the upstream to the round and marks it as in flight in the ledger.
func (r *round) addOrder(s *upstreamState, o PlannedOrder) {
	r.ordered[s] = true
	o.Upstream, o.Service, o.ExpectedOrders = r.ids[s], r.service.Name, s.acceptedOrders
	s.callPending = true
	r.orders = append(r.orders, o)
}
