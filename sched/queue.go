package sched

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// mustQueue reports whether requests for the same target wait that go first. Otherwise small requests
// that arrive would use the room for which a large one waits.
func (s *Scheduler) mustQueue(now clock.Time, a *Attempt) bool {
	return slices.ContainsFunc(s.queue, func(q *Attempt) bool {
		return q.target() == a.target() && len(q.Avoid) == 0 && goesFirst(now, q, a)
	})
}

// goesFirst reports whether a queued request goes before one that arrives for the same target.
func goesFirst(now clock.Time, queued, added *Attempt) bool {
	if queued.isLate(now) {
		return added.turnOf(now, queued.Rank) == deferredTurn
	}
	return compareAttempts(queued, added) <= 0
}

func (a *Attempt) target() serviceTarget {
	return serviceTarget{a.Service.Name, target{a.Model, a.Adapter}}
}

func compareAttempts(a, b *Attempt) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.FirstEventDue, b.FirstEventDue))
}

// refusal returns a refusal if queueing can't help, else nil.
func (s *Scheduler) refusal(now clock.Time, a *Attempt, c choice) *Refusal {
	r := s.unservable(now, a, c)
	if r != nil && a.stopLimited {
		return StopRefusal()
	}
	if r != nil && r.Code == units.DeadlineMissed {
		r.RetryAfter = s.returns.retryAfter(now, a.target(), r.RetryAfter, a.Deadline.Sub(now))
	}
	return r
}

// unservable returns why an attempt can't start in time, else nil.
func (s *Scheduler) unservable(now clock.Time, a *Attempt, c choice) *Refusal {
	timeLeft := a.LatestStart.Sub(now)
	switch {
	case timeLeft <= 0:
		return &Refusal{units.DeadlineMissed, retryAfterBusy}
	case c.members == 0:
		return &Refusal{units.NoUpstream, retryAfterNoUpstream}
	case len(s.queue) >= MaxQueued:
		return &Refusal{units.QueueFull, retryAfterBusy}
	case c.holders == 0 && c.avoided > 0 && a.Model == "":
		return &Refusal{units.NoUpstream, retryAfterBusy}
	case a.ModelMissing && timeLeft < s.copyTime(now, a):
		return &Refusal{units.ModelLoading, s.copyTime(now, a)}
	case c.allPaused() && c.leastPause > timeLeft:
		return &Refusal{units.QueueFull, spread(c.leastPause)}
	}
	if wait := s.expectedWait(a, c); now.Add(wait).After(a.LatestStart) {
		return &Refusal{units.DeadlineMissed, max(wait, retryAfterBusy)}
	}
	return nil
}

// spread returns the time after which a caller should retry when a pause ends, so that callers don't come back
// together.
func spread(pause clock.Span) clock.Span { return pause + clock.Span(rand.Int64N(int64(pause)/4+1)) }

// expectedWait returns how long a request will wait here because prompts wait at all upstreams that
// have loaded the model; 0 if that is not the reason. The gateways that send there share what the
// upstreams prefill.
func (s *Scheduler) expectedWait(a *Attempt, c choice) clock.Span {
	if c.overloaded == 0 || c.overloaded < c.holders {
		return 0
	}
	tokens := a.Prompt
	for _, q := range s.queue {
		if q.target() == a.target() && compareAttempts(q, a) <= 0 {
			tokens += q.Prompt
		}
	}
	share := c.prefillRate * c.leastShare
	return clock.Span(max(c.leastExcessMs, 0) + float64(tokens)/share)
}

// copyTime returns the time until a copy of the requested model is there: by a load that goes on, or else by one that
// begins now. It is 0 if only the adapter is missing.
func (s *Scheduler) copyTime(now clock.Time, a *Attempt) clock.Span {
	longest := s.loadTime(a)
	if left, ok := s.NextCopy(now, a); ok {
		return min(left, longest)
	}
	return longest
}

// loadTime returns the longest time to load the requested model from the weight store. It is 0 if
// only the adapter is missing, as adapters load in milliseconds.
func (s *Scheduler) loadTime(a *Attempt) clock.Span {
	for _, e := range s.snap.Upstreams {
		if e.Service == a.Service.Name && !e.Draining && e.Holds(a.Model, "") {
			return 0
		}
	}
	if a.Service.Engine == nil {
		return 0
	}
	m, _ := a.Service.Engine.Model(a.Model)
	return m.StoreLoadTime
}

// Cancel removes a queued attempt. It returns false if the attempt was started or refused.
func (s *Scheduler) Cancel(a *Attempt) bool {
	if !a.queued {
		return false
	}
	a.queued = false
	if i := slices.Index(s.queue, a); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
	return true
}

// QueueLen returns the number of queued requests.
func (s *Scheduler) QueueLen() int { return len(s.queue) }

// Dispatch starts queued requests that an upstream can take, in their turns, and refuses those past their latest
// start. It returns the attempts that were dequeued.
func (s *Scheduler) Dispatch(now clock.Time) []*Attempt {
	var dequeued []*Attempt
	blocked := map[serviceTarget]bool{}
	lateRank := s.lateRank(now)
	for _, t := range turns {
		for _, a := range s.queue {
			if !a.queued || a.turnOf(now, lateRank) != t {
				continue
			}
			if a.stopLimited && s.expire(now, a) || s.tryStart(now, a, blocked) || s.expire(now, a) {
				dequeued = append(dequeued, a)
			}
		}
	}
	if len(dequeued) > 0 {
		s.queue = slices.DeleteFunc(s.queue, func(a *Attempt) bool { return !a.queued })
	}
	return dequeued
}

// serviceTarget is what a request asks for.
type serviceTarget struct {
	service units.ServiceID
	target
}

// tryStart starts a queued request if an upstream can take it. Targets for which none can are added to
// blocked; requests for them are not tried again.
func (s *Scheduler) tryStart(now clock.Time, a *Attempt, blocked map[serviceTarget]bool) bool {
	t := a.target()
	if blocked[t] {
		return false
	}
	c := s.choose(now, &a.Request)
	if !c.found() {
		// Other requests for the target may go to upstreams that this one avoids.
		blocked[t] = len(a.Avoid) == 0
		return false
	}
	a.queued = false
	s.start(now, a, c.best)
	return true
}

// expire refuses a queued request that is past its latest start.
func (s *Scheduler) expire(now clock.Time, a *Attempt) bool {
	if now.Before(a.LatestStart) {
		return false
	}
	a.queued = false
	defer close(a.Ready)
	if a.stopLimited {
		a.Refused = StopRefusal()
		return true
	}
	a.Refused = &Refusal{units.DeadlineMissed, s.returns.retryAfter(now, a.target(), retryAfterBusy, a.Deadline.Sub(now))}
	if c := s.choose(now, &a.Request); c.allPaused() {
		a.Refused.RetryAfter = spread(c.leastPause)
	}
	return true
}
