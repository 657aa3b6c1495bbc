package agent_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/wire"
)

// Guards against starts with a permit that has expired, that comes from a former
// owner or that does not cover the cost, and against starts before a new agent
// knows the owners.
func TestPermits(t *testing.T) {
	ran := atomic.Int32{}
	r := startAgent(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1) }), nil)
	n := 0
	call := func(p *wire.Permit) *responseWriter {
		n++
		return readResponse(t, r.call(&wire.Call{Attempt: fmt.Sprint(n), Kind: "service", Cost: 10, Permit: p, Idempotent: true}))
	}
	refused := func(p *wire.Permit, code string) {
		t.Helper()
		a := call(p)
		assert.Equal(t, a.refuse.GetCode(), code)
		assert.Assert(t, !a.refuse.Ran)
	}
	_ = r.openControl()
	refused(r.permit(10, 2), "permit_stale")
	r.setSlotOwner(2)
	refused(r.permit(10, 1), "permit_stale")
	refused(r.permit(9, 2), "permit_stale")
	refused(nil, "permit_expired")
	late := r.permit(10, 2)
	late.Expires = r.agentTime - 1
	refused(late, "permit_expired")
	assert.Equal(t, ran.Load(), int32(0))
	assert.Assert(t, call(r.permit(10, 2)).done != nil)
	assert.Assert(t, call(r.permit(10, 3)).done != nil, "the agent may not know the newest owner yet")
}

// Guards against owners and configuration that go back to an older version, and
// against gateways that never get the newer one.
func TestRelayState(t *testing.T) {
	r := startAgent(t, http.NotFoundHandler(), nil)
	r.setSlotOwner(2)
	st := r.openControl()
	value, err := tree.Encode(&tree.Team{Models: []tree.Model{{ID: "m", Bytes: 1}}})
	assert.NilError(t, err)
	for _, revision := range []int64{7, 6} {
		c := &wire.Config{Team: "t", Revision: revision, Value: value}
		assert.NilError(t, st.Send(&wire.Frame{Body: &wire.Frame_Config{Config: c}}))
	}
	old := &wire.Owners{Version: 1, Slot: []*wire.Slot{{Slot: 1, Epoch: 1}}}
	assert.NilError(t, st.Send(&wire.Frame{Body: &wire.Frame_Owners{Owners: old}}))
	acked := receiveUntil(t, st, func(f *wire.Frame) *wire.Versions {
		if f.GetVersions().GetOwners() == 0 {
			return nil
		}
		return f.GetVersions()
	})
	assert.Equal(t, acked.Owners, int64(2))
	next := r.openControl()
	assert.Equal(t, receiveUntil(t, next, func(f *wire.Frame) *wire.Owners { return f.GetOwners() }).Version, int64(2))
	v := &wire.Versions{Version: []*wire.Version{{Team: "t", Revision: 5}}, Request: true, Whole: true}
	assert.NilError(t, next.Send(&wire.Frame{Body: &wire.Frame_Versions{Versions: v}}))
	c := receiveUntil(t, next, func(f *wire.Frame) *wire.Config { return f.GetConfig() })
	assert.Equal(t, c.Revision, int64(7))
	assert.DeepEqual(t, c.Value, value)
	v = &wire.Versions{Version: []*wire.Version{{Team: "u", Revision: 1}}}
	assert.NilError(t, next.Send(&wire.Frame{Body: &wire.Frame_Versions{Versions: v}}))
	asked := receiveUntil(t, next, func(f *wire.Frame) *wire.Versions {
		if !f.GetVersions().GetRequest() {
			return nil
		}
		return f.GetVersions()
	})
	assert.Equal(t, asked.Version[0].Team, "u")
}

// Guards against a request that crashes one upstream after another: the agent
// tells the gateways, and refuses it when two upstreams have crashed.
func TestSuspects(t *testing.T) {
	r := startAgent(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, _ := http.NewResponseController(w).Hijack()
		_ = c.Close()
	}), nil)
	st := r.openControl()
	call := func(id string) *responseWriter {
		return readResponse(t, r.call(&wire.Call{Attempt: id, Kind: "model", Fingerprint: 9, Idempotent: true}))
	}
	assert.Assert(t, call("a1").refuse.Crashed)
	s := receiveUntil(t, st, func(f *wire.Frame) *wire.Suspects { return f.GetSuspects() }).Suspect[0]
	assert.Equal(t, s.Fingerprint, uint64(9))
	s.Crash = append(s.Crash, 1)
	assert.NilError(t, st.Send(&wire.Frame{Body: &wire.Frame_Suspects{Suspects: &wire.Suspects{Suspect: []*wire.Suspect{s}}}}))
	_ = r.openControl()
	a := call("a2")
	assert.Equal(t, a.refuse.GetCode(), "crash_suspect")
	assert.Assert(t, !a.refuse.Ran)
}

func queryOutcome(t *testing.T, st *wire.Stream, id string, incarnation uint64) *wire.Outcome {
	t.Helper()
	q := &wire.Query{Attempt: id, Incarnation: incarnation}
	assert.NilError(t, st.Send(&wire.Frame{Body: &wire.Frame_Query{Query: q}}))
	return receiveUntil(t, st, func(f *wire.Frame) *wire.Outcome { return f.GetOutcome() })
}

// Guards against a call that must not be repeated and runs twice, or whose result
// is lost with the gateway that sent it.
func TestAtMostOnce(t *testing.T) {
	ran := atomic.Int32{}
	received, proceed := make(chan struct{}), make(chan struct{})
	r := startAgent(t, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		ran.Add(1)
		_, _ = io.Copy(io.Discard, q.Body)
		close(received)
		<-proceed
		w.Header().Set("X-Booking", "17")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "booked")
	}), nil)
	control := r.openStream(&wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{Id: 1}}})
	me := receiveLoadUntil(t, control, func(*wire.Load) bool { return true }).Incarnation
	booking := func(id string, incarnation uint64) *wire.Stream {
		return r.call(&wire.Call{Attempt: id, Kind: "service", Body: []byte("x"), Incarnation: incarnation})
	}
	st := booking("a1", me)
	<-received
	assert.Equal(t, queryOutcome(t, control, "a1", me).State, "running")
	assert.Equal(t, readResponse(t, booking("a1", me)).refuse.GetCode(), "invalid_request")
	assert.NilError(t, st.Close())
	close(proceed)
	var o *wire.Outcome
	for o = queryOutcome(t, control, "a1", me); o.State == "running"; o = queryOutcome(t, control, "a1", me) {
	}
	assert.Equal(t, o.State, "done")
	assert.Equal(t, o.Status, uint32(http.StatusCreated))
	assert.Equal(t, string(o.Body), "booked")
	again := readResponse(t, booking("a1", me)).refuse
	assert.Assert(t, again.Ran)
	assert.Equal(t, again.Code, "in_progress")

	assert.Equal(t, queryOutcome(t, control, "a2", me).State, "never")
	assert.Equal(t, queryOutcome(t, control, "a3", me+2).State, "unknown")
	for _, id := range []string{"a2", "a3"} {
		blocked := readResponse(t, booking(id, me)).refuse
		assert.Equal(t, blocked.GetCode(), "no_upstream")
		assert.Assert(t, !blocked.Ran)
	}
	assert.Assert(t, !readResponse(t, booking("a4", me+2)).refuse.Ran, "recorded for another incarnation")
	assert.Equal(t, ran.Load(), int32(1))
}
