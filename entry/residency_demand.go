package entry

import (
	"math"
	"sync"

	"github.com/magnolialever/magnolialever/assign"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// demandMeter is an assign.Meter that is safe for concurrent use.
type demandMeter struct {
	mu    sync.Mutex
	meter *assign.Meter
}

func (m *demandMeter) recordWork(now clock.Time, t assign.Target, work float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meter.RecordWork(now, t, work)
}

func (m *demandMeter) recordRefused(now clock.Time, t assign.Target, work float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meter.RecordRefused(now, t, work)
}

func (m *demandMeter) recordMiss(now clock.Time, t assign.Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meter.RecordMiss(now, t)
}

func (m *demandMeter) current(now clock.Time) map[assign.Target]assign.Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.meter.Demand(now)
}

// ownDemand returns the demand at this gateway, with what waits in its queue.
func (c *controller) ownDemand(now clock.Time) map[assign.Target]assign.Demand {
	demands := c.gateway.demand.current(now)
	for t, work := range c.gateway.relay.WaitingWork() {
		demand := demands[t]
		demand.WaitingWork = work
		demands[t] = demand
	}
	return demands
}

// totalDemand returns the sum of all gateways' demand for each model and adapter.
func (c *controller) totalDemand(now clock.Time) map[assign.Target]assign.Demand {
	sum := map[assign.Target]assign.Demand{}
	for t, demand := range c.ownDemand(now) {
		sum[t] = sum[t].Add(c.gateway.settings.Zone, demand)
	}
	for _, d := range c.gateway.peers.FreshDigests() {
		addNeeds(sum, units.Zone(d.GetZone()), d.GetNeeds())
	}
	return sum
}

// encodeDemand encodes the demand at a gateway for a digest.
func encodeDemand(demands map[assign.Target]assign.Demand) []*wire.ModelNeed {
	needs := make([]*wire.ModelNeed, 0, len(demands))
	for t, demand := range demands {
		needs = append(needs, &wire.ModelNeed{
			Service: string(t.Service), Model: string(t.Model), Adapter: t.Adapter, Tokens: demand.WorkRate, Missed: int32(demand.Misses),
			Refused: wireTokens(demand.RefusedRate), Waiting: wireTokens(demand.WaitingWork),
		})
	}
	return needs
}

// wireTokens rounds an amount of work for a digest.
func wireTokens(work float64) int32 { return int32(min(work, math.MaxInt32)) }

// addNeeds adds the demand of a digest from a gateway of the zone.
func addNeeds(sum map[assign.Target]assign.Demand, zone units.Zone, needs []*wire.ModelNeed) {
	for _, n := range needs {
		t := assign.Target{Service: units.ServiceID(n.GetService()), Model: units.ModelID(n.GetModel()), Adapter: n.GetAdapter()}
		sum[t] = sum[t].Add(zone, assign.Demand{
			WorkRate: n.GetTokens(), Misses: int(n.GetMissed()), RefusedRate: float64(n.GetRefused()), WaitingWork: float64(n.GetWaiting()),
		})
	}
}
