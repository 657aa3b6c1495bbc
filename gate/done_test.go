package gate_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a stream that goes on after its [DONE]: with what the agent still sends, or with the answer of another
// upstream, which is asked because the agent's connection broke before it said that the request is done.
func TestNothingFollowsDone(t *testing.T) {
	want := tokenEvent(0) + doneEvent
	for name, after := range map[string]func(c *agentCall){
		"connection breaks": func(c *agentCall) { c.stream.Close() },
		"refusal":           func(c *agentCall) { c.sendRefuse("upstream_failed", true, 0) },
		"events": func(c *agentCall) {
			_ = c.sendPart(2, tokenEvent(2))
			_ = c.sendPart(3, doneEvent)
			c.sendDone()
		},
		"cut event": func(c *agentCall) {
			_ = c.sendPart(2, tokenEvent(2)[:9])
			c.sendDone()
		},
	} {
		answer := func(c *agentCall) {
			_ = c.sendHead(200, eventStream)
			if c.Resume > 0 {
				_ = c.sendPart(c.Resume, doneEvent)
				c.sendDone()
				return
			}
			_ = c.sendPart(0, tokenEvent(0))
			_ = c.sendPart(1, doneEvent)
			after(c)
		}
		a1, a2 := newFakeAgent(t, "a1", answer), newFakeAgent(t, "a2", answer)
		s := startGateway(t, nil, a1, a2)
		w, body := sendRequest(t, s, http.MethodPost, "/v1/chat/completions", `{"model":"small","stream":true,"messages":[{"role":"user","content":"a"}]}`)
		assert.Check(t, w.StatusCode == http.StatusOK, "%s: %d", name, w.StatusCode)
		assert.Check(t, body == want, "%s: %q", name, strings.ReplaceAll(body, tokenEvent(0), "..."))
		assert.Check(t, a1.calls.Load()+a2.calls.Load() == 1, "%s: %d attempts", name, a1.calls.Load()+a2.calls.Load())
	}
}
