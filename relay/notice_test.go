package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

// sendApp sends a request to the plain service, to a route of which requests may be repeated.
func (r *testGateway) sendApp(id string) result {
	r.t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, r.httpServer.URL+"/read/a", http.NoBody)
	assert.NilError(r.t, err)
	req.Header, req.Host = fakes.RequestHeader(id, key, "", 4000), fakes.Host
	return r.do(req)
}

// respondLeaving answers like an upstream that leaves.
func respondLeaving(r *fakes.Request) {
	r.WriteRaw(fakes.Head(r.RequestID, "200 OK") + fakes.LeavingHeader + "Content-Length: 4\r\n\r\ndone")
}

// rejectForSeconds returns a script that refuses a request and asks for a pause.
func rejectForSeconds(seconds string) func(r *fakes.Request) {
	return func(r *fakes.Request) { r.RejectForPause(seconds) }
}

// Guards against requests to an upstream that said that it leaves, in an answer, in the head of a stream that
// runs on or in a refusal, while the store still says ready.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	release := make(chan struct{})
	for name, script := range map[string]func(r *fakes.Request){
		"answer": respondLeaving,
		"stream": func(r *fakes.Request) {
			r.WriteRaw(fakes.Head(r.RequestID, "200 OK") + fakes.LeavingHeader + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			r.Chunk(fakes.Event(1))
			select {
			case <-release:
			case <-time.After(2 * time.Second):
			}
			r.WriteRaw("0\r\n\r\n")
		},
		"refusal": func(r *fakes.Request) {
			r.WriteRaw(fakes.RefusalHead(r.RequestID) + fakes.LeavingHeader + "Content-Length: 0\r\n\r\n")
		},
	} {
		leaving := startReplica(t, "r1", script)
		staying := startReplica(t, "r2", func(r *fakes.Request) { r.Stream(1, 3, true) })
		r := newTestGateway(t, leaving, staying)
		done := make(chan result, 1)
		for i := 0; len(leaving.Requests()) == 0; i++ {
			go func() { done <- r.sendParts(fmt.Sprint(name, "first", i), "own", fmt.Sprint(i)) }()
			time.Sleep(30 * time.Millisecond)
		}
		before := len(leaving.Requests())
		r.server.SetView(r.snapshot)
		for i := range 8 {
			assert.Equal(t, r.sendParts(fmt.Sprint(name, i), "own", fmt.Sprint("p", i)).status, http.StatusOK)
		}
		assert.Equal(t, len(leaving.Requests()), before, name)
		if name == "stream" {
			close(release)
		}
	}
}

// Guards against a leaving that outlives the process that announced it.
func TestNewProcessOfLeavingUpstreamGetsRequests(t *testing.T) {
	replica := startReplica(t, "r1", respondLeaving)
	r := newTestGateway(t, replica)
	assert.Equal(t, r.sendApp("first").status, http.StatusOK)
	assert.Equal(t, r.sendApp("second").status, http.StatusServiceUnavailable)
	restarted := &view.Snapshot{Config: r.snapshot.Config, Upstreams: map[units.UpstreamID]*view.Entry{}}
	for id, e := range r.snapshot.Upstreams {
		upstream := *e.Upstream
		upstream.ProcessStart++
		restarted.Upstreams[id] = &view.Entry{Upstream: &upstream}
	}
	r.server.SetView(restarted)
	assert.Equal(t, r.sendApp("third").status, http.StatusOK)
}

// Guards against requests to an upstream within the pause that it asked for, and against answers by which callers
// come back sooner.
func TestPausedUpstreamGetsNoRequests(t *testing.T) {
	replica := startReplica(t, "r1", rejectForSeconds("5"))
	r := newTestGateway(t, replica)
	for i := range 6 {
		got := r.sendApp(fmt.Sprint("refused", i))
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after > 4 && after < 7, "Retry-After %v", after)
	}
	assert.Equal(t, len(replica.Requests()), 1)
}

// Guards against requests that are refused although the pause ends soon, and against one that is sent earlier
// because a later refusal asks for less.
func TestRequestWaitsForShortPause(t *testing.T) {
	var rejected time.Time
	replica := startReplica(t, "r1", func(r *fakes.Request) {
		if rejected.IsZero() {
			rejected = time.Now()
			rejectForSeconds("0.4")(r)
			return
		}
		r.Respond("200 OK", "done")
	})
	r := newTestGateway(t, replica)
	assert.Equal(t, r.sendApp("waits").status, http.StatusOK)
	assert.Assert(t, time.Since(rejected) >= 400*time.Millisecond)
}
