package sched

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// retryAfterStop is sent when this gateway stops. Another one can serve the request at once; the pause only keeps a caller
// that is sent to this one again from sending in a loop.
const retryAfterStop = 50 * clock.Millisecond

// SetStop sets the time by which all runs have to end. Requests whose run may last longer are refused, those in the
// queue at once. Until routedUntil, callers that come back may be sent to a gateway that stops again; after it no request
// starts that its deadline does not end before the stop, but those that have begun.
func (s *Scheduler) SetStop(now, routedUntil, end clock.Time) {
	s.stopAt, s.routedUntil = end, routedUntil
	for _, a := range s.queue {
		s.limitStart(now, a)
	}
	s.Dispatch(now)
}

// MayStart reports whether a request may start now, as the stop won't cut it or as a refusal would end its answer.
func (s *Scheduler) MayStart(now clock.Time, r *Request) bool {
	lastStart, limited := s.lastStart(now, r)
	return !limited || !now.After(lastStart)
}

// StopRefusal returns the refusal of requests that may outlast the stop.
func StopRefusal() *Refusal { return &Refusal{units.Draining, retryAfterStop} }

// limitStart limits the start of an attempt to the time from which on it may outlast the stop.
func (s *Scheduler) limitStart(now clock.Time, a *Attempt) {
	if lastStart, limited := s.lastStart(now, &a.Request); limited && lastStart.Before(a.LatestStart) {
		a.LatestStart, a.stopLimited = lastStart, true
	}
}

// lastStart returns the time from which on a request must not start as it may outlast the stop, and false if it can't:
// it ends by its deadline. Once the platform has stopped routing callers here, a caller that is refused reaches a gateway
// that stays, and the time that like runs took is no reason to start a request that the stop may cut. A request that has
// begun starts as long as there is time: its refusal would end its answer for certain.
func (s *Scheduler) lastStart(now clock.Time, r *Request) (clock.Time, bool) {
	if s.endsBeforeStop(r) {
		return 0, false
	}
	if r.Begun {
		return s.stopAt, true
	}
	return min(s.estimatedLastStart(now, r), s.routedUntil), true
}

// endsBeforeStop reports whether the request ends before the stop by its deadline, or there is none.
func (s *Scheduler) endsBeforeStop(r *Request) bool {
	return s.stopAt == 0 || r.Deadline > 0 && r.Deadline <= s.stopAt
}

// expectedToEnd reports whether a request that starts now is expected to end before the stop.
func (s *Scheduler) expectedToEnd(now clock.Time, r *Request) bool {
	return s.endsBeforeStop(r) || !now.After(s.estimatedLastStart(now, r))
}

// estimatedLastStart returns the latest start from which a request ends before the stop if it takes no longer than the
// longest runs of its kind did, those that go on included. While callers may be sent to a gateway that stops again, the mean
// is enough for a resumable stream, whose rest another gateway can serve.
func (s *Scheduler) estimatedLastStart(now clock.Time, r *Request) clock.Time {
	if r.Resumable && now.Before(s.routedUntil) {
		mean, _ := s.runs.mean(now, r.Kind, r.Size)
		return s.stopAt.Add(-mean)
	}
	enough := enoughRuns
	if r.Once {
		enough = enoughSingleRuns
	}
	longest, known := s.runs.longest(now, r.Kind, r.Size, enough)
	if !known {
		return now - 1
	}
	for a := range s.running {
		if a.Kind == r.Kind {
			perToken := float64(now.Sub(a.startedAt)) / float64(max(a.Size, 1))
			longest = max(longest, clock.Span(perToken*float64(max(r.Size, 1))))
		}
	}
	return s.stopAt.Add(-longest)
}

// recordRun records the run of an attempt that has ended.
func (s *Scheduler) recordRun(now clock.Time, a *Attempt, o Outcome) {
	delete(s.running, a)
	switch o {
	case Served:
		s.runs.add(now, a.Kind, a.Size, now.Sub(a.startedAt), true)
	case Failed, Broken, Canceled:
		s.runs.add(now, a.Kind, a.Size, now.Sub(a.startedAt), false)
	case Full, NotLoaded, Replaced, Unreachable:
	}
}
