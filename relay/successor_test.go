package relay_test

import (
	"fmt"
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

// Guards against requests with a part that no upstream has answered yet, which wait at a silent upstream until their time is
// over, as they hold the permits for the part that their attempts at another upstream wait for.
func TestSilentRequestsWithUnprovenPartMove(t *testing.T) {
	const requests = 2
	one := startReplica(t, "one", (*fakes.Request).WaitForClose)
	two := startReplica(t, "two", func(r *fakes.Request) { r.Stream(1, 3, true) })
	g := newGatewayStartingAt(t, one, two)
	results := make(chan result, requests)
	for i := range requests {
		go func() { results <- g.sendParts(fmt.Sprint("new", i), "shared", fmt.Sprint("own", i)) }()
	}
	for range requests {
		got := <-results
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, eventRange(1, 3))
	}
}
