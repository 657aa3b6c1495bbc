package place

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// Target is a model or an adapter that has to stay reachable.
type Target struct {
	ID units.ModelID
	// Base is the base model of an adapter; empty for a model.
	Base  units.ModelID
	Bytes units.Bytes
}

// Replica is what the controller knows of one model engine.
type Replica struct {
	ID   units.UpstreamID
	Zone units.Zone
	// Free is what the agent's ledger has left, reservations taken off.
	Free     units.Bytes
	Capacity units.Bytes
	// Throughput is in tokens a second.
	Throughput units.Tokens
	Resident   []units.ModelID
	Loading    []units.ModelID
	// Usable replicas get new work: they are connected, not leaving and not out.
	Usable bool
}

// Demand is the work asked for of one target, in tokens a second.
type Demand struct {
	// ShortTerm is averaged over seconds, Long over minutes.
	ShortTerm float64
	LongTerm  float64
	// Waiting counts requests that wait for the target to be resident.
	Waiting int
}

// Input is the input of one planning round.
type Input struct {
	Targets  []Target
	Replicas []Replica
	Demand   map[units.ModelID]Demand
}

// Op is what an order does.
type Op string

// Operations of orders.
const (
	Load   Op = "load"
	Unload Op = "unload"
)

// Command is one order for an agent.
type Command struct {
	Op      Op
	Replica units.UpstreamID
	Target  Target
}

func (c *Command) place() place { return place{c.Replica, c.Target.ID} }

// Budget limits loads from the weight store.
type Budget struct {
	// Rate is in loads a second.
	Rate float64
	// Concurrent is the number of loads at once.
	Concurrent int
}

const (
	// highUse is the share of a replica's speed above which a model on it gets
	// another copy, so that a burst finds room.
	highUse = 0.8
	// minGain is the share of a replica's speed that a new copy must take over to be
	// worth its load.
	minGain = 0.1
	// evictionCost is the share of a replica's speed that making room costs, so that a
	// copy is not exchanged for one that helps about as much.
	evictionCost = 0.02
	// pendingSpan is how long an order without effect is taken to be under way; then
	// it counts as lost and may be sent again.
	pendingSpan = 20 * clock.Second
	// settleSpan keeps a new copy from being evicted before it can have helped.
	settleSpan = 30 * clock.Second
	// maxSearches bounds the search for further copies in one round, which the budget
	// for loads does not let go far anyway. Those used most come first.
	maxSearches = 256
	// spreadSpan is the time between two copies of a target for the loss of a zone.
	spreadSpan = 10 * clock.Minute
	// spreadShare is the share of a replica's speed that a target must take on the long
	// average to get one. Without these two, copies for the loss of a zone were more
	// than half of all loads in package bench.
	spreadShare = 0.015
	// idleUse is the demand in tokens a second below which a target counts as unused.
	idleUse = 0.5
	// keepFactor is how much more a target must be wanted to displace the last copy of
	// one that nobody has asked for in the last seconds.
	keepFactor = 2.0
	// burstBudget is the number of loads that a quiet time saves up.
	burstBudget = 4.0
	// firstBudget is the number of loads that a new planner may start at once. The one
	// before it may have used up the rest.
	firstBudget = 1.0
	// failedSpan keeps an order that was refused from being repeated at once: the
	// reports may be older than the refusal.
	failedSpan = 3 * clock.Second
	// spareBudget is what copies for the loss of a zone must leave for urgent loads.
	spareBudget = 2.0
)

type place struct {
	replica units.UpstreamID
	target  units.ModelID
}

type pending struct {
	op Op
	at clock.Time
	// free is the memory that the replica reported before an unload.
	free units.Bytes
}

// Planner decides which targets are resident where. It performs no I/O and is not
// safe for concurrent use.
type Planner struct {
	budget  Budget
	credit  float64
	last    clock.Time
	started bool
	pending map[place]pending
	loaded  map[place]clock.Time
	// failed is when an order for the place was refused last.
	failed map[place]clock.Time
	// spread is when a copy in a second zone was loaded last.
	spread map[units.ModelID]clock.Time
}

// NewPlanner returns a Planner that stays inside the budget.
func NewPlanner(b Budget) *Planner {
	return &Planner{
		budget: b, credit: firstBudget,
		pending: map[place]pending{}, loaded: map[place]clock.Time{}, failed: map[place]clock.Time{}, spread: map[units.ModelID]clock.Time{},
	}
}

// SetBudget changes the limits of the weight store.
func (p *Planner) SetBudget(b Budget) { p.budget = b }

// OrderDone tells the planner that an order was carried out, which the next reports show.
func (p *Planner) OrderDone(now clock.Time, c Command) {
	o, ok := p.pending[c.place()]
	if !ok || o.op != c.Op {
		return
	}
	delete(p.pending, c.place())
	if c.Op == Load {
		p.loaded[c.place()] = now
	}
}

// OrderFailed tells the planner that an order was refused or failed.
func (p *Planner) OrderFailed(now clock.Time, c Command) {
	delete(p.pending, c.place())
	p.failed[c.place()] = now
}

// Plan returns the orders for this round. It is called about once a second.
func (p *Planner) Plan(now clock.Time, w Input) []Command {
	p.refill(now)
	r := newRound(p, now, w)
	r.coverTargets()
	r.relieveReplicas()
	r.spreadZones()
	return r.commands
}

func (p *Planner) refill(now clock.Time) {
	if p.started {
		p.credit = min(p.credit+now.Sub(p.last).Seconds()*p.budget.Rate, burstBudget)
	}
	p.last, p.started = now, true
	forget(now, p.failed, failedSpan)
	forget(now, p.loaded, settleSpan)
	forget(now, p.spread, spreadSpan)
}

// forget drops the entries that the span has made irrelevant.
func forget[K comparable](now clock.Time, m map[K]clock.Time, span clock.Span) {
	for k, then := range m {
		if now.Sub(then) >= span {
			delete(m, k)
		}
	}
}

// coverTargets loads targets that no usable replica has.
func (r *round) coverTargets() {
	for _, t := range r.order {
		if len(r.copies[t.ID]) > 0 || (t.Base != "" && !r.baseResident(t.Base)) {
			continue
		}
		if v := r.roomiest(t, 1); v != nil {
			r.load(v, t)
			continue
		}
		r.makeRoom(t)
	}
}

func (r *round) baseResident(base units.ModelID) bool {
	return slices.ContainsFunc(r.copies[base], func(v *replica) bool { return v.has[base] })
}

// hosts returns the replicas that may take the target: an adapter needs its base
// model.
func (r *round) hosts(t Target) []*replica {
	if t.Base == "" {
		return r.replicas
	}
	return r.copies[t.Base]
}

// roomiest returns the least used replica below the share that can take the target.
func (r *round) roomiest(t Target, share float64) *replica {
	var best *replica
	for _, v := range r.hosts(t) {
		if v.free >= t.Bytes && v.share() < share && (best == nil || v.roomier(best)) && r.canTake(v, t) {
			best = v
		}
	}
	return best
}

// roomier orders replicas that can take a load: the less used first, and the one with
// more memory among equals, so that adapters find room beside their base models.
func (v *replica) roomier(o *replica) bool {
	if v.share() != o.share() {
		return v.share() < o.share()
	}
	return v.free > o.free
}

func (r *round) canTake(v *replica, t Target) bool {
	_, has := v.has[t.ID]
	return v.Usable && !has && !v.leaving[t.ID] && (t.Base == "" || v.has[t.Base] && !v.leaving[t.Base]) && !r.failed(v, t.ID)
}

// failed reports whether an order for the target was refused a short time ago.
func (r *round) failed(v *replica, id units.ModelID) bool {
	_, ok := r.planner.failed[place{v.ID, id}]
	return ok
}

// load orders a load if the budget allows it.
func (r *round) load(v *replica, t Target) bool {
	if r.planner.credit < 1 || r.loads >= r.planner.budget.Concurrent {
		return false
	}
	r.planner.credit--
	r.loads++
	r.command(Load, v, t)
	v.has[t.ID] = false
	v.free -= t.Bytes
	r.copies[t.ID] = append(r.copies[t.ID], v)
	return true
}

func (r *round) command(op Op, v *replica, t Target) {
	r.commands = append(r.commands, Command{op, v.ID, t})
	r.planner.pending[place{v.ID, t.ID}] = pending{op, r.now, v.Free}
}
