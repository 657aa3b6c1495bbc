package reside

import (
	"cmp"
	"math"
	"slices"

	"github.com/magnolialever/magnolialever/units"
)

// coming is the number of copies of the model that are being loaded or made room for.
func (r *round) coming(m units.ModelID) int {
	n := 0
	for _, s := range r.copies[m] {
		if s.models[m] != nil && s.models[m].loading {
			n++
		}
	}
	for _, i := range r.p.intents {
		if i.model == m {
			n++
		}
	}
	return n
}

// coverModels adds copies where requests can't be served: first of models that nothing
// holds, then of those whose copies can't keep up, each the most work first.
func (r *round) coverModels() {
	type gap struct {
		model   units.ModelID
		work    float64
		missing bool
	}
	var gaps []gap
	for _, m := range r.engine.Models {
		n, copies := r.needs[m.Name], r.copies[m.Name]
		if len(copies) == 0 {
			if n.Missed > 0 || n.Tokens > 1 {
				gaps = append(gaps, gap{m.Name, n.Tokens, true})
			}
			continue
		}
		if over := r.excess(copies); over > 0 && r.coming(m.Name) < maxComing {
			gaps = append(gaps, gap{m.Name, min(over, n.Tokens), false})
		}
	}
	// Requests for a model that nothing holds are refused, while those for one whose
	// copies are used too much are late.
	slices.SortStableFunc(gaps, func(a, b gap) int {
		return cmp.Or(compareTrueFirst(a.missing, b.missing), cmp.Compare(b.work, a.work))
	})
	for _, g := range gaps {
		if g.missing && r.intended(g.model) {
			r.addQuickly(g.model)
			continue
		}
		r.addCopy(g.model, g.missing, math.Inf(1))
	}
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// intended reports whether an upstream makes room for the model.
func (r *round) intended(id units.ModelID) bool {
	for _, i := range r.p.intents {
		if i.model == id {
			return true
		}
	}
	return false
}

// addQuickly loads a model that nothing holds on an upstream that has room, in place of
// the one that makes room: an unload waits for all requests that run on the victim.
func (r *round) addQuickly(id units.ModelID) {
	m, ok := r.engine.Model(id)
	if !ok {
		return
	}
	var best *site
	for _, s := range r.sites {
		if r.used[s] || !s.idle(r.now) || !r.affordable(s, id) || !r.fits(s, m) {
			continue
		}
		if _, busy := r.p.intents[r.ids[s]]; busy {
			continue
		}
		if best == nil || r.use[s] < r.use[best] {
			best = s
		}
	}
	if best == nil {
		return
	}
	for u, i := range r.p.intents {
		if i.model == id {
			delete(r.p.intents, u)
		}
	}
	r.load(best, id)
}

// excess is the work of the sites that is more than they can do, if none has room.
func (r *round) excess(sites []*site) float64 {
	over := 0.0
	for _, s := range sites {
		if r.use[s] <= capacity {
			return 0
		}
		over += r.use[s] - capacity
	}
	return over
}

// balance adds copies of models of which each copy is used too much.
func (r *round) balance() {
	type hot struct {
		model units.ModelID
		use   float64
	}
	var list []hot
	for _, m := range r.engine.Models {
		copies := r.copies[m.Name]
		if len(copies) == 0 || r.needs[m.Name].Tokens <= 0 {
			continue
		}
		least := math.Inf(1)
		for _, s := range copies {
			least = min(least, r.use[s])
		}
		wanted := int(math.Ceil(r.needs[m.Name].Tokens / (highUse * capacity)))
		if least > highUse*capacity && r.coming(m.Name) < max(wanted-len(copies)+r.coming(m.Name), 1) {
			list = append(list, hot{m.Name, least})
		}
	}
	slices.SortStableFunc(list, func(a, b hot) int { return cmp.Compare(b.use, a.use) })
	for _, h := range list {
		if r.coming(h.model) < maxComing {
			r.addCopy(h.model, false, h.use)
		}
	}
}

// maxComing bounds the copies of one model under way.
const maxComing = 3

// restore brings back models that nobody asks for and that nothing holds, while the
// weight store has loads to spare: demand moves to them without notice.
func (r *round) restore() {
	for _, m := range r.engine.Models {
		if len(r.copies[m.Name]) == 0 && r.coming(m.Name) == 0 && r.p.credit[r.service.Name] >= spareCredit {
			r.addCopy(m.Name, false, math.Inf(1))
		}
	}
}
