package reside

import (
	"cmp"
	"math"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/units"
)

// Target names a model or an adapter of a service.
type Target struct {
	Service units.ServiceID
	Model   units.ModelID
	Adapter string
}

// Demand is the demand of a model or adapter over all gateways.
type Demand struct {
	// Tokens is the work asked for, in prompt tokens a second.
	Tokens float64
	// Missed counts requests of late that nothing could serve.
	Missed int
}

// PlanInput is the input of one planning round.
type PlanInput struct {
	Services map[units.ServiceID]*fleet.Service
	Demands  map[Target]Demand
	// Out are the zones that get nothing new.
	Out map[units.Zone]bool
	// InFlight is the number of requests that run on each upstream.
	InFlight map[units.UpstreamID]int
}

const (
	// capacity is the work that one engine does in a second, in prompt tokens.
	capacity = 40_000.0
	// highUse is the share of the capacity on each of its copies above which a model gets
	// another.
	highUse = 0.25
	// lowUse is the share of that use below which an upstream is worth a copy.
	lowUse = 0.7
	// keepNew is how long a new copy is not displaced.
	keepNew = 5 * clock.Second
	// keepLast is how long the last copy of a model stays after its last request, where a
	// model that nothing holds is asked for.
	keepLast = 12 * clock.Second
	// intentSpan is how long an upstream is kept for the model that room was made for.
	intentSpan = 6 * clock.Second
	// loadBurst is the number of loads from the weight store that may begin at once.
	loadBurst = 3.0
	// loadShare is the part of the weight store's rate that is used.
	loadShare = 0.9
	// spareCredit is the number of loads that has to be left for a model that nobody asks
	// for.
	spareCredit = 2.0
	// adapterKeep is how long an adapter that was just loaded is not displaced.
	adapterKeep = 800 * clock.Millisecond
)

// Planner decides on orders.
type Planner struct {
	ledger *Ledger
	// credit is the number of loads from the weight store that may begin.
	credit map[units.ServiceID]float64
	last   clock.Time
	// asked is when a target was last asked for.
	asked map[Target]clock.Time
	// intents are the models that upstreams make room for.
	intents map[units.UpstreamID]intent
}

type intent struct {
	model units.ModelID
	until clock.Time
}

// NewPlanner returns a Planner over the ledger.
func NewPlanner(l *Ledger) *Planner {
	return &Planner{
		ledger: l, credit: map[units.ServiceID]float64{}, asked: map[Target]clock.Time{},
		intents: map[units.UpstreamID]intent{},
	}
}

// Plan returns the orders to give now. Each counts as sent.
func (p *Planner) Plan(now clock.Time, w PlanInput) []PlannedOrder {
	span := clock.Span(0)
	if p.last != 0 {
		span = now.Sub(p.last)
	}
	p.last = now
	for t, n := range w.Demands {
		if n.Tokens > 1 || n.Missed > 0 {
			p.asked[t] = now
		}
	}
	p.dropIntents(now, w.Out)
	var out []PlannedOrder
	for _, id := range sortedServices(w.Services) {
		s := w.Services[id]
		if s.Engine == nil {
			continue
		}
		if c, ok := p.credit[id]; !ok {
			p.credit[id] = 1
		} else {
			p.credit[id] = min(c+span.Seconds()*s.Engine.LoadsPerSecond*loadShare, loadBurst)
		}
		r := p.newRound(now, &w, s)
		r.fulfil()
		r.coverModels()
		r.coverAdapters()
		r.balance()
		r.restore()
		out = append(out, r.out...)
	}
	return out
}

// dropIntents forgets intents that are too old or whose upstream takes nothing new.
func (p *Planner) dropIntents(now clock.Time, out map[units.Zone]bool) {
	for id, i := range p.intents {
		s, ok := p.ledger.sites[id]
		if !ok || !now.Before(i.until) || s.entry.Draining || out[s.entry.Zone] {
			delete(p.intents, id)
		}
	}
}

func sortedServices(m map[units.ServiceID]*fleet.Service) []units.ServiceID {
	out := make([]units.ServiceID, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// round is the state of one planning round for one service.
type round struct {
	p       *Planner
	now     clock.Time
	w       *PlanInput
	service *fleet.Service
	engine  *fleet.Engine
	sites   []*site
	ids     map[*site]units.UpstreamID
	// needs is the demand of each model with its adapters.
	needs map[units.ModelID]Demand
	// recent are the models asked for within keepLast.
	recent map[units.ModelID]bool
	// copies lists the sites that hold or load a model and take requests.
	copies map[units.ModelID][]*site
	// use is the expected work of each site, in prompt tokens a second.
	use map[*site]float64
	// loads is the number of loads from the weight store under way.
	loads int
	out   []PlannedOrder
	used  map[*site]bool
}

func (p *Planner) newRound(now clock.Time, w *PlanInput, s *fleet.Service) *round {
	r := &round{
		p: p, now: now, w: w, service: s, engine: s.Engine,
		ids: map[*site]units.UpstreamID{}, copies: map[units.ModelID][]*site{}, used: map[*site]bool{},
		needs: map[units.ModelID]Demand{}, recent: map[units.ModelID]bool{},
	}
	for id, one := range p.ledger.sites {
		e := one.entry
		if e.Service != s.Name || e.Draining || w.Out[e.Zone] {
			continue
		}
		r.ids[one] = id
		r.sites = append(r.sites, one)
	}
	slices.SortFunc(r.sites, func(a, b *site) int { return cmp.Compare(r.ids[a], r.ids[b]) })
	for _, one := range r.sites {
		r.addCopies(one)
	}
	for t, n := range w.Demands {
		if t.Service == s.Name {
			sum := r.needs[t.Model]
			sum.Tokens += n.Tokens
			sum.Missed += n.Missed
			r.needs[t.Model] = sum
		}
	}
	for t, at := range p.asked {
		if t.Service == s.Name && now.Sub(at) < keepLast {
			r.recent[t.Model] = true
		}
	}
	r.fill()
	return r
}

func (r *round) addCopies(s *site) {
	for m, c := range s.models {
		if s.busy != nil && s.busy.Unload && s.busy.Model == m {
			continue
		}
		if c.loading && (s.busy == nil || s.busy.FromWeightStore) {
			r.loads++
		}
		r.copies[m] = append(r.copies[m], s)
	}
}

// fulfil loads the models that upstreams have made room for.
func (r *round) fulfil() {
	for _, s := range r.sites {
		id := r.ids[s]
		i, ok := r.p.intents[id]
		if !ok {
			continue
		}
		m, known := r.engine.Model(i.model)
		if _, has := s.models[i.model]; has || !known {
			delete(r.p.intents, id)
			continue
		}
		if s.idle(r.now) && !r.used[s] && r.fits(s, m) && r.affordable(s, m.Name) {
			delete(r.p.intents, id)
			r.load(s, m.Name)
		}
	}
}

// affordable reports whether the weight store's budget allows a load.
func (r *round) affordable(s *site, m units.ModelID) bool {
	if s.keeps(m) || r.engine.LoadsPerSecond <= 0 {
		return true
	}
	return r.loads < r.maxLoads() && r.p.credit[r.service.Name] >= 1
}

// maxLoads is the number of loads under way at which the weight store is fully used: its
// rate times the duration of the shortest load. With more, each takes longer.
func (r *round) maxLoads() int {
	shortest := math.Inf(1)
	for _, m := range r.engine.Models {
		shortest = min(shortest, m.StoreLoad.Seconds())
	}
	if math.IsInf(shortest, 1) {
		return 1
	}
	return max(int(r.engine.LoadsPerSecond*shortest), 1)
}

// addCopy loads one more copy of the model on the upstream that is used least, or makes
// room for it there.
func (r *round) addCopy(id units.ModelID, missing bool, use float64) {
	m, ok := r.engine.Model(id)
	if !ok {
		return
	}
	var best *site
	var victim units.ModelID
	bestCost := math.Inf(1)
	for _, s := range r.sites {
		if _, has := s.models[id]; has || r.used[s] || !s.idle(r.now) || !r.affordable(s, id) {
			continue
		}
		if _, busy := r.p.intents[r.ids[s]]; busy || (!missing && r.use[s] > use*lowUse) {
			continue
		}
		v, ok := r.room(s, m, missing)
		if !ok {
			continue
		}
		cost := r.use[s] / capacity
		if v != "" {
			cost += victimCost
		}
		if !s.keeps(id) {
			cost += storeCost
		}
		if cost < bestCost {
			best, victim, bestCost = s, v, cost
		}
	}
	if best == nil {
		return
	}
	if victim == "" {
		r.load(best, id)
		return
	}
	r.p.intents[r.ids[best]] = intent{id, r.now.Add(intentSpan)}
	r.command(best, PlannedOrder{Unload: true, Model: victim})
	r.copies[victim] = slices.DeleteFunc(r.copies[victim], func(s *site) bool { return s == best })
}

const (
	// victimCost and storeCost are what an unload and a load from the weight store cost,
	// as a share of the capacity of an upstream.
	victimCost = 0.15
	storeCost  = 0.3
)

func (r *round) fits(s *site, m fleet.Model) bool {
	reserve := float64(min(m.Adapters, r.engine.AdapterSlots)) * m.AdapterMegabytes
	return s.usedMegabytes(r.engine)+m.Megabytes+reserve <= r.engine.Megabytes
}

// room returns the model that has to go from the upstream for another to fit; ok is
// false where nothing may go. The last copy of a model goes only for a model that
// nothing holds, and only where nobody has asked for it lately.
func (r *round) room(s *site, m fleet.Model, missing bool) (units.ModelID, bool) {
	if r.fits(s, m) {
		return "", true
	}
	var victim units.ModelID
	least := math.Inf(1)
	for id, c := range s.models {
		if c.loading || r.now.Sub(c.since) < keepNew && !missing {
			continue
		}
		rest := len(r.copies[id]) - 1
		cost := r.needs[id].Tokens / max(float64(rest), 0.5)
		switch {
		case rest > 0 && (missing || cost < highUse*capacity):
		case rest <= 0 && missing && !r.recent[id]:
			cost += capacity
		default:
			continue
		}
		if cost < least || (cost == least && id < victim) {
			victim, least = id, cost
		}
	}
	return victim, victim != ""
}

func (r *round) load(s *site, id units.ModelID) {
	if !s.keeps(id) {
		r.p.credit[r.service.Name]--
		r.loads++
	}
	r.command(s, PlannedOrder{Model: id, FromWeightStore: !s.keeps(id)})
	r.copies[id] = append(r.copies[id], s)
}

func (r *round) command(s *site, c PlannedOrder) {
	r.used[s] = true
	c.Upstream, c.Service, c.Expected = r.ids[s], r.service.Name, s.orders
	s.sending = true
	r.out = append(r.out, c)
}
