package assign

import (
	"math"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// loadBurst is the size of the token bucket for loads from the weight store.
	loadBurst = 3.0
	// The weight store allows rate * storeTolerance * storeWindow + loadBurst loads in any window of storeWindow seconds.
	// loadMargin loads of them are left for orders whose delays differ.
	storeTolerance = 1.1
	storeWindow    = 5.0
	loadMargin     = 1.5
	// minLoadShare is the share of the weight store's rate that is used however low that is.
	minLoadShare = 0.5
	// spareLoadTokens is the number of load tokens required to load a model that isn't
	// requested.
	spareLoadTokens = 2.0
	// expectedUnloadTime is how long the unload of a model that has little work takes: it waits for the requests that run.
	expectedUnloadTime = clock.Second
)

// loadBudget is the token bucket for loads from the weight store of a service. Each gateway keeps one, so that a new
// leader knows what the weight store will still take.
type loadBudget struct {
	tokens    float64
	updatedAt clock.Time
}

// loadRate returns the loads per second of which the bucket of a weight store with the rate is refilled: as many as its
// limit over a window allows beside a burst and a margin.
func loadRate(rate float64) float64 {
	return max(min(rate, rate*storeTolerance-loadMargin/storeWindow), rate*minLoadShare)
}

// firstTokens returns the load tokens of a gateway that doesn't know of the loads before: what the limit over a window
// leaves beside the burst that another leader may have used.
func firstTokens(rate float64) float64 { return min(rate*(storeTolerance-1)*storeWindow, 1) }

// budget returns the budget of a service, refilled up to now.
func (p *Planner) budget(now clock.Time, s *fleet.Service) *loadBudget {
	b, ok := p.budgets[s.Name]
	if !ok {
		b = &loadBudget{tokens: firstTokens(s.Engine.LoadsPerSecond), updatedAt: now}
		p.budgets[s.Name] = b
	}
	b.tokens = min(b.tokens+now.Sub(b.updatedAt).Seconds()*loadRate(s.Engine.LoadsPerSecond), loadBurst)
	b.updatedAt = now
	return b
}

// RecordLoad records that another gateway, the leader, has ordered a load from the weight store.
func (p *Planner) RecordLoad(now clock.Time, s *fleet.Service) {
	if s.Engine != nil {
		p.budget(now, s).tokens--
	}
}

// RecordTakeover records that this gateway has become the leader. Loads that the leader before has ordered last may not
// be known.
func (p *Planner) RecordTakeover(now clock.Time, services map[units.ServiceID]*fleet.Service) {
	for _, s := range services {
		if s.Engine != nil {
			b := p.budget(now, s)
			b.tokens = min(b.tokens, firstTokens(s.Engine.LoadsPerSecond))
		}
	}
}

// withinStoreBudget reports whether the weight store's limits allow a load now; a load from a host
// copy is always allowed.
func (r *round) withinStoreBudget(s *site, m *modelState) bool {
	if s.hasHostCopy(m.Name) || r.engine.LoadsPerSecond <= 0 {
		return true
	}
	return r.storeLoads < r.maxStoreLoads && r.budget.tokens >= 1
}

// withinNextBudget reports whether the weight store's limits will allow a load once an upstream has unloaded a model,
// beside the loads for which upstreams are unloading models already.
func (r *round) withinNextBudget(s *site, m *modelState) bool {
	if s.hasHostCopy(m.Name) || r.engine.LoadsPerSecond <= 0 {
		return true
	}
	tokens := r.budget.tokens + loadRate(r.engine.LoadsPerSecond)*expectedUnloadTime.Seconds()
	return r.storeLoads+r.reservedLoads < r.maxStoreLoads && tokens >= float64(r.reservedLoads+1)
}

// maxStoreLoads returns the number of concurrent loads that saturate the weight store: its rate
// times the duration of the shortest load. Additional loads would only slow each other down.
func maxStoreLoads(e *fleet.Engine) int {
	shortest := math.Inf(1)
	for _, m := range e.Models {
		shortest = min(shortest, m.StoreLoadTime.Seconds())
	}
	if math.IsInf(shortest, 1) {
		return 1
	}
	return max(int(e.LoadsPerSecond*shortest), 1)
}
