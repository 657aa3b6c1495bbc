package agent_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/agent"
	"github.com/magnolialever/magnolialever/wire"
)

// Guards against incomplete or buffered responses: the upstream sends the second event only
// after the gateway has received the first.
func TestStream(t *testing.T) {
	received := make(chan struct{})
	ta := startAgent(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		assert.Check(t, req.Header.Get("Authorization") == "")
		writeTokens(w, 1)
		<-received
		writeTokens(w, 2)
		writeEnd(w, 9)
	}), nil)
	ta.setSlotOwner(1)
	st := ta.call(&wire.Call{Attempt: "a1", Kind: "model", Cost: 9, Permit: ta.permit(9, 1), Idempotent: true, Body: []byte(`{"max_tokens":3}`),
		Header: []*wire.Header{{Name: "Authorization", Value: "Bearer key"}}})
	f, err := st.Recv()
	assert.NilError(t, err)
	assert.Equal(t, f.GetHead().Status, uint32(200))
	f, err = st.Recv()
	assert.NilError(t, err)
	assert.Equal(t, f.GetPart().Attempt, "a1")
	assert.Equal(t, f.GetPart().Index, int64(0))
	close(received)
	res := readResponse(t, st)
	assert.Assert(t, res.done != nil)
	assert.Equal(t, res.done.Used, int64(9))
	assert.Equal(t, res.parts[1].Index, int64(2))
	assert.Equal(t, len(res.parts), 4)
	assert.Assert(t, strings.HasSuffix(res.text(), "data: [DONE]\n\n"))
}

// Guards against streams that deliver more tokens than were reserved.
func TestStopAtReservation(t *testing.T) {
	ta := startAgent(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeTokens(w, 1000) }), nil)
	ta.setSlotOwner(1)
	res := readResponse(t, ta.call(&wire.Call{Attempt: "a1", Kind: "model", Cost: 25, Permit: ta.permit(25, 1), Idempotent: true, Body: []byte(`{"max_tokens":20}`)}))
	assert.Assert(t, res.done != nil)
	assert.Equal(t, res.done.Used, int64(25))
	assert.Equal(t, strings.Count(res.text(), `"text":"t`), 20)
	assert.Assert(t, strings.Contains(res.text(), `"finish_reason":"length"`))
	assert.Assert(t, strings.HasSuffix(res.text(), "data: [DONE]\n\n"))
}

// Guards against requests that keep running after their gateway has disconnected.
func TestCancel(t *testing.T) {
	canceled := make(chan struct{})
	ta := startAgent(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		writeTokens(w, 1)
		<-req.Context().Done()
		close(canceled)
	}), nil)
	st := ta.call(&wire.Call{Attempt: "a1", Kind: "model", Idempotent: true})
	_, err := st.Recv()
	assert.NilError(t, err)
	assert.NilError(t, st.Close())
	select {
	case <-canceled:
	case <-time.After(5 * time.Second):
		t.Fatal("upstream call was not canceled")
	}
}

// Guards against refusals that report a request as not run after the upstream received it,
// and against crashes that are not reported.
func TestUpstreamCrash(t *testing.T) {
	ta := startAgent(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/stream" {
			writeTokens(w, 3)
		}
		c, _, err := http.NewResponseController(w).Hijack()
		assert.Check(t, err)
		_ = c.Close()
	}), nil)
	for i, path := range []string{"/at-once", "/stream"} {
		res := readResponse(t, ta.call(&wire.Call{Attempt: fmt.Sprint("a", i), Kind: "model", Path: path, Idempotent: true}))
		assert.Assert(t, res.refuse != nil)
		assert.Equal(t, res.refuse.Code, "upstream_failed")
		assert.Assert(t, res.refuse.Ran)
		assert.Assert(t, res.refuse.Crashed)
		assert.Assert(t, res.refuse.Crash != 0)
	}
}

// Guards against refusals that report a request as possibly run although no connection to
// the upstream was opened.
func TestUpstreamUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	ta := startAgent(t, http.NotFoundHandler(), func(o *agent.Options) { o.Upstream.Address = l.Addr().String() })
	res := readResponse(t, ta.call(&wire.Call{Attempt: "a1", Kind: "service"}))
	assert.Assert(t, res.refuse != nil)
	assert.Assert(t, !res.refuse.Ran)
	assert.Assert(t, !res.refuse.Crashed)
}

// Guards against losing the parts of a body that follow the first frame.
func TestLongBody(t *testing.T) {
	ta := startAgent(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { _, _ = io.Copy(w, req.Body) }), nil)
	st := ta.call(&wire.Call{Attempt: "a1", Kind: "service", Body: []byte("one "), More: true})
	assert.NilError(t, st.Send(&wire.Frame{Body: &wire.Frame_Data{Data: &wire.Data{Data: []byte("two "), Last: false}}}))
	assert.NilError(t, st.Send(&wire.Frame{Body: &wire.Frame_Data{Data: &wire.Data{Data: []byte("three"), Last: true}}}))
	assert.Equal(t, readResponse(t, st).text(), "one two three")
}

// Guards against a graceful stop that aborts a running request or admits new ones.
func TestGracefulStop(t *testing.T) {
	proceed := make(chan struct{})
	ta := startAgent(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeTokens(w, 1)
		<-proceed
		writeTokens(w, 1)
		writeEnd(w, 2)
	}), nil)
	running := ta.call(&wire.Call{Attempt: "a1", Kind: "model", Idempotent: true})
	_, err := running.Recv()
	assert.NilError(t, err)
	control := ta.openStream(&wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{Id: 1}}})
	ta.stop()
	for leaveReceived := false; !leaveReceived; {
		f, err := control.Recv()
		assert.NilError(t, err)
		leaveReceived = f.GetLeave() != nil
	}
	res := readResponse(t, ta.call(&wire.Call{Attempt: "a2", Kind: "model"}))
	assert.Equal(t, res.refuse.GetCode(), "draining")
	assert.Assert(t, !res.refuse.Ran)
	close(proceed)
	assert.Assert(t, readResponse(t, running).done != nil)
}

// Guards against streams without [DONE] that count as complete because the upstream closed
// them cleanly, and against error events that are relayed as part of the response.
func TestIncompleteStream(t *testing.T) {
	ta := startAgent(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		writeTokens(w, 1)
		if req.URL.Path == "/error" {
			_, _ = io.WriteString(w, "data: {\"error\":{\"message\":\"collapsed\"}}\n\n")
		}
	}), nil)
	for i, path := range []string{"/end", "/error"} {
		res := readResponse(t, ta.call(&wire.Call{Attempt: fmt.Sprint("a", i), Kind: "model", Path: path, Idempotent: true}))
		assert.Equal(t, res.refuse.GetCode(), "upstream_failed")
		assert.Assert(t, res.refuse.Ran && !res.refuse.Crashed)
		assert.Equal(t, len(res.parts), 1)
	}
}

// Guards against bytes without end that are passed on as an answer, and against an engine that counts as crashed, with the
// request as the cause, because its answer was given up.
func TestEndlessStreamIsGivenUp(t *testing.T) {
	ta := startAgent(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		writeTokens(w, 1)
		block := strings.Repeat(": nothing\n\n", 1000)
		if req.URL.Path == "/event" {
			block = strings.Repeat("x", 10_000)
		}
		var err error
		for written := 0; err == nil && written < 64<<20; written += len(block) {
			_, err = io.WriteString(w, block)
		}
		assert.Check(t, err != nil, "the agent read all")
	}), nil)
	for i, path := range []string{"/comments", "/event"} {
		res := readResponse(t, ta.call(&wire.Call{Attempt: fmt.Sprint("a", i), Kind: "model", Path: path, Idempotent: true}))
		assert.Equal(t, res.refuse.GetCode(), "upstream_failed")
		assert.Check(t, res.refuse.Ran && !res.refuse.Crashed, "%s: %v", path, res.refuse)
		assert.Check(t, len(res.text()) < 1<<20, "%s: %d bytes", path, len(res.text()))
	}
}

// Guards against missing or repeated events after a stream is resumed. A chat stream has
// one event before its first token.
func TestResume(t *testing.T) {
	bodies := make(chan string, 1)
	ta := startAgent(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		b, _ := io.ReadAll(req.Body)
		bodies <- string(b)
		writeTokens(w, 1)
		writeEnd(w, 1)
	}), nil)
	for i, c := range []struct {
		path, body string
		index      int64
	}{
		{"/v1/completions", `{"resume_from":7}`, 7},
		{"/v1/chat/completions", `{"resume_from":6}`, 6},
	} {
		res := readResponse(t, ta.call(&wire.Call{Attempt: fmt.Sprint("a", i), Kind: "model", Path: c.path, Idempotent: true, Resume: 7, Body: []byte("{}")}))
		assert.Assert(t, res.done != nil)
		assert.Equal(t, <-bodies, c.body)
		assert.Equal(t, res.parts[0].Index, c.index)
	}
}

// Guards against requests that stay queued or running after their deadline.
func TestDeadline(t *testing.T) {
	running := make(chan struct{}, 2)
	ta := startAgent(t, http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		running <- struct{}{}
		<-req.Context().Done()
	}), func(o *agent.Options) { o.Limits.Running, o.Limits.ColdStartRequests = 1, 1 })
	first := ta.call(&wire.Call{Attempt: "a1", Kind: "service", Idempotent: true, Timeout: 300})
	// Calls on two streams may arrive in either order.
	<-running
	second := ta.call(&wire.Call{Attempt: "a2", Kind: "service", Idempotent: true, Timeout: 50})
	res := readResponse(t, second)
	assert.Equal(t, res.refuse.GetCode(), "deadline_unreachable")
	assert.Assert(t, !res.refuse.Ran)
	res = readResponse(t, first)
	assert.Equal(t, res.refuse.GetCode(), "upstream_timeout")
	assert.Assert(t, res.refuse.Ran)
}
