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

// Guards against a stream that looks complete though the caller lacks its last event: the agent says that the request is
// done before it, inside it, or after an event that counts as repeated.
func TestStreamWithoutLastEventIsNotComplete(t *testing.T) {
	for name, last := range map[string]func(c *agentCall){
		"none":     func(*agentCall) {},
		"cut":      func(c *agentCall) { _ = c.sendPart(max(c.Resume, 2), doneEvent[:9]) },
		"repeated": func(c *agentCall) { _ = c.sendPart(c.Resume-1, doneEvent) },
	} {
		answer := func(c *agentCall) {
			_ = c.sendHead(200, eventStream)
			if c.Resume == 0 {
				_ = c.sendPart(0, tokenEvent(0))
				_ = c.sendPart(1, tokenEvent(1))
				c.stream.Close()
				return
			}
			last(c)
			c.sendDone()
		}
		s := startGateway(t, nil, newFakeAgent(t, "a1", answer), newFakeAgent(t, "a2", answer))
		_, body := sendRequest(t, s, http.MethodPost, "/v1/chat/completions", `{"model":"small","stream":true,"messages":[{"role":"user","content":"a"}]}`)
		rest, ok := strings.CutPrefix(body, tokenEvent(0)+tokenEvent(1))
		assert.Check(t, ok && strings.Contains(rest, "upstream_failed") && strings.Count(rest, "data:") == 1, "%s: %q", name, rest)
	}
}
