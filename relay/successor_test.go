package relay_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

// Guards against sound upstreams that get nothing for a while, as an attempt there was canceled because the silent
// upstream of the request went on.
func TestCanceledSuccessorIsNoFailureOfUpstream(t *testing.T) {
	one := startReplica(t, "one", pauseMidway)
	two := startReplica(t, "two", func(r *fakes.Request) {
		if r.Number == 1 {
			r.WaitForClose()
			return
		}
		r.Stream(1, 2, true)
	})
	g := newGatewayStartingAt(t, one, two)
	got := g.postStream("/talk/a")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventRange(1, 6))
	assert.Equal(t, totalRequests(two), 1)
	g.server.SetView(newPatientGateway(t, fakes.EngineService, two).snapshot)
	begun := time.Now()
	got = g.postStream("/talk/after")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventRange(1, 2))
	assert.Assert(t, time.Since(begun) < 150*time.Millisecond, "the upstream got nothing for %v", time.Since(begun))
}
