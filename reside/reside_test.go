package reside_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/reside"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

const service = units.ServiceID("engines")

// plant is a set of engines that carry orders out in simulated time.
type plant struct {
	t       *testing.T
	service *fleet.Service
	engines map[units.UpstreamID]*engine
	ledger  *reside.Ledger
	planner *reside.Planner
	needs   map[reside.Target]reside.Demand
	// loads are the times at which loads from the weight store began.
	loads []clock.Time
	// silent makes each n-th order go unanswered, to be carried out late.
	silent int
	orders int
	late   []lateOrder
	// slow is the time of an unload, which waits for the requests that run.
	slow clock.Span
}

type lateOrder struct {
	at      clock.Time
	command reside.PlannedOrder
}

type engine struct {
	models map[units.ModelID]map[string]bool
	disk   map[units.ModelID]bool
	orders int64
	busy   *reside.PlannedOrder
	until  clock.Time
	seen   clock.Time
	gone   bool
}

func newPlant(t *testing.T, engines, models int) *plant {
	e := &fleet.Engine{Slots: 64, MemoryTokens: 100_000, MemoryMegabytes: 230_000, AdapterSlots: 4, LoadsPerSecond: 1.6}
	for i := range models {
		e.Models = append(e.Models, fleet.Model{
			Name: name(i), WeightMegabytes: 70_000, StoreLoadTime: 4 * clock.Second, AdapterCount: 10, AdapterMegabytes: 60,
		})
	}
	p := &plant{
		t: t, service: &fleet.Service{Name: service, Engine: e}, engines: map[units.UpstreamID]*engine{}, slow: 300 * clock.Millisecond,
		ledger: reside.NewLedger(), needs: map[reside.Target]reside.Demand{},
	}
	p.planner = reside.NewPlanner(p.ledger)
	for i := range engines {
		g := &engine{models: map[units.ModelID]map[string]bool{}, disk: map[units.ModelID]bool{}, seen: 1}
		p.engines[units.UpstreamID(fmt.Sprint("e", i))] = g
		for k := range 3 {
			g.models[name((3*i+k)%models)] = map[string]bool{}
		}
	}
	return p
}

func name(i int) units.ModelID { return units.ModelID(fmt.Sprintf("m%02d", i)) }

func (p *plant) view() map[units.UpstreamID]*view.Entry {
	out := map[units.UpstreamID]*view.Entry{}
	for id, g := range p.engines {
		if g.gone {
			continue
		}
		u := &fleet.Upstream{ID: id, Service: service, Zone: "a", ProcessStart: 1, Models: g.residents()}
		for m := range g.disk {
			u.OnDisk = append(u.OnDisk, m)
		}
		out[id] = &view.Entry{Upstream: u, ReceivedAt: g.seen}
	}
	return out
}

func (g *engine) residents() []fleet.Resident {
	var out []fleet.Resident
	for m, adapters := range g.models {
		r := fleet.Resident{Model: m}
		for a := range adapters {
			r.Adapters = append(r.Adapters, a)
		}
		out = append(out, r)
	}
	return out
}

// play runs the planner and the engines until the time.
func (p *plant) play(from, to clock.Time) {
	for now := from; now < to; now += 50 {
		p.settle(now)
		p.ledger.UpdateUpstreams(now, p.view(), map[units.ServiceID]bool{service: true})
		for _, id := range p.ledger.StaleUpstreams(now) {
			g := p.engines[id]
			p.ledger.ReportStarted(id)
			p.ledger.ApplyReport(now, id, g.orders, g.residents(), g.busy != nil)
		}
		w := reside.PlanInput{Services: map[units.ServiceID]*fleet.Service{service: p.service}, Demand: p.needs, InFlight: map[units.UpstreamID]int{}}
		for _, c := range p.planner.Plan(now, w) {
			p.order(now, c)
		}
	}
}

func (p *plant) settle(now clock.Time) {
	for _, o := range p.late {
		if o.at == now {
			p.accept(now, o.command)
		}
	}
	for _, g := range p.engines {
		if g.busy == nil || now < g.until {
			continue
		}
		if g.busy.Unload {
			delete(g.models, g.busy.Model)
		} else {
			g.models[g.busy.Model] = map[string]bool{}
			g.disk[g.busy.Model] = true
		}
		g.busy, g.seen = nil, now
	}
}

func (p *plant) order(now clock.Time, c reside.PlannedOrder) {
	p.orders++
	if p.silent > 0 && p.orders%p.silent == 0 {
		p.late = append(p.late, lateOrder{now + 3000, c})
		p.ledger.ApplyResult(now, c, reside.Unanswered)
		return
	}
	if p.accept(now, c) {
		p.ledger.ApplyResult(now, c, reside.Accepted)
	} else {
		p.ledger.ApplyResult(now, c, reside.Refused)
	}
}

// accept carries an order out and checks that it does not overcommit the engine.
func (p *plant) accept(now clock.Time, c reside.PlannedOrder) bool {
	g := p.engines[c.Upstream]
	if g.gone || g.orders != c.ExpectedOrders || (g.busy != nil && c.Adapter == "") {
		return false
	}
	g.orders++
	switch {
	case c.Adapter != "" && c.Unload:
		delete(g.models[c.Model], c.Adapter)
	case c.Adapter != "":
		assert.Assert(p.t, g.models[c.Model] != nil, "an adapter of a model that is not there")
		g.models[c.Model][c.Adapter] = true
	default:
		g.busy = &c
		g.until = now.Add(p.slow)
		if !c.Unload {
			g.until = now + 800
			if !g.disk[c.Model] {
				m, _ := p.service.Engine.Model(c.Model)
				g.until = now.Add(m.StoreLoadTime)
				p.loads = append(p.loads, now)
			}
		}
	}
	p.checkMemory(c.Upstream)
	return true
}

func (p *plant) checkMemory(id units.UpstreamID) {
	g := p.engines[id]
	used, adapters := 0.0, 0
	for _, a := range g.models {
		used += 70_000 + 60*float64(len(a))
		adapters += len(a)
	}
	if g.busy != nil && !g.busy.Unload {
		used += 70_000
	}
	assert.Assert(p.t, used <= 230_000, "%s holds and loads %.0f MB", id, used)
	assert.Assert(p.t, adapters <= 4, "%s holds %d adapters", id, adapters)
}

// checkLoads checks the limit of the weight store in any five seconds.
func (p *plant) checkLoads() {
	for i, at := range p.loads {
		n := 0
		for _, later := range p.loads[i:] {
			if later.Sub(at) < 5*clock.Second {
				n++
			}
		}
		assert.Assert(p.t, float64(n) <= 1.6*5*1.1+3, "%d loads within 5 s", n)
	}
}

func (p *plant) copies(m units.ModelID) int {
	n := 0
	for _, g := range p.engines {
		if _, ok := g.models[m]; ok && !g.gone {
			n++
		}
	}
	return n
}

func (p *plant) need(m units.ModelID, adapter string, tokens float64, missed int) {
	p.needs[reside.Target{Service: service, Model: m, Adapter: adapter}] = reside.Demand{WorkRate: tokens, Misses: missed}
}

// Guards against models that nobody can reach after their only upstream was lost.
func TestLostModelsComeBack(t *testing.T) {
	p := newPlant(t, 9, 18)
	p.play(1, 2000)
	p.engines["e0"].gone = true
	p.engines["e6"].gone = true
	p.need(name(0), "", 800, 2)
	p.play(2000, 8000)
	assert.Assert(t, p.copies(name(0)) > 0, "a model that is asked for")
	p.play(8000, 40_000)
	for i := range 18 {
		assert.Assert(t, p.copies(name(i)) > 0, "model %d", i)
	}
	p.checkLoads()
}

// Guards against demand that moves to a model with one copy and stays there, and
// against copies that are exchanged all the time.
func TestCopiesFollowDemand(t *testing.T) {
	p := newPlant(t, 9, 18)
	p.need(name(0), "", 60_000, 0)
	p.need(name(1), "", 30_000, 0)
	p.play(1, 20_000)
	assert.Assert(t, p.copies(name(0)) >= 3, "%d copies", p.copies(name(0)))
	delete(p.needs, reside.Target{Service: service, Model: name(0)})
	p.need(name(5), "", 60_000, 0)
	p.play(20_000, 45_000)
	assert.Assert(t, p.copies(name(5)) >= 3, "%d copies", p.copies(name(5)))
	before := p.orders
	p.play(45_000, 75_000)
	assert.Assert(t, p.orders-before <= 4, "%d orders while demand stands still", p.orders-before)
	for i := range 18 {
		assert.Assert(t, p.copies(name(i)) > 0, "model %d", i)
	}
	p.checkLoads()
}

// Guards against memory that is overcommitted by orders that go unanswered and are
// carried out late. The plant checks it at each order.
func TestLateOrdersDoNotOvercommit(t *testing.T) {
	for silent := 2; silent < 6; silent++ {
		p := newPlant(t, 5, 14)
		p.silent = silent
		for i := range 20 {
			clear(p.needs)
			p.need(name(i%14), "", 70_000, 1)
			p.need(name((i+5)%14), fmt.Sprint("a", 1+i%9), 500, 1)
			p.play(clock.Time(3000*i+1), clock.Time(3000*(i+1)))
		}
		p.checkLoads()
		assert.Assert(t, p.orders > 20, "%d orders", p.orders)
	}
}

// Guards against adapters that are never loaded, or beyond the places of an upstream.
func TestAdaptersTakeTurns(t *testing.T) {
	p := newPlant(t, 3, 3)
	for i := range 30 {
		clear(p.needs)
		a := fmt.Sprint("a", 1+i%10)
		for m := range 3 {
			p.need(name(m), a, 300, 1)
		}
		p.play(clock.Time(1000*i+1), clock.Time(1000*(i+1)))
		for m := range 3 {
			held := false
			for _, g := range p.engines {
				held = held || g.models[name(m)][a]
			}
			assert.Assert(t, held, "adapter %s of model %d", a, m)
		}
	}
}

// Guards against demand that outlives the requests, and misses that are forgotten at
// once.
func TestMeter(t *testing.T) {
	m := reside.NewMeter()
	target := reside.Target{Service: service, Model: name(1)}
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

// Guards against a model that is never loaded because the upstream that made room for it
// was lost before it could load it.
func TestRoomOnLostUpstream(t *testing.T) {
	for lost := range 6 {
		p := newPlant(t, 6, 18)
		p.play(1, 6000)
		p.engines["e5"].gone = true
		p.need(name(15), "", 20_000, 1)
		for now := clock.Time(6001); now < 9000; now += 50 {
			p.play(now, now+1)
			if g := p.engines[units.UpstreamID(fmt.Sprint("e", lost))]; g.busy != nil && g.busy.Unload {
				g.gone = true
			}
		}
		p.play(9001, 24_001)
		assert.Assert(t, p.copies(name(15)) > 0, "upstream %d was lost", lost)
	}
}

// Guards against a model that is missed for the whole of a slow unload, while upstreams
// that came back empty take further copies of models that are held already.
func TestMissingModelIsLoadedFirst(t *testing.T) {
	for back := clock.Time(7000); back < 12_000; back += 1000 {
		p := newPlant(t, 6, 9)
		for i := range 9 {
			p.need(name(i), "", 90_000, 0)
		}
		p.engines["e4"].gone, p.engines["e5"].gone = true, true
		p.play(1, 6000)
		p.slow = 8 * clock.Second
		// Nothing holds the model; the others ask for more than their copies can do.
		missing := units.ModelID("m99")
		p.service.Engine.Models = append(p.service.Engine.Models, fleet.Model{
			Name: missing, WeightMegabytes: 70_000, StoreLoadTime: 4 * clock.Second, AdapterCount: 10, AdapterMegabytes: 60,
		})
		p.need(missing, "", 20_000, 9)
		p.play(6001, back)
		for _, id := range []units.UpstreamID{"e4", "e5"} {
			p.engines[id] = &engine{models: map[units.ModelID]map[string]bool{}, disk: map[units.ModelID]bool{}, seen: back}
		}
		p.play(back, back+5500)
		assert.Assert(t, p.copies(missing) > 0, "back at %d", back)
		p.play(back+5500, 40_000)
		p.checkLoads()
	}
}

// Guards against a weight store that stays idle while models are missing: it carries its
// rate times the duration of a load at once.
func TestLoadsUpToTheStoreRate(t *testing.T) {
	p := newPlant(t, 12, 12)
	for _, g := range p.engines {
		clear(g.models)
	}
	for i := range p.service.Engine.Models {
		p.service.Engine.Models[i].StoreLoadTime = 6 * clock.Second
	}
	for i := range 12 {
		p.need(name(i), "", 20_000, 1)
	}
	p.play(1, 11_900)
	held := 0
	for i := range 12 {
		held += min(p.copies(name(i)), 1)
	}
	// Loads that begin within 5.9 s end in time, 1.6 a second at a share of 0.9.
	assert.Assert(t, held >= 9, "%d models held", held)
	p.checkLoads()
}
