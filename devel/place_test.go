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

// startEmptyFleet starts a fleet whose engines hold nothing and ignore fencing numbers.
func startEmptyFleet(t *testing.T, capacity units.Bytes, models, adapters int) *devel.Fleet {
	t.Helper()
	f := startFleet(t, func(o *devel.Options) {
		o.ServiceCount = 0
		o.EngineOptions.Models, o.EngineOptions.Capacity, o.EngineOptions.LoadTime = nil, capacity, 100*clock.Millisecond
		o.WeightOptions.Rate, o.WeightOptions.Time = 20, 100*clock.Millisecond
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

func writeFleetConfiguration(t *testing.T, f *devel.Fleet, v *tree.Team) {
	t.Helper()
	kv := store.New(store.Options{Address: f.Store.Addr()})
	defer kv.Close()
	b, err := tree.Encode(v)
	assert.NilError(t, err)
	_, err = kv.Swap(context.Background(), syncer.Key(tree.FleetTeam), 0, b, 0)
	assert.NilError(t, err)
}

// residentEngines returns the engines on which the target is resident.
func residentEngines(f *devel.Fleet, id units.ModelID) int {
	n := 0
	for _, e := range f.Engines {
		if slices.ContainsFunc(e.Models(), func(m engine.Model) bool { return m.ID == id && m.State == engine.Resident }) {
			n++
		}
	}
	return n
}

// checkEngines guards the invariants of the memory and of fencing at the engines.
func checkEngines(t *testing.T, f *devel.Fleet) {
	t.Helper()
	for i, e := range f.Engines {
		c := e.Counts()
		assert.Equal(t, c.Overcommits, int64(0), "engine %d", i)
		assert.Equal(t, c.StaleOrders, int64(0), "engine %d", i)
	}
	assert.Equal(t, f.Weights.Counts().Refused, int64(0))
}

// Guards against models and adapters of the configuration that are not loaded.
func TestLoadsConfiguredModels(t *testing.T) {
	f := startEmptyFleet(t, 4*modelBytes, 5, 5)
	for i := range 5 {
		waitFor(t, "model is resident", func() bool { return residentEngines(f, units.ModelID(fmt.Sprint("m", i))) > 0 })
		waitFor(t, "adapter is resident", func() bool { return residentEngines(f, units.ModelID(fmt.Sprint("a", i))) > 0 })
	}
	checkEngines(t, f)
}

// Guards against a request that is refused, or waits for its whole deadline, because
// its model is resident nowhere: another one has to make room.
func TestRequestWaitsForLoad(t *testing.T) {
	f := startEmptyFleet(t, modelBytes, 4, 0)
	waitFor(t, "engines are full", func() bool {
		n := 0
		for i := range 4 {
			n += residentEngines(f, units.ModelID(fmt.Sprint("m", i)))
		}
		return n == len(f.Engines)
	})
	absent := slices.IndexFunc([]units.ModelID{"m0", "m1", "m2", "m3"}, func(id units.ModelID) bool { return residentEngines(f, id) == 0 })
	assert.Assert(t, absent >= 0)
	url := "http://" + f.Gateways[1].Gate().Addr().String() + "/v1/chat/completions"
	began := time.Now()
	status, body, _ := post(t, url, "secret-key", strings.Replace(chatRequest, `"m"`, fmt.Sprintf(`"m%d"`, absent), 1))
	t.Logf("answered after %v", time.Since(began))
	assert.Equal(t, status, http.StatusOK, body)
	checkEngines(t, f)
}

func readLeader(t *testing.T, f *devel.Fleet) (string, units.Fence) {
	t.Helper()
	kv := store.New(store.Options{Address: f.Store.Addr()})
	defer kv.Close()
	e, err := kv.Get(context.Background(), "/control/leader")
	if err != nil {
		return "", 0
	}
	return string(e.Value), units.Fence(e.Created)
}

// sendOrder gives an order to an agent as a gateway does, and returns the code of its
// result.
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

// Guards against a fleet without placement after its controller has stopped, and
// against orders of the old one that still take effect.
func TestLeaderReplaced(t *testing.T) {
	f := startEmptyFleet(t, 4*modelBytes, 3, 0)
	waitFor(t, "model is resident", func() bool { return residentEngines(f, "m0") > 0 })
	first, fence := readLeader(t, f)
	assert.Assert(t, first != "")
	assert.NilError(t, f.StopProcess("gateway "+first))
	waitFor(t, "another controller", func() bool { id, _ := readLeader(t, f); return id != "" && id != first })
	old := &wire.Order{Id: "late", Fence: int64(fence), Op: "load", Target: "m9", Bytes: 1 << 30}
	none := &wire.Order{Id: "none", Fence: int64(fence), Op: "unload", Target: "m9"}
	for _, a := range f.Agents {
		// An order without effect shows when the agent has heard of the new controller.
		waitFor(t, "fence is known", func() bool { return sendOrder(t, a.Addr().String(), none) == string(units.FenceStale) })
		assert.Equal(t, sendOrder(t, a.Addr().String(), old), string(units.FenceStale))
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

// Guards against models that stay away, or memory that is overcommitted, when engines
// carry out orders late and answers are lost.
func TestLostAndDelayedOrders(t *testing.T) {
	f := startEmptyFleet(t, 2*modelBytes, 4, 0)
	for _, e := range f.Engines {
		e.Update(func(v *engine.Faults) { v.LoseOrders, v.OrderDelayMillis = 1, 300 })
	}
	for i := range 4 {
		waitFor(t, "model is resident", func() bool { return residentEngines(f, units.ModelID(fmt.Sprint("m", i))) > 0 })
	}
	checkEngines(t, f)
}
