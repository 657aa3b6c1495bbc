package bench

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/place"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// loadLeadTime is how long before a window its loads start. It covers two consecutive loads, since
	// an adapter may need its base model first, and the drain before an unload.
	loadLeadTime = 10 * clock.Second
	// planInterval is the time between two searches.
	planInterval = 10 * clock.Second
	// retentionHorizon is how far ahead the plan looks for requests that make an idle target worth keeping.
	retentionHorizon = 10 * clock.Minute
	// maxPlanSteps limits the number of changes that one search makes.
	maxPlanSteps = 8
	// unservedCost weighs demand for targets without a copy, and overloadCost the square of
	// utilization above targetUtilization. Both are relative to the cost utilization².
	unservedCost      = 20.0
	overloadCost      = 50.0
	targetUtilization = 0.8
)

// tuning holds parameters of the offline plan: the window over which demand is averaged, and the cost
// of a load. runOffline tries each tuning on the whole run.
type tuning struct {
	window   clock.Span
	moveCost float64
}

var tunings = []tuning{
	{20 * clock.Second, 0.05}, {40 * clock.Second, 0.05}, {40 * clock.Second, 0.2},
	{40 * clock.Second, 0.5}, {40 * clock.Second, 1.5}, {90 * clock.Second, 0.3},
}

// runOffline returns the best run of a plan with advance knowledge of the demand and of the zone
// outage: the one with the fewest loads among those within 0.001 of the highest attainment.
func runOffline(o Options, t *trace) Result {
	sums := newDemandSums(o, t)
	runs := make([]Result, 0, len(tunings))
	for _, v := range tunings {
		runs = append(runs, newSimulation(o, t, &offlinePolicy{tuning: v, sums: sums}).run(t))
	}
	best := slices.MaxFunc(runs, func(a, b Result) int { return cmp.Compare(a.Attainment, b.Attainment) })
	for _, r := range runs {
		if r.Attainment >= best.Attainment-0.001 && r.Moves < best.Moves {
			best = r
		}
	}
	return best
}

// demandSums holds, for each target and second, the tokens requested before that second.
type demandSums [][]float64

// newDemandSums sums up the admitted requests of the trace.
func newDemandSums(o Options, t *trace) demandSums {
	n := o.Site.Models + o.Site.Adapters
	length := int(o.Length/clock.Second) + 1
	s := make(demandSums, n)
	for i := range s {
		s[i] = make([]float64, length+1)
	}
	for _, q := range t.requests {
		s[q.target][int(q.arrival/clock.Time(clock.Second))+1] += q.tokens
	}
	for _, row := range s {
		for j := 1; j < len(row); j++ {
			row[j] += row[j-1]
		}
	}
	return s
}

// rate returns the mean demand for a target during the span from the given time, in tokens per second.
func (s demandSums) rate(target int, from clock.Time, span clock.Span) float64 {
	row := s[target]
	a := min(int(from/clock.Time(clock.Second)), len(row)-1)
	b := min(a+int(span/clock.Second), len(row)-1)
	if a == b {
		return 0
	}
	return (row[b] - row[a]) / float64(b-a)
}

// offlinePolicy searches a placement for the next window greedily: each step makes the change that
// reduces the cost most.
type offlinePolicy struct {
	tuning   tuning
	sums     demandSums
	nextPlan clock.Time
	wanted   [][]bool
}

func (p *offlinePolicy) onMiss(*simulation, *request) []place.Command { return nil }

func (p *offlinePolicy) onRefusal(clock.Time, place.Command) {}

func (p *offlinePolicy) plan(s *simulation) []place.Command {
	if !s.now.Before(p.nextPlan) {
		p.nextPlan = s.now.Add(planInterval)
		p.wanted = p.searchPlacement(s)
	}
	return p.commands(s)
}

// candidate is a placement that the search evaluates. Demands are in tokens per second, by target;
// moves counts the loads that it needs.
type candidate struct {
	sim         *simulation
	demand      []float64
	laterDemand []float64
	placed      [][]bool
	// holders is a bit set, for each target, of the replicas that can serve it.
	holders   []uint32
	available []bool
	usedBytes []units.Bytes
	moves     int
}

// currentPlacement returns the present placement, loads in progress included, with the demand of the
// next window.
func (p *offlinePolicy) currentPlacement(s *simulation) *candidate {
	n := len(s.targets)
	d := &candidate{sim: s, demand: make([]float64, n), laterDemand: make([]float64, n)}
	from := s.now.Add(loadLeadTime)
	for i := range n {
		d.demand[i] = p.sums.rate(i, from, p.tuning.window)
		if s.now < clock.Time(loadLeadTime) || p.sums.rate(i, s.now, loadLeadTime) > d.demand[i] {
			d.demand[i] = max(d.demand[i], p.sums.rate(i, s.now, loadLeadTime))
		}
		d.laterDemand[i] = p.sums.rate(i, s.now, retentionHorizon)
	}
	for _, v := range s.replicas {
		has := make([]bool, n)
		used := units.Bytes(0)
		for i, st := range v.states {
			has[i] = st == resident || st == loading
			if has[i] {
				used += s.targets[i].Bytes
			}
		}
		d.placed = append(d.placed, has)
		d.usedBytes = append(d.usedBytes, used)
		d.available = append(d.available, !v.down && !s.options.zoneDown(v.zone, from))
	}
	d.holders = make([]uint32, n)
	for r := range d.placed {
		d.updateHolders(r)
	}
	return d
}

// cloneFor returns a copy in which the placement on replica r may be changed.
func (d *candidate) cloneFor(r int) *candidate {
	c := *d
	c.placed = slices.Clone(d.placed)
	c.placed[r] = slices.Clone(d.placed[r])
	c.usedBytes = slices.Clone(d.usedBytes)
	c.holders = slices.Clone(d.holders)
	return &c
}

// updateHolders updates holders for the targets placed on replica r.
func (d *candidate) updateHolders(r int) {
	for i := range d.holders {
		d.holders[i] &^= 1 << r
		if d.canServe(r, i) {
			d.holders[i] |= 1 << r
		}
	}
}

// canServe reports whether replica r is available and has the target, and the base model of an adapter.
func (d *candidate) canServe(r, target int) bool {
	b := d.sim.baseIndex[target]
	return d.available[r] && d.placed[r][target] && (b < 0 || d.placed[r][b])
}

// evaluate returns the utilization of each replica and the cost of the placement. It assigns the demand
// for targets with one copy first, then spreads that for others over their least utilized holders.
func (d *candidate) evaluate(moveCost float64) (utilization []float64, cost float64) {
	utilization = make([]float64, len(d.placed))
	speed := float64(replicaSpeed)
	for i, h := range d.holders {
		switch {
		case h == 0:
			cost += unservedCost * d.demand[i] / speed
			if d.laterDemand[i] > 0 {
				cost += moveCost
			}
		case h&(h-1) == 0:
			utilization[bits.TrailingZeros32(h)] += d.demand[i] / speed
		}
	}
	const parts = 4
	for i, h := range d.holders {
		if h&(h-1) == 0 || d.demand[i] == 0 {
			continue
		}
		for range parts {
			utilization[leastUtilized(utilization, h)] += d.demand[i] / speed / parts
		}
	}
	for _, x := range utilization {
		over := max(x-targetUtilization, 0)
		cost += x*x + overloadCost*over*over
	}
	return utilization, cost + moveCost*float64(d.moves)
}

// leastUtilized returns the holder with the lowest utilization; holders is a non-empty bit set.
func leastUtilized(utilization []float64, holders uint32) int {
	best := bits.TrailingZeros32(holders)
	for h := holders & (holders - 1); h != 0; h &= h - 1 {
		if r := bits.TrailingZeros32(h); utilization[r] < utilization[best] {
			best = r
		}
	}
	return best
}

// searchPlacement returns the placement for the next window, as placed[replica][target].
func (p *offlinePolicy) searchPlacement(s *simulation) [][]bool {
	d := p.currentPlacement(s)
	utilization, cost := d.evaluate(p.tuning.moveCost)
	for range maxPlanSteps {
		var best *candidate
		bestCost := cost - 1e-6
		for _, i := range d.copyCandidates(utilization) {
			for r := range d.placed {
				c := d.withCopy(r, i)
				if c == nil {
					continue
				}
				if _, v := c.evaluate(p.tuning.moveCost); v < bestCost {
					best, bestCost = c, v
				}
			}
		}
		if best == nil {
			break
		}
		d = best
		utilization, cost = d.evaluate(p.tuning.moveCost)
	}
	return d.placed
}

// copyCandidates returns the targets for which another copy may reduce the cost: those with demand
// but no copy, and those with the highest demand on the most utilized replicas.
func (d *candidate) copyCandidates(utilization []float64) []int {
	var list []int
	for i, x := range d.demand {
		if x > 0 && d.holders[i] == 0 {
			list = append(list, i)
		}
	}
	const busiest, hottest = 3, 4
	order := make([]int, len(d.placed))
	for r := range order {
		order[r] = r
	}
	slices.SortFunc(order, func(a, b int) int { return -cmp.Compare(utilization[a], utilization[b]) })
	for _, r := range order[:busiest] {
		if utilization[r] < targetUtilization/2 {
			break
		}
		var hot []int
		for i := range d.demand {
			if d.canServe(r, i) && d.demand[i] > 0 {
				hot = append(hot, i)
			}
		}
		slices.SortFunc(hot, func(a, b int) int { return -cmp.Compare(d.demand[a], d.demand[b]) })
		list = append(list, hot[:min(hottest, len(hot))]...)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// withCopy returns a placement with an additional copy of the target, and of its base model if needed,
// on replica r. It returns nil if the replica is down, can serve the target already or lacks memory.
func (d *candidate) withCopy(r, target int) *candidate {
	if !d.available[r] || d.canServe(r, target) {
		return nil
	}
	c := d.cloneFor(r)
	required := []int{target}
	if b := d.sim.baseIndex[target]; b >= 0 && !d.placed[r][b] {
		required = []int{b, target}
	}
	for _, i := range required {
		if c.placed[r][i] {
			continue
		}
		c.placed[r][i] = true
		c.usedBytes[r] += d.sim.targets[i].Bytes
		c.moves++
	}
	for c.usedBytes[r] > replicaBytes {
		if !c.evictLeastValuable(r, required) {
			return nil
		}
	}
	c.updateHolders(r)
	return c
}

// evictLeastValuable evicts the target with the lowest value per byte, and its adapters, from replica r.
// It returns false if every target there is in keep or is the base model of one that is.
func (d *candidate) evictLeastValuable(r int, keep []int) bool {
	victim := -1
	bestValue := 0.0
	for i, has := range d.placed[r] {
		if !has || slices.Contains(keep, i) || slices.ContainsFunc(keep, func(k int) bool { return d.sim.baseIndex[k] == i }) {
			continue
		}
		value := d.retentionValue(r, i)
		for j, b := range d.sim.baseIndex {
			if b == i && d.placed[r][j] {
				value += d.retentionValue(r, j)
			}
		}
		value /= float64(d.sim.targets[i].Bytes)
		if victim < 0 || value < bestValue {
			victim, bestValue = i, value
		}
	}
	if victim < 0 {
		return false
	}
	for j, b := range d.sim.baseIndex {
		if (j == victim || b == victim) && d.placed[r][j] {
			d.placed[r][j] = false
			d.usedBytes[r] -= d.sim.targets[j].Bytes
		}
	}
	return true
}

// retentionValue returns the demand that a copy serves, with a large addition for the only copy.
func (d *candidate) retentionValue(r, target int) float64 {
	otherHolders := bits.OnesCount32(d.holders[target] &^ (1 << r))
	if otherHolders == 0 {
		return 1 + unservedCost*d.demand[target] + d.laterDemand[target]
	}
	return d.demand[target] / float64(otherHolders+1)
}

// commands returns the loads and unloads that bring the replicas closer to the wanted placement.
func (p *offlinePolicy) commands(s *simulation) []place.Command {
	var list []place.Command
	credit := min(int(s.loadCredit), s.options.Site.Budget.Concurrent-s.loadsInProgress)
	for r, v := range s.replicas {
		if v.down {
			continue
		}
		used := v.usedBytes
		for i, want := range p.wanted[r] {
			ready := s.baseIndex[i] < 0 || v.states[s.baseIndex[i]] == resident
			if !want || v.states[i] != absent || !ready {
				continue
			}
			t := s.targets[i]
			if used+t.Bytes > replicaBytes {
				list = append(list, p.unloadUnwanted(s, r)...)
				break
			}
			if credit > 0 {
				credit--
				used += t.Bytes
				list = append(list, place.Command{Op: place.Load, Replica: v.id, Target: t})
			}
		}
	}
	return list
}

// unloadUnwanted returns unloads of the unwanted targets on a replica. Base models follow after their
// adapters are unloaded.
func (p *offlinePolicy) unloadUnwanted(s *simulation, r int) []place.Command {
	v := s.replicas[r]
	var list []place.Command
	for i, want := range p.wanted[r] {
		if !want && v.states[i] == resident && !s.hasAdapter(v, i) {
			list = append(list, place.Command{Op: place.Unload, Replica: v.id, Target: s.targets[i]})
		}
	}
	return list
}
