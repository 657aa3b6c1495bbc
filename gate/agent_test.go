package gate_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/wire"
)

const testSecret = "the secret of the tests"

// callHandler responds to one call.
type callHandler func(a *agentCall)

// agentCall is a call that a fake agent has received.
type agentCall struct {
	*wire.Call
	agent  *fakeAgent
	stream *wire.Stream
	// streamClosed is closed when the gateway has closed the stream.
	streamClosed chan struct{}
}

// fakeAgent accepts sessions of gateways, reports its load, and handles calls with a callHandler.
type fakeAgent struct {
	id       string
	listener net.Listener
	handler  callHandler
	resident []string
	services []string
	calls    atomic.Int64
	// configRevision is the revision of the last Config frame that arrived.
	configRevision atomic.Int64
	session        atomic.Pointer[wire.Session]
	// pongDelay is the time.Duration for which the agent holds back each Pong.
	pongDelay atomic.Int64
	// drain is closed by the test to let the agent announce its stop.
	drain chan struct{}
}

func newFakeAgent(t testing.TB, id string, f callHandler) *fakeAgent {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	a := &fakeAgent{
		id: id, listener: l, handler: f,
		resident: []string{"small"}, services: []string{"cases"},
		drain: make(chan struct{}),
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.accept()
	}()
	t.Cleanup(func() {
		l.Close()
		if s := a.session.Load(); s != nil {
			s.Close()
		}
		<-done
	})
	return a
}

func (a *fakeAgent) accept() {
	for {
		c, err := a.listener.Accept()
		if err != nil {
			return
		}
		self := wire.Identity{ID: a.id, Role: wire.Agent, Zone: "a"}
		s, err := wire.Accept(c, wire.Options{Self: self, Secret: []byte(testSecret)})
		if err != nil {
			continue
		}
		a.session.Store(s)
		go a.serve(s)
	}
}

func (a *fakeAgent) serve(s *wire.Session) {
	for {
		st, err := s.Accept()
		if err != nil {
			return
		}
		go a.serveStream(st)
	}
}

func (a *fakeAgent) serveStream(st *wire.Stream) {
	defer st.Close()
	f, err := st.Recv()
	if err != nil {
		return
	}
	if f.GetPing() != nil {
		a.serveControl(st, f)
		return
	}
	c := &agentCall{Call: f.GetCall(), agent: a, stream: st, streamClosed: make(chan struct{})}
	a.calls.Add(1)
	go func() {
		defer close(c.streamClosed)
		for {
			if _, err := st.Recv(); err != nil {
				// Closing the stream also ends a Send that is blocked by a stalled reader.
				st.Close()
				return
			}
		}
	}()
	a.handler(c)
	st.Close()
	select {
	case <-c.streamClosed:
	case <-time.After(time.Second):
	}
}

func (a *fakeAgent) serveControl(st *wire.Stream, f *wire.Frame) {
	load := &wire.Load{Upstream: a.id, Resident: a.resident, Service: a.services}
	if st.Send(&wire.Frame{Body: &wire.Frame_Load{Load: load}}) != nil {
		return
	}
	for {
		if p := f.GetPing(); p != nil {
			pong := &wire.Pong{Id: p.Id, Now: int64(clock.System{}.Now()) + 1000}
			if !a.sendPong(st, pong) {
				return
			}
		}
		if c := f.GetConfig(); c != nil {
			a.configRevision.Store(c.Revision)
		}
		select {
		case <-a.drain:
			_ = st.Send(&wire.Frame{Body: &wire.Frame_Leave{Leave: &wire.Leave{Id: a.id}}})
		default:
		}
		var err error
		if f, err = st.Recv(); err != nil {
			return
		}
	}
}

// sendPong sends the Pong after pongDelay. It reports whether the stream may still be open.
func (a *fakeAgent) sendPong(st *wire.Stream, p *wire.Pong) bool {
	send := func() error { return st.Send(&wire.Frame{Body: &wire.Frame_Pong{Pong: p}}) }
	d := time.Duration(a.pongDelay.Load())
	if d == 0 {
		return send() == nil
	}
	time.AfterFunc(d, func() { _ = send() })
	return true
}

func (c *agentCall) sendHead(status uint32, contentType string) error {
	h := &wire.Head{Attempt: c.Attempt, Status: status, Header: []*wire.Header{{Name: "Content-Type", Value: contentType}}}
	return c.stream.Send(&wire.Frame{Body: &wire.Frame_Head{Head: h}})
}

func (c *agentCall) sendPart(index int64, data string) error {
	p := &wire.Part{Attempt: c.Attempt, Index: index, Data: []byte(data)}
	return c.stream.Send(&wire.Frame{Body: &wire.Frame_Part{Part: p}})
}

func (c *agentCall) sendDone() {
	_ = c.stream.Send(&wire.Frame{Body: &wire.Frame_Done{Done: &wire.Done{Attempt: c.Attempt, Used: 7}}})
}

// sendRefuse refuses the call; retryAfter is in milliseconds.
func (c *agentCall) sendRefuse(code string, mayHaveRun bool, retryAfter int64) {
	r := &wire.Refuse{Attempt: c.Attempt, Code: code, Ran: mayHaveRun, Wait: retryAfter}
	_ = c.stream.Send(&wire.Frame{Body: &wire.Frame_Refuse{Refuse: r}})
}

// tokenEvent returns the event of token i of a streamed chat response.
func tokenEvent(i int64) string {
	return fmt.Sprintf(`data: {"id":"x","object":"chat.completion.chunk","created":1,"model":"small",`+
		`"choices":[{"index":0,"delta":{"content":"t%d "},"finish_reason":null}]}`+"\n\n", i)
}

const (
	eventStream   = "text/event-stream"
	doneEvent     = "data: [DONE]\n\n"
	plainResponse = `{"id":"x","object":"chat.completion","created":1,"model":"small","extra":{"kept":true},` +
		`"choices":[{"index":0,"message":{"role":"assistant","content":"hello"},"finish_reason":"stop"}],` +
		`"usage":{"prompt_tokens":3,"completion_tokens":4,"total_tokens":7}}`
)

// respondTokens responds with plainResponse or, to a streamed call, with events of n tokens.
func respondTokens(n int64) callHandler {
	return func(c *agentCall) {
		if !c.Stream {
			_ = c.sendHead(200, "application/json")
			_ = c.sendPart(0, plainResponse)
			c.sendDone()
			return
		}
		_ = c.sendHead(200, eventStream)
		for i := c.Resume; i < n; i++ {
			if c.sendPart(i, tokenEvent(i)) != nil {
				return
			}
		}
		_ = c.sendPart(n, doneEvent)
		c.sendDone()
	}
}
