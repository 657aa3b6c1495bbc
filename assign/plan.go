package assign

import (
	"maps"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/units"
)

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
	// Capacity is the throughput of each upstream, in prompt tokens/s as by Work; that of an upstream that is missing or 0
	// is not known.
	Capacity map[units.UpstreamID]float64
}

const (
	// engineCapacity is the throughput of an engine of unknown capacity, in prompt tokens/s.
	engineCapacity = 40_000.0
	// lastCopyIdleTime is the time without requests after which the last copy of a model can
	// be unloaded for a requested model without a copy.
	lastCopyIdleTime = 12 * clock.Second
	// reservationTTL is how long an upstream is reserved for a model after the unload that makes
	// room for it was ordered. The unload waits for requests that run.
	reservationTTL = 12 * clock.Second
)

// Planner decides which models and adapters to load and unload.
type Planner struct {
	ledger *Ledger
	// budgets limit the loads from the weight store of each service.
	budgets map[units.ServiceID]*loadBudget
	// lastRequested is the time of the last demand for each target.
	lastRequested map[Target]clock.Time
	// reservations maps upstreams that unload a model to the model to load next.
	reservations map[units.UpstreamID]reservation
	// peaks holds the greatest recent work of each model.
	peaks map[modelKey]peak
	zones zoneAverages
	// status is the result of the last round.
	status Status
}

type reservation struct {
	model units.ModelID
	// until is the expiry.
	until clock.Time
}

// NewPlanner returns a Planner that reads and updates the ledger.
func NewPlanner(l *Ledger) *Planner {
	return &Planner{
		ledger: l, budgets: map[units.ServiceID]*loadBudget{}, lastRequested: map[Target]clock.Time{},
		reservations: map[units.UpstreamID]reservation{}, peaks: map[modelKey]peak{},
		zones: zoneAverages{work: map[zoneKey]float64{}},
	}
}

// Plan returns the orders to send now. The ledger already counts each as in flight, so that
// the caller must pass the outcome of each to Ledger.ApplyResult.
func (p *Planner) Plan(now clock.Time, input PlanInput) []PlannedOrder {
	known := newCatalog(input.Services)
	input.Demand = known.filter(input.Demand)
	p.recordRequested(now, known, input.Demand)
	p.zones.update(now, input.Demand)
	p.dropReservations(now, input.ExcludedZones)
	p.status = Status{}
	var orders []PlannedOrder
	for _, id := range sortedServices(input.Services) {
		s := input.Services[id]
		if s.Engine == nil {
			continue
		}
		r := p.newRound(now, &input, s)
		r.loadReserved()
		r.addMissingCopies()
		r.addFasterCopies()
		r.addMissingAdapters()
		r.addFurtherAdapters()
		r.addShortCopies()
		r.addHotCopies()
		r.restoreUnrequested()
		r.addZoneCopies()
		r.recordStatus()
		orders = append(orders, r.orders...)
	}
	return orders
}

// catalog has the models that engines can load.
type catalog map[modelKey]*fleet.Model

func newCatalog(services map[units.ServiceID]*fleet.Service) catalog {
	c := catalog{}
	for id, s := range services {
		if s.Engine == nil {
			continue
		}
		for i := range s.Engine.Models {
			c[modelKey{id, s.Engine.Models[i].Name}] = &s.Engine.Models[i]
		}
	}
	return c
}

// has reports whether engines can load the target.
func (c catalog) has(t Target) bool {
	m := c[modelKey{t.Service, t.Model}]
	return m != nil && (t.Adapter == "" || m.HasAdapter(t.Adapter))
}

// filter returns the demand for what engines can load: other gateways may report names that callers have made up.
func (c catalog) filter(all map[Target]Demand) map[Target]Demand {
	known := make(map[Target]Demand, len(all))
	for t, demand := range all {
		if c.has(t) {
			known[t] = demand
		}
	}
	return known
}

// recordRequested records what is requested, and forgets what engines can't load.
func (p *Planner) recordRequested(now clock.Time, c catalog, all map[Target]Demand) {
	for t, demand := range all {
		if demand.requested() {
			p.lastRequested[t] = now
		}
	}
	maps.DeleteFunc(p.lastRequested, func(t Target, _ clock.Time) bool { return !c.has(t) })
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
