package coord

import (
	"context"
	"sync"

	"github.com/magnolialever/magnolialever/once"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// question names what an Outcome answers. The agent is part of it, so that no other
// agent can answer.
type question struct {
	agent   units.UpstreamID
	attempt units.AttemptID
}

// queries holds the requests that wait for the outcome of an attempt.
type queries struct {
	mu      sync.Mutex
	waiting map[question]map[chan *wire.Outcome]struct{}
}

func newQueries() *queries { return &queries{waiting: map[question]map[chan *wire.Outcome]struct{}{}} }

func (q *queries) add(k question) chan *wire.Outcome {
	q.mu.Lock()
	defer q.mu.Unlock()
	ch := make(chan *wire.Outcome, 1)
	if q.waiting[k] == nil {
		q.waiting[k] = map[chan *wire.Outcome]struct{}{}
	}
	q.waiting[k][ch] = struct{}{}
	return ch
}

func (q *queries) remove(k question, ch chan *wire.Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting[k], ch)
	if len(q.waiting[k]) == 0 {
		delete(q.waiting, k)
	}
}

// deliver passes an outcome to all that wait for it.
func (q *queries) deliver(from units.UpstreamID, o *wire.Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	k := question{from, units.AttemptID(o.Attempt)}
	if len(q.waiting[k]) == 0 {
		stats.Event("outcome_not_awaited")
		return
	}
	for ch := range q.waiting[k] {
		ch <- o
	}
	delete(q.waiting, k)
}

// Outcomes returns the part that asks agents for the outcomes of attempts.
func (c *Coord) Outcomes() once.Agents { return outcomes{c} }

type outcomes struct{ coord *Coord }

// Outcome implements once.Agents.
func (o outcomes) Outcome(ctx context.Context, r once.Record) (once.Outcome, *once.Response) {
	k := question{r.Upstream, r.Attempt}
	ch := o.coord.queries.add(k)
	defer o.coord.queries.remove(k, ch)
	q := &wire.Query{Attempt: string(r.Attempt), Incarnation: r.Incarnation}
	if !o.coord.post(inquire{question: k, query: q}) {
		return once.Unknown, nil
	}
	select {
	case out := <-ch:
		return outcomeOf(out)
	case <-o.coord.done:
	case <-ctx.Done():
		stats.Event("outcome_timeout")
	}
	return once.Unknown, nil
}

// Outcomes on the wire.
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

// inquire sends a query to an agent. One that is not connected counts as an answer
// without an outcome.
type inquire struct {
	question question
	query    *wire.Query
}

func (e inquire) apply(s *state) {
	id := string(e.question.agent)
	if !s.coord.outboxes.has(id) {
		s.coord.queries.deliver(e.question.agent, &wire.Outcome{Attempt: e.query.Attempt, State: wireUnknown})
		return
	}
	s.push(id, &wire.Frame{Body: &wire.Frame_Query{Query: e.query}})
}
