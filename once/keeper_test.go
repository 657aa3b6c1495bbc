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
	r := &harness{t: t, store: s, client: kv, clock: c, agents: &fakeAgents{}}
	r.keeper = r.newKeeper()
	return r
}

// newKeeper returns a Keeper without attempts in progress, as another gateway has.
func (r *harness) newKeeper() *once.Keeper {
	return once.New(once.Options{Store: r.client, Agents: r.agents, Clock: r.clock})
}

// bookingAttempt returns the attempt with the ID; all attempts have the same Idempotency-Key.
func bookingAttempt(id units.AttemptID) gate.OnceAttempt {
	return gate.OnceAttempt{Customer: "court", Key: "k", Attempt: id, Upstream: "u", Incarnation: 3, Fingerprint: 7}
}

// begin calls Begin and returns the stored response, or the code of the refusal and whether
// the call may have run. All three are zero when the attempt may run.
func (r *harness) begin(k *once.Keeper, c gate.OnceAttempt) (*gate.StoredResponse, units.Code, bool) {
	r.t.Helper()
	s, err := k.Begin(context.Background(), c)
	var p *gate.Problem
	if errors.As(err, &p) {
		return nil, p.Code, p.MayHaveRun
	}
	assert.NilError(r.t, err)
	return s, "", false
}

var bookedResponse = &gate.StoredResponse{Status: 201, Body: []byte("booked")}

// Guards against records that are removed within the retention time or never, and against
// more than two store writes per call, one before and one after it.
func TestRetention(t *testing.T) {
	r := newHarness(t)
	s, code, _ := r.begin(r.keeper, bookingAttempt("a1"))
	assert.Assert(t, s == nil && code == "")
	r.keeper.End(context.Background(), bookingAttempt("a1"), bookedResponse, true)
	calls := r.store.Calls()
	assert.Equal(t, calls.Txn, int64(2))
	assert.Equal(t, calls.Total(), int64(3), "one lease for all records of an hour")

	r.clock.Advance(once.Retention)
	s, _, _ = r.begin(r.newKeeper(), bookingAttempt("a2"))
	assert.DeepEqual(t, s, bookedResponse)
	assert.Equal(t, r.agents.queries, 0)
	r.clock.Advance(2 * clock.Hour)
	for {
		_, err := r.client.Get(context.Background(), once.Key("court", "k"))
		if errors.Is(err, store.ErrMissing) {
			return
		}
		assert.NilError(t, err)
	}
}

// Guards against refusing a call as in progress when its caller, which has received the
// response, repeats it before the response is stored.
func TestRetryBeforeResponseIsStored(t *testing.T) {
	r := newHarness(t)
	_, code, _ := r.begin(r.keeper, bookingAttempt("a1"))
	assert.Equal(t, code, units.Code(""))
	r.keeper.Answered(bookingAttempt("a1"))
	r.agents.outcome, r.agents.response = once.Ended, &once.Response{Status: bookedResponse.Status, Body: bookedResponse.Body}
	s, code, _ := r.begin(r.keeper, bookingAttempt("a2"))
	assert.Equal(t, code, units.Code(""))
	assert.DeepEqual(t, s, bookedResponse)
	r.keeper.End(context.Background(), bookingAttempt("a1"), bookedResponse, true)
	s, _, _ = r.begin(r.newKeeper(), bookingAttempt("a3"))
	assert.DeepEqual(t, s, bookedResponse)
}

// Guards against handling one outcome as another, and against replacing a record while its
// attempt may still run.
func TestAgentOutcomes(t *testing.T) {
	r := newHarness(t)
	_, code, _ := r.begin(r.keeper, bookingAttempt("a1"))
	assert.Equal(t, code, units.Code(""))
	_, code, ran := r.begin(r.keeper, bookingAttempt("a2"))
	assert.Equal(t, code, units.InProgress)
	assert.Assert(t, ran)
	assert.Equal(t, r.agents.queries, 0, "the attempt is in progress at the same gateway")
	for outcome, want := range map[once.Outcome]units.Code{once.Unknown: units.OutcomeUnknown, once.Running: units.InProgress} {
		r.agents.outcome = outcome
		_, code, ran = r.begin(r.newKeeper(), bookingAttempt("a3"))
		assert.Equal(t, code, want)
		assert.Assert(t, ran)
	}
	other := bookingAttempt("a4")
	other.Fingerprint = 8
	_, code, ran = r.begin(r.newKeeper(), other)
	assert.Equal(t, code, units.InvalidRequest)
	assert.Assert(t, !ran)

	r.agents.outcome = once.NotRun
	secondKeeper := r.newKeeper()
	_, code, _ = r.begin(secondKeeper, bookingAttempt("a5"))
	assert.Equal(t, code, units.Code(""))
	// The end of the first attempt, which did not run, must not remove the record of the
	// second.
	r.keeper.End(context.Background(), bookingAttempt("a1"), nil, false)
	r.agents.outcome, r.agents.response = once.Ended, &once.Response{Status: 201, Body: []byte("booked")}
	s, _, _ := r.begin(r.keeper, bookingAttempt("a6"))
	assert.DeepEqual(t, s, bookedResponse)
	queries := r.agents.queries
	s, _, _ = r.begin(r.newKeeper(), bookingAttempt("a7"))
	assert.DeepEqual(t, s, bookedResponse)
	assert.Equal(t, r.agents.queries, queries, "the response of the agent is stored")
}

// Guards against a record that blocks the call after the store's response to its write was
// lost, and against sending a call without a record.
func TestLostStoreResponses(t *testing.T) {
	r := newHarness(t)
	r.store.LoseAnswers(1)
	_, code, _ := r.begin(r.keeper, bookingAttempt("a1"))
	assert.Equal(t, code, units.Code(""), "the client finds its own write")
	r.keeper.End(context.Background(), bookingAttempt("a1"), nil, false)
	_, err := r.client.Get(context.Background(), once.Key("court", "k"))
	assert.ErrorIs(t, err, store.ErrMissing)

	r.store.LoseAnswers(3) // the client makes three attempts at a write
	_, code, ran := r.begin(r.keeper, bookingAttempt("a2"))
	assert.Equal(t, code, units.StoreUnavailable)
	assert.Assert(t, !ran)
	r.agents.outcome = once.NotRun
	_, code, _ = r.begin(r.keeper, bookingAttempt("a3"))
	assert.Equal(t, code, units.Code(""))
	assert.Equal(t, r.agents.queries, 1)
}

// Guards against losing a response because the store was unavailable when the call ended:
// the agent drops it after ten minutes.
func TestResponseStoredAfterOutage(t *testing.T) {
	r := newHarness(t)
	_, code, _ := r.begin(r.keeper, bookingAttempt("a1"))
	assert.Equal(t, code, units.Code(""))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.keeper.Run(ctx) }()
	r.store.SetOutage(true)
	r.keeper.End(context.Background(), bookingAttempt("a1"), bookedResponse, true)
	r.store.SetOutage(false)
	cancel()
	assert.NilError(t, <-done)
	s, _, _ := r.begin(r.newKeeper(), bookingAttempt("a2"))
	assert.DeepEqual(t, s, bookedResponse)
	assert.Equal(t, r.agents.queries, 0)
}
