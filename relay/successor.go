package relay

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/sched"
)

// errPartNotGranted means that a request was not sent since a part of its prompt may not be sent now.
var errPartNotGranted = errors.New("a part of the prompt is not granted")

// successor is an attempt at another upstream while the upstream of the current attempt is silent. The current attempt is
// given up only once the answer of the successor has begun, and goes on if the successor is refused.
type successor struct {
	attempt *attempt
	// cancel ends the call.
	cancel context.CancelFunc
	// adopted is set once the attempt is the current one.
	adopted atomic.Bool
	// permitted is set once the parts of the prompt may be sent to the upstream.
	permitted atomic.Bool
	// done is closed once the head of the response was read or the call has failed; the fields below are valid from then on.
	done chan struct{}
	res  *response
	err  error
	// canceled is set if the call was canceled before it failed.
	canceled bool
}

// startSuccessor starts an attempt at another upstream, if one can take the request now and no limit forbids it.
func (a *attempt) startSuccessor(ctx context.Context) {
	if a.sends >= maxSends || a.server.isCrashSuspect(a.fingerprint) || a.server.Parts.Refuses(a.prompt) {
		return
	}
	scheduled := a.server.startRetry(a.schedulerRequest())
	if scheduled == nil {
		return
	}
	b := a.newAttempt(scheduled, nil)
	b.logDuringStop()
	a.tried = append(a.tried, scheduled.Upstream.ID)
	a.sends++
	callContext, cancel := context.WithCancel(ctx)
	s := &successor{attempt: b, cancel: cancel, done: make(chan struct{})}
	r := b.newRequest(callContext)
	onSilence := r.onSilence
	r.onSilence = func() (time.Time, bool) {
		if s.adopted.Load() {
			return onSilence()
		}
		now := b.server.Clock.Now()
		return wallTime(now, now.Add(silenceRecheck)), callContext.Err() == nil
	}
	a.next = s
	go s.call(callContext, r, b.readDeadline())
}

// call sends the request and reads the head of the response until headDeadline, a wall-clock time. Meanwhile the exchange
// belongs to the current attempt.
func (s *successor) call(ctx context.Context, r *request, headDeadline time.Time) {
	defer close(s.done)
	b := s.attempt
	ticket, _ := b.server.Parts.Acquire(ctx, b.prompt)
	if ticket == nil {
		s.err = errors.Join(errPartNotGranted, errNotSent)
		return
	}
	b.ticket = ticket
	if reply, _ := ticket.Confirm(ctx); reply != parts.Granted {
		s.err = errors.Join(errPartNotGranted, errNotSent)
		return
	}
	s.permitted.Store(true)
	s.res, s.err = b.server.pool.call(ctx, b.scheduled.Upstream.Address, r, headDeadline)
	s.canceled = s.err != nil && ctx.Err() != nil
}

// waitsForPermit reports whether the attempt can't begin as too many other requests with a part of the prompt are on
// their way.
func (s *successor) waitsForPermit(now clock.Time) bool {
	return !s.permitted.Load() && now.Sub(s.attempt.assignedAt) >= permitWait
}

// ended reports whether res and err are valid.
func (s *successor) ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// answers reports, once it has ended, whether the upstream has begun to answer the request.
func (s *successor) answers() bool {
	return s.err == nil && !s.res.NotRun && !s.res.Encoded && s.res.HasReceipt &&
		s.res.status < http.StatusInternalServerError && !retry.ClaimsNotRun(s.res.status) &&
		(!s.attempt.delivered.headSent || s.res.status == http.StatusOK && s.res.EventStream)
}

// dropSuccessor ends the successor, if there is one, and leaves the current attempt as it is.
func (x *exchange) dropSuccessor() {
	s := x.takeNext()
	if s == nil {
		return
	}
	// This closes the connection, whatever has become of the call.
	s.cancel()
	<-s.done
	b := s.attempt
	outcome := s.outcome()
	b.stream.release()
	x.server.finishAttempt(x.fingerprint, b.scheduled, outcome)
	if b.ticket != nil {
		b.endTicket(x.httpRequest.Context(), outcome)
	}
	klog.InfoS("relay: silent upstream is kept", "request", x.callerRequest.RequestID, "upstream", x.upstream, "other", b.scheduled.Upstream.ID,
		"outcome", outcome, "reason", b.reason)
}

// outcome returns the outcome of a successor that has ended and is not adopted. It counts a run if the upstream may have
// run the request. Upstreams at which nothing failed may get the request again.
func (s *successor) outcome() sched.Outcome {
	b := s.attempt
	if s.err != nil {
		b.reason = s.err.Error()
		switch {
		case errors.Is(s.err, errPartNotGranted), errors.Is(s.err, errNotAccepted):
			b.sends--
			b.allowAgain(b.scheduled.Upstream.ID)
			return sched.Canceled
		case s.canceled:
			b.allowAgain(b.scheduled.Upstream.ID)
			if !errors.Is(s.err, errNotSent) {
				b.runs++
			}
			return sched.Canceled
		case errors.Is(s.err, errNotSent):
			if errors.Is(s.err, syscall.ECONNREFUSED) {
				b.server.markUpstreamEnded(b.scheduled.Upstream.ID)
			}
			return sched.Unreachable
		}
		b.runs++
		return sched.Broken
	}
	b.server.recordNotice(b.scheduled.Upstream.Upstream, s.res)
	if outcome, handled := b.handleNotRun(s.res); handled {
		return outcome
	}
	b.runs++
	if s.answers() {
		b.allowAgain(b.scheduled.Upstream.ID)
		return sched.Canceled
	}
	return sched.Failed
}

// follow makes the successor the current attempt and waits for its end.
func (x *exchange) follow(ctx context.Context, s *successor) {
	defer s.cancel()
	s.adopted.Store(true)
	<-s.done
	b := s.attempt
	x.upstream = b.scheduled.Upstream.ID
	// The silent upstream may have sent events right before it broke off, of which the request of b doesn't know.
	b.stream = newEventSplitter(&x.delivered, &x.server.events)
	if errors.Is(s.err, errPartNotGranted) {
		x.sends--
		x.allowAgain(x.upstream)
		if b.ticket != nil {
			b.ticket.End(nil)
		}
		x.server.cancelAttempt(b.scheduled)
		return
	}
	x.spendTokens()
	b.finish(ctx, func() sched.Outcome { return b.handleCall(ctx, s.res, s.err) })
}
