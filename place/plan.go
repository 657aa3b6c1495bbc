package place

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/units"
)

// Target is a configured model or adapter. The planner keeps at least one copy of each
// resident if memory and demand allow it.
type Target struct {
	ID units.ModelID
	// Base is the base model of an adapter; empty for a model.
	Base units.ModelID
	// Bytes is the memory that the target takes when resident.
	Bytes units.Bytes
}

// Replica is the reported state of one upstream that runs a model engine.
type Replica struct {
	ID   units.UpstreamID
	Zone units.Zone
	// Free is the free memory in the agent's ledger, net of reservations.
	Free units.Bytes
	// Capacity is the total memory.
	Capacity units.Bytes
	// Throughput is in tokens per second.
	Throughput units.Tokens
	Resident   []units.ModelID
	Loading    []units.ModelID
	// Usable is set when the replica may get new requests and loads: it is connected, its
	// VM is not being removed, and neither it nor its zone is excluded.
	Usable bool
}

// Demand is the demand for one target.
type Demand struct {
	// ShortTerm and LongTerm are the tokens per second requested, averaged over seconds
	// and over minutes.
	ShortTerm float64
	LongTerm  float64
	// Waiting counts the requests that wait until the target is resident.
	Waiting int
}

// Input is the input of one planning round. Demand may lack targets without demand.
type Input struct {
	Targets  []Target
	Replicas []Replica
	Demand   map[units.ModelID]Demand
}

// Op is the operation of an order.
type Op string

// Operations of orders.
const (
	Load   Op = "load"
	Unload Op = "unload"
)

// Command is a load or unload that the planner has decided on, to be sent as an Order to
// the agent of the replica.
type Command struct {
	Op      Op
	Replica units.UpstreamID
	Target  Target
}

func (c *Command) placement() placement { return placement{c.Replica, c.Target.ID} }

// Budget limits loads from the weight store.
type Budget struct {
	// Rate is the sustained limit in loads per second.
	Rate float64
	// Concurrent is the maximum number of concurrent loads.
	Concurrent int
}

const (
	// highUtilization is the share of a replica's throughput above which targets on it
	// get further copies, which leaves headroom for bursts.
	highUtilization = 0.8
	// minGain is the share of a replica's throughput that a new copy must take over to
	// justify its load.
	minGain = 0.1
	// evictionOverhead is the cost of evictions as a share of a replica's throughput. It
	// keeps a copy from being replaced by one that helps about as much.
	evictionOverhead = 0.02
	// pendingTimeout is how long an order without a reported effect counts as pending.
	// After that it counts as lost and may be sent again.
	pendingTimeout = 20 * clock.Second
	// minResidentTime is the age before which a copy is not evicted, so that it can take
	// over load first. See recentlyLoaded for the exception.
	minResidentTime = 30 * clock.Second
	// maxSearches bounds the searches for further copies in one round. The load budget
	// allows only a few copies anyway, and the most utilized replicas come first.
	maxSearches = 256
	// zoneCopyInterval is the minimum time between two loads of the same target that
	// protect it against the loss of a zone.
	zoneCopyInterval = 10 * clock.Minute
	// zoneCopyMinUtilization is the share of a replica's throughput that the long-term
	// demand for a target must reach before it gets a copy in a second zone. Without this
	// limit and zoneCopyInterval, such copies were more than half of all loads in package
	// bench.
	zoneCopyMinUtilization = 0.015
	// idleDemand is the demand in tokens per second below which a target counts as idle.
	idleDemand = 0.5
	// displaceFactor is how many times higher the priority of a target must be to evict
	// the last copy of an idle one.
	displaceFactor = 2.0
	// maxLoadCredit is the size of the token bucket for loads: the largest burst.
	maxLoadCredit = 4.0
	// initialLoadCredit is the number of loads that a new planner may start at once. The
	// planner of the previous leader may have used the rest.
	initialLoadCredit = 1.0
	// failureBackoff is the delay before an order that was refused or failed is repeated:
	// the reports may be older than the refusal.
	failureBackoff = 3 * clock.Second
	// zoneCopyReserve is the load credit that copies in a second zone leave for urgent
	// loads.
	zoneCopyReserve = 2.0
)

// placement is a target on a replica.
type placement struct {
	replica units.UpstreamID
	target  units.ModelID
}

// pendingOrder is an order whose effect is not yet in the reports.
type pendingOrder struct {
	op     Op
	sentAt clock.Time
	// freeBefore is the free memory that the replica reported before the order.
	freeBefore units.Bytes
}

// Planner decides which targets are resident on which replica. It performs no I/O and is
// not safe for concurrent use.
type Planner struct {
	budget Budget
	// loadCredit is the number of loads that may start now; a token bucket with the rate
	// of the budget.
	loadCredit float64
	lastRefill clock.Time
	// refilled is set once lastRefill is valid.
	refilled bool
	pending  map[placement]pendingOrder
	// loadedAt holds the loads completed within minResidentTime.
	loadedAt map[placement]clock.Time
	// failedAt holds the orders refused or failed within failureBackoff.
	failedAt map[placement]clock.Time
	// zoneCopiedAt holds the copies in a second zone ordered within zoneCopyInterval.
	zoneCopiedAt map[units.ModelID]clock.Time
	// loads holds back targets that end or fail the engines that load them.
	loads *retry.Holdback[units.ModelID]
}

// NewPlanner returns a Planner that keeps within the budget.
func NewPlanner(b Budget) *Planner {
	return &Planner{
		budget: b, loadCredit: initialLoadCredit,
		pending: map[placement]pendingOrder{}, loadedAt: map[placement]clock.Time{}, failedAt: map[placement]clock.Time{}, zoneCopiedAt: map[units.ModelID]clock.Time{},
		loads: retry.NewHoldback[units.ModelID](),
	}
}

// SetBudget replaces the budget from the next round on.
func (p *Planner) SetBudget(b Budget) { p.budget = b }

// OrderDone records that the agent has executed the order; the next reports show its
// effect. It ignores commands that are not pending.
func (p *Planner) OrderDone(now clock.Time, c Command) {
	o, ok := p.pending[c.placement()]
	if !ok || o.op != c.Op {
		return
	}
	delete(p.pending, c.placement())
	if c.Op == Load {
		p.loadedAt[c.placement()] = now
		p.loads.RecordSuccess(c.Target.ID)
	}
}

// OrderFailed records that the order was refused or failed, and delays further orders for
// the same target on the replica.
func (p *Planner) OrderFailed(now clock.Time, c Command) {
	delete(p.pending, c.placement())
	p.failedAt[c.placement()] = now
}

// LoadFailed records that an engine ended as it loaded a target, or failed to load it. It counts against the target
// at all replicas.
func (p *Planner) LoadFailed(now clock.Time, c Command) {
	p.loads.RecordFailure(now, c.Target.ID, p.pending[c.placement()].sentAt)
	p.OrderFailed(now, c)
}

// Plan returns the loads and unloads to order in this round, and counts them as pending.
// It is meant to be called about once per second.
func (p *Planner) Plan(now clock.Time, in Input) []Command {
	p.refill(now)
	r := newRound(p, now, in)
	r.loadMissingTargets()
	r.relieveOverloaded()
	r.addZoneCopies()
	return r.commands
}

// refill adds load credit for the time since the last round and drops outdated records.
func (p *Planner) refill(now clock.Time) {
	if p.refilled {
		p.loadCredit = min(p.loadCredit+now.Sub(p.lastRefill).Seconds()*p.budget.Rate, maxLoadCredit)
	}
	p.lastRefill, p.refilled = now, true
	expire(now, p.failedAt, failureBackoff)
	expire(now, p.loadedAt, minResidentTime)
	expire(now, p.zoneCopiedAt, zoneCopyInterval)
}

// expire deletes the entries that have reached maxAge.
func expire[K comparable](now clock.Time, m map[K]clock.Time, maxAge clock.Span) {
	for k, at := range m {
		if now.Sub(at) >= maxAge {
			delete(m, k)
		}
	}
}

// loadMissingTargets loads each target that no usable replica has or loads, or makes room
// for it.
func (r *round) loadMissingTargets() {
	for _, t := range r.sortedTargets {
		if len(r.copies[t.ID]) > 0 || (t.Base != "" && !r.baseResident(t.Base)) || r.planner.loads.Blocked(r.now, t.ID) {
			continue
		}
		if v := r.leastUtilized(t, 1); v != nil {
			r.startLoad(v, t)
			continue
		}
		r.makeRoom(t)
	}
}

func (r *round) baseResident(base units.ModelID) bool {
	return slices.ContainsFunc(r.copies[base], func(v *replica) bool { return v.resident[base] })
}

// candidates returns the replicas that may host the target: for an adapter, those that have
// or load its base model.
func (r *round) candidates(t Target) []*replica {
	if t.Base == "" {
		return r.replicas
	}
	return r.copies[t.Base]
}

// leastUtilized returns the least utilized replica below maxUtilization that can load the
// target without evictions, or nil.
func (r *round) leastUtilized(t Target, maxUtilization float64) *replica {
	var host *replica
	for _, v := range r.candidates(t) {
		if v.free >= t.Bytes && v.utilization() < maxUtilization && (host == nil || v.preferredOver(host)) && r.canLoad(v, t) {
			host = v
		}
	}
	return host
}

// preferredOver reports whether a load goes to v rather than to o: to the less utilized
// replica, and among equals to the one with more free memory, so that adapters fit beside
// their base models.
func (v *replica) preferredOver(o *replica) bool {
	if v.utilization() != o.utilization() {
		return v.utilization() < o.utilization()
	}
	return v.free > o.free
}

// canLoad reports whether v may load t, apart from the memory that this needs.
func (r *round) canLoad(v *replica, t Target) bool {
	_, present := v.resident[t.ID]
	if r.planner.loads.Blocked(r.now, t.ID) || r.planner.loads.Suspect(t.ID) && r.isLoading(t.ID) {
		return false
	}
	return v.Usable && !present && !v.unloading[t.ID] && (t.Base == "" || v.resident[t.Base] && !v.unloading[t.Base]) && !r.recentlyFailed(v, t.ID)
}

// recentlyFailed reports whether an order for the target on v was refused or failed within
// failureBackoff.
func (r *round) recentlyFailed(v *replica, id units.ModelID) bool {
	_, ok := r.planner.failedAt[placement{v.ID, id}]
	return ok
}

// startLoad orders the load of t on v, and returns false if the budget does not allow it.
func (r *round) startLoad(v *replica, t Target) bool {
	if r.planner.loadCredit < 1 || r.activeLoads >= r.planner.budget.Concurrent {
		return false
	}
	r.planner.loadCredit--
	r.activeLoads++
	r.issue(Load, v, t)
	v.resident[t.ID] = false
	v.free -= t.Bytes
	r.copies[t.ID] = append(r.copies[t.ID], v)
	return true
}

// issue adds a command to the result of the round and counts it as pending.
func (r *round) issue(op Op, v *replica, t Target) {
	r.commands = append(r.commands, Command{op, v.ID, t})
	r.planner.pending[placement{v.ID, t.ID}] = pendingOrder{op, r.now, v.Free}
}
