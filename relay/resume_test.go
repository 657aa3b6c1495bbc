package relay_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

// Guards against streams that are cut because no upstream has room in the very moment in which theirs, silent at first, turns
// out to be gone: its silence alone is longer than the wait for room was.
func TestStreamOfUnreachableReplicaWaitsForRoom(t *testing.T) {
	done := make(chan struct{})
	one := startReplica(t, "one", func(r *fakes.Request) {
		r.Stream(1, 2, false)
		<-done
	})
	t.Cleanup(func() { close(done) })
	two := startReplica(t, "two", func(r *fakes.Request) { r.Stream(3, 6, true) })
	g := newPatientGateway(t, fakes.EngineService, one)
	both := newPatientGateway(t, fakes.EngineService, one, two).snapshot
	time.AfterFunc(300*time.Millisecond, one.StopListening)
	time.AfterFunc(1500*time.Millisecond, func() { g.server.SetView(both) })
	got := g.postStream("/talk/a")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventRange(1, 6))
}

// Guards against streams that a stopping gateway cuts when their upstream breaks off, though another one is ready and there
// is time, as too few runs are known to tell how long the rest takes.
func TestBrokenStreamGoesOnDuringStop(t *testing.T) {
	one := startReplica(t, "one", func(r *fakes.Request) {
		r.Stream(1, 2, false)
		time.Sleep(700 * time.Millisecond)
		r.ResetConnection()
	})
	two := startReplica(t, "two", func(r *fakes.Request) { r.Stream(3, 6, true) })
	g := newPatientGateway(t, fakes.EngineService, one)
	both := newPatientGateway(t, fakes.EngineService, one, two).snapshot
	time.AfterFunc(400*time.Millisecond, func() {
		g.server.SetView(both)
		now := g.server.Clock.Now()
		g.server.Drain(now.Add(1), now.Add(2500))
	})
	got := g.postStream("/talk/a")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventRange(1, 6))
}

// Guards against a stream that ends as complete because the upstream that goes on with it ended before the event from which it was
// to go on.
func TestResumedStreamThatEndsBeforeItsPlaceIsNotComplete(t *testing.T) {
	for last, whole := range map[int]bool{2: false, 3: false, 4: true, 6: true} {
		script := func(r *fakes.Request) {
			if r.LastEventID != "" {
				r.Stream(1, last, true)
				return
			}
			r.Stream(1, 4, false)
			r.ResetConnection()
		}
		one, two := startReplica(t, "one", script), startReplica(t, "two", script)
		got := newTestGateway(t, one, two).postStream("/talk/a")
		assert.Equal(t, got.err == nil, whole, "ends after %d: %v", last, got.err)
		assert.Equal(t, got.body, eventRange(1, max(4, last)), "ends after %d", last)
	}
}
