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

// agents answers each query in the same way.
type agents struct {
	outcome once.Outcome
	answer  *once.Response
	asked   int
}

func (a *agents) Outcome(context.Context, once.Record) (once.Outcome, *once.Response) {
	a.asked++
	return a.outcome, a.answer
}

type rig struct {
	t      *testing.T
	store  *keyval.Server
	client *store.Client
	clock  *clock.Manual
	agents *agents
	keeper *once.Keeper
}

func newRig(t *testing.T) *rig {
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
	r := &rig{t: t, store: s, client: kv, clock: c, agents: &agents{}}
	r.keeper = r.open()
	return r
}

// open returns the Keeper of another gateway.
func (r *rig) open() *once.Keeper {
	return once.New(once.Options{Store: r.client, Agents: r.agents, Clock: r.clock})
}

func booking(a units.AttemptID) gate.OnceAttempt {
	return gate.OnceAttempt{Customer: "court", Key: "k", Attempt: a, Upstream: "u", Incarnation: 3, Fingerprint: 7}
}

// begin returns the answer to be repeated, or the code of the refusal.
func (r *rig) begin(k *once.Keeper, c gate.OnceAttempt) (*gate.StoredResponse, units.Code, bool) {
	r.t.Helper()
	s, err := k.Begin(context.Background(), c)
	var p *gate.Problem
	if errors.As(err, &p) {
		return nil, p.Code, p.MayHaveRun
	}
	assert.NilError(r.t, err)
	return s, "", false
}

var booked = &gate.StoredResponse{Status: 201, Body: []byte("booked")}

// Guards against records that are removed within the retention time or stay for ever,
// and against more calls to the store than one before and one after each call.
func TestRetention(t *testing.T) {
	r := newRig(t)
	s, code, _ := r.begin(r.keeper, booking("a1"))
	assert.Assert(t, s == nil && code == "")
	r.keeper.End(context.Background(), booking("a1"), booked, true)
	calls := r.store.Calls()
	assert.Equal(t, calls.Txn, int64(2))
	assert.Equal(t, calls.Total(), int64(3), "one lease for all records of an hour")

	r.clock.Advance(once.Retention)
	s, _, _ = r.begin(r.open(), booking("a2"))
	assert.DeepEqual(t, s, booked)
	assert.Equal(t, r.agents.asked, 0)
	r.clock.Advance(2 * clock.Hour)
	for {
		_, err := r.client.Get(context.Background(), once.Key("court", "k"))
		if errors.Is(err, store.ErrMissing) {
			return
		}
		assert.NilError(t, err)
	}
}

// Guards against a caller that has its answer and is told that the call is in progress
// when it repeats it before the answer is stored.
func TestRepeatedBeforeStored(t *testing.T) {
	r := newRig(t)
	_, code, _ := r.begin(r.keeper, booking("a1"))
	assert.Equal(t, code, units.Code(""))
	r.keeper.Answered(booking("a1"))
	r.agents.outcome, r.agents.answer = once.Ended, &once.Response{Status: booked.Status, Body: booked.Body}
	s, code, _ := r.begin(r.keeper, booking("a2"))
	assert.Equal(t, code, units.Code(""))
	assert.DeepEqual(t, s, booked)
	r.keeper.End(context.Background(), booking("a1"), booked, true)
	s, _, _ = r.begin(r.open(), booking("a3"))
	assert.DeepEqual(t, s, booked)
}

// Guards against outcomes of the agent that are taken for others, and against a
// record that is replaced while its attempt may run.
func TestOutcomes(t *testing.T) {
	r := newRig(t)
	_, code, _ := r.begin(r.keeper, booking("a1"))
	assert.Equal(t, code, units.Code(""))
	_, code, ran := r.begin(r.keeper, booking("a2"))
	assert.Equal(t, code, units.InProgress)
	assert.Assert(t, ran)
	assert.Equal(t, r.agents.asked, 0, "the attempt is in progress at the same gateway")
	for outcome, want := range map[once.Outcome]units.Code{once.Unknown: units.OutcomeUnknown, once.Running: units.InProgress} {
		r.agents.outcome = outcome
		_, code, ran = r.begin(r.open(), booking("a3"))
		assert.Equal(t, code, want)
		assert.Assert(t, ran)
	}
	other := booking("a4")
	other.Fingerprint = 8
	_, code, ran = r.begin(r.open(), other)
	assert.Equal(t, code, units.InvalidRequest)
	assert.Assert(t, !ran)

	r.agents.outcome = once.NotRun
	second := r.open()
	_, code, _ = r.begin(second, booking("a5"))
	assert.Equal(t, code, units.Code(""))
	// The first attempt did not run; its end must not remove the record of the second.
	r.keeper.End(context.Background(), booking("a1"), nil, false)
	r.agents.outcome, r.agents.answer = once.Ended, &once.Response{Status: 201, Body: []byte("booked")}
	s, _, _ := r.begin(r.keeper, booking("a6"))
	assert.DeepEqual(t, s, booked)
	asked := r.agents.asked
	s, _, _ = r.begin(r.open(), booking("a7"))
	assert.DeepEqual(t, s, booked)
	assert.Equal(t, r.agents.asked, asked, "the answer of the agent is stored")
}

// Guards against a record that a lost answer of the store leaves behind and that
// blocks the call, and against a call that is sent without a record.
func TestLostAnswers(t *testing.T) {
	r := newRig(t)
	r.store.LoseAnswers(1)
	_, code, _ := r.begin(r.keeper, booking("a1"))
	assert.Equal(t, code, units.Code(""), "the client finds its own write")
	r.keeper.End(context.Background(), booking("a1"), nil, false)
	_, err := r.client.Get(context.Background(), once.Key("court", "k"))
	assert.ErrorIs(t, err, store.ErrMissing)

	r.store.LoseAnswers(3) // all that the client sends for one write
	_, code, ran := r.begin(r.keeper, booking("a2"))
	assert.Equal(t, code, units.StoreUnavailable)
	assert.Assert(t, !ran)
	r.agents.outcome = once.NotRun
	_, code, _ = r.begin(r.keeper, booking("a3"))
	assert.Equal(t, code, units.Code(""))
	assert.Equal(t, r.agents.asked, 1)
}

// Guards against an answer that is lost because the store was out when the call ended:
// the agent forgets it after some minutes.
func TestAnswerStoredAfterOutage(t *testing.T) {
	r := newRig(t)
	_, code, _ := r.begin(r.keeper, booking("a1"))
	assert.Equal(t, code, units.Code(""))
	ctx, cancel := context.WithCancel(context.Background())
	end := make(chan error, 1)
	go func() { end <- r.keeper.Run(ctx) }()
	r.store.SetOutage(true)
	r.keeper.End(context.Background(), booking("a1"), booked, true)
	r.store.SetOutage(false)
	cancel()
	assert.NilError(t, <-end)
	s, _, _ := r.begin(r.open(), booking("a2"))
	assert.DeepEqual(t, s, booked)
	assert.Equal(t, r.agents.asked, 0)
}
