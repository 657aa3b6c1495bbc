package place

import (
	"cmp"
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
	// Speed is in tokens a second.
	Speed    units.Tokens
	Resident []units.ModelID
	Loading  []units.ModelID
	// Usable replicas get new work: they are connected, not leaving and not out.
	Usable bool
}

// Demand is the work asked for of one target, in tokens a second.
type Demand struct {
	// Short is averaged over seconds, Long over minutes.
	Short float64
	Long  float64
	// Waiting counts requests that wait for the target to be resident.
	Waiting int
}

// World is the input of one planning round.
type World struct {
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

// Done tells the planner that an order was carried out, which the next reports show.
func (p *Planner) Done(now clock.Time, c Command) {
	o, ok := p.pending[c.place()]
	if !ok || o.op != c.Op {
		return
	}
	delete(p.pending, c.place())
	if c.Op == Load {
		p.loaded[c.place()] = now
	}
}

// Failed tells the planner that an order was refused or failed.
func (p *Planner) Failed(now clock.Time, c Command) {
	delete(p.pending, c.place())
	p.failed[c.place()] = now
}

// Plan returns the orders for this round. It is called about once a second.
func (p *Planner) Plan(now clock.Time, w World) []Command {
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

// round is the state of one planning round.
type round struct {
	planner  *Planner
	now      clock.Time
	targets  map[units.ModelID]Target
	order    []Target
	demand   map[units.ModelID]Demand
	replicas []*replica
	// copies lists the usable replicas that have or load a target.
	copies   map[units.ModelID][]*replica
	loads    int
	searches int
	// promised counts loads for which this round makes room.
	promised int
	commands []Command
}

type replica struct {
	Replica
	// free is Free less what pending loads will take.
	free units.Bytes
	// has is true for resident and false for loading targets.
	has map[units.ModelID]bool
	// leaving targets have a pending unload.
	leaving map[units.ModelID]bool
	// use is the expected work in tokens a second.
	use float64
	// flow is the part of use for each target.
	flow map[units.ModelID]float64
}

func newRound(p *Planner, now clock.Time, w World) *round {
	r := &round{
		planner: p, now: now, demand: w.Demand,
		targets: make(map[units.ModelID]Target, len(w.Targets)),
		order:   slices.Clone(w.Targets),
		copies:  make(map[units.ModelID][]*replica, len(w.Targets)),
	}
	for _, t := range w.Targets {
		r.targets[t.ID] = t
	}
	// Models go before adapters, which need them, and wanted targets before others.
	slices.SortFunc(r.order, func(a, b Target) int {
		return cmp.Or(
			cmp.Compare(len(a.Base), 0)-cmp.Compare(len(b.Base), 0),
			-cmp.Compare(r.wanted(a.ID), r.wanted(b.ID)),
			cmp.Compare(a.ID, b.ID))
	})
	for _, one := range w.Replicas {
		r.add(one)
	}
	r.settlePending()
	// Targets with one copy leave no choice; the others go where that leaves room.
	for _, t := range r.order {
		if len(r.copies[t.ID]) == 1 {
			r.spread(t.ID)
		}
	}
	for _, t := range r.order {
		if len(r.copies[t.ID]) > 1 {
			r.spread(t.ID)
		}
	}
	return r
}

// wanted is the demand that orders targets: requests that wait count most.
func (r *round) wanted(id units.ModelID) float64 {
	d := r.demand[id]
	return float64(d.Waiting)*1000 + max(d.Short, d.Long)
}

func (r *round) add(one Replica) {
	v := &replica{
		Replica: one, free: one.Free,
		has:     make(map[units.ModelID]bool, len(one.Resident)+len(one.Loading)),
		leaving: map[units.ModelID]bool{},
		flow:    map[units.ModelID]float64{},
	}
	for _, id := range one.Loading {
		v.has[id] = false
	}
	for _, id := range one.Resident {
		v.has[id] = true
	}
	r.loads += len(one.Loading)
	r.replicas = append(r.replicas, v)
}

// settlePending takes orders into account whose effect is not reported yet.
func (r *round) settlePending() {
	byID := make(map[units.UpstreamID]*replica, len(r.replicas))
	for _, v := range r.replicas {
		byID[v.ID] = v
	}
	for at, o := range r.planner.pending {
		v, connected := byID[at.replica]
		resident, known := false, false
		if connected {
			resident, known = v.has[at.target]
		}
		switch {
		case r.now.Sub(o.at) >= pendingSpan:
			delete(r.planner.pending, at)
		case !connected && o.op == Load:
			// The load goes on and takes its part of the budget.
			r.loads++
		case !connected:
		case o.op == Load && resident:
			delete(r.planner.pending, at)
			r.planner.loaded[at] = r.now
		case o.op == Load && !known:
			v.has[at.target] = false
			v.free -= r.targets[at.target].Bytes
			r.loads++
		case o.op == Unload && !known && v.Free >= o.free+r.targets[at.target].Bytes:
			delete(r.planner.pending, at)
		case o.op == Unload:
			v.leaving[at.target] = true
		}
	}
	for _, v := range r.replicas {
		if !v.Usable {
			continue
		}
		for id := range v.has {
			if !v.leaving[id] {
				r.copies[id] = append(r.copies[id], v)
			}
		}
	}
}

// spread divides the demand of a target among its copies, the less used first.
func (r *round) spread(id units.ModelID) {
	copies := r.copies[id]
	work := max(r.demand[id].Short, r.demand[id].Long)
	if len(copies) == 0 || work == 0 {
		return
	}
	const steps = 8
	for range steps {
		least := slices.MinFunc(copies, func(a, b *replica) int {
			return cmp.Or(cmp.Compare(a.share(), b.share()), cmp.Compare(a.ID, b.ID))
		})
		least.use += work / steps
		least.flow[id] += work / steps
	}
}

func (v *replica) share() float64 { return v.use / max(float64(v.Speed), 1) }

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

// makeRoom unloads what is worth least, on the replica where that costs least. The
// load follows when the agent has confirmed that the memory is free.
func (r *round) makeRoom(t Target) {
	var best []Target
	var from *replica
	bestCost := 0.0
	for _, v := range r.hosts(t) {
		if v.Capacity < t.Bytes || !r.canTake(v, t) {
			continue
		}
		victims, cost, ok := r.victims(v, t)
		if ok && (from == nil || cost < bestCost) {
			best, from, bestCost = victims, v, cost
		}
	}
	if from == nil {
		return
	}
	for _, o := range best {
		r.unload(from, o)
	}
	// The room is not for another target of this round too.
	from.free -= t.Bytes
}

func (r *round) unload(v *replica, t Target) {
	r.command(Unload, v, t)
	v.leaving[t.ID] = true
	r.copies[t.ID] = slices.DeleteFunc(r.copies[t.ID], func(o *replica) bool { return o == v })
}

// eviction is a target that may leave a replica, with its adapters there.
type eviction struct {
	target   Target
	adapters []Target
	// waits is set while adapters are being unloaded, before which the target can't go.
	waits bool
	bytes units.Bytes
	// cost is the work that it displaces, in tokens a second.
	cost float64
}

// victims returns what has to go from v for t, and the work that it would displace.
// Memory that pending unloads will free counts as free. A base model goes in a later
// round than its adapters, which need it.
func (r *round) victims(v *replica, t Target) (list []Target, cost float64, ok bool) {
	need := t.Bytes - v.free
	for id := range v.leaving {
		need -= r.targets[id].Bytes
	}
	chosen := map[units.ModelID]bool{}
	for _, e := range r.evictions(v, t) {
		if need <= 0 {
			break
		}
		for _, o := range e.adapters {
			if chosen[o.ID] {
				need += o.Bytes
				continue
			}
			chosen[o.ID] = true
			list = append(list, o)
		}
		if len(e.adapters) == 0 && !e.waits && !chosen[e.target.ID] {
			chosen[e.target.ID] = true
			list = append(list, e.target)
		}
		cost += e.cost
		need -= e.bytes
	}
	return list, cost, need <= 0
}

// evictions returns what may leave v for t, the cheapest first.
func (r *round) evictions(v *replica, t Target) []eviction {
	var list []eviction
	for id, resident := range v.has {
		if !resident || !r.expendable(v, id, t) {
			continue
		}
		o := r.targets[id]
		// A target that is no longer configured has no known size.
		o.ID = id
		if e, ok := r.withAdapters(v, o, t); ok {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b eviction) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), -cmp.Compare(a.bytes, b.bytes), cmp.Compare(a.target.ID, b.target.ID))
	})
	return list
}

// withAdapters returns the eviction of o, or false when one of its adapters has to
// stay.
func (r *round) withAdapters(v *replica, o, t Target) (eviction, bool) {
	e := eviction{target: o, bytes: o.Bytes, cost: v.flow[o.ID]}
	if o.Base != "" {
		return e, true
	}
	for id, resident := range v.has {
		a, known := r.targets[id]
		if !known || a.Base != o.ID {
			continue
		}
		if v.leaving[id] {
			e.waits = true
			continue
		}
		if !resident || !r.expendable(v, id, t) {
			return e, false
		}
		e.adapters = append(e.adapters, a)
		e.bytes += a.Bytes
		e.cost += v.flow[id]
	}
	slices.SortFunc(e.adapters, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return e, true
}

// expendable tells whether a target may leave v for t: it has another resident copy,
// or nobody asks for it while somebody asks for t.
func (r *round) expendable(v *replica, id units.ModelID, t Target) bool {
	if _, known := r.targets[id]; !known {
		return !v.leaving[id] && !r.failed(v, id)
	}
	if v.leaving[id] || id == t.Base || r.failed(v, id) || r.settling(v, id, t) {
		return false
	}
	for _, other := range r.copies[id] {
		if other != v && other.has[id] {
			return true
		}
	}
	return r.demand[id].Waiting == 0 && r.demand[id].Short < idleUse && r.wanted(t.ID) >= idleUse && r.wanted(t.ID) > keepFactor*r.wanted(id)
}

// settling reports whether a copy is too new to go. It may go at once when nobody
// asks for it and requests wait for t.
func (r *round) settling(v *replica, id units.ModelID, t Target) bool {
	if _, ok := r.planner.loaded[place{v.ID, id}]; !ok {
		return false
	}
	return r.wanted(id) >= idleUse || r.demand[t.ID].Waiting == 0
}

// relieveReplicas adds copies of targets on replicas that are used too much.
func (r *round) relieveReplicas() {
	busy := slices.Clone(r.replicas)
	slices.SortFunc(busy, func(a, b *replica) int {
		return cmp.Or(-cmp.Compare(a.share(), b.share()), cmp.Compare(a.ID, b.ID))
	})
	for _, v := range busy {
		if v.share() < highUse || r.searches > maxSearches || r.planner.credit < float64(1+r.promised) {
			return
		}
		for _, id := range v.flows() {
			if r.relieve(v, r.targets[id]) {
				break
			}
		}
	}
}

// flows returns the targets whose work on v is worth another copy, the largest first.
func (v *replica) flows() []units.ModelID {
	var list []units.ModelID
	for id, f := range v.flow {
		if f >= minGain*float64(v.Speed) {
			list = append(list, id)
		}
	}
	slices.SortFunc(list, func(a, b units.ModelID) int {
		return cmp.Or(-cmp.Compare(v.flow[a], v.flow[b]), cmp.Compare(a, b))
	})
	return list
}

// relieve orders another copy of t, and reports whether one is on its way.
func (r *round) relieve(v *replica, t Target) bool {
	if r.loadingSomewhere(t.ID) && r.suffice(t.ID) {
		return true
	}
	r.searches++
	to, gain := r.relief(v, t, v.flow[t.ID])
	if to == nil && t.Base != "" {
		// No other replica with the base model can help, so the base model needs another
		// copy first.
		if r.loadingSomewhere(t.Base) {
			return true
		}
		to, gain = r.relief(v, r.targets[t.Base], v.flow[t.ID])
		t = r.targets[t.Base]
	}
	if to == nil {
		return false
	}
	if to.free < t.Bytes {
		victims, _, _ := r.victims(to, t)
		for _, o := range victims {
			r.unload(to, o)
		}
		to.free -= t.Bytes
		r.promised++
	} else if !r.load(to, t) {
		return false
	}
	v.use -= gain
	to.use += gain
	return true
}

// relief returns the replica on which a further copy of t takes over most of the flow
// of v, less the work that making room displaces, and what it takes over.
func (r *round) relief(v *replica, t Target, flow float64) (to *replica, gain float64) {
	best := 0.0
	for _, u := range r.hosts(t) {
		moved := min(flow/2, (v.share()-u.share())*float64(u.Speed)/2)
		if u == v || moved < minGain*float64(u.Speed) || moved <= best || !r.canTake(u, t) {
			continue
		}
		net := moved
		if u.free < t.Bytes {
			_, cost, ok := r.victims(u, t)
			if !ok {
				continue
			}
			net -= cost + evictionCost*float64(u.Speed)
		}
		if net >= minGain*float64(u.Speed) && net > best {
			to, gain, best = u, moved, net
		}
	}
	return to, gain
}

// suffice tells whether the copies, with those on their way, could serve the target if
// they had nothing else to do. A surge beyond that does not wait for one load after
// the other.
func (r *round) suffice(id units.ModelID) bool {
	speed := units.Tokens(0)
	for _, v := range r.copies[id] {
		speed += v.Speed
	}
	return max(r.demand[id].Short, r.demand[id].Long) <= highUse*float64(speed)
}

// loadingSomewhere tells whether a copy is on its way, whose effect must be awaited.
func (r *round) loadingSomewhere(id units.ModelID) bool {
	return slices.ContainsFunc(r.copies[id], func(v *replica) bool { return !v.has[id] })
}

// spreadZones uses free memory for a copy in a second availability zone, so that a
// target stays reachable when a zone leaves.
func (r *round) spreadZones() {
	for _, t := range r.order {
		if r.planner.credit < 1+spareBudget {
			return
		}
		copies := r.copies[t.ID]
		if len(copies) == 0 || r.loadingSomewhere(t.ID) || len(zonesOf(copies)) > 1 {
			continue
		}
		if _, ok := r.planner.spread[t.ID]; ok {
			continue
		}
		zone := copies[0].Zone
		var best *replica
		for _, v := range r.hosts(t) {
			wanted := r.demand[t.ID].Long >= spreadShare*float64(v.Speed)
			if wanted && v.Zone != zone && v.free >= t.Bytes && (best == nil || v.free > best.free) && r.canTake(v, t) {
				best = v
			}
		}
		if best != nil {
			r.load(best, t)
			r.planner.spread[t.ID] = r.now
		}
	}
}

func zonesOf(copies []*replica) map[units.Zone]bool {
	zones := map[units.Zone]bool{}
	for _, v := range copies {
		zones[v.Zone] = true
	}
	return zones
}
