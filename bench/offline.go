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
	// lead is how long before a window its loads begin: two loads in a row, as an
	// adapter may need its base model first, and the drain.
	lead = 10 * clock.Second
	// stride is the time between two plans.
	stride = 10 * clock.Second
	// horizon is how far ahead a target without demand is kept for its next request.
	horizon = 10 * clock.Minute
	// maxSteps bounds the changes of one plan.
	maxSteps = 8
	// missedCost and overCost weigh demand without a copy, and use beyond fullUse, in
	// units of the quadratic cost of use.
	missedCost = 20.0
	overCost   = 50.0
	fullUse    = 0.8
)

// tuning is what a search over whole runs chooses for the offline plan.
type tuning struct {
	window   clock.Span
	moveCost float64
}

var tunings = []tuning{
	{20 * clock.Second, 0.05}, {40 * clock.Second, 0.05}, {40 * clock.Second, 0.2},
	{40 * clock.Second, 0.5}, {40 * clock.Second, 1.5}, {90 * clock.Second, 0.3},
}

// runOffline returns the best run of a plan that knows the demand and the absence of
// the zone: the one with the highest attainment, and the fewest moves among those
// within a thousandth of it.
func runOffline(o Options, t *trace) Result {
	sums := newSums(o, t)
	runs := make([]Result, 0, len(tunings))
	for _, v := range tunings {
		runs = append(runs, newSim(o, t, &offline{tuning: v, sums: sums}).run(t))
	}
	best := slices.MaxFunc(runs, func(a, b Result) int { return cmp.Compare(a.Attainment, b.Attainment) })
	for _, r := range runs {
		if r.Attainment >= best.Attainment-0.001 && r.Moves < best.Moves {
			best = r
		}
	}
	return best
}

// sums holds the tokens asked for up to each second, by target.
type sums [][]float64

func newSums(o Options, t *trace) sums {
	n := o.Site.Models + o.Site.Adapters
	length := int(o.Length/clock.Second) + 1
	s := make(sums, n)
	for i := range s {
		s[i] = make([]float64, length+1)
	}
	for _, q := range t.requests {
		s[q.target][int(q.at/clock.Time(clock.Second))+1] += q.tokens
	}
	for _, row := range s {
		for j := 1; j < len(row); j++ {
			row[j] += row[j-1]
		}
	}
	return s
}

// rate returns the demand for a target in the span, in tokens a second.
func (s sums) rate(target int, from clock.Time, span clock.Span) float64 {
	row := s[target]
	a := min(int(from/clock.Time(clock.Second)), len(row)-1)
	b := min(a+int(span/clock.Second), len(row)-1)
	if a == b {
		return 0
	}
	return (row[b] - row[a]) / float64(b-a)
}

// offline improves the placement for the next window step by step, by the change that
// lowers the cost most.
type offline struct {
	tuning tuning
	sums   sums
	next   clock.Time
	want   [][]bool
}

func (p *offline) missed(*sim, *request) []place.Command { return nil }

func (p *offline) refused(clock.Time, place.Command) {}

func (p *offline) plan(s *sim) []place.Command {
	if !s.now.Before(p.next) {
		p.next = s.now.Add(stride)
		p.want = p.search(s)
	}
	return p.orders(s)
}

// draft is a placement under consideration.
type draft struct {
	sim    *sim
	demand []float64
	later  []float64
	has    [][]bool
	// holders has a bit for each replica that can serve the target.
	holders []uint32
	usable  []bool
	used    []units.Bytes
	moves   int
}

func (p *offline) draft(s *sim) *draft {
	n := len(s.targets)
	d := &draft{sim: s, demand: make([]float64, n), later: make([]float64, n)}
	from := s.now.Add(lead)
	for i := range n {
		d.demand[i] = p.sums.rate(i, from, p.tuning.window)
		if s.now < clock.Time(lead) || p.sums.rate(i, s.now, lead) > d.demand[i] {
			d.demand[i] = max(d.demand[i], p.sums.rate(i, s.now, lead))
		}
		d.later[i] = p.sums.rate(i, s.now, horizon)
	}
	for _, v := range s.servers {
		has := make([]bool, n)
		used := units.Bytes(0)
		for i, st := range v.states {
			has[i] = st == resident || st == loading
			if has[i] {
				used += s.targets[i].Bytes
			}
		}
		d.has = append(d.has, has)
		d.used = append(d.used, used)
		d.usable = append(d.usable, !v.out && !s.options.out(v.zone, from))
	}
	d.holders = make([]uint32, n)
	for r := range d.has {
		d.hold(r)
	}
	return d
}

// clone returns a copy of which the replica may be changed.
func (d *draft) clone(r int) *draft {
	c := *d
	c.has = slices.Clone(d.has)
	c.has[r] = slices.Clone(d.has[r])
	c.used = slices.Clone(d.used)
	c.holders = slices.Clone(d.holders)
	return &c
}

// hold takes over what the replica has.
func (d *draft) hold(r int) {
	for i := range d.holders {
		d.holders[i] &^= 1 << r
		if d.offers(r, i) {
			d.holders[i] |= 1 << r
		}
	}
}

func (d *draft) offers(r, target int) bool {
	b := d.sim.base[target]
	return d.usable[r] && d.has[r][target] && (b < 0 || d.has[r][b])
}

// spread returns the use of each replica, and the cost of the draft.
func (d *draft) spread(moveCost float64) (use []float64, cost float64) {
	use = make([]float64, len(d.has))
	speed := float64(replicaSpeed)
	for i, h := range d.holders {
		switch {
		case h == 0:
			cost += missedCost * d.demand[i] / speed
			if d.later[i] > 0 {
				cost += moveCost
			}
		case h&(h-1) == 0:
			use[bits.TrailingZeros32(h)] += d.demand[i] / speed
		}
	}
	const parts = 4
	for i, h := range d.holders {
		if h&(h-1) == 0 || d.demand[i] == 0 {
			continue
		}
		for range parts {
			use[least(use, h)] += d.demand[i] / speed / parts
		}
	}
	for _, x := range use {
		over := max(x-fullUse, 0)
		cost += x*x + overCost*over*over
	}
	return use, cost + moveCost*float64(d.moves)
}

// least returns the replica with the lowest use among the holders.
func least(use []float64, holders uint32) int {
	best := bits.TrailingZeros32(holders)
	for h := holders & (holders - 1); h != 0; h &= h - 1 {
		if r := bits.TrailingZeros32(h); use[r] < use[best] {
			best = r
		}
	}
	return best
}

// search returns the placement wanted for the window.
func (p *offline) search(s *sim) [][]bool {
	d := p.draft(s)
	use, cost := d.spread(p.tuning.moveCost)
	for range maxSteps {
		var best *draft
		bestCost := cost - 1e-6
		for _, i := range d.candidates(use) {
			for r := range d.has {
				c := d.with(r, i)
				if c == nil {
					continue
				}
				if _, v := c.spread(p.tuning.moveCost); v < bestCost {
					best, bestCost = c, v
				}
			}
		}
		if best == nil {
			break
		}
		d = best
		use, cost = d.spread(p.tuning.moveCost)
	}
	return d.has
}

// candidates returns the targets whose further copy may help: those without one, and
// those with most demand on the most used replicas.
func (d *draft) candidates(use []float64) []int {
	var list []int
	for i, x := range d.demand {
		if x > 0 && d.holders[i] == 0 {
			list = append(list, i)
		}
	}
	const busiest, hottest = 3, 4
	order := make([]int, len(d.has))
	for r := range order {
		order[r] = r
	}
	slices.SortFunc(order, func(a, b int) int { return -cmp.Compare(use[a], use[b]) })
	for _, r := range order[:busiest] {
		if use[r] < fullUse/2 {
			break
		}
		var hot []int
		for i := range d.demand {
			if d.offers(r, i) && d.demand[i] > 0 {
				hot = append(hot, i)
			}
		}
		slices.SortFunc(hot, func(a, b int) int { return -cmp.Compare(d.demand[a], d.demand[b]) })
		list = append(list, hot[:min(hottest, len(hot))]...)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// with returns the draft with a copy of the target on the replica, and its base
// model; nil when that is not possible.
func (d *draft) with(r, target int) *draft {
	if !d.usable[r] || d.offers(r, target) {
		return nil
	}
	c := d.clone(r)
	need := []int{target}
	if b := d.sim.base[target]; b >= 0 && !d.has[r][b] {
		need = []int{b, target}
	}
	for _, i := range need {
		if c.has[r][i] {
			continue
		}
		c.has[r][i] = true
		c.used[r] += d.sim.targets[i].Bytes
		c.moves++
	}
	for c.used[r] > replicaBytes {
		if !c.drop(r, need) {
			return nil
		}
	}
	c.hold(r)
	return c
}

// drop removes the target that is worth least from the replica, with its adapters.
func (d *draft) drop(r int, keep []int) bool {
	best := -1
	bestWorth := 0.0
	for i, has := range d.has[r] {
		if !has || slices.Contains(keep, i) || slices.ContainsFunc(keep, func(k int) bool { return d.sim.base[k] == i }) {
			continue
		}
		worth := d.worth(r, i)
		for j, b := range d.sim.base {
			if b == i && d.has[r][j] {
				worth += d.worth(r, j)
			}
		}
		worth /= float64(d.sim.targets[i].Bytes)
		if best < 0 || worth < bestWorth {
			best, bestWorth = i, worth
		}
	}
	if best < 0 {
		return false
	}
	for j, b := range d.sim.base {
		if (j == best || b == best) && d.has[r][j] {
			d.has[r][j] = false
			d.used[r] -= d.sim.targets[j].Bytes
		}
	}
	return true
}

// worth is the demand that a copy serves, more for the only one.
func (d *draft) worth(r, target int) float64 {
	others := bits.OnesCount32(d.holders[target] &^ (1 << r))
	if others == 0 {
		return 1 + missedCost*d.demand[target] + d.later[target]
	}
	return d.demand[target] / float64(others+1)
}

// orders brings the replicas closer to the placement wanted.
func (p *offline) orders(s *sim) []place.Command {
	var list []place.Command
	credit := min(int(s.credit), s.options.Site.Budget.Concurrent-s.loads)
	for r, v := range s.servers {
		if v.out {
			continue
		}
		used := v.used
		for i, want := range p.want[r] {
			ready := s.base[i] < 0 || v.states[s.base[i]] == resident
			if !want || v.states[i] != absent || !ready {
				continue
			}
			t := s.targets[i]
			if used+t.Bytes > replicaBytes {
				list = append(list, p.clear(s, r)...)
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

// clear unloads what is no longer wanted on a replica, adapters first.
func (p *offline) clear(s *sim, r int) []place.Command {
	v := s.servers[r]
	var list []place.Command
	for i, want := range p.want[r] {
		if !want && v.states[i] == resident && !s.based(v, i) {
			list = append(list, place.Command{Op: place.Unload, Replica: v.id, Target: s.targets[i]})
		}
	}
	return list
}
