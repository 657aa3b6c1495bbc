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

// apps replaces the rig's upstreams by one for each replica.
func (r *rig) apps(replicas ...*fakes.Replica) {
	r.t.Helper()
	data, err := json.Marshal(fakes.Config(3, key))
	assert.NilError(r.t, err)
	c, err := platform.DecodeConfig(data)
	assert.NilError(r.t, err)
	s := &view.Snapshot{Config: c, Upstreams: map[units.UpstreamID]*view.Entry{}}
	for _, p := range replicas {
		id := units.UpstreamID(p.Instance)
		data, err := json.Marshal(p.Describe(fakes.App, "zone-a", "ready"))
		assert.NilError(r.t, err)
		u, err := platform.DecodeUpstream(id, data)
		assert.NilError(r.t, err)
		s.Upstreams[id] = &view.Entry{Upstream: u}
	}
	r.server.SetView(s)
}

func crashing(r *fakes.Request) {
	if r.Body == "poison" {
		r.Cut()
		return
	}
	r.Answer("200 OK", "done")
}

// Guards against a request that crashes one upstream after the other: once two have ended
// while they ran it, it is refused as not run, and others still are served.
func TestCrashingRequestIsRefused(t *testing.T) {
	all := []*fakes.Replica{replica(t, "one", crashing), replica(t, "two", crashing), replica(t, "three", crashing)}
	r := newRig(t)
	r.apps(all...)
	left := append([]*fakes.Replica(nil), all...)
	for range 2 {
		assert.Equal(t, r.post("/once/a", "poison").status, http.StatusBadGateway)
		// The one that got it has crashed.
		for i, p := range left {
			if len(p.Got()) > 0 {
				left = append(left[:i:i], left[i+1:]...)
				break
			}
		}
		r.apps(left...)
	}
	assert.Equal(t, total(all...), 2)
	for range 5 {
		got := r.post("/once/a", "poison")
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, strings.Contains(got.body, string(units.CrashSuspect)))
	}
	assert.Equal(t, total(all...), 2)
	assert.Equal(t, r.post("/once/a", "book").status, http.StatusOK)
	// Another gateway learns it from this one.
	other := newRig(t)
	other.apps(left...)
	for _, s := range r.server.Suspects() {
		other.server.MergeSuspect(s)
	}
	assert.Equal(t, other.post("/once/a", "poison").status, http.StatusServiceUnavailable)
}

// Guards against refusals of requests whose answers are broken off by upstreams that go on.
func TestBrokenAnswersAreNoCrash(t *testing.T) {
	one := replica(t, "one", crashing)
	r := newRig(t)
	for range 4 {
		r.apps(one)
		got := r.post("/once/a", "poison")
		assert.Assert(t, !strings.Contains(got.body, string(units.CrashSuspect)), got.body)
	}
}
