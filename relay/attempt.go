package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

// attempt is one attempt of a request at an upstream. It holds all that belongs to this attempt alone; what the caller
// has got is in the exchange.
type attempt struct {
	*exchange
	scheduled *sched.Attempt
	// ticket is the permission to send the request.
	ticket     *parts.Ticket
	assignedAt clock.Time
	// reason is why the attempt failed, for logs.
	reason string
	// timedOut is set if it failed because the upstream was silent.
	timedOut bool
	// stream splits the answer of this attempt.
	stream *eventSplitter
	// lastEventAt is when the last events of this attempt were complete; 0 before the first one.
	lastEventAt clock.Time
	silence
}

// newAttempt returns an attempt that begins now.
func (x *exchange) newAttempt(scheduled *sched.Attempt, ticket *parts.Ticket) *attempt {
	now := x.server.Clock.Now()
	return &attempt{
		exchange: x, scheduled: scheduled, ticket: ticket, assignedAt: now, stream: newEventSplitter(&x.delivered, &x.server.events),
		silence: silence{progressAt: now},
	}
}

// failed records why the attempt failed.
func (a *attempt) failed(reason string) { a.reason, a.exchange.reason = reason, reason }

// failedBy records the error by which the attempt failed.
func (a *attempt) failedBy(err error) {
	a.failed(err.Error())
	a.timedOut = isTimeout(err)
}

// newRequest returns the request that the attempt sends.
func (a *attempt) newRequest(ctx context.Context) *request {
	deadline := a.arrivedAt.Add(a.timeout)
	return &request{
		method: a.httpRequest.Method, target: a.httpRequest.RequestURI, host: a.httpRequest.Host,
		id: a.callerRequest.RequestID, body: a.body,
		header: platform.UpstreamHeader(a.httpRequest.Header, platform.UpstreamRequest{
			Upstream: a.scheduled.Upstream.ID, Customer: a.customerID(), Timeout: deadline.Sub(a.assignedAt),
			LastEventID: a.lastEventID(), Priority: a.enginePriority(),
		}),
		accepts:   func() bool { return a.server.Accepts(a.scheduled.Upstream.Upstream) },
		onSilence: func() (time.Time, bool) { return a.handleSilence(ctx) },
		deadline:  wallTime(a.assignedAt, deadline),
	}
}

// run sends the request to the assigned upstream and relays the response. The request is finished when
// finished is set afterwards; otherwise it has to be tried again.
func (a *attempt) run(ctx context.Context) sched.Outcome {
	a.sends++
	res, err := a.server.pool.call(ctx, a.scheduled.Upstream.Address, a.newRequest(ctx), a.readDeadline())
	return a.handleCall(ctx, res, err)
}

// handleCall relays the response whose head was read, or handles the error that ended the call.
func (a *attempt) handleCall(ctx context.Context, res *response, err error) sched.Outcome {
	if err != nil {
		return a.handleCallError(ctx, err)
	}
	a.server.recordNotice(a.scheduled.Upstream.Upstream, res)
	a.recordLoad(res)
	if outcome, handled := a.handleNotRun(res); handled {
		return outcome
	}
	a.runs++
	a.headRead = true
	if retry.ClaimsNotRun(res.status) {
		return a.rejectClaim(ctx, res)
	}
	if res.Encoded || (res.status < 300 && !res.HasReceipt) {
		res.abort()
		// An intermediary responded, or nothing shows that the replica ran the request.
		a.failed("response does not come from the upstream")
		return a.retryOrGiveUp(ctx)
	}
	if a.route.Stream && res.status == http.StatusOK && (res.EventStream || !a.delivered.headSent) {
		return a.relayStream(ctx, res)
	}
	if a.delivered.headSent {
		return a.rejectContinuation(ctx, res)
	}
	return a.relayBuffered(ctx, res)
}

// rejectClaim handles a response whose status says that the request has not run, which the upstream does not state. The status
// must not reach the caller, who would send the request again.
func (a *attempt) rejectClaim(ctx context.Context, res *response) sched.Outcome {
	stats.Event("not_run_unfounded")
	a.recordPlainBegin(res)
	discardResponse(res)
	a.failed("status " + strconv.Itoa(res.status) + " of a request that may have run")
	a.retryOrGiveUp(ctx)
	return sched.Failed
}

// rejectContinuation handles a response that is not a stream to a request that should resume one. No
// part of it may reach the caller, whose stream is incomplete.
func (a *attempt) rejectContinuation(ctx context.Context, res *response) sched.Outcome {
	res.abort()
	a.failed("status " + strconv.Itoa(res.status) + ", type " + res.header.Get("Content-Type") + " instead of the rest of the stream")
	a.retryOrGiveUp(ctx)
	return sched.Failed
}

// customerID returns the customer's identifier; empty on routes without authentication.
func (x *exchange) customerID() units.CustomerID {
	if x.customer == nil {
		return ""
	}
	return x.customer.ID
}

// lastEventID returns the event after which the upstream has to resume a broken stream; empty for a
// new one.
func (x *exchange) lastEventID() string {
	if x.delivered.headSent {
		return x.delivered.lastID
	}
	return ""
}

// maxEnginePriority is the least urgent priority that engines accept; 0 is the most urgent.
const maxEnginePriority = 9

// enginePriority returns the priority to send to the engine, or -1 to send none, as for plain
// services.
func (x *exchange) enginePriority() int {
	if x.service.Engine == nil {
		return -1
	}
	return min(max(x.priority(), 0), maxEnginePriority)
}

// finish runs the attempt and records its end.
func (a *attempt) finish(ctx context.Context, run func() sched.Outcome) {
	outcome := run()
	a.stream.release()
	a.unspendTokens()
	a.server.finishAttempt(a.fingerprint, a.scheduled, outcome)
	a.endTicket(ctx, outcome)
	if outcome != sched.Served && outcome != sched.Canceled {
		klog.V(1).InfoS("relay: attempt failed", "request", a.callerRequest.RequestID, "upstream", a.scheduled.Upstream.ID, "outcome", outcome, "reason", a.reason, "revision", a.view.Revision)
	}
}

// handleCallError handles a call that ended without a complete response.
func (a *attempt) handleCallError(ctx context.Context, err error) sched.Outcome {
	a.failedBy(err)
	if ctx.Err() != nil {
		if errors.Is(err, errNotSent) {
			a.endCanceled(ctx)
			return sched.Canceled
		}
		a.runs++
		return a.endRun(ctx)
	}
	if errors.Is(err, errNotAccepted) {
		// The upstream got nothing, and the request may go there after a pause.
		a.sends--
		a.allowAgain(a.scheduled.Upstream.ID)
		return sched.Canceled
	}
	if errors.Is(err, errNotSent) {
		if errors.Is(err, syscall.ECONNREFUSED) {
			a.server.markUpstreamEnded(a.scheduled.Upstream.ID)
		}
		// The upstream received nothing, so the attempt does not count as a run.
		if a.sends >= maxSends {
			a.giveUp("unreachable")
		}
		return sched.Unreachable
	}
	a.runs++
	return a.retryOrGiveUp(ctx)
}

// endRun ends a request whose context is done while the upstream may run it. It returns the outcome for the upstream. The
// time limit of the request counts as it does in retryOrGiveUp, since the read deadline is the same time and either may
// be noticed first.
func (a *attempt) endRun(ctx context.Context) sched.Outcome {
	a.endCanceled(ctx)
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) && a.server.Clock.Now().Sub(a.progressAt) >= silenceTimeout {
		a.timedOut = true
		return sched.Broken
	}
	return sched.Canceled
}

// retryOrGiveUp leaves the request unfinished for another attempt if it may run again, and ends it
// otherwise. It returns the outcome for the upstream, for which the time limit of the request is no failure unless
// it had been silent for long.
func (a *attempt) retryOrGiveUp(ctx context.Context) sched.Outcome {
	now := a.server.Clock.Now()
	if ctx.Err() != nil || now.Sub(a.arrivedAt) >= a.timeout {
		a.endCanceled(ctx)
		if a.timedOut && now.Sub(a.progressAt) < silenceTimeout {
			return sched.Canceled
		}
		return sched.Broken
	}
	stats.Retry(units.UpstreamFailed)
	if a.route.RetryMode == fleet.AtMostOnce || a.runs >= a.route.MaxAttempts || !a.delivered.canResume() {
		a.giveUp(a.reason)
	}
	return sched.Broken
}

// handleNotRun handles responses that state that the request has not run and never will. It returns
// false for other responses and for status 400, which is relayed to the caller.
func (a *attempt) handleNotRun(res *response) (sched.Outcome, bool) {
	if !res.NotRun || res.status == http.StatusBadRequest {
		return 0, false
	}
	defer discardResponse(res)
	a.failed("status " + strconv.Itoa(res.status))
	switch {
	case res.status != http.StatusMisdirectedRequest:
		stats.Retry(units.QueueFull)
		a.allowAgain(a.scheduled.Upstream.ID)
		return sched.Full, true
	case res.Instance != "" && res.Instance != a.scheduled.Upstream.ID:
		return sched.Replaced, true
	default:
		stats.Retry(units.NotLoaded)
		a.allowAgain(a.scheduled.Upstream.ID)
		return sched.NotLoaded, true
	}
}

// allowAgain removes an upstream from those already tried, since its refusal is temporary.
func (x *exchange) allowAgain(id units.UpstreamID) {
	for i, v := range x.tried {
		if v == id {
			x.tried = append(x.tried[:i:i], x.tried[i+1:]...)
			return
		}
	}
}

// discardResponse discards a short body, so that the connection can be reused.
func discardResponse(res *response) {
	if err := discardShort(res.body); err != nil {
		res.abort()
		return
	}
	res.release()
}

// Latencies in milliseconds of requests answered by an upstream, measured from their arrival.
var (
	assignLatency     = stats.NewHistogram("relay_place_ms")
	firstEventLatency = stats.NewHistogram("relay_first_event_ms")
	totalLatency      = stats.NewHistogram("relay_whole_ms")
)

// recordServed logs and measures a request that this attempt answered, whose upstream's answer ended as given; the answer to the caller
// began at firstAt.
func (a *attempt) recordServed(status int, ending string, firstAt clock.Time) {
	placed, first, took := a.assignedAt.Sub(a.arrivedAt), firstAt.Sub(a.arrivedAt), a.server.Clock.Now().Sub(a.arrivedAt)
	assignLatency.Record(placed.Duration())
	firstEventLatency.Record(first.Duration())
	totalLatency.Record(took.Duration())
	if strings.HasPrefix(ending, endedByConnection) {
		stats.Event("answers_ended_by_connection")
	}
	klog.InfoS("relay: served", "request", a.callerRequest.RequestID, "status", status, "upstream", a.scheduled.Upstream.ID, "customer", a.customerID(),
		"cost", a.tokenCost(), "model", a.callerRequest.Model, "adapter", a.callerRequest.Adapter, "sends", a.sends, "runs", a.runs, "events", a.delivered.events, "end", ending,
		"placed", placed, "first", first, "took", took, "revision", a.view.Revision)
}
