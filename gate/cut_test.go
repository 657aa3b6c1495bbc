package gate_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/agent"
	"github.com/magnolialever/magnolialever/config"
	"github.com/magnolialever/magnolialever/fakes/raw"
	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/units"
)

// Guards against bytes of an event that an agent did not finish and that stand before the answer of the next one, at any
// cut inside the first event, however the attempt ends.
func TestCutFirstEventIsNotPartOfNextAttempt(t *testing.T) {
	first := strings.Replace(tokenEvent(0), "t0", "wrong", 1)
	for _, refused := range []bool{true, false} {
		calls := make(chan int, 1)
		cut := func(c *agentCall) {
			n := <-calls
			if n < 0 {
				respondTokens(3)(c)
				return
			}
			calls <- -1
			_ = c.sendHead(200, eventStream)
			_ = c.sendPart(0, first[:n])
			if refused {
				c.sendRefuse("upstream_failed", true, 0)
			}
		}
		s := startGateway(t, nil, newFakeAgent(t, "a1", cut), newFakeAgent(t, "a2", cut))
		for n := range first {
			calls <- n
			assert.Equal(t, readStream(t, s), tokenText(3), "cut at %d, refused: %v", n, refused)
		}
	}
}

// startCutting starts agents of a service that breaks off its first answer to each request body, a number, after as many
// bytes, and answers whole the second time.
func startCutting(t *testing.T, answer string) []string {
	var mu sync.Mutex
	seen := map[int]bool{}
	service, err := raw.Start(func(r *raw.Request) error {
		n, err := strconv.Atoi(r.Text)
		assert.Check(t, err)
		mu.Lock()
		if seen[n] {
			n = len(answer)
		}
		seen[n] = true
		mu.Unlock()
		_ = r.Write(answer[:n]) // the agent may have closed the connection
		return io.EOF
	})
	assert.NilError(t, err)
	var addresses []string
	for _, id := range []string{"u1", "u2"} {
		a, err := agent.New(agent.Options{
			Node:   config.Node{ID: id, Zone: "a", PeerAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0"},
			Secret: []byte(testSecret), Upstream: agent.Upstream{Kind: agent.Service, Address: service.Addr(), Services: []units.ServiceID{"cases"}},
		})
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- a.Run(ctx) }()
		t.Cleanup(func() {
			cancel()
			assert.NilError(t, <-ended)
		})
		addresses = append(addresses, a.Addr().String())
	}
	t.Cleanup(service.Close)
	return addresses
}

// Guards against an answer of a service that begins with what an earlier attempt left, or is cut, at each cut of an answer
// with a length, through gateway and agents.
func TestCutAnswerOfServiceIsNotPartOfNextAttempt(t *testing.T) {
	const body = "data: one\n\ndata: two\n\n"
	for _, contentType := range []string{"text/event-stream", "text/plain"} {
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", contentType, len(body), body)
		o := testOptions()
		withService(&o)
		o.Settings.AgentAddresses = startCutting(t, answer)
		s, err := gate.New(o)
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		t.Cleanup(func() {
			cancel()
			assert.NilError(t, <-ended)
		})
		eventually(t, func() bool { return len(s.ConnectedAgents()) == len(o.Settings.AgentAddresses) })
		firstEvent := strings.Index(answer, body) + strings.Index(body, "\n\n") + 1
		for n := range firstEvent {
			w, got := sendRequest(t, s, http.MethodGet, "/svc/cases/x", strconv.Itoa(n))
			assert.Check(t, w.StatusCode == http.StatusOK && got == body, "%s, cut at %d: %d %q", contentType, n, w.StatusCode, got)
		}
	}
}
