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
	// Retention is how long a record is kept at least; a call repeated later runs again.
	Retention = 24 * clock.Hour
	// defaultTimeout bounds the wait for an agent. Agents answer at once.
	defaultTimeout = 2 * clock.Second
)

// Agents asks agents for outcomes.
type Agents interface {
	// Outcome asks the agent for the outcome of the attempt of the record. It returns
	// Unknown when the agent does not answer.
	Outcome(ctx context.Context, r Record) (Outcome, *Response)
}

// Options configure a Keeper.
type Options struct {
	Store  store.KV
	Agents Agents
	Clock  clock.Clock
	// Timeout bounds the wait for an agent; 0 means 2 s.
	Timeout clock.Span
}

// Keeper implements gate.Once with records in the store. It is safe for concurrent
// use.
type Keeper struct {
	options Options
	records *store.Shared
	backlog backlog

	mu sync.Mutex
	// live are the attempts of this gateway whose records are not complete.
	live map[units.AttemptID]attempt
}

// attempt is an attempt of this gateway.
type attempt struct {
	// revision is that of its record.
	revision units.Revision
	// answered is set once its agent knows the outcome.
	answered bool
}

var _ gate.Once = (*Keeper)(nil)

// New returns a Keeper.
func New(o Options) *Keeper {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	return &Keeper{
		options: o,
		records: store.NewShared(o.Store, o.Clock, Retention),
		live:    map[units.AttemptID]attempt{},
	}
}

// Begin implements gate.Once.
func (k *Keeper) Begin(ctx context.Context, c gate.OnceAttempt) (*gate.StoredResponse, error) {
	f := NewFlow(started(&c))
	key := Key(c.Customer, c.Key)
	for {
		switch f.Step {
		case Create, Replace:
			k.write(ctx, key, &f)
		case Read:
			k.read(ctx, key, &f)
		case QueryAgent:
			k.ask(ctx, key, &f)
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

// write performs Create and Replace.
func (k *Keeper) write(ctx context.Context, key string, f *Flow) {
	old := f.Revision()
	if f.Step == Create {
		old = 0
	}
	r := f.OwnRecord()
	at, err := k.swap(ctx, key, old, &r)
	switch {
	case err == nil:
		k.mu.Lock()
		k.live[r.Attempt] = attempt{revision: at}
		k.mu.Unlock()
		f.HandleWrite(WriteDone)
	case errors.Is(err, store.ErrConflict):
		f.HandleWrite(WriteConflict)
	default:
		klog.Warningf("once: can't record an attempt: %v", err)
		f.HandleWrite(WriteUncertain)
	}
}

// swap writes a record that lasts for the retention time.
func (k *Keeper) swap(ctx context.Context, key string, old units.Revision, r *Record) (units.Revision, error) {
	b, err := r.encode()
	if err != nil {
		return 0, err
	}
	at, err := k.records.Swap(ctx, key, old, b)
	if err != nil {
		return 0, fmt.Errorf("write record: %w", err)
	}
	return at, nil
}

func (k *Keeper) read(ctx context.Context, key string, f *Flow) {
	e, err := k.options.Store.Get(ctx, key)
	if errors.Is(err, store.ErrMissing) {
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
	a, live := k.live[r.Attempt]
	k.mu.Unlock()
	f.HandleRecord(r, e.Revision, live && !a.answered)
}

// ask performs Ask, and stores an answer that only the agent has.
func (k *Keeper) ask(ctx context.Context, key string, f *Flow) {
	limited, cancel := context.WithTimeout(ctx, k.options.Timeout.Duration())
	defer cancel()
	r := f.LastRecord()
	o, a := k.options.Agents.Outcome(limited, r)
	if o == Ended && a == nil {
		o = Unknown
	}
	f.HandleOutcome(o, a)
	if o == Ended {
		k.finish(ctx, key, f.Revision(), &r, a)
	}
}

// finish stores the answer of an attempt. Until it is stored, a repeated call asks the
// agent.
func (k *Keeper) finish(ctx context.Context, key string, old units.Revision, r *Record, a *Response) {
	done := *r
	done.Response = a
	// Another gateway may have stored the same answer.
	if _, err := k.swap(ctx, key, old, &done); err != nil && !errors.Is(err, store.ErrConflict) {
		stats.Event("once_answer_unsaved")
		klog.Warningf("once: can't store an answer yet: %v", err)
		k.backlog.add(unsaved{key, old, done})
	}
}

// Answered implements gate.Once. Until the answer is stored, a repeated call gets it
// from the agent.
func (k *Keeper) Answered(c gate.OnceAttempt) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if a, ok := k.live[c.Attempt]; ok {
		a.answered = true
		k.live[c.Attempt] = a
	}
}

// End implements gate.Once. An attempt with an unknown outcome stays recorded as
// started: its agent may still learn the outcome.
func (k *Keeper) End(ctx context.Context, c gate.OnceAttempt, s *gate.StoredResponse, ran bool) {
	k.mu.Lock()
	a, ok := k.live[c.Attempt]
	k.mu.Unlock()
	if !ok {
		return
	}
	at := a.revision
	defer k.forget(c.Attempt)
	key := Key(c.Customer, c.Key)
	switch {
	case s != nil:
		r := started(&c)
		k.finish(ctx, key, at, &r, answerOf(s))
	case !ran:
		// A record that stays costs a later attempt a question to the agent, no more.
		if err := k.options.Store.Delete(ctx, key, at); err != nil {
			klog.V(1).Infof("once: can't remove the record of an attempt that did not run: %v", err)
		}
	}
}

func (k *Keeper) forget(a units.AttemptID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.live, a)
}
