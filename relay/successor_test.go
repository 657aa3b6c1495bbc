package relay_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/platform/fakes"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
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

// Guards against resumed streams that are cut because the events that the silent upstream sent last, right before it broke off,
// come again from the upstream that was asked before them.
func TestSuccessorGoesOnAfterLastEventsOfSilentUpstream(t *testing.T) {
	one := startReplica(t, "one", func(r *fakes.Request) {
		r.Stream(1, 2, false)
		time.Sleep(silentFor)
		r.Chunk(eventRange(3, 4) + fakes.Event(3))
	})
	two := startReplica(t, "two", func(r *fakes.Request) {
		time.Sleep(silentFor / 2)
		r.Stream(3, 6, true)
	})
	got := newGatewayStartingAt(t, one, two).postStream("/talk/a")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventRange(1, 6))
}

// Guards against streams that are cut when their upstream, silent once, breaks off later, because the upstream that was asked
// meanwhile and canceled gets nothing of them any more.
func TestStreamResumesAtCanceledSuccessor(t *testing.T) {
	one := startReplica(t, "one", func(r *fakes.Request) {
		r.Stream(1, 2, false)
		time.Sleep(silentFor)
		r.Chunk(eventRange(3, 4))
		time.Sleep(200 * time.Millisecond)
		r.ResetConnection()
	})
	two := startReplica(t, "two", func(r *fakes.Request) {
		if r.Number == 1 {
			r.WaitForClose()
			return
		}
		r.Stream(5, 6, true)
	})
	g := newPatientGateway(t, fakes.EngineService, one)
	both := withMaxAttempts(newPatientGateway(t, fakes.EngineService, one, two), 4)
	g.server.SetView(withMaxAttempts(g, 4))
	time.AfterFunc(time.Second, func() { g.server.SetView(both) })
	got := g.postStream("/talk/a")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventRange(1, 6))
}

// withMaxAttempts returns the view of a gateway with another limit on the attempts of all routes.
func withMaxAttempts(g *testGateway, n int) *view.Snapshot {
	g.t.Helper()
	config := fakes.Config(5, key)
	fakes.SetTimeouts(config, 4000)
	routes, _ := config["routes"].([]any)
	for _, r := range routes {
		if route, ok := r.(map[string]any); ok {
			route["maxAttempts"] = n
		}
	}
	data, err := json.Marshal(config)
	assert.NilError(g.t, err)
	next := &view.Snapshot{Upstreams: g.snapshot.Upstreams}
	next.Config, err = platform.DecodeConfig(data)
	assert.NilError(g.t, err)
	return next
}

// Guards against a part that crashes more upstreams than allowed, as crashes in attempts beside a silent upstream don't
// count.
func TestPartThatCrashesSuccessorsIsStopped(t *testing.T) {
	const deadly = "dead1"
	silent := func(r *fakes.Request) {
		time.Sleep(silentFor)
		r.ResetConnection()
	}
	var crashed atomic.Int32
	all := make([]*fakes.Replica, 6)
	for i := range all {
		all[i] = startReplica(t, fmt.Sprint("r", i), func(r *fakes.Request) {
			if r.HasPromptPart(deadly) {
				crashed.Add(1)
				all[i].Crash()
				return
			}
			r.Stream(1, 3, true)
		})
	}
	first := len(all)
	for i := range 3 {
		all = append(all, startReplica(t, fmt.Sprint("silent", i), silent))
	}
	g := newPatientGateway(t, fakes.EngineService, all...)
	for i := range 3 {
		next := all[first+i]
		g.server.SetView(withDraining(g.snapshot, func(id units.UpstreamID) bool { return id != units.UpstreamID(next.Instance) }))
		time.AfterFunc(time.Second, func() {
			g.server.SetView(withDraining(g.snapshot, func(id units.UpstreamID) bool { return strings.HasPrefix(string(id), "silent") }))
		})
		g.sendParts(fmt.Sprint("bad", i), "shared", deadly, fmt.Sprint("own-bad", i))
	}
	assert.Equal(t, len(all[first].Requests()), 1)
	assert.Assert(t, crashed.Load() > 0 && crashed.Load() <= 2, "%d upstreams ended", crashed.Load())
}

// withDraining returns the view with the upstreams draining for which drains returns true.
func withDraining(s *view.Snapshot, drains func(id units.UpstreamID) bool) *view.Snapshot {
	next := &view.Snapshot{Config: s.Config, Upstreams: map[units.UpstreamID]*view.Entry{}}
	for id, e := range s.Upstreams {
		upstream := *e.Upstream
		upstream.Draining = drains(id)
		next.Upstreams[id] = &view.Entry{Upstream: &upstream}
	}
	return next
}

// Guards against attempts that are left behind when the caller leaves, or the gateway stops, while two are under way.
func TestBothAttemptsEndWithRequest(t *testing.T) {
	for _, name := range []string{"caller", "stop"} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{}, 2)
			wait := func(r *fakes.Request) {
				r.WaitForClose()
				closed <- struct{}{}
			}
			one, two := startReplica(t, "one", wait), startReplica(t, "two", wait)
			g := newGatewayStartingAt(t, one, two)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			time.AfterFunc(silentFor, func() {
				if name == "stop" {
					g.server.End()
					return
				}
				cancel()
			})
			g.send(ctx, http.MethodPost, "/talk/a", "small", "prompt")
			assert.Equal(t, totalRequests(one, two), 2)
			for range 2 {
				select {
				case <-closed:
				case <-time.After(time.Second):
					t.Fatal("an upstream still has the request")
				}
			}
			for end := time.Now().Add(time.Second); g.server.Active() > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			}
			assert.Equal(t, g.server.Active(), int64(0))
			assert.Equal(t, len(g.server.Loads()), 0)
			assert.Equal(t, len(g.server.Unreachable()), 0)
		})
	}
}

// Guards against answers that stop in the middle although another upstream, asked while the first one was silent, has the
// whole answer.
func TestStalledAnswerIsReplacedBySuccessor(t *testing.T) {
	one := startReplica(t, "one", func(r *fakes.Request) {
		time.Sleep(1300 * time.Millisecond)
		r.WriteRaw(fakes.Head(r.RequestID, "200 OK") + "Content-Length: 10\r\n\r\npart")
		r.WaitForClose()
	})
	two := startReplica(t, "two", func(r *fakes.Request) {
		time.Sleep(400 * time.Millisecond)
		r.Respond("200 OK", "whole")
	})
	g := newPatientGateway(t, fakes.AppService, one)
	both := newPatientGateway(t, fakes.AppService, one, two).snapshot
	time.AfterFunc(time.Second, func() { g.server.SetView(both) })
	got := g.get("/read/a")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "whole")
}
