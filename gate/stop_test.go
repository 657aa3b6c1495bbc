package gate_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/gate"
)

// Guards against calls that the time limit of a stop cancels and whose callers get no answer, or one by which they take a
// call that may have run for one that has not, and repeat it: that is what status 503 says.
func TestCallsAtTheTimeLimitOfAStop(t *testing.T) {
	running := make(chan struct{}, 1)
	demand := newDemandRecorder()
	o := testOptions(newFakeAgent(t, "a1", func(c *agentCall) { running <- struct{}{}; <-c.streamClosed }))
	withService(&o)
	o.Settings.Limits.StopTimeout, o.Demand = 300, demand
	s, err := gate.New(o)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	eventually(t, func() bool { return len(s.ConnectedAgents()) == 1 })
	answers := make(chan string, 2)
	send := func(name, method, path, body string) {
		w, _ := sendRequest(t, s, method, path, body)
		answers <- name + " " + w.Status + " " + w.Header.Get("X-Run")
	}
	go send("running", "PUT", "/svc/cases/award", "once")
	go send("waiting", "POST", "/v1/chat/completions", `{"model":"absent","messages":[{"role":"user","content":"hello"}]}`)
	<-running
	eventually(t, func() bool { return demand.waitingFor("absent") == 1 })
	cancel()
	got := map[string]bool{<-answers: true, <-answers: true}
	assert.DeepEqual(t, got, map[string]bool{"running 502 Bad Gateway may-have-run": true, "waiting 503 Service Unavailable not-run": true})
	assert.Check(t, errors.Is(<-done, gate.ErrStopTimeout))
}

// Guards against requests that a gateway reads as a whole while it closes its listener and drops without an answer: their
// callers can't tell that they have not run.
func TestLateRequestsAreRefusedDuringAStop(t *testing.T) {
	s, err := gate.New(testOptions())
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	c, err := net.Dial("tcp", s.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	fmt.Fprint(c, "GET /v1/models HTTP/1.1\r\n")
	time.Sleep(50 * time.Millisecond)
	cancel()
	time.Sleep(300 * time.Millisecond)
	fmt.Fprint(c, "Host: x\r\nAuthorization: Bearer "+testKey+"\r\n\r\n")
	w, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Check(t, w.StatusCode == http.StatusServiceUnavailable && w.Close, "%v", w)
	w.Body.Close()
	assert.NilError(t, <-done)
}
