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

// startServiceGateway starts a gateway in front of one agent with the Once.
func startServiceGateway(t *testing.T, once gate.Once, run func(c *agentCall)) *gate.Server {
	t.Helper()
	return startGateway(t, func(o *gate.Options) {
		withService(o)
		o.Once = once
	}, newFakeAgent(t, "a1", run))
}

// answerWith returns an agent's answer with the status.
func answerWith(status int, contentType string) func(c *agentCall) {
	return func(c *agentCall) {
		_ = c.sendHead(uint32(status), contentType)
		_ = c.sendPart(0, "body")
		c.sendDone()
	}
}

// checkMayHaveRun makes a call that must not be repeated and checks that its response has the status want and says that it
// may have run.
func checkMayHaveRun(t *testing.T, s *gate.Server, want int, what string, header ...string) {
	t.Helper()
	w, body := sendRequest(t, s, "POST", "/svc/cases/book", "x", header...)
	assert.Check(t, w.StatusCode == want && w.Header.Get("X-Run") == "may-have-run", "%s: %d %q", what, w.StatusCode, body)
}

// Guards against a panic, or an answer, where an agent of another version passes on an odd status, plain or streamed, or has
// reported it as the result of a call that must not be repeated; and against a claim that the request has not run.
func TestOddStatusIsNotPassedOn(t *testing.T) {
	for _, status := range oddStatuses {
		what := fmt.Sprint(status)
		for _, contentType := range []string{"text/plain", "text/event-stream"} {
			s := startServiceGateway(t, &gate.MemoryOnce{}, answerWith(status, contentType))
			checkMayHaveRun(t, s, http.StatusBadGateway, what, "Idempotency-Key", "k")
			checkMayHaveRun(t, s, http.StatusConflict, what+" again", "Idempotency-Key", "k")
		}
		s := startServiceGateway(t, &storedOnce{status: status}, func(c *agentCall) { c.sendDone() })
		checkMayHaveRun(t, s, http.StatusConflict, what+" stored", "Idempotency-Key", fmt.Sprint("k", status))
	}
}

// Guards against a caller that makes a call again, which must not run twice and has run, as the status of the service's answer says
// that it has not; and against a stored answer that says so.
func TestStatusOfRunDoesNotSayNotRun(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		what, run := fmt.Sprint(status), answerWith(status, "text/plain")
		s := startServiceGateway(t, &gate.MemoryOnce{}, run)
		checkMayHaveRun(t, s, http.StatusBadGateway, what)
		checkMayHaveRun(t, s, http.StatusBadGateway, what+" with a key", "Idempotency-Key", "k")
		checkMayHaveRun(t, s, http.StatusConflict, what+" again", "Idempotency-Key", "k")
		w, body := sendRequest(t, s, "GET", "/svc/cases/state", "")
		assert.Check(t, w.StatusCode == status && body == "body", "%d of a call that may be repeated: %d %q", status, w.StatusCode, body)

		s = startServiceGateway(t, &storedOnce{status: status}, run)
		checkMayHaveRun(t, s, http.StatusConflict, what+" stored", "Idempotency-Key", "k")
	}
}
