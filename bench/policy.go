package bench

import (
	"cmp"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/place"
	"github.com/magnolialever/magnolialever/units"
)

// planned runs place.Planner with measured demand, as the controller does.
type planned struct {
	planner *place.Planner
	meter   *place.Meter
}

func newPlanned(o Options) *planned {
	return &planned{planner: place.NewPlanner(o.Site.Budget), meter: place.NewMeter(0)}
}

func (p *planned) plan(s *sim) []place.Command {
	for i, n := range s.tokens {
		if waiting := len(s.waiting[i]); n > 0 || waiting > 0 {
			p.meter.Add(s.now, "gateway", s.targets[i].ID, units.Tokens(n), waiting)
		}
	}
	w := place.Input{Targets: s.targets, Demand: p.meter.Demand(s.now)}
	for _, v := range s.servers {
		w.Replicas = append(w.Replicas, s.report(v))
	}
	return p.planner.Plan(s.now, w)
}

// report is what the controller gets of a replica.
func (s *sim) report(v *server) place.Replica {
	r := place.Replica{
		ID: v.id, Zone: units.Zone([]byte{'z', byte('0' + v.zone)}),
		Free: replicaBytes - v.used, Capacity: replicaBytes, Throughput: replicaSpeed, Usable: !v.out,
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

func (p *planned) missed(*sim, *request) []place.Command { return nil }

func (p *planned) refused(now clock.Time, c place.Command) { p.planner.OrderFailed(now, c) }

// initial places one copy of each model with its adapters where the average demand is
// least, and further copies of what is wanted most in the memory that is left.
func initial(s *sim, weights []float64) [][]int {
	rest := make([]units.Bytes, len(s.servers))
	use := make([]float64, len(s.servers))
	list := make([][]int, len(s.servers))
	for r := range rest {
		rest[r] = replicaBytes
	}
	put := func(models []int, room func(r int) bool) {
		best := -1
		for r := range list {
			if room(r) && !slices.Contains(list[r], models[0]) && (best < 0 || use[r] < use[best]) {
				best = r
			}
		}
		if best < 0 {
			return
		}
		for _, i := range models {
			list[best] = append(list[best], i)
			rest[best] -= s.targets[i].Bytes
			use[best] += weights[i]
		}
	}
	groups := groupsOf(s, weights)
	for _, g := range groups {
		put(g.members, func(r int) bool { return rest[r] >= g.bytes })
	}
	for _, g := range groups {
		// The wanted adapters of a second copy are few, so the whole group goes.
		put(g.members, func(r int) bool { return rest[r] >= g.bytes })
	}
	return list
}

// group is a model with its adapters.
type group struct {
	members []int
	bytes   units.Bytes
	weight  float64
}

// groupsOf returns the groups, the most wanted first.
func groupsOf(s *sim, weights []float64) []group {
	var groups []group
	for i, t := range s.targets {
		if s.base[i] >= 0 {
			continue
		}
		g := group{[]int{i}, t.Bytes, weights[i]}
		for j, b := range s.base {
			if b == i {
				g.members = append(g.members, j)
				g.bytes += s.targets[j].Bytes
				g.weight += weights[j]
			}
		}
		groups = append(groups, g)
	}
	slices.SortStableFunc(groups, func(a, b group) int { return -cmp.Compare(a.weight, b.weight) })
	return groups
}

// static keeps the placement of the start, and restores it after a zone's return.
type static struct{ home [][]int }

func newStatic(o Options, t *trace) *static {
	return &static{home: initial(newSim(o, t, nil), t.weights)}
}

func (p *static) plan(s *sim) []place.Command {
	var list []place.Command
	credit := min(int(s.credit), s.options.Site.Budget.Concurrent-s.loads)
	for r, v := range s.servers {
		for _, i := range p.home[r] {
			ready := s.base[i] < 0 || v.states[s.base[i]] == resident
			if !v.out && v.states[i] == absent && ready && len(list) < credit {
				list = append(list, place.Command{Op: place.Load, Replica: v.id, Target: s.targets[i]})
			}
		}
	}
	return list
}

func (p *static) missed(*sim, *request) []place.Command { return nil }

func (p *static) refused(clock.Time, place.Command) {}

// recent loads a target when a request for it can't be served in time, and evicts the
// least recently used for it.
type recent struct{ wanted []int }

func (p *recent) missed(s *sim, q *request) []place.Command {
	if !slices.Contains(p.wanted, q.target) {
		p.wanted = append(p.wanted, q.target)
	}
	list, done := p.try(s, q.target)
	if done {
		p.wanted = slices.DeleteFunc(p.wanted, func(i int) bool { return i == q.target })
	}
	return list
}

// plan goes on with loads that wait for memory or the budget.
func (p *recent) plan(s *sim) []place.Command {
	p.wanted = slices.DeleteFunc(p.wanted, func(i int) bool {
		list, done := p.try(s, i)
		// Each order changes what the next one finds.
		s.apply(list)
		return done
	})
	return nil
}

func (p *recent) refused(clock.Time, place.Command) {}

// try returns the next orders for a load, and whether the load is one of them or on
// its way.
func (p *recent) try(s *sim, target int) ([]place.Command, bool) {
	for _, v := range s.servers {
		if !v.out && v.states[target] == loading {
			return nil, true
		}
	}
	b := s.base[target]
	var best *server
	for _, v := range s.servers {
		based := b < 0 || v.states[b] == resident
		if !v.out && based && v.states[target] == absent && (best == nil || v.free < best.free) {
			best = v
		}
	}
	if best == nil {
		if b < 0 {
			return nil, true
		}
		list, _ := p.try(s, b)
		return list, false
	}
	t := s.targets[target]
	if best.used+t.Bytes <= replicaBytes {
		if s.credit < 1 || s.loads >= s.options.Site.Budget.Concurrent {
			return nil, false
		}
		return []place.Command{{Op: place.Load, Replica: best.id, Target: t}}, true
	}
	return p.evict(s, best, target), false
}

// evict unloads the least recently used until the target fits.
func (p *recent) evict(s *sim, v *server, target int) []place.Command {
	need := v.used + s.targets[target].Bytes - replicaBytes
	var old []int
	for i, st := range v.states {
		switch {
		case st == unloading:
			need -= s.targets[i].Bytes
		case st == resident && !s.based(v, i) && i != s.base[target]:
			old = append(old, i)
		}
	}
	slices.SortStableFunc(old, func(a, b int) int { return cmp.Compare(v.touched[a], v.touched[b]) })
	var list []place.Command
	for _, i := range old {
		if need <= 0 {
			break
		}
		need -= s.targets[i].Bytes
		list = append(list, place.Command{Op: place.Unload, Replica: v.id, Target: s.targets[i]})
	}
	return list
}
