package relay_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

// Guards against upstreams that get nothing for a while, and count as cold, because requests of callers with little time
// reached their own limit there while events arrived.
func TestOwnTimeLimitIsNoFailureOfUpstream(t *testing.T) {
	replica := startReplica(t, "one", func(r *fakes.Request) {
		if strings.HasPrefix(r.URL.Path, "/talk/after") {
			r.Stream(1, 2, true)
			return
		}
		r.Stream(1, 1, false)
		for i := 2; r.TryChunk(fakes.Event(i)) == nil; i++ {
			time.Sleep(20 * time.Millisecond)
		}
	})
	g := newPatientGateway(t, fakes.EngineService, replica)
	for i := range 5 {
		req, err := http.NewRequest(http.MethodPost, g.httpServer.URL+"/talk/short", strings.NewReader("prompt"))
		assert.NilError(t, err)
		req.Header, req.Host = fakes.RequestHeader("short-"+strconv.Itoa(i), key, "small", 300), fakes.Host
		assert.ErrorContains(t, g.do(req).err, "EOF")
		begun := time.Now()
		got := g.postStream("/talk/after")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Assert(t, time.Since(begun) < 150*time.Millisecond, "the upstream got nothing for %v", time.Since(begun))
	}
}

// Guards against silent upstreams that count as sound or not by which of two timers for the same limit of a request fires
// first.
func TestSilenceUntilTimeLimitIsFailureOfUpstream(t *testing.T) {
	replica := startReplica(t, "one", func(r *fakes.Request) {
		if strings.HasPrefix(r.URL.Path, "/once/after") {
			r.Respond("200 OK", "done")
			return
		}
		r.WaitForClose()
	})
	g := newPatientGateway(t, fakes.AppService, replica)
	for i := range 6 {
		req, err := http.NewRequest(http.MethodPost, g.httpServer.URL+"/once/silent", strings.NewReader("body"))
		assert.NilError(t, err)
		req.Header, req.Host = fakes.RequestHeader("silent-"+strconv.Itoa(i), key, "", 1300), fakes.Host
		assert.Equal(t, g.do(req).status, http.StatusGatewayTimeout)
		begun := time.Now()
		got := g.post("/once/after", "body")
		assert.Equal(t, got.status, http.StatusOK)
		assert.Assert(t, time.Since(begun) > 150*time.Millisecond, "request %d: the upstream got the next one after %v", i, time.Since(begun))
	}
}
