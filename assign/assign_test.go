package assign_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/assign"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

const service = units.ServiceID("engines")

// cluster is a set of engines that execute orders in simulated time.
type cluster struct {
	t       testing.TB
	service *fleet.Service
	engines map[units.UpstreamID]*engine
	ledger  *assign.Ledger
	planner *assign.Planner
	demand  map[assign.Target]assign.Demand
	// storeLoads holds the start times of loads from the weight store.
	storeLoads []clock.Time
	// unansweredEvery is n if each n-th order is unanswered and executed 3 s late; 0 means none.
	unansweredEvery int
	// lostAnswers is set if orders are executed, but no answer arrives.
	lostAnswers bool
	sentOrders  int
	lateOrders  []lateOrder
	// unloadTime is the duration of an unload, which waits for the running requests.
	unloadTime clock.Span
	// unreachable are the engines to which gateways can't connect; replaced are those at whose addresses
	// others answer.
	unreachable, replaced map[units.UpstreamID]bool
	// paused are the engines that asked for a pause.
	paused map[units.UpstreamID]bool
	// inUse is set if engines refuse to unload adapters.
	inUse bool
	// ordersTo counts the orders by engine.
	ordersTo map[units.UpstreamID]int
	// deadly is the model whose loads end the engines, ended the number of engines that it ended.
	deadly units.ModelID
	ended  int
}

// lateOrder is an unanswered order that will be executed.
type lateOrder struct {
	executeAt clock.Time
	order     assign.PlannedOrder
}

type engine struct {
	// models maps each resident model to its adapters.
	models         map[units.ModelID]map[string]bool
	onDisk         map[units.ModelID]bool
	acceptedOrders int64
	activeOrder    *assign.PlannedOrder
	activeUntil    clock.Time
	zone           units.Zone
	// reportedAt is the time of the last description.
	reportedAt clock.Time
	lost       bool
	// restarts is the number of processes before the current one.
	restarts int64
}

// newCluster returns a cluster with three models loaded on each engine.
func newCluster(t testing.TB, engines, models int) *cluster {
	spec := &fleet.Engine{Slots: 64, MemoryTokens: 100_000, MemoryMegabytes: 230_000, AdapterSlots: 4, LoadsPerSecond: 1.6}
	for i := range models {
		spec.Models = append(spec.Models, fleet.Model{
			Name: modelName(i), WeightMegabytes: 70_000, StoreLoadTime: 4 * clock.Second, AdapterCount: 10, AdapterMegabytes: 60,
		})
	}
	c := &cluster{
		t: t, service: &fleet.Service{Name: service, Engine: spec}, engines: map[units.UpstreamID]*engine{}, unloadTime: 300 * clock.Millisecond,
		ledger: assign.NewLedger(), demand: map[assign.Target]assign.Demand{}, ordersTo: map[units.UpstreamID]int{},
	}
	c.planner = assign.NewPlanner(c.ledger)
	for i := range engines {
		e := &engine{models: map[units.ModelID]map[string]bool{}, onDisk: map[units.ModelID]bool{}, reportedAt: 1, zone: "a"}
		c.engines[units.UpstreamID(fmt.Sprint("e", i))] = e
		for k := range 3 {
			e.models[modelName((3*i+k)%models)] = map[string]bool{}
		}
	}
	return c
}

func modelName(i int) units.ModelID { return units.ModelID(fmt.Sprintf("m%02d", i)) }

// entries returns the descriptions of the engines that are not lost.
func (c *cluster) entries() map[units.UpstreamID]*view.Entry {
	out := map[units.UpstreamID]*view.Entry{}
	for id, e := range c.engines {
		if e.lost {
			continue
		}
		u := &fleet.Upstream{ID: id, Service: service, Zone: e.zone, ProcessStart: 1 + e.restarts, Models: e.residents()}
		for m := range e.onDisk {
			u.OnDisk = append(u.OnDisk, m)
		}
		out[id] = &view.Entry{Upstream: u, ReceivedAt: e.reportedAt}
	}
	return out
}

func (e *engine) residents() []fleet.Resident {
	var out []fleet.Resident
	for m, adapters := range e.models {
		r := fleet.Resident{Model: m}
		for a := range adapters {
			r.Adapters = append(r.Adapters, a)
		}
		out = append(out, r)
	}
	return out
}

// run runs the planner and the engines every 50 ms of simulated time.
func (c *cluster) run(from, to clock.Time) {
	for now := from; now < to; now += 50 {
		c.advance(now)
		c.ledger.UpdateUpstreams(now, c.entries(), map[units.ServiceID]bool{service: true})
		for _, id := range c.ledger.StaleUpstreams(now) {
			e := c.engines[id]
			c.ledger.ReportStarted(id)
			c.ledger.ApplyReport(now, id, e.acceptedOrders, e.residents(), e.activeOrder != nil)
		}
		input := assign.PlanInput{Services: map[units.ServiceID]*fleet.Service{service: c.service}, Demand: c.demand, InFlight: map[units.UpstreamID]int{}, Unreachable: c.unreachable, Paused: c.paused}
		for _, o := range c.planner.Plan(now, input) {
			c.sendOrder(now, o)
		}
	}
}

// advance executes the late orders that are due and completes the active ones.
func (c *cluster) advance(now clock.Time) {
	for _, o := range c.lateOrders {
		if o.executeAt == now {
			c.execute(now, o.order)
		}
	}
	for _, e := range c.engines {
		if e.activeOrder == nil || now < e.activeUntil {
			continue
		}
		switch {
		case e.activeOrder.Unload:
			delete(e.models, e.activeOrder.Model)
		case e.activeOrder.Model == c.deadly:
			c.ended++
			e.models, e.acceptedOrders, e.restarts = map[units.ModelID]map[string]bool{}, 0, e.restarts+1
		default:
			e.models[e.activeOrder.Model] = map[string]bool{}
			e.onDisk[e.activeOrder.Model] = true
		}
		e.activeOrder, e.reportedAt = nil, now
	}
}

// sendOrder sends an order and passes its result to the ledger.
func (c *cluster) sendOrder(now clock.Time, o assign.PlannedOrder) {
	c.sentOrders++
	c.ordersTo[o.Upstream]++
	if c.replaced[o.Upstream] {
		c.ledger.ApplyResult(now, o, assign.UpstreamGone)
		return
	}
	if c.unansweredEvery > 0 && c.sentOrders%c.unansweredEvery == 0 {
		c.lateOrders = append(c.lateOrders, lateOrder{now + 3000, o})
		c.ledger.ApplyResult(now, o, assign.Unanswered)
		return
	}
	if c.lostAnswers {
		c.execute(now, o)
		c.ledger.ApplyResult(now, o, assign.Unanswered)
		return
	}
	if c.execute(now, o) {
		c.ledger.ApplyResult(now, o, assign.Accepted)
	} else {
		c.ledger.ApplyResult(now, o, assign.Refused)
	}
}

// execute executes an order and checks that it doesn't overcommit the engine's memory or
// adapter slots. It returns false if the engine refuses the order.
func (c *cluster) execute(now clock.Time, o assign.PlannedOrder) bool {
	e := c.engines[o.Upstream]
	if c.inUse && o.Unload && o.Adapter != "" || e.lost || e.acceptedOrders != o.ExpectedOrders || (e.activeOrder != nil && o.Adapter == "") {
		return false
	}
	e.acceptedOrders++
	switch {
	case o.Adapter != "" && o.Unload:
		delete(e.models[o.Model], o.Adapter)
	case o.Adapter != "":
		assert.Assert(c.t, e.models[o.Model] != nil, "an adapter of a model that isn't loaded")
		e.models[o.Model][o.Adapter] = true
	default:
		e.activeOrder = &o
		e.activeUntil = now.Add(c.unloadTime)
		if !o.Unload {
			e.activeUntil = now + 800
			if !e.onDisk[o.Model] {
				m, _ := c.service.Engine.Model(o.Model)
				e.activeUntil = now.Add(m.StoreLoadTime)
				c.storeLoads = append(c.storeLoads, now)
			}
		}
	}
	c.checkMemory(o.Upstream)
	return true
}

func (c *cluster) checkMemory(id units.UpstreamID) {
	e := c.engines[id]
	used, adapters := 0.0, 0
	for _, a := range e.models {
		used += 70_000 + 60*float64(len(a))
		adapters += len(a)
	}
	if e.activeOrder != nil && !e.activeOrder.Unload {
		used += 70_000
	}
	assert.Assert(c.t, used <= 230_000, "%s has loaded or is loading %.0f MB", id, used)
	assert.Assert(c.t, adapters <= 4, "%s has loaded %d adapters", id, adapters)
}

// checkStoreRate checks the rate limit of the weight store in any five seconds.
func (c *cluster) checkStoreRate() {
	for i, at := range c.storeLoads {
		n := 0
		for _, later := range c.storeLoads[i:] {
			if later.Sub(at) < 5*clock.Second {
				n++
			}
		}
		assert.Assert(c.t, float64(n) <= c.service.Engine.LoadsPerSecond*5*1.1+3, "%d loads within 5 s", n)
	}
}

// copies returns the number of engines that have loaded the model.
func (c *cluster) copies(m units.ModelID) int {
	n := 0
	for _, e := range c.engines {
		if _, ok := e.models[m]; ok && !e.lost {
			n++
		}
	}
	return n
}

// setDemand sets the demand for a model, or for an adapter if it is not empty. The workRate is in
// prompt tokens/s.
func (c *cluster) setDemand(m units.ModelID, adapter string, workRate float64, misses int) {
	c.demand[assign.Target{Service: service, Model: m, Adapter: adapter}] = assign.Demand{WorkRate: workRate, Misses: misses}
}

// Guards against models that stay unavailable after the only upstream that had loaded them is
// lost. Requested models are loaded first.
func TestModelsOfLostUpstreamsAreReloaded(t *testing.T) {
	c := newCluster(t, 9, 18)
	c.run(1, 2000)
	c.engines["e0"].lost = true
	c.engines["e6"].lost = true
	c.setDemand(modelName(0), "", 800, 2)
	c.run(2000, 8000)
	assert.Assert(t, c.copies(modelName(0)) > 0, "a requested model")
	c.run(8000, 40_000)
	for i := range 18 {
		assert.Assert(t, c.copies(modelName(i)) > 0, "model %d", i)
	}
	c.checkStoreRate()
}

// Guards against a model that keeps a single copy although demand has shifted to it, and against
// continual orders while demand is constant.
func TestCopiesFollowDemand(t *testing.T) {
	c := newCluster(t, 9, 18)
	c.setDemand(modelName(0), "", 60_000, 0)
	c.setDemand(modelName(1), "", 30_000, 0)
	c.run(1, 20_000)
	assert.Assert(t, c.copies(modelName(0)) >= 3, "%d copies", c.copies(modelName(0)))
	delete(c.demand, assign.Target{Service: service, Model: modelName(0)})
	c.setDemand(modelName(5), "", 60_000, 0)
	c.run(20_000, 45_000)
	assert.Assert(t, c.copies(modelName(5)) >= 3, "%d copies", c.copies(modelName(5)))
	before := c.sentOrders
	c.run(45_000, 75_000)
	assert.Assert(t, c.sentOrders-before <= 4, "%d orders while demand is constant", c.sentOrders-before)
	for i := range 18 {
		assert.Assert(t, c.copies(modelName(i)) > 0, "model %d", i)
	}
	c.checkStoreRate()
}

// Guards against overcommitting an engine's memory with orders that are unanswered and executed
// late. The cluster checks the memory at each order.
func TestLateOrdersDoNotOvercommit(t *testing.T) {
	for unansweredEvery := 2; unansweredEvery < 6; unansweredEvery++ {
		c := newCluster(t, 5, 14)
		c.unansweredEvery = unansweredEvery
		for i := range 20 {
			clear(c.demand)
			c.setDemand(modelName(i%14), "", 70_000, 1)
			c.setDemand(modelName((i+5)%14), fmt.Sprint("a", 1+i%9), 500, 1)
			c.run(clock.Time(3000*i+1), clock.Time(3000*(i+1)))
		}
		c.checkStoreRate()
		assert.Assert(t, c.sentOrders > 20, "%d orders", c.sentOrders)
	}
}

// Guards against requested adapters that are not loaded within a second, and against exceeding
// the adapter slots of an engine.
func TestAdaptersShareSlots(t *testing.T) {
	c := newCluster(t, 3, 3)
	for i := range 30 {
		clear(c.demand)
		a := fmt.Sprint("a", 1+i%10)
		for m := range 3 {
			c.setDemand(modelName(m), a, 300, 1)
		}
		c.run(clock.Time(1000*i+1), clock.Time(1000*(i+1)))
		for m := range 3 {
			resident := false
			for _, e := range c.engines {
				resident = resident || e.models[modelName(m)][a]
			}
			assert.Assert(t, resident, "adapter %s of model %d", a, m)
		}
	}
}

// Guards against demand that doesn't decay after the last request, and against misses that are
// reset too early or not at all.
func TestMeterDecay(t *testing.T) {
	m := assign.NewMeter()
	target := assign.Target{Service: service, Model: modelName(1)}
	for now := clock.Time(1); now < 10_000; now += 100 {
		m.RecordWork(now, target, 1000)
	}
	n := m.Demand(10_000)[target]
	assert.Assert(t, n.WorkRate > 8500 && n.WorkRate < 11_500, "%.0f tokens a second", n.WorkRate)
	m.RecordMiss(10_000, target)
	assert.Equal(t, m.Demand(11_000)[target].Misses, 1)
	assert.Equal(t, m.Demand(12_000)[target].Misses, 0)
	assert.Equal(t, len(m.Demand(60_000)), 0)
}

// Guards against a model that is never loaded because the upstream reserved for it is lost during
// the unload that makes room.
func TestReservationOnLostUpstream(t *testing.T) {
	for lost := range 6 {
		c := newCluster(t, 6, 18)
		c.run(1, 6000)
		c.engines["e5"].lost = true
		c.setDemand(modelName(15), "", 20_000, 1)
		for now := clock.Time(6001); now < 9000; now += 50 {
			c.run(now, now+1)
			if e := c.engines[units.UpstreamID(fmt.Sprint("e", lost))]; e.activeOrder != nil && e.activeOrder.Unload {
				e.lost = true
			}
		}
		c.run(9001, 24_001)
		assert.Assert(t, c.copies(modelName(15)) > 0, "upstream %d was lost", lost)
	}
}

// Guards against a model that waits for a slow unload on its reserved upstream, while upstreams
// that have restarted without models load further copies of resident models.
func TestMissingModelIsLoadedFirst(t *testing.T) {
	for returnedAt := clock.Time(7000); returnedAt < 12_000; returnedAt += 1000 {
		c := newCluster(t, 6, 9)
		for i := range 9 {
			c.setDemand(modelName(i), "", 90_000, 0)
		}
		c.engines["e4"].lost, c.engines["e5"].lost = true, true
		c.run(1, 6000)
		c.unloadTime = 8 * clock.Second
		// No upstream has loaded the model; the copies of the other models are overloaded.
		missing := units.ModelID("m99")
		c.service.Engine.Models = append(c.service.Engine.Models, fleet.Model{
			Name: missing, WeightMegabytes: 70_000, StoreLoadTime: 4 * clock.Second, AdapterCount: 10, AdapterMegabytes: 60,
		})
		c.setDemand(missing, "", 20_000, 9)
		c.run(6001, returnedAt)
		for _, id := range []units.UpstreamID{"e4", "e5"} {
			c.engines[id] = &engine{models: map[units.ModelID]map[string]bool{}, onDisk: map[units.ModelID]bool{}, reportedAt: returnedAt}
		}
		c.run(returnedAt, returnedAt+5500)
		assert.Assert(t, c.copies(missing) > 0, "back at %d", returnedAt)
		c.run(returnedAt+5500, 40_000)
		c.checkStoreRate()
	}
}

// Guards against a weight store that is partly idle while models are missing: its number of
// concurrent loads is its rate times the duration of a load.
func TestStoreLoadsReachRateLimit(t *testing.T) {
	c := newCluster(t, 12, 12)
	for _, e := range c.engines {
		clear(e.models)
	}
	for i := range c.service.Engine.Models {
		c.service.Engine.Models[i].StoreLoadTime = 6 * clock.Second
	}
	for i := range 12 {
		c.setDemand(modelName(i), "", 20_000, 1)
	}
	c.run(1, 11_900)
	resident := 0
	for i := range 12 {
		resident += min(c.copies(modelName(i)), 1)
	}
	// Loads that start within the first 5.9 s end in time: 1.6/s at a share of 0.9.
	assert.Assert(t, resident >= 9, "%d models loaded", resident)
	c.checkStoreRate()
}

// Guards against models that are loaded again only after the keys of crashed engines have expired,
// seconds after gateways have found that they can't connect.
func TestModelsOfUnreachableEnginesAreLoadedElsewhere(t *testing.T) {
	c := newCluster(t, 6, 9)
	c.run(1, 2000)
	c.unreachable = map[units.UpstreamID]bool{"e0": true, "e3": true}
	c.demand[assign.Target{Service: service, Model: modelName(0)}] = assign.Demand{WorkRate: 5000, Misses: 3}
	sentBefore := c.ordersTo["e0"] + c.ordersTo["e3"]
	c.run(2000, 12_000)
	assert.Equal(t, c.ordersTo["e0"]+c.ordersTo["e3"], sentBefore, "orders to engines that can't be reached")
	loaded := false
	for id, e := range c.engines {
		loaded = loaded || !c.unreachable[id] && e.models[modelName(0)] != nil
	}
	assert.Assert(t, loaded)
}

// Guards against orders that are repeated several times a second to an address where another engine
// answers, while the description of the one before is still in the store.
func TestReplacedEngineGetsNoMoreOrders(t *testing.T) {
	c := newCluster(t, 2, 6)
	c.replaced = map[units.UpstreamID]bool{"e0": true}
	delete(c.engines["e0"].models, modelName(0))
	c.demand[assign.Target{Service: service, Model: modelName(0)}] = assign.Demand{WorkRate: 5000, Misses: 3}
	c.run(1, 4000)
	assert.Assert(t, c.ordersTo["e0"] <= 1, "%d orders", c.ordersTo["e0"])
}

// Guards against a model that ends one upstream after another as they load it, while the models that are lost with
// them are loaded again.
func TestModelThatEndsUpstreamsAsTheyLoadIsHeldBack(t *testing.T) {
	c := newCluster(t, 9, 18)
	c.service.Engine.Models = append(c.service.Engine.Models, fleet.Model{Name: "deadly", WeightMegabytes: 70_000, StoreLoadTime: 4 * clock.Second})
	c.deadly = "deadly"
	c.setDemand(c.deadly, "", 5000, 3)
	c.run(1, 60_001)
	assert.Assert(t, c.ended >= 1 && c.ended <= 3, "%d engines ended", c.ended)
	for i := range 18 {
		assert.Assert(t, c.copies(modelName(i)) > 0, "model %d", i)
	}
	c.deadly = ""
	c.run(60_001, 130_001)
	assert.Assert(t, c.copies("deadly") > 0, "it is loaded once the engines were replaced")
}

// Guards against a sound model that is not loaded because all upstreams that were loading it ended at once.
func TestModelIsLoadedAfterCommonEnd(t *testing.T) {
	c := newCluster(t, 6, 9)
	c.service.Engine.Models = append(c.service.Engine.Models, fleet.Model{Name: "new", WeightMegabytes: 70_000, StoreLoadTime: 2 * clock.Second})
	c.setDemand("new", "", 5000, 3)
	for now := clock.Time(1); now < 3000; now += 50 {
		c.run(now, now+1)
		for _, e := range c.engines {
			if e.activeOrder != nil && e.activeOrder.Model == "new" && !e.activeOrder.Unload {
				*e = engine{models: map[units.ModelID]map[string]bool{}, onDisk: map[units.ModelID]bool{}, restarts: e.restarts + 1, reportedAt: now}
			}
		}
	}
	c.run(3001, 12_001)
	assert.Assert(t, c.copies("new") > 0)
}

// Guards against orders to an engine within the pause that it asked for, and against a model whose only copy is there
// and that is loaded nowhere else meanwhile.
func TestPausedEngineCountsAsLoaded(t *testing.T) {
	c := newCluster(t, 7, 18)
	clear(c.engines["e6"].models)
	c.setDemand(modelName(0), "", 2000, 0)
	c.run(1, 3001)
	before := c.ordersTo["e0"]
	c.paused = map[units.UpstreamID]bool{"e0": true}
	c.run(3001, 15_001)
	assert.Equal(t, c.ordersTo["e0"], before)
	assert.Assert(t, c.copies(modelName(0)) > 1, "the model is loaded elsewhere")
}
