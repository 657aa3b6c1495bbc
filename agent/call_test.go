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

// Guards against answers that are incomplete or held back: the second event is
// produced only after the gateway has received the first.
func TestStream(t *testing.T) {
	received := make(chan struct{})
	r := newRig(t, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		assert.Check(t, q.Header.Get("Authorization") == "")
		tokens(w, 1)
		<-received
		tokens(w, 2)
		finish(w, 9)
	}), nil)
	r.own(1)
	st := r.call(&wire.Call{Attempt: "a1", Kind: "model", Cost: 9, Permit: r.permit(9, 1), Idempotent: true, Body: []byte(`{"max_tokens":3}`),
		Header: []*wire.Header{{Name: "Authorization", Value: "Bearer key"}}})
	f, err := st.Recv()
	assert.NilError(t, err)
	assert.Equal(t, f.GetHead().Status, uint32(200))
	f, err = st.Recv()
	assert.NilError(t, err)
	assert.Equal(t, f.GetPart().Attempt, "a1")
	assert.Equal(t, f.GetPart().Index, int64(0))
	close(received)
	a := read(t, st)
	assert.Assert(t, a.done != nil)
	assert.Equal(t, a.done.Used, int64(9))
	assert.Equal(t, a.parts[1].Index, int64(2))
	assert.Equal(t, len(a.parts), 4)
	assert.Assert(t, strings.HasSuffix(a.text(), "data: [DONE]\n\n"))
}

// Guards against customers that receive more tokens than were reserved for them.
func TestStopAtReservation(t *testing.T) {
	r := newRig(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { tokens(w, 1000) }), nil)
	r.own(1)
	a := read(t, r.call(&wire.Call{Attempt: "a1", Kind: "model", Cost: 25, Permit: r.permit(25, 1), Idempotent: true, Body: []byte(`{"max_tokens":20}`)}))
	assert.Assert(t, a.done != nil)
	assert.Equal(t, a.done.Used, int64(25))
	assert.Equal(t, strings.Count(a.text(), `"text":"t`), 20)
	assert.Assert(t, strings.Contains(a.text(), `"finish_reason":"length"`))
	assert.Assert(t, strings.HasSuffix(a.text(), "data: [DONE]\n\n"))
}

// Guards against requests that keep running for a gateway that is gone.
func TestCancel(t *testing.T) {
	cancelled := make(chan struct{})
	r := newRig(t, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		tokens(w, 1)
		<-q.Context().Done()
		close(cancelled)
	}), nil)
	st := r.call(&wire.Call{Attempt: "a1", Kind: "model", Idempotent: true})
	_, err := st.Recv()
	assert.NilError(t, err)
	assert.NilError(t, st.Close())
	select {
	case <-cancelled:
	case <-time.After(5 * time.Second):
		t.Fatal("upstream call was not cancelled")
	}
}

// Guards against a refusal that says "not run" after the upstream received the
// request, and against crashes that nobody counts.
func TestUpstreamDies(t *testing.T) {
	r := newRig(t, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/stream" {
			tokens(w, 3)
		}
		c, _, err := http.NewResponseController(w).Hijack()
		assert.Check(t, err)
		_ = c.Close()
	}), nil)
	for i, path := range []string{"/at-once", "/stream"} {
		a := read(t, r.call(&wire.Call{Attempt: fmt.Sprint("a", i), Kind: "model", Path: path, Idempotent: true}))
		assert.Assert(t, a.refuse != nil)
		assert.Equal(t, a.refuse.Code, "upstream_failed")
		assert.Assert(t, a.refuse.Ran)
		assert.Assert(t, a.refuse.Crashed)
		assert.Assert(t, a.refuse.Crash != 0)
	}
}

// Guards against a claim that a request may have run although no connection could
// be opened.
func TestUpstreamUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	r := newRig(t, http.NotFoundHandler(), func(o *agent.Options) { o.Upstream.Address = l.Addr().String() })
	a := read(t, r.call(&wire.Call{Attempt: "a1", Kind: "service"}))
	assert.Assert(t, a.refuse != nil)
	assert.Assert(t, !a.refuse.Ran)
	assert.Assert(t, !a.refuse.Crashed)
}

// Guards against bodies that lose the pieces after the first frame.
func TestLongBody(t *testing.T) {
	r := newRig(t, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { _, _ = io.Copy(w, q.Body) }), nil)
	st := r.call(&wire.Call{Attempt: "a1", Kind: "service", Body: []byte("one "), More: true})
	assert.NilError(t, st.Send(&wire.Frame{Body: &wire.Frame_Data{Data: &wire.Data{Data: []byte("two "), Last: false}}}))
	assert.NilError(t, st.Send(&wire.Frame{Body: &wire.Frame_Data{Data: &wire.Data{Data: []byte("three"), Last: true}}}))
	assert.Equal(t, read(t, st).text(), "one two three")
}

// Guards against a planned stop that cuts off a request, and against new work
// during the stop.
func TestGracefulStop(t *testing.T) {
	proceed := make(chan struct{})
	r := newRig(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		tokens(w, 1)
		<-proceed
		tokens(w, 1)
		finish(w, 2)
	}), nil)
	running := r.call(&wire.Call{Attempt: "a1", Kind: "model", Idempotent: true})
	_, err := running.Recv()
	assert.NilError(t, err)
	control := r.open(&wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{Id: 1}}})
	r.stop()
	for left := false; !left; {
		f, err := control.Recv()
		assert.NilError(t, err)
		left = f.GetLeave() != nil
	}
	a := read(t, r.call(&wire.Call{Attempt: "a2", Kind: "model"}))
	assert.Equal(t, a.refuse.GetCode(), "draining")
	assert.Assert(t, !a.refuse.Ran)
	close(proceed)
	assert.Assert(t, read(t, running).done != nil)
}

// Guards against answers that are cut although the upstream closed the stream in
// order, and against errors that reach the caller as a part of an answer.
func TestIncompleteStream(t *testing.T) {
	r := newRig(t, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		tokens(w, 1)
		if q.URL.Path == "/error" {
			_, _ = io.WriteString(w, "data: {\"error\":{\"message\":\"collapsed\"}}\n\n")
		}
	}), nil)
	for i, path := range []string{"/end", "/error"} {
		a := read(t, r.call(&wire.Call{Attempt: fmt.Sprint("a", i), Kind: "model", Path: path, Idempotent: true}))
		assert.Equal(t, a.refuse.GetCode(), "upstream_failed")
		assert.Assert(t, a.refuse.Ran && !a.refuse.Crashed)
		assert.Equal(t, len(a.parts), 1)
	}
}

// Guards against gaps and repetitions after the resumption of a stream: a chat has
// an event before its first token.
func TestResume(t *testing.T) {
	bodies := make(chan string, 1)
	r := newRig(t, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		b, _ := io.ReadAll(q.Body)
		bodies <- string(b)
		tokens(w, 1)
		finish(w, 1)
	}), nil)
	for i, c := range []struct {
		path, body string
		index      int64
	}{
		{"/v1/completions", `{"resume_from":7}`, 7},
		{"/v1/chat/completions", `{"resume_from":6}`, 6},
	} {
		a := read(t, r.call(&wire.Call{Attempt: fmt.Sprint("a", i), Kind: "model", Path: c.path, Idempotent: true, Resume: 7, Body: []byte("{}")}))
		assert.Assert(t, a.done != nil)
		assert.Equal(t, <-bodies, c.body)
		assert.Equal(t, a.parts[0].Index, c.index)
	}
}

// Guards against requests that wait for an answer after nobody needs it any more.
func TestDeadline(t *testing.T) {
	running := make(chan struct{}, 2)
	r := newRig(t, http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		running <- struct{}{}
		<-q.Context().Done()
	}), func(o *agent.Options) { o.Limits.Running, o.Limits.ColdStartRequests = 1, 1 })
	first := r.call(&wire.Call{Attempt: "a1", Kind: "service", Idempotent: true, Timeout: 300})
	// Calls on two streams may overtake each other.
	<-running
	second := r.call(&wire.Call{Attempt: "a2", Kind: "service", Idempotent: true, Timeout: 50})
	a := read(t, second)
	assert.Equal(t, a.refuse.GetCode(), "deadline_unreachable")
	assert.Assert(t, !a.refuse.Ran)
	a = read(t, first)
	assert.Equal(t, a.refuse.GetCode(), "upstream_timeout")
	assert.Assert(t, a.refuse.Ran)
}
