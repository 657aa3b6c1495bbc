package gate_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/gate"
)

// storedOnce is a Once that has stored a response with a status for each call.
type storedOnce struct {
	gate.MemoryOnce
	status int
}

func (s *storedOnce) Begin(context.Context, gate.OnceAttempt) (*gate.StoredResponse, error) {
	return &gate.StoredResponse{Status: s.status, Body: []byte("stored")}, nil
}

var oddStatuses = []int{0, 1, 99, 100, 101, 150, 199, 600, 999, 1000, 1 << 31}

// Guards against a panic, or an answer, where an agent of another version passes on an odd status, plain or streamed, or has
// reported it as the result of a call that must not be repeated; and against a claim that the request has not run.
func TestOddStatusIsNotPassedOn(t *testing.T) {
	for _, status := range oddStatuses {
		for _, contentType := range []string{"text/plain", "text/event-stream"} {
			run := func(c *agentCall) {
				_ = c.sendHead(uint32(status), contentType)
				_ = c.sendPart(0, "body")
				c.sendDone()
			}
			s := startGateway(t, func(o *gate.Options) {
				withService(o)
				o.Once = &gate.MemoryOnce{}
			}, newFakeAgent(t, "a1", run))
			w, body := sendRequest(t, s, "POST", "/svc/cases/book", "x", "Idempotency-Key", "k")
			assert.Check(t, w.StatusCode == http.StatusBadGateway && w.Header.Get("X-Run") == "may-have-run", "%d: %d %q", status, w.StatusCode, body)
			w, body = sendRequest(t, s, "POST", "/svc/cases/book", "x", "Idempotency-Key", "k")
			assert.Check(t, w.StatusCode == http.StatusConflict && w.Header.Get("X-Run") == "may-have-run", "%d again: %d %q", status, w.StatusCode, body)
		}
		s := startGateway(t, func(o *gate.Options) {
			withService(o)
			o.Once = &storedOnce{status: status}
		}, newFakeAgent(t, "a1", func(c *agentCall) { c.sendDone() }))
		w, body := sendRequest(t, s, "POST", "/svc/cases/book", "x", "Idempotency-Key", fmt.Sprint("k", status))
		assert.Check(t, w.StatusCode == http.StatusConflict && w.Header.Get("X-Run") == "may-have-run", "%d stored: %d %q", status, w.StatusCode, body)
	}
}

// Guards against a caller that makes a call again, which must not run twice and has run, as the status of the service's answer says
// that it has not; and against a stored answer that says so.
func TestStatusOfRunDoesNotSayNotRun(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		run := func(c *agentCall) {
			_ = c.sendHead(uint32(status), "text/plain")
			_ = c.sendPart(0, "failed")
			c.sendDone()
		}
		s := startGateway(t, func(o *gate.Options) {
			withService(o)
			o.Once = &gate.MemoryOnce{}
		}, newFakeAgent(t, "a1", run))
		for _, header := range [][]string{nil, {"Idempotency-Key", "k"}} {
			w, _ := sendRequest(t, s, "POST", "/svc/cases/book", "x", header...)
			assert.Check(t, w.StatusCode == http.StatusBadGateway && w.Header.Get("X-Run") == "may-have-run", "%d, %v: %d", status, header, w.StatusCode)
		}
		w, _ := sendRequest(t, s, "POST", "/svc/cases/book", "x", "Idempotency-Key", "k")
		assert.Check(t, w.StatusCode == http.StatusConflict && w.Header.Get("X-Run") == "may-have-run", "%d again: %d", status, w.StatusCode)
		w, body := sendRequest(t, s, "GET", "/svc/cases/state", "")
		assert.Check(t, w.StatusCode == status && body == "failed", "%d of a call that may be repeated: %d", status, w.StatusCode)

		s = startGateway(t, func(o *gate.Options) {
			withService(o)
			o.Once = &storedOnce{status: status}
		}, newFakeAgent(t, "a1", run))
		w, _ = sendRequest(t, s, "POST", "/svc/cases/book", "x", "Idempotency-Key", "k")
		assert.Check(t, w.StatusCode == http.StatusConflict && w.Header.Get("X-Run") == "may-have-run", "%d stored: %d", status, w.StatusCode)
	}
}
