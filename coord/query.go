package coord

import (
	"context"
	"sync"

	"github.com/magnolialever/magnolialever/once"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// attemptKey identifies the attempt that an Outcome is about. The agent is part of it, so that an
// Outcome from another agent is ignored.
type attemptKey struct {
	agent   units.UpstreamID
	attempt units.AttemptID
}

// outcomeQueries holds the callers that wait for the outcome of an attempt.
type outcomeQueries struct {
	mu      sync.Mutex
	waiters map[attemptKey]map[chan *wire.Outcome]struct{}
}

func newOutcomeQueries() *outcomeQueries {
	return &outcomeQueries{waiters: map[attemptKey]map[chan *wire.Outcome]struct{}{}}
}

// add registers a caller; the channel receives at most one outcome.
func (q *outcomeQueries) add(k attemptKey) chan *wire.Outcome {
	q.mu.Lock()
	defer q.mu.Unlock()
	reply := make(chan *wire.Outcome, 1)
	if q.waiters[k] == nil {
		q.waiters[k] = map[chan *wire.Outcome]struct{}{}
	}
	q.waiters[k][reply] = struct{}{}
	return reply
}

func (q *outcomeQueries) remove(k attemptKey, reply chan *wire.Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiters[k], reply)
	if len(q.waiters[k]) == 0 {
		delete(q.waiters, k)
	}
}

// deliver sends an outcome to all callers that wait for it.
func (q *outcomeQueries) deliver(from units.UpstreamID, o *wire.Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	k := attemptKey{from, units.AttemptID(o.Attempt)}
	if len(q.waiters[k]) == 0 {
		stats.Event("outcome_not_awaited")
		return
	}
	for ch := range q.waiters[k] {
		ch <- o
	}
	delete(q.waiters, k)
}

// Outcomes returns a client that queries agents for the outcomes of attempts.
func (c *Coord) Outcomes() once.Agents { return outcomeClient{c} }

type outcomeClient struct{ coord *Coord }

// Outcome implements once.Agents. The outcome is unknown if the agent does not respond in time.
func (o outcomeClient) Outcome(ctx context.Context, r once.Record) (once.Outcome, *once.Response) {
	k := attemptKey{r.Upstream, r.Attempt}
	reply := o.coord.outcomeQueries.add(k)
	defer o.coord.outcomeQueries.remove(k, reply)
	q := &wire.Query{Attempt: string(r.Attempt), Incarnation: r.Incarnation}
	if !o.coord.post(sendQuery{key: k, query: q}) {
		return once.Unknown, nil
	}
	select {
	case outcome := <-reply:
		return outcomeOf(outcome)
	case <-o.coord.done:
	case <-ctx.Done():
		stats.Event("outcome_timeout")
	}
	return once.Unknown, nil
}

// Values of wire.Outcome.State.
const (
	wireNever   = "never"
	wireRunning = "running"
	wireDone    = "done"
	wireUnknown = "unknown"
)

func outcomeOf(o *wire.Outcome) (once.Outcome, *once.Response) {
	switch o.State {
	case wireNever:
		return once.NotRun, nil
	case wireRunning:
		return once.Running, nil
	case wireDone:
		return once.Ended, once.ResponseOf(o)
	default:
		return once.Unknown, nil
	}
}

// sendQuery sends a query to an agent. If the agent is not connected, the outcome is unknown at
// once.
type sendQuery struct {
	key   attemptKey
	query *wire.Query
}

func (e sendQuery) apply(s *state) {
	id := string(e.key.agent)
	if !s.coord.outboxes.connected(id) {
		s.coord.outcomeQueries.deliver(e.key.agent, &wire.Outcome{Attempt: e.query.Attempt, State: wireUnknown})
		return
	}
	s.push(id, &wire.Frame{Body: &wire.Frame_Query{Query: e.query}})
}
