package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

const (
	// maxBody is the maximum size of a request body in bytes if the configuration sets no limit.
	maxBody = 4 << 20
	// maxSends is the maximum number of attempts per request, refused ones included.
	maxSends = 4
	// A caller is expected to disconnect from a stream that has not begun after the longest of
	// minFirstEventWait, firstEventTargets times the route's latency objective and firstEventGaps
	// times its maximum gap between events.
	minFirstEventWait = 2 * clock.Second
	firstEventTargets = 4
	firstEventGaps    = 8
)

// exchange is the state of one request of a caller and its response.
type exchange struct {
	server      *Server
	writer      http.ResponseWriter
	httpRequest *http.Request
	view        *view.Snapshot
	arrivedAt   clock.Time
	// keysUsable is set if the API keys of the view were recent enough when the request arrived.
	keysUsable bool

	callerRequest fleet.Request
	route         *fleet.Route
	service       *fleet.Service
	customer      *fleet.Customer
	body          []byte
	// bodyBegun is set once the body is read, bodyEnded once nothing more of it can be read.
	bodyBegun, bodyEnded bool
	// bodyClaim is what the body holds of the server's budget.
	bodyClaim bodyClaim
	// fingerprint identifies the contents of the request: it is the same for retries by the caller.
	fingerprint retry.Fingerprint
	// prompt is what the request shares with others.
	prompt parts.Prompt
	// timeout is the longest time from arrival to the end of the response.
	timeout clock.Span

	// begun is set once the first run is reported to OnBegin.
	begun bool
	// sends counts attempts at upstreams, runs those in which the request may have run.
	sends, runs int
	// tried are the upstreams that must not get the request again.
	tried []units.UpstreamID
	// next is the attempt at another upstream that may follow the current one, whose upstream is silent; may be nil.
	next *successor
	// delivered is what the caller has of a streamed response.
	delivered delivery
	// finished is set once the request needs no further attempt. aborted is set in addition where
	// the response broke off and must not look complete.
	finished, aborted bool
	// failureResponse is the latest 5xx response, sent if no other upstream succeeds.
	failureResponse *bufferedResponse
	// upstream is the upstream of the last attempt; empty before the first one.
	upstream units.UpstreamID
	// reason is why the last attempt failed or the request ended, for logs.
	reason string
}

// validate determines route, customer, timeout and service, reads the body and computes the
// fingerprint. It returns nil for a request that may be sent to upstreams.
func (x *exchange) validate() *refusal {
	x.callerRequest = platform.ParseRequestHeader(x.httpRequest.Header)
	c := x.view.Config
	if c == nil {
		return noConfig
	}
	route, ok := c.Route(x.httpRequest.Host, x.httpRequest.URL.EscapedPath())
	if !ok {
		return noRoute
	}
	x.route = route
	if p := x.authenticate(c); p != nil {
		return p
	}
	x.timeout = route.Timeout
	if x.callerRequest.Timeout > 0 && (x.timeout <= 0 || x.callerRequest.Timeout < x.timeout) {
		x.timeout = x.callerRequest.Timeout
	}
	if x.timeout <= 0 {
		x.timeout = clock.Minute
	}
	if x.service, ok = x.chooseService(c); !ok {
		return &refusal{status: http.StatusServiceUnavailable, code: units.NoUpstream, retryAfter: clock.Second}
	}
	if p := x.readBody(c.MaxBodyBytes); p != nil {
		return p
	}
	x.prompt = promptOf(x.service.Name, &x.callerRequest)
	x.fingerprint = retry.FingerprintOf(x.customerID(), x.httpRequest.Method+" "+x.httpRequest.RequestURI, x.body)
	if x.server.isCrashSuspect(x.fingerprint) {
		x.reason = "crashed upstreams"
		return crashSuspect
	}
	return nil
}

// authenticate sets the customer by the API key, except on public routes and in configurations
// without customers.
func (x *exchange) authenticate(c *fleet.Config) *refusal {
	if len(c.Customers()) == 0 || x.route.Public {
		return nil
	}
	u, ok := c.Customer(x.callerRequest.APIKey)
	if !x.keysUsable {
		return keysNotUsable
	}
	if !ok {
		return invalidKey
	}
	x.customer = u
	return nil
}

// chooseService selects a backend of the route at random by weight. It returns false if there is
// none.
func (x *exchange) chooseService(c *fleet.Config) (*fleet.Service, bool) {
	total := 0
	for _, b := range x.route.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return nil, false
	}
	n := rand.IntN(total)
	for _, b := range x.route.Backends {
		if n < b.Weight {
			return c.Service(b.Service)
		}
		n -= b.Weight
	}
	return nil, false
}

// priority returns the priority of the request; 0 is the most urgent.
func (x *exchange) priority() int {
	if x.customer != nil && x.customer.Priority != nil {
		return *x.customer.Priority
	}
	return x.route.Priority
}

// serve charges the request to the customer's rate limit and tries upstreams until the request is
// finished.
func (x *exchange) serve(ctx context.Context) {
	if !x.mayStart() {
		x.reason = mayOutlastStop
		x.refuseUnplaced(sched.StopRefusal())
		return
	}
	if x.customer != nil {
		ok, retryAfter := x.server.Limiter.Take(ctx, x.customer, x.tokenCost())
		if !ok {
			x.refuse(&refusal{status: http.StatusTooManyRequests, code: units.RateExceeded, retryAfter: retryAfter})
			return
		}
		defer x.refundUnused()
	}
	x.server.recordRequest(x.service.Name)
	if x.hasTarget() {
		x.server.OnModelUse(x.service.Name, x.callerRequest.Model, x.callerRequest.Adapter, x.work())
	}
	for !x.finished {
		x.tryUpstream(ctx)
	}
	x.dropSuccessor()
}

// spendTokens records that the customer's tokens are used by the first run of the request, which may begin now.
func (x *exchange) spendTokens() {
	if x.customer != nil && x.runs == 0 {
		x.server.Limiter.Spend(x.customer, x.tokenCost())
	}
}

// unspendTokens takes spendTokens back if the request has still not run.
func (x *exchange) unspendTokens() {
	if x.customer != nil && x.runs == 0 {
		x.server.Limiter.Unspend(x.customer, x.tokenCost())
	}
}

// recordBegin records that an upstream began to run the request.
func (x *exchange) recordBegin(at clock.Time) {
	if x.begun || x.customer == nil || x.server.OnBegin == nil {
		return
	}
	x.begun = true
	x.server.OnBegin(x.customer.ID, at)
}

// refundUnused returns the customer's tokens if the request has not run.
func (x *exchange) refundUnused() {
	if x.runs == 0 {
		x.server.Limiter.Refund(x.customer, x.tokenCost())
	}
}

// tryUpstream makes one attempt at an upstream, or ends the request.
func (x *exchange) tryUpstream(ctx context.Context) {
	if next := x.takeNext(); next != nil {
		x.follow(ctx, next)
		return
	}
	if x.sends > 0 && (x.sends >= maxSends || !x.server.takeRetry(x.service.Name)) {
		x.giveUp("repeats")
		return
	}
	if x.runs > 0 && x.server.isCrashSuspect(x.fingerprint) {
		x.giveUp("crashed upstreams")
		return
	}
	ticket := x.acquireTicket(ctx)
	if ticket == nil {
		return
	}
	scheduled := x.awaitUpstream(ctx)
	if scheduled == nil {
		ticket.End(nil)
		return
	}
	if !x.confirmTicket(ctx, ticket, scheduled) {
		return
	}
	x.upstream = scheduled.Upstream.ID
	x.tried = append(x.tried, scheduled.Upstream.ID)
	a := x.newAttempt(scheduled, ticket)
	a.logDuringStop()
	x.spendTokens()
	a.finish(ctx, func() sched.Outcome { return a.run(ctx) })
}

// schedulerRequest returns what the scheduler has to know of the request.
func (x *exchange) schedulerRequest() sched.Request {
	r := sched.Request{
		Service: x.service,
		Prompt:  x.callerRequest.PromptTokens, Output: x.callerRequest.ExpectedOutput(), PromptParts: x.callerRequest.PromptParts,
		Rank: x.priority(), FirstEventDue: x.nextEventDue(), LatestStart: x.latestStart(),
		Deadline: x.arrivedAt.Add(x.timeout), Kind: sched.RunKind{Service: x.service.Name, Route: x.route.Name}, Size: x.runSize(),
		Once: x.route.RetryMode == fleet.AtMostOnce, Resumable: x.route.RetryMode == fleet.Resumable, Begun: x.runs > 0,
		Avoid: x.tried,
	}
	if x.service.Engine != nil {
		// Plain services load no models, whatever the caller names.
		r.Model, r.Adapter = x.callerRequest.Model, x.callerRequest.Adapter
	}
	return r
}

// runSize returns the tokens by which the time that the run takes is judged. Another upstream, or another gateway that
// the caller asks, can go on with a resumable stream that was expected to be shorter; all others are judged by the
// longest answer that the caller allows.
func (x *exchange) runSize() units.Tokens {
	if x.route.RetryMode == fleet.Resumable {
		return x.callerRequest.ExpectedOutput()
	}
	return x.callerRequest.MaxOutputTokens
}

// takeNext returns next and forgets it.
func (x *exchange) takeNext() *successor {
	next := x.next
	x.next = nil
	return next
}

// awaitUpstream queues the request until an upstream is assigned. It returns nil if it ended the
// request instead.
func (x *exchange) awaitUpstream(ctx context.Context) *sched.Attempt {
	now := x.server.Clock.Now()
	request := x.schedulerRequest()
	x.server.mu.Lock()
	scheduled := x.server.Scheduler.Add(now, request)
	x.server.mu.Unlock()
	if scheduled.ModelMissing && !x.hasTarget() {
		return x.refuseUnknownTarget(scheduled)
	}
	if scheduled.ModelMissing {
		x.server.OnModelMissing(x.service.Name, x.callerRequest.Model, x.callerRequest.Adapter)
	}
	select {
	case <-scheduled.Ready:
	case <-ctx.Done():
		x.server.mu.Lock()
		waiting := x.server.Scheduler.Cancel(scheduled)
		x.server.mu.Unlock()
		if waiting {
			x.reason = "waiting"
			x.endCanceled(ctx)
			return nil
		}
		<-scheduled.Ready
	}
	if scheduled.Refused != nil {
		x.recordShortage(scheduled.Refused.Code)
		x.reason = "no place"
		if scheduled.Refused.Code == units.Draining {
			x.reason = mayOutlastStop
		}
		x.refuseUnplaced(scheduled.Refused)
		return nil
	}
	if x.service.Engine != nil && x.server.OnPrompt != nil {
		x.server.OnPrompt()
	}
	return scheduled
}

// latestStart returns the time after which starting the request is pointless. The caller of a stream waits about as long
// for its next event as for the first. A stream that has begun may use a part of what is left of that, since the silence
// after which its upstream is given up is longer than the wait from the last event.
func (x *exchange) latestStart() clock.Time {
	since, maxWait := x.arrivedAt, x.timeout
	if x.delivered.headSent {
		since = x.delivered.lastAt
		maxWait -= since.Sub(x.arrivedAt)
	}
	if x.route.Stream {
		maxWait = min(maxWait, max(minFirstEventWait, firstEventTargets*x.route.TargetLatency, firstEventGaps*x.route.MaxEventGap))
	}
	if !x.delivered.headSent {
		return sched.LatestStart(since, maxWait)
	}
	now := x.server.Clock.Now()
	return sched.LatestStart(now, max(since.Add(maxWait).Sub(now), 0))
}

// nextEventDue returns when the answer has to begin, or to go on, to meet the latency objective.
func (x *exchange) nextEventDue() clock.Time {
	if x.delivered.headSent {
		return x.delivered.lastAt.Add(x.route.MaxEventGap)
	}
	return x.arrivedAt.Add(x.route.TargetLatency)
}

// refuseUnplaced ends a request to which no upstream could be assigned.
func (x *exchange) refuseUnplaced(r *sched.Refusal) {
	if x.runs > 0 || x.delivered.headSent {
		x.giveUp(string(r.Code))
		return
	}
	x.refuse(&refusal{status: http.StatusServiceUnavailable, code: r.Code, retryAfter: r.RetryAfter})
}

// placementRetryAfter is sent as Retry-After when no upstream could be assigned in time.
const placementRetryAfter = 200 * clock.Millisecond

// Refusals of requests that have not run.
var (
	noUpstream     = &refusal{status: http.StatusServiceUnavailable, code: units.NoUpstream, retryAfter: placementRetryAfter}
	deadlineMissed = &refusal{status: http.StatusServiceUnavailable, code: units.DeadlineMissed, retryAfter: placementRetryAfter}
	stopping       = &refusal{status: http.StatusServiceUnavailable, code: units.Draining, retryAfter: sched.StopRefusal().RetryAfter}
)

// giveUp ends a request that must not be sent again.
func (x *exchange) giveUp(reason string) {
	x.reason = reason
	x.fail(upstreamFailed, noUpstream)
}

// endCanceled ends a request that timed out, whose caller disconnected or that this gateway's stop ends. A disconnected
// caller gets no response, and one that only sends nothing more gets none that looks complete.
func (x *exchange) endCanceled(ctx context.Context) {
	if errors.Is(context.Cause(ctx), errStopped) {
		x.endStopped()
		return
	}
	if x.httpRequest.Context().Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		x.finished, x.aborted = true, true
		stats.Event("callers_left")
		klog.InfoS("relay: caller left", "request", x.callerRequest.RequestID, "upstream", x.upstream, "model", x.callerRequest.Model,
			"adapter", x.callerRequest.Adapter, "sends", x.sends, "runs", x.runs, "events", x.delivered.events, "reason", x.reason,
			"took", x.server.Clock.Now().Sub(x.arrivedAt), "revision", x.view.Revision)
		return
	}
	x.fail(upstreamTimeout, deadlineMissed)
}

// fail ends a request without success. It aborts a stream that has begun, or else returns an
// upstream's own error response, if there is one. Otherwise it sends ran if the request may have
// run, and notRun if it can't have.
func (x *exchange) fail(ran, notRun *refusal) {
	switch {
	case x.delivered.headSent:
		x.abortStream()
	case x.failureResponse != nil:
		x.writeBuffered(x.failureResponse)
	case x.runs > 0:
		x.refuse(ran)
	default:
		x.refuse(notRun)
	}
}

// tokenCost returns the number of tokens charged to the customer's rate limit; 0 without a customer.
func (x *exchange) tokenCost() float64 {
	if x.customer == nil {
		return 0
	}
	return x.callerRequest.Cost(x.customer)
}

// refuse sends a refusal and finishes the request.
func (x *exchange) refuse(p *refusal) {
	x.finished = true
	if x.server.stopping() {
		p = &refusal{p.status, p.code, p.retryAfter, true}
	}
	p.write(x.writer, x.callerRequest.RequestID)
	klog.InfoS("relay: refused", "request", x.callerRequest.RequestID, "code", p.code, "status", p.status, "after", p.retryAfter,
		"customer", x.customerID(), "cost", x.tokenCost(), "model", x.callerRequest.Model, "adapter", x.callerRequest.Adapter, "sends", x.sends, "runs", x.runs, "upstream", x.upstream, "reason", x.reason,
		"took", x.server.Clock.Now().Sub(x.arrivedAt), "revision", x.view.Revision)
}

// abortStream ends a stream without its terminator, so that the caller sees that it is incomplete.
func (x *exchange) abortStream() {
	x.finished, x.aborted = true, true
	stats.Event("streams_cut")
	klog.InfoS("relay: stream cut", "request", x.callerRequest.RequestID, "upstream", x.upstream, "events", x.delivered.events, "reason", x.reason,
		"took", x.server.Clock.Now().Sub(x.arrivedAt), "limit", x.timeout, "sends", x.sends, "runs", x.runs)
}
