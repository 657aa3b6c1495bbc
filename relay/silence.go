package relay

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// silenceTimeout is how long an upstream may send nothing before a request that may run again goes to another one, if
	// that can take it. It leaves the other upstream time to begin before the caller disconnects.
	silenceTimeout = 1200 * clock.Millisecond
	// silenceRecheck is the interval at which another upstream is looked for afterwards.
	silenceRecheck = 100 * clock.Millisecond
	// successorPause is the time without a further attempt after one was refused, as each counts against the limit on
	// attempts.
	successorPause = 600 * clock.Millisecond
	// permitWait is how long a successor may wait for the permits for its prompt. An owner that is not busy grants them
	// within some milliseconds.
	permitWait = 200 * clock.Millisecond
)

// silence is what an attempt knows of the silence of its upstream.
type silence struct {
	// progressAt is when the last event was complete, or when the attempt began.
	progressAt clock.Time
	// headRead is set once the head of the response was read.
	headRead bool
	// buffering is set while the body of an answer without streaming is read.
	buffering bool
	// silentSince is when the silence since progressAt was recorded; 0 if it was not.
	silentSince clock.Time
	// successorAfter is the time before which no successor is started.
	successorAfter clock.Time
}

// recordProgress records that an event is complete. Bytes alone are no progress: a stalled upstream may send some now
// and then.
func (a *attempt) recordProgress() {
	now := a.server.Clock.Now()
	a.progressAt = now
	a.dropSuccessor()
	if a.silentSince == 0 {
		return
	}
	klog.InfoS("relay: upstream goes on after silence", "request", a.callerRequest.RequestID, "upstream", a.scheduled.Upstream.ID,
		"events", a.delivered.events, "after", now.Sub(a.silentSince)+silenceTimeout)
	a.silentSince = 0
	a.server.mu.Lock()
	defer a.server.mu.Unlock()
	a.server.Scheduler.RecordProgress(now, a.scheduled)
}

// maySwitch reports whether the request may run at another upstream instead of the current one.
func (a *attempt) maySwitch() bool {
	if a.headRead {
		return a.route.RetryMode == fleet.Resumable && a.runs < a.route.MaxAttempts && a.delivered.canResume()
	}
	return a.route.RetryMode != fleet.AtMostOnce && a.runs+1 < a.route.MaxAttempts
}

// readDeadline returns the wall-clock time by which the upstream has to have sent the head or the next event, or else
// handleSilence decides.
func (a *attempt) readDeadline() time.Time {
	now := a.server.Clock.Now()
	deadline := a.arrivedAt.Add(a.timeout)
	if a.maySwitch() {
		deadline = min(deadline, a.progressAt.Add(silenceTimeout))
	}
	return wallTime(now, deadline)
}

// handleSilence decides what becomes of an attempt whose read deadline has passed. It returns the next read deadline, or
// false if the attempt is given up: its time is over, another upstream has begun to answer the request or waits for what this
// attempt holds, or this one can't be reached. A silent upstream may still go on, and an answer that nothing continues must not be cut.
func (a *attempt) handleSilence(ctx context.Context) (time.Time, bool) {
	now := a.server.Clock.Now()
	deadline := a.arrivedAt.Add(a.timeout)
	if ctx.Err() != nil || !now.Before(deadline) {
		return time.Time{}, false
	}
	if a.next != nil && a.next.ended() {
		if a.next.answers() {
			return time.Time{}, false
		}
		a.dropSuccessor()
		a.successorAfter = now.Add(successorPause)
	}
	if a.buffering {
		if a.next != nil {
			deadline = min(deadline, now.Add(silenceRecheck))
		}
		return wallTime(now, deadline), true
	}
	if a.next != nil && a.next.waitsForPermit(now) && a.ticket.HasPermits() {
		// Requests at silent upstreams would wait for each other's permits until their time is over.
		return time.Time{}, false
	}
	if a.next == nil && !a.maySwitch() {
		return wallTime(now, deadline), true
	}
	if a.next == nil && !now.Before(a.successorAfter) {
		a.startSuccessor(ctx)
	}
	a.recordSilence(now)
	if !a.server.reach.check(ctx, a.scheduled.Upstream.Address, now) {
		return time.Time{}, false
	}
	return wallTime(now, min(deadline, now.Add(silenceRecheck))), true
}

// startRetry starts a repeated request at once and charges it to the retry budget. It returns nil if either is not
// possible.
func (s *Server) startRetry(r sched.Request) *sched.Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	w := s.retryWindow(r.Service.Name)
	if !w.Allows(now, s.gateways) {
		return nil
	}
	next := s.Scheduler.TryAdd(now, r)
	if next != nil {
		w.Take(now, s.gateways)
	}
	return next
}

// recordSilence records, once per silence, that the attempt waits on, and whether another upstream is asked meanwhile.
func (a *attempt) recordSilence(now clock.Time) {
	if a.silentSince != 0 {
		return
	}
	a.silentSince = now
	line, other := "relay: upstream is silent and no other can take the request", units.UpstreamID("")
	if a.next != nil {
		line, other = "relay: upstream is silent and another is asked", a.next.attempt.scheduled.Upstream.ID
	} else {
		stats.Event("silent_upstreams_awaited")
	}
	klog.InfoS(line, "request", a.callerRequest.RequestID, "upstream", a.scheduled.Upstream.ID, "other", other,
		"events", a.delivered.events, "silent", now.Sub(a.progressAt))
	a.server.mu.Lock()
	defer a.server.mu.Unlock()
	a.server.Scheduler.RecordSilence(now, a.scheduled)
}
