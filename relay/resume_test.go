package relay_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

// Guards against streams that are cut because no upstream has room in the very moment in which theirs breaks off, long after
// they began, though their callers wait for some time.
func TestBrokenStreamWaitsForRoom(t *testing.T) {
	one := startReplica(t, "one", func(r *fakes.Request) {
		r.Stream(1, 2, false)
		time.Sleep(1100 * time.Millisecond)
		r.Chunk(fakes.Event(3))
		r.ResetConnection()
	})
	two := startReplica(t, "two", func(r *fakes.Request) {
		if r.Number == 1 {
			r.RejectFull()
			return
		}
		r.Stream(4, 6, true)
	})
	g := newPatientGateway(t, fakes.EngineService, one)
	both := newPatientGateway(t, fakes.EngineService, one, two).snapshot
	time.AfterFunc(700*time.Millisecond, func() { g.server.SetView(both) })
	got := g.postStream("/talk/a")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventRange(1, 6))
}
