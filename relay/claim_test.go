package relay_test

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

// claims are the statuses that callers take for a statement that the request has not run.
var claims = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// startClaimant starts a replica that runs each request and answers with the status and its receipt, but without a statement that
// the request has not run. It counts the runs.
func startClaimant(t *testing.T, instance string, status int, runs *atomic.Int32) *fakes.Replica {
	t.Helper()
	return startReplica(t, instance, func(r *fakes.Request) {
		runs.Add(1)
		r.Respond(strconv.Itoa(status)+" Failed", "failed")
	})
}

// Guards against a caller that sends a request again, which has run, as the status of its upstream's answer says that it has
// not: with one such upstream and with all, on plain routes and on streams.
func TestStatusOfRunDoesNotSayNotRun(t *testing.T) {
	for _, status := range claims {
		for _, path := range []string{"/once/a", "/read/a", "/stream/a", "/talk/a"} {
			var runs atomic.Int32
			g := newTestGateway(t, startClaimant(t, "one", status, &runs), startClaimant(t, "two", status, &runs))
			model := ""
			if path == "/stream/a" || path == "/talk/a" {
				model = "small"
			}
			got := g.send(context.Background(), http.MethodPost, path, model, "x")
			assert.Check(t, got.status == http.StatusBadGateway, "%d at %s: %d", status, path, got.status)
			assert.Check(t, !fakes.HasReceipt(got.header), "%d at %s: receipt under another status", status, path)
			atMostOnce := path == "/once/a" || path == "/stream/a"
			assert.Check(t, runs.Load() == 1 || !atMostOnce, "%d at %s: %d runs", status, path, runs.Load())
		}
	}
}

// Guards against a request that may be repeated and fails because one upstream answers with such a status.
func TestRequestGoesElsewhereAfterClaim(t *testing.T) {
	for _, status := range claims {
		var runs atomic.Int32
		sound := startReplica(t, "two", func(r *fakes.Request) { r.Respond("200 OK", "sound") })
		g := newTestGateway(t, startClaimant(t, "one", status, &runs), sound)
		for range 4 {
			got := g.get("/read/a")
			assert.Check(t, got.status == http.StatusOK && got.body == "sound", "%d: %d %q", status, got.status, got.body)
		}
	}
}

// Guards against an error of an upstream that is lost because another one answers a repeat with such a status.
func TestErrorBesideClaimIsPassedOn(t *testing.T) {
	for _, status := range claims {
		var runs atomic.Int32
		g := newTestGateway(t, startClaimant(t, "one", status, &runs), startClaimant(t, "two", http.StatusInternalServerError, &runs))
		got := g.get("/read/a")
		assert.Check(t, got.status == http.StatusInternalServerError && fakes.HasReceipt(got.header), "%d: %d", status, got.status)
	}
}

// Guards against a refusal that states that the request has not run, and counts as a run.
func TestStatedRefusalGoesElsewhere(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		refuse := func(r *fakes.Request) {
			r.WriteRaw("HTTP/1.1 " + strconv.Itoa(status) + " Full\r\nRequest-Id: " + r.RequestID + "\r\n" + fakes.NotRunField + "Content-Length: 0\r\n\r\n")
		}
		sound := startReplica(t, "two", func(r *fakes.Request) { r.Respond("200 OK", "sound") })
		got := newTestGateway(t, startReplica(t, "one", refuse), sound).get("/once/a")
		assert.Check(t, got.status == http.StatusOK, "%d: %d", status, got.status)
	}
}
