package once_test

import (
	"context"
	"errors"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/keyval"
	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/once"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/units"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeAgents returns the same outcome and response for each query, and counts the queries.
type fakeAgents struct {
	outcome  once.Outcome
	response *once.Response
	queries  int
}

func (a *fakeAgents) Outcome(context.Context, once.Record) (once.Outcome, *once.Response) {
	a.queries++
	return a.outcome, a.response
}

// harness runs a Keeper against a fake key-value service.
type harness struct {
	t      *testing.T
	store  *keyval.Server
	client *store.Client
	clock  *clock.Manual
	agents *fakeAgents
	keeper *once.Keeper
}

// newHarness starts the fake service, which stops when the test ends.
func newHarness(t *testing.T) *harness {
	t.Helper()
	c := clock.NewManual(1)
	s, err := keyval.New(keyval.Options{Clock: c})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	kv := store.New(store.Options{Address: s.Addr()})
	t.Cleanup(func() {
		kv.Close()
		cancel()
		assert.NilError(t, <-done)
	})
	h := &harness{t: t, store: s, client: kv, clock: c, agents: &fakeAgents{}}
	h.keeper = h.newKeeper()
	return h
}

// newKeeper returns a Keeper without attempts in progress, as another gateway has.
func (h *harness) newKeeper() *once.Keeper {
	return once.New(once.Options{Store: h.client, Agents: h.agents, Clock: h.clock})
}

// bookingAttempt returns the attempt with the ID; all attempts have the same Idempotency-Key.
func bookingAttempt(id units.AttemptID) gate.OnceAttempt {
	return gate.OnceAttempt{Customer: "court", Key: "k", Attempt: id, Upstream: "u", Incarnation: 3, Fingerprint: 7}
}

// begin calls Begin and returns the stored response, or the code of the refusal and whether
// the call may have run. All three are zero when the attempt may run.
func (h *harness) begin(k *once.Keeper, c gate.OnceAttempt) (*gate.StoredResponse, units.Code, bool) {
	h.t.Helper()
	s, err := k.Begin(context.Background(), c)
	var p *gate.Problem
	if errors.As(err, &p) {
		return nil, p.Code, p.MayHaveRun
	}
	assert.NilError(h.t, err)
	return s, "", false
}

var bookedResponse = &gate.StoredResponse{Status: 201, Body: []byte("booked")}

// Guards against records that are removed within the retention time or never, and against
// more than two store writes per call, one before and one after it.
func TestRetention(t *testing.T) {
	h := newHarness(t)
	s, code, _ := h.begin(h.keeper, bookingAttempt("a1"))
	assert.Assert(t, s == nil && code == "")
	h.keeper.End(context.Background(), bookingAttempt("a1"), bookedResponse, true)
	calls := h.store.Calls()
	assert.Equal(t, calls.Txn, int64(2))
	assert.Equal(t, calls.Total(), int64(3), "one lease for all records of an hour")

	h.clock.Advance(once.Retention)
	s, _, _ = h.begin(h.newKeeper(), bookingAttempt("a2"))
	assert.DeepEqual(t, s, bookedResponse)
	assert.Equal(t, h.agents.queries, 0)
	h.clock.Advance(2 * clock.Hour)
	for {
		_, err := h.client.Get(context.Background(), once.Key("court", "k"))
		if errors.Is(err, store.ErrNotFound) {
			return
		}
		assert.NilError(t, err)
	}
}

// Guards against refusing a call as in progress when its caller, which has received the
// response, repeats it before the response is stored.
func TestRetryBeforeResponseIsStored(t *testing.T) {
	h := newHarness(t)
	_, code, _ := h.begin(h.keeper, bookingAttempt("a1"))
	assert.Equal(t, code, units.Code(""))
	h.keeper.Answered(bookingAttempt("a1"))
	h.agents.outcome, h.agents.response = once.Ended, &once.Response{Status: bookedResponse.Status, Body: bookedResponse.Body}
	s, code, _ := h.begin(h.keeper, bookingAttempt("a2"))
	assert.Equal(t, code, units.Code(""))
	assert.DeepEqual(t, s, bookedResponse)
	h.keeper.End(context.Background(), bookingAttempt("a1"), bookedResponse, true)
	s, _, _ = h.begin(h.newKeeper(), bookingAttempt("a3"))
	assert.DeepEqual(t, s, bookedResponse)
}

// Guards against handling one outcome as another, and against replacing a record while its
// attempt may still run.
func TestAgentOutcomes(t *testing.T) {
	h := newHarness(t)
	_, code, _ := h.begin(h.keeper, bookingAttempt("a1"))
	assert.Equal(t, code, units.Code(""))
	_, code, ran := h.begin(h.keeper, bookingAttempt("a2"))
	assert.Equal(t, code, units.InProgress)
	assert.Assert(t, ran)
	assert.Equal(t, h.agents.queries, 0, "the attempt is in progress at the same gateway")
	for outcome, want := range map[once.Outcome]units.Code{once.Unknown: units.OutcomeUnknown, once.Running: units.InProgress} {
		h.agents.outcome = outcome
		_, code, ran = h.begin(h.newKeeper(), bookingAttempt("a3"))
		assert.Equal(t, code, want)
		assert.Assert(t, ran)
	}
	other := bookingAttempt("a4")
	other.Fingerprint = 8
	_, code, ran = h.begin(h.newKeeper(), other)
	assert.Equal(t, code, units.InvalidRequest)
	assert.Assert(t, !ran)

	h.agents.outcome = once.NotRun
	secondKeeper := h.newKeeper()
	_, code, _ = h.begin(secondKeeper, bookingAttempt("a5"))
	assert.Equal(t, code, units.Code(""))
	// The end of the first attempt, which did not run, must not remove the record of the
	// second.
	h.keeper.End(context.Background(), bookingAttempt("a1"), nil, false)
	h.agents.outcome, h.agents.response = once.Ended, &once.Response{Status: 201, Body: []byte("booked")}
	s, _, _ := h.begin(h.keeper, bookingAttempt("a6"))
	assert.DeepEqual(t, s, bookedResponse)
	queries := h.agents.queries
	s, _, _ = h.begin(h.newKeeper(), bookingAttempt("a7"))
	assert.DeepEqual(t, s, bookedResponse)
	assert.Equal(t, h.agents.queries, queries, "the response of the agent is stored")
}

// Guards against a record that blocks the call after the store's response to its write was
// lost, and against sending a call without a record.
func TestLostStoreResponses(t *testing.T) {
	h := newHarness(t)
	h.store.LoseResponses(1)
	_, code, _ := h.begin(h.keeper, bookingAttempt("a1"))
	assert.Equal(t, code, units.Code(""), "the client finds its own write")
	h.keeper.End(context.Background(), bookingAttempt("a1"), nil, false)
	_, err := h.client.Get(context.Background(), once.Key("court", "k"))
	assert.ErrorIs(t, err, store.ErrNotFound)

	h.store.LoseResponses(3) // the client makes three attempts at a write
	_, code, ran := h.begin(h.keeper, bookingAttempt("a2"))
	assert.Equal(t, code, units.StoreUnavailable)
	assert.Assert(t, !ran)
	h.agents.outcome = once.NotRun
	_, code, _ = h.begin(h.keeper, bookingAttempt("a3"))
	assert.Equal(t, code, units.Code(""))
	assert.Equal(t, h.agents.queries, 1)
}

// Guards against losing a response because the store was unavailable when the call ended:
// the agent drops it after ten minutes.
func TestResponseStoredAfterOutage(t *testing.T) {
	h := newHarness(t)
	_, code, _ := h.begin(h.keeper, bookingAttempt("a1"))
	assert.Equal(t, code, units.Code(""))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.keeper.Run(ctx) }()
	h.store.SetOutage(true)
	h.keeper.End(context.Background(), bookingAttempt("a1"), bookedResponse, true)
	h.store.SetOutage(false)
	cancel()
	assert.NilError(t, <-done)
	s, _, _ := h.begin(h.newKeeper(), bookingAttempt("a2"))
	assert.DeepEqual(t, s, bookedResponse)
	assert.Equal(t, h.agents.queries, 0)
}
