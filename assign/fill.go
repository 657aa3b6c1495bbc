package assign

import (
	"cmp"
	"slices"

	"github.com/magnolialever/magnolialever/units"
)

// waterFillPasses is the number of times that the work of every model is redistributed.
const waterFillPasses = 3

// estimateWork sets r.workRate. It spreads the demand of each model over its copies so that
// their upstreams are loaded as evenly as the other models on them allow.
func (r *round) estimateWork() {
	r.workRate = map[*upstreamState]float64{}
	for _, s := range r.states {
		if r.input.Paused[r.ids[s]] {
			r.workRate[s] = engineCapacity
		}
	}
	shares := map[units.ModelID]map[*upstreamState]float64{}
	for range waterFillPasses {
		for _, m := range r.engine.Models {
			copies := r.copies[m.Name]
			work := r.demands[m.Name].WorkRate
			if len(copies) == 0 || work <= 0 {
				continue
			}
			for s, share := range shares[m.Name] {
				r.workRate[s] -= share
			}
			shares[m.Name] = waterFill(copies, r.workRate, work)
			for s, share := range shares[m.Name] {
				r.workRate[s] += share
			}
		}
	}
}

// waterFill distributes work (prompt tokens/s) over upstreams whose present work rates are
// given, the least loaded first, and returns the share of each.
func waterFill(states []*upstreamState, workRate map[*upstreamState]float64, work float64) map[*upstreamState]float64 {
	order := slices.Clone(states)
	slices.SortStableFunc(order, func(a, b *upstreamState) int { return cmp.Compare(workRate[a], workRate[b]) })
	shares := map[*upstreamState]float64{}
	// Finds the smallest n whose common level stays below the load of the next upstream.
	total := 0.0
	for n := 1; n <= len(order); n++ {
		total += workRate[order[n-1]]
		level := (work + total) / float64(n)
		if n < len(order) && level > workRate[order[n]] {
			continue
		}
		for _, s := range order[:n] {
			shares[s] = max(level-workRate[s], 0)
		}
		break
	}
	return shares
}
