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

// Guards against starting a call whose permit has expired, comes from a former owner or does
// not cover the cost, and against starting calls before a new agent has a slot table.
func TestPermits(t *testing.T) {
	ran := atomic.Int32{}
	ta := startAgent(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1) }), nil)
	attempts := 0
	call := func(p *wire.Permit) *callResult {
		attempts++
		return readResponse(t, ta.call(&wire.Call{Attempt: fmt.Sprint(attempts), Kind: "service", Cost: 10, Permit: p, Idempotent: true}))
	}
	requireRefused := func(p *wire.Permit, code string) {
		t.Helper()
		res := call(p)
		assert.Equal(t, res.refuse.GetCode(), code)
		assert.Assert(t, !res.refuse.Ran)
	}
	_ = ta.openControl()
	requireRefused(ta.permit(10, 2), "permit_stale")
	ta.setSlotOwner(2)
	requireRefused(ta.permit(10, 1), "permit_stale")
	requireRefused(ta.permit(9, 2), "permit_stale")
	requireRefused(nil, "permit_expired")
	expired := ta.permit(10, 2)
	expired.Expires = ta.agentNow - 1
	requireRefused(expired, "permit_expired")
	assert.Equal(t, ran.Load(), int32(0))
	assert.Assert(t, call(ta.permit(10, 2)).done != nil)
	assert.Assert(t, call(ta.permit(10, 3)).done != nil, "a permit of a newer owner may arrive before its slot table")
}

// Guards against slot tables and configurations that are replaced by older versions, and
// against gateways that never receive the newer ones.
func TestRelayState(t *testing.T) {
	ta := startAgent(t, http.NotFoundHandler(), nil)
	ta.setSlotOwner(2)
	st := ta.openControl()
	value, err := tree.Encode(&tree.Team{Models: []tree.Model{{ID: "m", Bytes: 1}}})
	assert.NilError(t, err)
	for _, revision := range []int64{7, 6} {
		config := &wire.Config{Team: "t", Revision: revision, Value: value}
		assert.NilError(t, st.Send(&wire.Frame{Body: &wire.Frame_Config{Config: config}}))
	}
	oldOwners := &wire.Owners{Version: 1, Slot: []*wire.Slot{{Slot: 1, Epoch: 1}}}
	assert.NilError(t, st.Send(&wire.Frame{Body: &wire.Frame_Owners{Owners: oldOwners}}))
	// Frames of one stream are handled in order, those of two streams are not: the second one is
	// opened after the Pong, when the frames above have been handled. The versions before it are
	// those of a new stream and the acknowledgement of oldOwners.
	assert.NilError(t, st.Send(&wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{Id: 2}}}))
	var acked []int64
	receiveUntil(t, st, func(f *wire.Frame) *wire.Pong {
		if v := f.GetVersions().GetOwners(); v != 0 {
			acked = append(acked, v)
		}
		return f.GetPong()
	})
	assert.DeepEqual(t, acked, []int64{2, 2})
	secondStream := ta.openControl()
	assert.Equal(t, receiveUntil(t, secondStream, func(f *wire.Frame) *wire.Owners { return f.GetOwners() }).Version, int64(2))
	versions := &wire.Versions{Version: []*wire.Version{{Team: "t", Revision: 5}}, Request: true, Whole: true}
	assert.NilError(t, secondStream.Send(&wire.Frame{Body: &wire.Frame_Versions{Versions: versions}}))
	config := receiveUntil(t, secondStream, func(f *wire.Frame) *wire.Config { return f.GetConfig() })
	assert.Equal(t, config.Revision, int64(7))
	assert.DeepEqual(t, config.Value, value)
	versions = &wire.Versions{Version: []*wire.Version{{Team: "u", Revision: 1}}}
	assert.NilError(t, secondStream.Send(&wire.Frame{Body: &wire.Frame_Versions{Versions: versions}}))
	request := receiveUntil(t, secondStream, func(f *wire.Frame) *wire.Versions {
		if !f.GetVersions().GetRequest() {
			return nil
		}
		return f.GetVersions()
	})
	assert.Equal(t, request.Version[0].Team, "u")
}

// Guards against a request that crashes one upstream after another: the agent reports crash
// suspects to the gateways, and refuses a request that has crashed two upstreams.
func TestSuspects(t *testing.T) {
	ta := startAgent(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, _ := http.NewResponseController(w).Hijack()
		_ = c.Close()
	}), nil)
	st := ta.openControl()
	call := func(id string) *callResult {
		return readResponse(t, ta.call(&wire.Call{Attempt: id, Kind: "model", Fingerprint: 9, Idempotent: true}))
	}
	assert.Assert(t, call("a1").refuse.Crashed)
	suspect := receiveUntil(t, st, func(f *wire.Frame) *wire.Suspects { return f.GetSuspects() }).Suspect[0]
	assert.Equal(t, suspect.Fingerprint, uint64(9))
	suspect.Crash = append(suspect.Crash, 1)
	assert.NilError(t, st.Send(&wire.Frame{Body: &wire.Frame_Suspects{Suspects: &wire.Suspects{Suspect: []*wire.Suspect{suspect}}}}))
	// Frames of one stream are handled in order.
	assert.NilError(t, st.Send(&wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{Id: 2}}}))
	receiveUntil(t, st, func(f *wire.Frame) *wire.Pong { return f.GetPong() })
	res := call("a2")
	assert.Equal(t, res.refuse.GetCode(), "crash_suspect")
	assert.Assert(t, !res.refuse.Ran)
}

// queryOutcome asks the agent for the outcome of an attempt.
func queryOutcome(t *testing.T, st *wire.Stream, id string, incarnation uint64) *wire.Outcome {
	t.Helper()
	q := &wire.Query{Attempt: id, Incarnation: incarnation}
	assert.NilError(t, st.Send(&wire.Frame{Body: &wire.Frame_Query{Query: q}}))
	return receiveUntil(t, st, func(f *wire.Frame) *wire.Outcome { return f.GetOutcome() })
}

// Guards against at-most-once calls that run twice, or whose result is lost when their
// gateway disconnects.
func TestAtMostOnce(t *testing.T) {
	ran := atomic.Int32{}
	received, proceed := make(chan struct{}), make(chan struct{})
	ta := startAgent(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		ran.Add(1)
		_, _ = io.Copy(io.Discard, req.Body)
		close(received)
		<-proceed
		w.Header().Set("X-Booking", "17")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "booked")
	}), nil)
	control := ta.openStream(&wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{Id: 1}}})
	incarnation := receiveLoadUntil(t, control, func(*wire.Load) bool { return true }).Incarnation
	callOnce := func(id string, incarnation uint64) *wire.Stream {
		return ta.call(&wire.Call{Attempt: id, Kind: "service", Body: []byte("x"), Incarnation: incarnation})
	}
	st := callOnce("a1", incarnation)
	<-received
	assert.Equal(t, queryOutcome(t, control, "a1", incarnation).State, "running")
	assert.Equal(t, readResponse(t, callOnce("a1", incarnation)).refuse.GetCode(), "invalid_request")
	assert.NilError(t, st.Close())
	close(proceed)
	var outcome *wire.Outcome
	for outcome = queryOutcome(t, control, "a1", incarnation); outcome.State == "running"; outcome = queryOutcome(t, control, "a1", incarnation) {
	}
	assert.Equal(t, outcome.State, "done")
	assert.Equal(t, outcome.Status, uint32(http.StatusCreated))
	assert.Equal(t, string(outcome.Body), "booked")
	again := readResponse(t, callOnce("a1", incarnation)).refuse
	assert.Assert(t, again.Ran)
	assert.Equal(t, again.Code, "in_progress")

	assert.Equal(t, queryOutcome(t, control, "a2", incarnation).State, "never")
	assert.Equal(t, queryOutcome(t, control, "a3", incarnation+2).State, "unknown")
	for _, id := range []string{"a2", "a3"} {
		blocked := readResponse(t, callOnce(id, incarnation)).refuse
		assert.Equal(t, blocked.GetCode(), "no_upstream")
		assert.Assert(t, !blocked.Ran)
	}
	assert.Assert(t, !readResponse(t, callOnce("a4", incarnation+2)).refuse.Ran, "the call names another incarnation")
	assert.Equal(t, ran.Load(), int32(1))
}
