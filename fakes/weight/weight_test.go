package weight_test

import (
	"context"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/fakes/engine"
	"github.com/magnolialever/magnolialever/fakes/weight"
)

func startServer(t *testing.T, o weight.Options) *weight.Server {
	t.Helper()
	s, err := weight.New(o)
	assert.NilError(t, err)
	runInBackground(t, s.Run)
	return s
}

func runInBackground(t *testing.T, f func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
}

// fetchStatus loads a model and returns the status, or 0 if the connection was closed early.
func fetchStatus(s *weight.Server) int {
	r, err := http.Get("http://" + s.Addr() + "/weights/m1")
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return 0
	}
	return r.StatusCode
}

// Guards against a fake that admits more concurrent loads than its limit.
func TestConcurrency(t *testing.T) {
	s := startServer(t, weight.Options{LoadsPerSecond: 1000, Burst: 1000, MaxConcurrent: 2, LoadTime: 200})
	statuses := make(chan int, 4)
	for range 4 {
		go func() { statuses <- fetchStatus(s) }()
	}
	statusCounts := make(map[int]int)
	for range 4 {
		statusCounts[<-statuses]++
	}
	assert.Equal(t, statusCounts[http.StatusOK], 2)
	assert.Equal(t, statusCounts[http.StatusTooManyRequests], 2)
	assert.Equal(t, s.Counts().MaxConcurrent, 2)
}

// Guards against a fake that admits loads above its rate limit, and against a load cut halfway
// that clients take for complete.
func TestRate(t *testing.T) {
	s := startServer(t, weight.Options{LoadsPerSecond: 0.001, Burst: 2})
	s.Update(func(f *weight.Faults) { f.CutLoads = 1 })
	assert.Equal(t, fetchStatus(s), 0)
	assert.Equal(t, fetchStatus(s), http.StatusOK)
	assert.Equal(t, fetchStatus(s), http.StatusTooManyRequests)
	assert.Equal(t, s.Counts(), weight.Counts{Loads: 2, Refused: 1, MaxConcurrent: 1})
}

// Guards against an engine that keeps the memory of a load allocated after the weight store
// has refused the load.
func TestRefusedLoadFreesMemory(t *testing.T) {
	s := startServer(t, weight.Options{LoadsPerSecond: 0.001, Burst: 1, LoadTime: 20})
	e, err := engine.New(engine.Options{WeightStore: s.Addr()})
	assert.NilError(t, err)
	runInBackground(t, e.Run)
	execute := func(o engine.Order) error { return e.ExecuteOrder(context.Background(), o) }
	assert.NilError(t, execute(engine.Order{Op: engine.OpLoad, Model: "m1", Bytes: 5}))
	assert.ErrorContains(t, execute(engine.Order{Op: engine.OpLoad, Model: "m2", Bytes: 5}), "429")
	assert.Equal(t, len(e.Models()), 1)
	assert.Equal(t, s.Counts().Loads, int64(1))
}
