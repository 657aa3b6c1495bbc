package agent_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/agent"
	"github.com/magnolialever/magnolialever/config"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const secret = "0123456789abcdef"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testAgent is a running agent with a session of one gateway.
type testAgent struct {
	*testing.T
	server    *agent.Server
	session   *wire.Session
	stop      context.CancelFunc
	runResult chan error
	// agentNow is the agent's time in milliseconds, as of the last openControl.
	agentNow int64
}

// startAgent starts an agent in front of upstream and stops it when the test ends.
// configure, if not nil, may change its options.
func startAgent(t *testing.T, upstream http.Handler, configure func(*agent.Options)) *testAgent {
	t.Helper()
	server := httptest.NewServer(upstream)
	o := agent.Options{
		Node:      config.Node{ID: "u1", Zone: "a", PeerAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0"},
		Secret:    []byte(secret),
		Upstream:  agent.Upstream{Kind: agent.Service, Address: strings.TrimPrefix(server.URL, "http://"), Services: []units.ServiceID{"svc"}},
		AllowFree: true,
	}
	if configure != nil {
		configure(&o)
	}
	s, err := agent.New(o)
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	ta := &testAgent{T: t, server: s, stop: stop, runResult: make(chan error, 1)}
	go func() { ta.runResult <- s.Run(ctx) }()
	ta.session, err = wire.Dial(ctx, s.Addr().String(), wire.Options{
		Self: wire.Identity{ID: "g1", Role: wire.Gateway, Zone: "a"}, Secret: []byte(secret),
	})
	assert.NilError(t, err)
	t.Cleanup(func() {
		stop()
		_ = ta.session.Close()
		assert.NilError(t, <-ta.runResult)
		server.Close()
	})
	return ta
}

// openStream opens a stream and sends its first frame.
func (ta *testAgent) openStream(f *wire.Frame) *wire.Stream {
	ta.Helper()
	st, err := ta.session.Open()
	assert.NilError(ta, err)
	assert.NilError(ta, st.SetDeadline(time.Now().Add(10*time.Second)))
	assert.NilError(ta, st.Send(f))
	ta.Cleanup(func() { _ = st.Close() })
	return st
}

// openControl opens a control stream and reads the agent's time from it.
func (ta *testAgent) openControl() *wire.Stream {
	st := ta.openStream(&wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{Id: 1}}})
	ta.agentNow = receiveUntil(ta.T, st, func(f *wire.Frame) *wire.Pong { return f.GetPong() }).Now
	return st
}

// receiveUntil reads frames until get returns a message, and returns that message.
func receiveUntil[M any](t *testing.T, st *wire.Stream, get func(*wire.Frame) *M) *M {
	t.Helper()
	for {
		f, err := st.Recv()
		assert.NilError(t, err)
		if m := get(f); m != nil {
			return m
		}
	}
}

// setSlotOwner sends a slot table with the owner of slot 1 at the epoch, which is also the
// version of the table, and waits for its acknowledgement.
func (ta *testAgent) setSlotOwner(epoch int64) {
	ta.Helper()
	st := ta.openControl()
	o := &wire.Owners{Version: epoch, Slot: []*wire.Slot{{Slot: 1, Owner: "g1", Epoch: epoch}}}
	assert.NilError(ta, st.Send(&wire.Frame{Body: &wire.Frame_Owners{Owners: o}}))
	receiveUntil(ta.T, st, func(f *wire.Frame) *wire.Versions {
		if f.GetVersions().GetOwners() != epoch {
			return nil
		}
		return f.GetVersions()
	})
}

// permit returns a permit for tokens of slot 1 that is valid for one minute.
func (ta *testAgent) permit(tokens, epoch int64) *wire.Permit {
	return &wire.Permit{Expires: ta.agentNow + 60_000, Paid: []*wire.Paid{{Slot: 1, Epoch: epoch, Tokens: tokens}}}
}

// call sends a call, by default POST /v1/completions.
func (ta *testAgent) call(c *wire.Call) *wire.Stream {
	ta.Helper()
	if c.Method == "" {
		c.Method = http.MethodPost
	}
	if c.Path == "" {
		c.Path = "/v1/completions"
	}
	return ta.openStream(&wire.Frame{Body: &wire.Frame_Call{Call: c}})
}

// callResult holds the frames that a gateway received for one call.
type callResult struct {
	head   *wire.Head
	parts  []*wire.Part
	done   *wire.Done
	refuse *wire.Refuse
}

// text returns the response body.
func (res *callResult) text() string {
	var b strings.Builder
	for _, p := range res.parts {
		b.Write(p.Data)
	}
	return b.String()
}

// readResponse reads the frames of a call up to Done or Refuse.
func readResponse(t *testing.T, st *wire.Stream) *callResult {
	t.Helper()
	res := &callResult{}
	for res.done == nil && res.refuse == nil {
		f, err := st.Recv()
		assert.NilError(t, err)
		switch b := f.Body.(type) {
		case *wire.Frame_Head:
			res.head = b.Head
		case *wire.Frame_Part:
			res.parts = append(res.parts, b.Part)
		case *wire.Frame_Done:
			res.done = b.Done
		case *wire.Frame_Refuse:
			res.refuse = b.Refuse
		}
	}
	return res
}

// writeTokens streams n events with one token each.
func writeTokens(w http.ResponseWriter, n int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range n {
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"text\":\"t%d \"}]}\n\n", i)
		_ = http.NewResponseController(w).Flush()
	}
}

// writeEnd ends a stream with its usage and [DONE].
func writeEnd(w io.Writer, totalTokens int) {
	_, _ = fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"total_tokens\":%d}}\n\ndata: [DONE]\n\n", totalTokens)
}
