package relay_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/platform/fakes"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

// setAppUpstreams replaces the gateway's upstreams by one of the plain service per replica.
func (r *testGateway) setAppUpstreams(replicas ...*fakes.Replica) {
	r.t.Helper()
	data, err := json.Marshal(fakes.Config(3, key))
	assert.NilError(r.t, err)
	c, err := platform.DecodeConfig(data)
	assert.NilError(r.t, err)
	s := &view.Snapshot{Config: c, Upstreams: map[units.UpstreamID]*view.Entry{}}
	for _, p := range replicas {
		id := units.UpstreamID(p.Instance)
		data, err := json.Marshal(p.Description(fakes.AppService, "zone-a", "ready"))
		assert.NilError(r.t, err)
		u, err := platform.DecodeUpstream(id, data)
		assert.NilError(r.t, err)
		s.Upstreams[id] = &view.Entry{Upstream: u}
	}
	r.server.SetView(s)
}

// crashOnPoison is a script that breaks off the response to the body "poison" and answers others.
func crashOnPoison(r *fakes.Request) {
	if r.Body == "poison" {
		r.CloseConnection()
		return
	}
	r.Respond("200 OK", "done")
}

// Guards against a request that crashes one upstream after another: once two have ended while
// running it, it is refused as not run, while other requests are still served.
func TestCrashingRequestIsRefused(t *testing.T) {
	all := []*fakes.Replica{startReplica(t, "one", crashOnPoison), startReplica(t, "two", crashOnPoison), startReplica(t, "three", crashOnPoison)}
	r := newTestGateway(t)
	r.setAppUpstreams(all...)
	running := append([]*fakes.Replica(nil), all...)
	for range 2 {
		assert.Equal(t, r.post("/once/a", "poison").status, http.StatusBadGateway)
		// The replica that received the request has crashed.
		for i, p := range running {
			if len(p.Requests()) > 0 {
				running = append(running[:i:i], running[i+1:]...)
				break
			}
		}
		r.setAppUpstreams(running...)
	}
	assert.Equal(t, totalRequests(all...), 2)
	for range 5 {
		got := r.post("/once/a", "poison")
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, strings.Contains(got.body, string(units.CrashSuspect)))
	}
	assert.Equal(t, totalRequests(all...), 2)
	assert.Equal(t, r.post("/once/a", "book").status, http.StatusOK)
	// Another gateway refuses the request after taking over the suspects of this one.
	other := newTestGateway(t)
	other.setAppUpstreams(running...)
	for _, s := range r.server.Suspects() {
		other.server.MergeSuspect(s)
	}
	assert.Equal(t, other.post("/once/a", "poison").status, http.StatusServiceUnavailable)
}

// Guards against refusals of requests whose responses break off at upstreams that keep running.
func TestBrokenResponsesAreNoCrash(t *testing.T) {
	one := startReplica(t, "one", crashOnPoison)
	r := newTestGateway(t)
	for range 4 {
		r.setAppUpstreams(one)
		got := r.post("/once/a", "poison")
		assert.Assert(t, !strings.Contains(got.body, string(units.CrashSuspect)), got.body)
	}
}
