package bench

import (
	"cmp"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/place"
	"github.com/magnolialever/magnolialever/units"
)

// plannerPolicy runs place.Planner on measured demand, as the leader's controller does.
type plannerPolicy struct {
	planner *place.Planner
	meter   *place.Meter
}

func newPlannerPolicy(o Options) *plannerPolicy {
	return &plannerPolicy{planner: place.NewPlanner(o.Site.Budget), meter: place.NewMeter(0)}
}

func (p *plannerPolicy) plan(s *simulation) []place.Command {
	for i, n := range s.requestedTokens {
		if waiting := len(s.waiting[i]); n > 0 || waiting > 0 {
			p.meter.Add(s.now, "gateway", s.targets[i].ID, units.Tokens(n), waiting)
		}
	}
	input := place.Input{Targets: s.targets, Demand: p.meter.Demand(s.now)}
	for _, v := range s.replicas {
		input.Replicas = append(input.Replicas, s.describeReplica(v))
	}
	return p.planner.Plan(s.now, input)
}

// describeReplica returns the state of a replica as the controller receives it.
func (s *simulation) describeReplica(v *replica) place.Replica {
	r := place.Replica{
		ID: v.id, Zone: units.Zone([]byte{'z', byte('0' + v.zone)}),
		Free: replicaBytes - v.usedBytes, Capacity: replicaBytes, Throughput: replicaSpeed, Usable: !v.down,
	}
	for i, st := range v.states {
		switch st {
		case resident:
			r.Resident = append(r.Resident, s.targets[i].ID)
		case loading:
			r.Loading = append(r.Loading, s.targets[i].ID)
		}
	}
	return r
}

func (p *plannerPolicy) onMiss(*simulation, *request) []place.Command { return nil }

func (p *plannerPolicy) onRefusal(now clock.Time, c place.Command) { p.planner.OrderFailed(now, c) }

// initialPlacement returns the target indexes to place on each replica. It places each model with its
// adapters on the replica with the lowest mean demand, then a second copy of each while memory lasts,
// in order of demand.
func initialPlacement(s *simulation, baseDemand []float64) [][]int {
	freeBytes := make([]units.Bytes, len(s.replicas))
	demand := make([]float64, len(s.replicas))
	placement := make([][]int, len(s.replicas))
	for r := range freeBytes {
		freeBytes[r] = replicaBytes
	}
	placeGroup := func(models []int, fits func(r int) bool) {
		best := -1
		for r := range placement {
			if fits(r) && !slices.Contains(placement[r], models[0]) && (best < 0 || demand[r] < demand[best]) {
				best = r
			}
		}
		if best < 0 {
			return
		}
		for _, i := range models {
			placement[best] = append(placement[best], i)
			freeBytes[best] -= s.targets[i].Bytes
			demand[best] += baseDemand[i]
		}
	}
	groups := modelGroups(s, baseDemand)
	for _, g := range groups {
		placeGroup(g.targets, func(r int) bool { return freeBytes[r] >= g.bytes })
	}
	for _, g := range groups {
		// A model has few popular adapters, so the second copy includes all of them for simplicity.
		placeGroup(g.targets, func(r int) bool { return freeBytes[r] >= g.bytes })
	}
	return placement
}

// modelGroup is a model with its adapters. Demand is in tokens per second.
type modelGroup struct {
	targets []int
	bytes   units.Bytes
	demand  float64
}

// modelGroups returns all models with their adapters, sorted by falling demand.
func modelGroups(s *simulation, baseDemand []float64) []modelGroup {
	var groups []modelGroup
	for i, t := range s.targets {
		if s.baseIndex[i] >= 0 {
			continue
		}
		g := modelGroup{[]int{i}, t.Bytes, baseDemand[i]}
		for j, b := range s.baseIndex {
			if b == i {
				g.targets = append(g.targets, j)
				g.bytes += s.targets[j].Bytes
				g.demand += baseDemand[j]
			}
		}
		groups = append(groups, g)
	}
	slices.SortStableFunc(groups, func(a, b modelGroup) int { return -cmp.Compare(a.demand, b.demand) })
	return groups
}

// staticPolicy keeps the initial placement and restores it after a zone outage.
type staticPolicy struct{ initial [][]int }

func newStaticPolicy(o Options, t *trace) *staticPolicy {
	return &staticPolicy{initial: initialPlacement(newSimulation(o, t, nil), t.baseDemand)}
}

func (p *staticPolicy) plan(s *simulation) []place.Command {
	var list []place.Command
	credit := min(int(s.loadCredit), s.options.Site.Budget.Concurrent-s.loadsInProgress)
	for r, v := range s.replicas {
		for _, i := range p.initial[r] {
			ready := s.baseIndex[i] < 0 || v.states[s.baseIndex[i]] == resident
			if !v.down && v.states[i] == absent && ready && len(list) < credit {
				list = append(list, place.Command{Op: place.Load, Replica: v.id, Target: s.targets[i]})
			}
		}
	}
	return list
}

func (p *staticPolicy) onMiss(*simulation, *request) []place.Command { return nil }

func (p *staticPolicy) onRefusal(clock.Time, place.Command) {}

// lruPolicy loads a target when a request for it cannot start before its deadline, and evicts the
// least recently used targets to make room.
type lruPolicy struct{ pending []int }

func (p *lruPolicy) onMiss(s *simulation, q *request) []place.Command {
	if !slices.Contains(p.pending, q.target) {
		p.pending = append(p.pending, q.target)
	}
	list, done := p.nextCommands(s, q.target)
	if done {
		p.pending = slices.DeleteFunc(p.pending, func(i int) bool { return i == q.target })
	}
	return list
}

// plan retries pending loads that lacked memory or load budget.
func (p *lruPolicy) plan(s *simulation) []place.Command {
	p.pending = slices.DeleteFunc(p.pending, func(i int) bool {
		list, done := p.nextCommands(s, i)
		// Applies commands at once, since the next target's commands depend on the resulting state.
		s.apply(list)
		return done
	})
	return nil
}

func (p *lruPolicy) onRefusal(clock.Time, place.Command) {}

// nextCommands returns the next commands towards loading the target, which may first load its base
// model or evict other targets. The second result is true if they include the load, if it is in progress, or if a
// model has no replica to load it on.
func (p *lruPolicy) nextCommands(s *simulation, target int) ([]place.Command, bool) {
	for _, v := range s.replicas {
		if !v.down && v.states[target] == loading {
			return nil, true
		}
	}
	b := s.baseIndex[target]
	var best *replica
	for _, v := range s.replicas {
		baseReady := b < 0 || v.states[b] == resident
		if !v.down && baseReady && v.states[target] == absent && (best == nil || v.freeAt < best.freeAt) {
			best = v
		}
	}
	if best == nil {
		if b < 0 {
			return nil, true
		}
		list, _ := p.nextCommands(s, b)
		return list, false
	}
	t := s.targets[target]
	if best.usedBytes+t.Bytes <= replicaBytes {
		if s.loadCredit < 1 || s.loadsInProgress >= s.options.Site.Budget.Concurrent {
			return nil, false
		}
		return []place.Command{{Op: place.Load, Replica: best.id, Target: t}}, true
	}
	return p.evict(s, best, target), false
}

// evict returns unloads of the least recently used targets that free enough memory for the target.
func (p *lruPolicy) evict(s *simulation, v *replica, target int) []place.Command {
	bytesToFree := v.usedBytes + s.targets[target].Bytes - replicaBytes
	var evictable []int
	for i, st := range v.states {
		switch {
		case st == unloading:
			bytesToFree -= s.targets[i].Bytes
		case st == resident && !s.hasAdapter(v, i) && i != s.baseIndex[target]:
			evictable = append(evictable, i)
		}
	}
	slices.SortStableFunc(evictable, func(a, b int) int { return cmp.Compare(v.lastRequest[a], v.lastRequest[b]) })
	var list []place.Command
	for _, i := range evictable {
		if bytesToFree <= 0 {
			break
		}
		bytesToFree -= s.targets[i].Bytes
		list = append(list, place.Command{Op: place.Unload, Replica: v.id, Target: s.targets[i]})
	}
	return list
}
