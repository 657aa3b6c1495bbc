package once

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// Retention is the minimum time for which a record is kept. A call that is repeated
	// later may run again.
	Retention = 24 * clock.Hour
	// defaultTimeout limits the wait for an agent. Agents answer queries at once.
	defaultTimeout = 2 * clock.Second
)

// Agents queries agents for the outcomes of attempts.
type Agents interface {
	// Outcome queries the agent named in the record for the outcome of its attempt, and
	// returns the response if the outcome is Ended. It returns Unknown when the agent does
	// not respond before the context ends.
	Outcome(ctx context.Context, r Record) (Outcome, *Response)
}

// Options configure a Keeper.
type Options struct {
	Store  store.KV
	Agents Agents
	Clock  clock.Clock
	// Timeout limits the wait for an agent; 0 means 2 s.
	Timeout clock.Span
}

// Keeper implements gate.Once with records in the store. It is safe for concurrent
// use.
type Keeper struct {
	options Options
	records *store.ExpiringKeys
	backlog backlog

	mu sync.Mutex
	// inProgress holds the attempts of this gateway that have not reached End.
	inProgress map[units.AttemptID]localAttempt
}

// localAttempt is an attempt of this gateway.
type localAttempt struct {
	// revision is that of the attempt's record.
	revision units.Revision
	// answered is set once the upstream has responded in full, so that the agent can
	// report the outcome.
	answered bool
}

var _ gate.Once = (*Keeper)(nil)

// New returns a Keeper. Its Run method must be running for responses to be stored after an
// outage of the store.
func New(o Options) *Keeper {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	return &Keeper{
		options:    o,
		records:    store.NewExpiringKeys(o.Store, o.Clock, Retention),
		inProgress: map[units.AttemptID]localAttempt{},
	}
}

// Begin implements gate.Once. Its errors are of type *gate.Problem.
func (k *Keeper) Begin(ctx context.Context, c gate.OnceAttempt) (*gate.StoredResponse, error) {
	f := NewFlow(startedRecord(&c))
	key := Key(c.Customer, c.Key)
	for {
		switch f.Step {
		case Create, Replace:
			k.writeOwnRecord(ctx, key, &f)
		case Read:
			k.readRecord(ctx, key, &f)
		case QueryAgent:
			k.queryAgent(ctx, key, &f)
		case Run:
			return nil, nil
		case Replay:
			return f.Response.stored(), nil
		default:
			stats.Event("once_" + string(f.Problem.Code))
			return nil, f.Problem
		}
	}
}

// writeOwnRecord executes the steps Create and Replace.
func (k *Keeper) writeOwnRecord(ctx context.Context, key string, f *Flow) {
	expected := f.Revision()
	if f.Step == Create {
		expected = 0
	}
	r := f.OwnRecord()
	revision, err := k.writeRecord(ctx, key, expected, &r)
	switch {
	case err == nil:
		k.mu.Lock()
		k.inProgress[r.Attempt] = localAttempt{revision: revision}
		k.mu.Unlock()
		f.HandleWrite(WriteDone)
	case errors.Is(err, store.ErrConflict):
		f.HandleWrite(WriteConflict)
	default:
		klog.Warningf("once: can't record an attempt: %v", err)
		f.HandleWrite(WriteUncertain)
	}
}

// writeRecord writes a record that the store keeps at least for Retention. The record in the
// store must have the expected revision, where 0 means that there is none; otherwise the
// error is store.ErrConflict. It returns the new revision.
func (k *Keeper) writeRecord(ctx context.Context, key string, expected units.Revision, r *Record) (units.Revision, error) {
	b, err := r.encode()
	if err != nil {
		return 0, err
	}
	revision, err := k.records.CompareAndSwap(ctx, key, expected, b)
	if err != nil {
		return 0, fmt.Errorf("write record: %w", err)
	}
	return revision, nil
}

// readRecord executes the step Read.
func (k *Keeper) readRecord(ctx context.Context, key string, f *Flow) {
	e, err := k.options.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		f.HandleMissing()
		return
	}
	var r Record
	if err == nil {
		r, err = decode(e.Value)
	}
	if err != nil {
		klog.Warningf("once: can't read a record: %v", err)
		f.HandleReadError()
		return
	}
	k.mu.Lock()
	a, inProgress := k.inProgress[r.Attempt]
	k.mu.Unlock()
	f.HandleRecord(r, e.Revision, inProgress && !a.answered)
}

// queryAgent executes the step QueryAgent, and stores the response if the agent returns one.
func (k *Keeper) queryAgent(ctx context.Context, key string, f *Flow) {
	queryCtx, cancel := context.WithTimeout(ctx, k.options.Timeout.Duration())
	defer cancel()
	r := f.LastRecord()
	outcome, response := k.options.Agents.Outcome(queryCtx, r)
	if outcome == Ended && response == nil {
		outcome = Unknown
	}
	f.HandleOutcome(outcome, response)
	if outcome == Ended {
		k.storeResponse(ctx, key, f.Revision(), &r, response)
	}
}

// storeResponse stores the response of an attempt, or adds it to the backlog if the store
// fails. Until the response is stored, a repeated call queries the agent.
func (k *Keeper) storeResponse(ctx context.Context, key string, expected units.Revision, r *Record, response *Response) {
	completed := *r
	completed.Response = response
	// A conflict is no error: another gateway may have stored the same response.
	if _, err := k.writeRecord(ctx, key, expected, &completed); err != nil && !errors.Is(err, store.ErrConflict) {
		stats.Event("once_answer_unsaved")
		klog.Warningf("once: can't store a response, will retry: %v", err)
		k.backlog.add(pendingResponse{key, expected, completed})
	}
}

// Answered implements gate.Once. From now on a repeated call queries the agent for the
// response, until it is stored.
func (k *Keeper) Answered(c gate.OnceAttempt) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if a, ok := k.inProgress[c.Attempt]; ok {
		a.answered = true
		k.inProgress[c.Attempt] = a
	}
}

// End implements gate.Once. If the outcome is unknown, the record remains without a
// response: the agent may still be able to report the outcome later.
func (k *Keeper) End(ctx context.Context, c gate.OnceAttempt, s *gate.StoredResponse, mayHaveRun bool) {
	k.mu.Lock()
	a, ok := k.inProgress[c.Attempt]
	k.mu.Unlock()
	if !ok {
		return
	}
	revision := a.revision
	defer k.removeInProgress(c.Attempt)
	key := Key(c.Customer, c.Key)
	switch {
	case s != nil:
		r := startedRecord(&c)
		k.storeResponse(ctx, key, revision, &r, newResponse(s))
	case !mayHaveRun:
		// If the record can't be removed, a later attempt only has to query the agent.
		if err := k.options.Store.Delete(ctx, key, revision); err != nil {
			klog.V(1).Infof("once: can't remove the record of an attempt that did not run: %v", err)
		}
	}
}

func (k *Keeper) removeInProgress(id units.AttemptID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.inProgress, id)
}
