package devel_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/devel"
	"github.com/magnolialever/magnolialever/fakes/engine"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const modelBytes = 10 << 30

// startEmptyFleet starts a fleet whose engines have no models loaded and ignore fencing numbers. Its
// configuration has the models m0, m1 and so on, and the adapters a0, a1 and so on. The capacity is
// the memory of each engine.
func startEmptyFleet(t *testing.T, capacity units.Bytes, models, adapters int) *devel.Fleet {
	t.Helper()
	f := startFleet(t, func(o *devel.Options) {
		o.ServiceCount = 0
		o.EngineOptions.Models, o.EngineOptions.Capacity, o.EngineOptions.LoadTime = nil, capacity, 100*clock.Millisecond
		o.WeightOptions.LoadsPerSecond, o.WeightOptions.LoadTime = 20, 100*clock.Millisecond
	})
	v := &tree.Team{
		Customers: []tree.Customer{{ID: "court", Rate: 1000, Burst: 1000}},
		Keys:      []tree.Key{{ID: "k1", Hash: tree.HashSecret("secret-key"), Customer: "court"}},
	}
	for i := range models {
		v.Models = append(v.Models, tree.Model{ID: units.ModelID(fmt.Sprint("m", i)), Bytes: modelBytes})
	}
	for i := range adapters {
		base := units.ModelID(fmt.Sprint("m", i%models))
		v.Adapters = append(v.Adapters, tree.Adapter{ID: units.ModelID(fmt.Sprint("a", i)), Base: base, Bytes: 1 << 30})
	}
	writeTeam(t, f, v, 0)
	writeFleetConfiguration(t, f, &tree.Team{Limits: &tree.Limits{WeightLoadRate: 10, WeightLoadConcurrency: 6}})
	return f
}

// writeFleetConfiguration creates the configuration of the fleet team in the store.
func writeFleetConfiguration(t *testing.T, f *devel.Fleet, v *tree.Team) {
	t.Helper()
	kv := store.New(store.Options{Address: f.Store.Addr()})
	defer kv.Close()
	b, err := tree.Encode(v)
	assert.NilError(t, err)
	_, err = kv.CompareAndSwap(context.Background(), syncer.TeamKey(tree.FleetTeam), 0, b, 0)
	assert.NilError(t, err)
}

// residentEngines returns the number of engines that have loaded the model or adapter.
func residentEngines(f *devel.Fleet, id units.ModelID) int {
	n := 0
	for _, e := range f.Engines {
		if slices.ContainsFunc(e.Models(), func(m engine.Model) bool { return m.ID == id && m.State == engine.Resident }) {
			n++
		}
	}
	return n
}

// checkEngines checks that no load exceeded the memory of an engine, that no engine executed an order
// with an outdated fencing number, and that the weight store refused no load.
func checkEngines(t *testing.T, f *devel.Fleet) {
	t.Helper()
	for i, e := range f.Engines {
		c := e.Counts()
		assert.Equal(t, c.Overcommits, int64(0), "engine %d", i)
		assert.Equal(t, c.StaleOrders, int64(0), "engine %d", i)
	}
	assert.Equal(t, f.Weights.Counts().Refused, int64(0))
}

// Checks that all configured models and adapters are loaded if memory suffices.
func TestLoadsConfiguredModels(t *testing.T) {
	f := startEmptyFleet(t, 4*modelBytes, 5, 5)
	for i := range 5 {
		waitFor(t, "model is resident", func() bool { return residentEngines(f, units.ModelID(fmt.Sprint("m", i))) > 0 })
		waitFor(t, "adapter is resident", func() bool { return residentEngines(f, units.ModelID(fmt.Sprint("a", i))) > 0 })
	}
	checkEngines(t, f)
}

// Checks that a request for a model that no engine has loaded evicts another model and is served
// after the load, instead of being refused or timing out.
func TestRequestWaitsForLoad(t *testing.T) {
	f := startEmptyFleet(t, modelBytes, 4, 0)
	waitFor(t, "engines are full", func() bool {
		n := 0
		for i := range 4 {
			n += residentEngines(f, units.ModelID(fmt.Sprint("m", i)))
		}
		return n == len(f.Engines)
	})
	absentModel := slices.IndexFunc([]units.ModelID{"m0", "m1", "m2", "m3"}, func(id units.ModelID) bool { return residentEngines(f, id) == 0 })
	assert.Assert(t, absentModel >= 0)
	url := "http://" + f.Gateways[1].Gate().Addr().String() + "/v1/chat/completions"
	sent := time.Now()
	status, body, _ := post(t, url, "secret-key", strings.Replace(chatRequest, `"m"`, fmt.Sprintf(`"m%d"`, absentModel), 1))
	t.Logf("response after %v", time.Since(sent))
	assert.Equal(t, status, http.StatusOK, body)
	checkEngines(t, f)
}

// readLeader returns the id of the gateway that holds the control lease and its fencing number, or
// "" and 0 if there is none.
func readLeader(t *testing.T, f *devel.Fleet) (string, units.Fence) {
	t.Helper()
	kv := store.New(store.Options{Address: f.Store.Addr()})
	defer kv.Close()
	entry, err := kv.Get(context.Background(), "/control/leader")
	if err != nil {
		return "", 0
	}
	return string(entry.Value), units.Fence(entry.CreateRevision)
}

// sendOrder sends an order to an agent as a gateway does, and returns the code of the order's result.
func sendOrder(t *testing.T, address string, o *wire.Order) string {
	t.Helper()
	s, err := wire.Dial(context.Background(), address, wire.Options{
		Self: wire.Identity{ID: "old", Role: wire.Gateway, Zone: "zone-a"}, Secret: []byte(devel.Secret),
	})
	assert.NilError(t, err)
	defer s.Close()
	st, err := s.Open()
	assert.NilError(t, err)
	assert.NilError(t, st.Send(&wire.Frame{Body: &wire.Frame_Order{Order: o}}))
	for {
		r, err := st.Recv()
		assert.NilError(t, err)
		if r.GetOrderResult() != nil {
			return r.GetOrderResult().Code
		}
	}
}

// Checks that another gateway takes over placement after the leader has stopped, and that agents
// refuse orders with the fencing number of the former leader.
func TestLeaderReplaced(t *testing.T) {
	f := startEmptyFleet(t, 4*modelBytes, 3, 0)
	waitFor(t, "model is resident", func() bool { return residentEngines(f, "m0") > 0 })
	firstLeader, fence := readLeader(t, f)
	assert.Assert(t, firstLeader != "")
	assert.NilError(t, f.StopProcess("gateway "+firstLeader))
	waitFor(t, "another gateway is leader", func() bool { id, _ := readLeader(t, f); return id != "" && id != firstLeader })
	staleOrder := &wire.Order{Id: "late", Fence: int64(fence), Op: "load", Target: "m9", Bytes: 1 << 30}
	noopOrder := &wire.Order{Id: "none", Fence: int64(fence), Op: "unload", Target: "m9"}
	for _, a := range f.Agents {
		// The agent accepts the order without effect until it has received the new fencing number.
		waitFor(t, "agent has the new fencing number", func() bool { return sendOrder(t, a.Addr().String(), noopOrder) == string(units.FenceStale) })
		assert.Equal(t, sendOrder(t, a.Addr().String(), staleOrder), string(units.FenceStale))
	}
	assert.Equal(t, residentEngines(f, "m9"), 0)
	f.Engines[0].Crash(100 * clock.Millisecond)
	f.Engines[1].Crash(100 * clock.Millisecond)
	f.Engines[2].Crash(100 * clock.Millisecond)
	waitFor(t, "models are loaded again", func() bool {
		return residentEngines(f, "m0") > 0 && residentEngines(f, "m1") > 0 && residentEngines(f, "m2") > 0
	})
	checkEngines(t, f)
}

// Checks that all models are loaded and no memory is overcommitted if engines execute orders with a
// delay and the response to the first order of each engine is lost.
func TestLostAndDelayedOrders(t *testing.T) {
	f := startEmptyFleet(t, 2*modelBytes, 4, 0)
	for _, e := range f.Engines {
		e.Update(func(v *engine.Faults) { v.LoseOrderResponses, v.OrderDelayMillis = 1, 300 })
	}
	for i := range 4 {
		waitFor(t, "model is resident", func() bool { return residentEngines(f, units.ModelID(fmt.Sprint("m", i))) > 0 })
	}
	checkEngines(t, f)
}
