package assign

import (
	"cmp"
	"slices"
)

// waterFillPasses is the number of times that the work of every model is redistributed.
const waterFillPasses = 3

// stream is the work of a model and the copies that can serve it.
type stream struct {
	workRate float64
	copies   []*placement
	// shares are the parts of the work at each of the copies.
	shares []float64
}

// estimateWork sets the work of the sites and copies. It spreads the demand for each model over its copies so that their sites are loaded as evenly as the other work there allows.
func (r *round) estimateWork() {
	streams := r.streams()
	for range waterFillPasses {
		for i := range streams {
			streams[i].spread()
		}
	}
}

// streams returns the work of each model with its copies. Adapters count for their models: they follow to further copies
// within milliseconds.
func (r *round) streams() []stream {
	streams := make([]stream, 0, len(r.models))
	for _, m := range r.models {
		if len(m.copies) > 0 && m.demand.WorkRate > 0 {
			streams = append(streams, stream{workRate: m.demand.WorkRate, copies: slices.Clone(m.copies), shares: make([]float64, len(m.copies))})
		}
	}
	return streams
}

// holders returns the copies of the model that have the adapter, or load it.
func (m *modelState) holders(adapter string) []*placement {
	var holders []*placement
	for _, l := range m.copies {
		if l.hasAdapter(adapter) {
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
