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

// rig is an agent with a session of one gateway.
type rig struct {
	*testing.T
	server  *agent.Server
	session *wire.Session
	stop    context.CancelFunc
	ended   chan error
	// now is the agent's clock.
	now int64
}

func newRig(t *testing.T, upstream http.Handler, change func(*agent.Options)) *rig {
	t.Helper()
	up := httptest.NewServer(upstream)
	o := agent.Options{
		Node:      config.Node{ID: "u1", Zone: "a", PeerAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0"},
		Secret:    []byte(secret),
		Upstream:  agent.Upstream{Kind: agent.Service, Address: strings.TrimPrefix(up.URL, "http://"), Services: []units.ServiceID{"svc"}},
		AllowFree: true,
	}
	if change != nil {
		change(&o)
	}
	s, err := agent.New(o)
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	r := &rig{T: t, server: s, stop: stop, ended: make(chan error, 1)}
	go func() { r.ended <- s.Run(ctx) }()
	r.session, err = wire.Dial(ctx, s.Addr().String(), wire.Options{
		Self: wire.Identity{ID: "g1", Role: wire.Gateway, Zone: "a"}, Secret: []byte(secret),
	})
	assert.NilError(t, err)
	t.Cleanup(func() {
		stop()
		_ = r.session.Close()
		assert.NilError(t, <-r.ended)
		up.Close()
	})
	return r
}

func (r *rig) open(f *wire.Frame) *wire.Stream {
	r.Helper()
	st, err := r.session.Open()
	assert.NilError(r, err)
	assert.NilError(r, st.SetDeadline(time.Now().Add(10*time.Second)))
	assert.NilError(r, st.Send(f))
	r.Cleanup(func() { _ = st.Close() })
	return st
}

// control opens a control stream and reads until the agent's clock is known.
func (r *rig) control() *wire.Stream {
	st := r.open(&wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{Id: 1}}})
	r.now = until(r.T, st, func(f *wire.Frame) *wire.Pong { return f.GetPong() }).Now
	return st
}

// until reads frames until get returns one.
func until[M any](t *testing.T, st *wire.Stream, get func(*wire.Frame) *M) *M {
	t.Helper()
	for {
		f, err := st.Recv()
		assert.NilError(t, err)
		if m := get(f); m != nil {
			return m
		}
	}
}

// own gives slot 1 to an owner with the epoch and waits for the acknowledgement.
func (r *rig) own(epoch int64) {
	r.Helper()
	st := r.control()
	o := &wire.Owners{Version: epoch, Slot: []*wire.Slot{{Slot: 1, Owner: "g1", Epoch: epoch}}}
	assert.NilError(r, st.Send(&wire.Frame{Body: &wire.Frame_Owners{Owners: o}}))
	until(r.T, st, func(f *wire.Frame) *wire.Versions {
		if f.GetVersions().GetOwners() != epoch {
			return nil
		}
		return f.GetVersions()
	})
}

// permit returns a permit that is valid for a minute.
func (r *rig) permit(tokens, epoch int64) *wire.Permit {
	return &wire.Permit{Expires: r.now + 60_000, Paid: []*wire.Paid{{Slot: 1, Epoch: epoch, Tokens: tokens}}}
}

func (r *rig) call(c *wire.Call) *wire.Stream {
	r.Helper()
	if c.Method == "" {
		c.Method = http.MethodPost
	}
	if c.Path == "" {
		c.Path = "/v1/completions"
	}
	return r.open(&wire.Frame{Body: &wire.Frame_Call{Call: c}})
}

// answer is what a gateway received for one call.
type answer struct {
	head   *wire.Head
	parts  []*wire.Part
	done   *wire.Done
	refuse *wire.Refuse
}

func (a *answer) text() string {
	var b strings.Builder
	for _, p := range a.parts {
		b.Write(p.Data)
	}
	return b.String()
}

func read(t *testing.T, st *wire.Stream) *answer {
	t.Helper()
	a := &answer{}
	for a.done == nil && a.refuse == nil {
		f, err := st.Recv()
		assert.NilError(t, err)
		switch b := f.Body.(type) {
		case *wire.Frame_Head:
			a.head = b.Head
		case *wire.Frame_Part:
			a.parts = append(a.parts, b.Part)
		case *wire.Frame_Done:
			a.done = b.Done
		case *wire.Frame_Refuse:
			a.refuse = b.Refuse
		}
	}
	return a
}

// tokens streams n chunks with one token each.
func tokens(w http.ResponseWriter, n int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range n {
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"text\":\"t%d \"}]}\n\n", i)
		_ = http.NewResponseController(w).Flush()
	}
}

func finish(w io.Writer, total int) {
	_, _ = fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"total_tokens\":%d}}\n\ndata: [DONE]\n\n", total)
}
