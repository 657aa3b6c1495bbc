package assign

import (
	"cmp"
	"slices"
)

// waterFillPasses is the number of times that the work of every target is redistributed.
const waterFillPasses = 3

// stream is the work of a target and the copies that can serve it.
type stream struct {
	workRate float64
	copies   []*placement
	// shares are the parts of the work at each of the copies.
	shares []float64
}

// estimateWork sets the work of the sites and copies. It spreads the demand for each target over the copies that can
// serve it so that their sites are loaded as evenly as the other work there allows.
func (r *round) estimateWork() {
	streams := r.streams()
	for range waterFillPasses {
		for i := range streams {
			streams[i].spread()
		}
	}
}

// streams returns the work of each target with the copies that can serve it, in a fixed order.
func (r *round) streams() []stream {
	var targets []Target
	for t, demand := range r.input.Demand {
		if t.Service == r.service.Name && demand.WorkRate > 0 && len(r.copies[t.Model]) > 0 {
			targets = append(targets, t)
		}
	}
	slices.SortFunc(targets, func(a, b Target) int { return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter)) })
	streams := make([]stream, len(targets))
	for i, t := range targets {
		copies := r.holders(t)
		if len(copies) == 0 {
			copies = slices.Clone(r.copies[t.Model])
		}
		streams[i] = stream{workRate: r.input.Demand[t].WorkRate, copies: copies, shares: make([]float64, len(copies))}
	}
	return streams
}

// holders returns the copies of the model that have the target, or load it.
func (r *round) holders(t Target) []*placement {
	if t.Adapter == "" {
		return slices.Clone(r.copies[t.Model])
	}
	var holders []*placement
	for _, l := range r.copies[t.Model] {
		if l.hasAdapter(t.Adapter) {
			holders = append(holders, l)
		}
	}
	return holders
}

// spread distributes the work over the copies, the least loaded first.
func (w *stream) spread() {
	for i, l := range w.copies {
		l.workRate -= w.shares[i]
		l.modelWork -= w.shares[i]
	}
	slices.SortStableFunc(w.copies, func(a, b *placement) int { return cmp.Compare(a.workRate, b.workRate) })
	clear(w.shares)
	// Finds the smallest n whose common level stays below the load of the next site.
	total := 0.0
	for n := 1; n <= len(w.copies); n++ {
		total += w.copies[n-1].workRate
		level := (w.workRate + total) / float64(n)
		if n < len(w.copies) && level > w.copies[n].workRate {
			continue
		}
		for i, l := range w.copies[:n] {
			w.shares[i] = max(level-l.workRate, 0)
			l.workRate += w.shares[i]
			l.modelWork += w.shares[i]
		}
		return
	}
}
