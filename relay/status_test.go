package relay_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

// oddStatuses are statuses that no final answer has, as an upstream in trouble writes them.
var oddStatuses = []string{"000", "001", "099", "100", "101", "150", "199", "600", "999", "12", "1000", "-01", "+01", "abc"}

// Guards against an answer with an odd status that reaches the caller, or that counts as a refusal without a run: plain and
// streamed, on a new connection and on one in use again.
func TestOddStatusIsNotPassedOn(t *testing.T) {
	for _, status := range oddStatuses {
		for _, path := range []string{"/once/a", "/stream/a"} {
			for _, reused := range []bool{false, true} {
				replica := startReplica(t, "one", func(r *fakes.Request) {
					if r.RequestID == "first" {
						r.Respond("200 OK", "first")
						return
					}
					r.WriteRaw(fakes.Head(r.RequestID, status+" Odd") + fakes.NotRunField + "Content-Type: text/event-stream\r\nContent-Length: 4\r\n\r\nbody")
					r.CloseConnection()
				})
				g := newTestGateway(t, replica)
				if reused {
					assert.Equal(t, g.getAs("first", "/once/first").status, http.StatusOK)
				}
				model := ""
				if path == "/stream/a" {
					model = "small"
				}
				got := g.send(context.Background(), http.MethodPost, path, model, "x")
				assert.Check(t, got.status == http.StatusBadGateway && !strings.Contains(got.body, "body"), "%s at %s, reused %v: %d %q", status, path, reused, got.status, got.body)
			}
		}
	}
}

// Guards against a request that may be repeated and fails because of an odd status, and against a stream that goes on with
// the answer that has one.
func TestRequestGoesElsewhereAfterOddStatus(t *testing.T) {
	for _, status := range oddStatuses {
		odd := func(r *fakes.Request) {
			r.WriteRaw(fakes.Head(r.RequestID, status+" Odd") + "Content-Type: text/event-stream\r\nContent-Length: " +
				strconv.Itoa(len(fakes.Event(3))) + "\r\n\r\n" + fakes.Event(3))
			r.CloseConnection()
		}
		sound := func(r *fakes.Request) { r.Respond("200 OK", "sound") }
		got := newTestGateway(t, startReplica(t, "one", odd), startReplica(t, "two", sound)).get("/read/a")
		assert.Check(t, got.status == http.StatusOK && got.body == "sound", "%s: %d %q", status, got.status, got.body)
		breaks := func(r *fakes.Request) {
			if r.LastEventID != "" {
				odd(r)
				return
			}
			r.Stream(1, 2, false)
			r.CloseConnection()
		}
		got = newTestGateway(t, startReplica(t, "one", breaks), startReplica(t, "two", breaks)).postStream("/talk/a")
		assert.Check(t, got.err != nil && got.body == eventRange(1, 2), "%s: %q, %v", status, got.body, got.err)
	}
}

// Guards against the head of another answer with an odd status that is passed on inside a body.
func TestOddHeadIsNotPartOfABody(t *testing.T) {
	for _, status := range oddStatuses {
		replica := startReplica(t, "one", func(r *fakes.Request) {
			if r.URL.Path == "/once/a" {
				r.WriteRaw(fakes.Head(r.RequestID, "200 OK") + "\r\nbody" + fakes.Head(r.RequestID, status+" Odd") + "\r\n")
			} else {
				r.WriteRaw(streamHead(r.RequestID) + eventRange(1, 2) + fakes.Head(r.RequestID, status+" Odd") + "\r\n")
			}
			r.CloseConnection()
		})
		g := newTestGateway(t, replica)
		got := g.get("/once/a")
		assert.Check(t, got.status == http.StatusBadGateway, "%s: %d %q", status, got.status, got.body)
		got = g.postStream("/stream/a")
		assert.Check(t, got.err != nil && got.body == eventRange(1, 2), "%s: %q, %v", status, got.body, got.err)
	}
}
