package reside

import (
	"cmp"
	"slices"

	"github.com/magnolialever/magnolialever/units"
)

// fillRounds is the number of times that the work of all models is divided anew.
const fillRounds = 3

// fill estimates the work of each site: each model's work goes to its copies so that
// they are used as evenly as the other models allow.
func (r *round) fill() {
	r.use = map[*site]float64{}
	part := map[units.ModelID]map[*site]float64{}
	for range fillRounds {
		for _, m := range r.engine.Models {
			copies := r.copies[m.Name]
			work := r.needs[m.Name].Tokens
			if len(copies) == 0 || work <= 0 {
				continue
			}
			for s, n := range part[m.Name] {
				r.use[s] -= n
			}
			part[m.Name] = level(copies, r.use, work)
			for s, n := range part[m.Name] {
				r.use[s] += n
			}
		}
	}
}

// level divides work among sites so that the least used are filled first.
func level(sites []*site, use map[*site]float64, work float64) map[*site]float64 {
	order := slices.Clone(sites)
	slices.SortStableFunc(order, func(a, b *site) int { return cmp.Compare(use[a], use[b]) })
	out := map[*site]float64{}
	// Raises the level of the first n sites until the work is used up.
	total := 0.0
	for n := 1; n <= len(order); n++ {
		total += use[order[n-1]]
		height := (work + total) / float64(n)
		if n < len(order) && height > use[order[n]] {
			continue
		}
		for _, s := range order[:n] {
			out[s] = max(height-use[s], 0)
		}
		break
	}
	return out
}
