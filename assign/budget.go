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
	// loadShare is the share of the weight store's rate limit that the planner uses.
	loadShare = 0.9
	// spareLoadTokens is the number of load tokens required to load a model that isn't
	// requested.
	spareLoadTokens = 2.0
	// expectedUnloadTime is how long the unload of a model that has little work takes: it waits for the requests that run.
	expectedUnloadTime = clock.Second
)

// loadBudget is the token bucket for loads from the weight store of a service.
type loadBudget struct {
	tokens    float64
	updatedAt clock.Time
}

// budget returns the budget of a service, refilled up to now.
func (p *Planner) budget(now clock.Time, s *fleet.Service) *loadBudget {
	b, ok := p.budgets[s.Name]
	if !ok {
		b = &loadBudget{tokens: 1, updatedAt: now}
		p.budgets[s.Name] = b
	}
	b.tokens = min(b.tokens+now.Sub(b.updatedAt).Seconds()*s.Engine.LoadsPerSecond*loadShare, loadBurst)
	b.updatedAt = now
	return b
}

// withinStoreBudget reports whether the weight store's limits allow a load now; a load from a host
// copy is always allowed.
func (r *round) withinStoreBudget(s *site, m units.ModelID) bool {
	if s.hasHostCopy(m) || r.engine.LoadsPerSecond <= 0 {
		return true
	}
	return r.storeLoads < r.maxStoreLoads && r.budget.tokens >= 1
}

// withinNextBudget reports whether the weight store's limits will allow a load once an upstream has unloaded a model,
// beside the loads for which upstreams are unloading models already.
func (r *round) withinNextBudget(s *site, m units.ModelID) bool {
	if s.hasHostCopy(m) || r.engine.LoadsPerSecond <= 0 {
		return true
	}
	tokens := r.budget.tokens + r.engine.LoadsPerSecond*loadShare*expectedUnloadTime.Seconds()
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
