package gate_test

import (
	"context"
	"errors"
	"testing"

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
