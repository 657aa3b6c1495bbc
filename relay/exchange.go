package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/reside"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

const (
	// maxBody bounds the body of a request where the configuration names no limit.
	maxBody = 4 << 20
	// maxSends bounds the upstreams that one request is offered to, refusals included.
	maxSends = 4
	// givesUp, targetsUp and gapsUp say when a caller leaves a stream that does not
	// begin: after a fixed time, a multiple of the objective or of the pause, whichever
	// is longest.
	givesUp   = 2 * clock.Second
	targetsUp = 4
	gapsUp    = 8
)

// exchange is one request of a caller and its answer.
type exchange struct {
	s       *Server
	w       http.ResponseWriter
	r       *http.Request
	view    *view.Snapshot
	arrived clock.Time

	ask      fleet.Request
	route    *fleet.Route
	service  *fleet.Service
	customer *fleet.Customer
	body     []byte
	// held is the room that the body takes, in bytes.
	held int64
	// fingerprint is the same when the caller sends the request again.
	fingerprint retry.Fingerprint
	// limit is the longest time until the final answer.
	limit clock.Span

	// sends counts offers to upstreams and runs those that may have run.
	sends, runs int
	avoid       []units.UpstreamID
	// begun is set once the head of the answer was sent.
	begun bool
	// finished is set once the final answer was sent, aborted where it must not look
	// complete.
	finished, aborted bool
	stream            events
	kept              *plainAnswer
	upstream          units.UpstreamID
	reason            string
	// placed is when the last upstream was chosen, first when its answer began.
	placed, first clock.Time
}

// check finds the route and the customer and reads the body.
func (x *exchange) check() *refusal {
	x.ask = platform.ReadAsk(x.r.Header)
	c := x.view.Config
	if c == nil {
		return noConfig
	}
	route, ok := c.Route(x.r.Host, x.r.URL.EscapedPath())
	if !ok {
		return noRoute
	}
	x.route = route
	if p := x.authenticate(c); p != nil {
		return p
	}
	x.limit = route.Timeout
	if x.ask.Timeout > 0 && (x.limit <= 0 || x.ask.Timeout < x.limit) {
		x.limit = x.ask.Timeout
	}
	if x.limit <= 0 {
		x.limit = clock.Minute
	}
	if x.service, ok = x.split(c); !ok {
		return &refusal{status: http.StatusServiceUnavailable, code: units.NoUpstream, after: clock.Second}
	}
	if p := x.readBody(c.MaxBodyBytes); p != nil {
		return p
	}
	x.fingerprint = retry.FingerprintOf(x.customerID(), x.r.Method+" "+x.r.RequestURI, x.body)
	if x.s.rejects(x.fingerprint) {
		x.reason = "crashed upstreams"
		return suspected
	}
	return nil
}

func (x *exchange) authenticate(c *fleet.Config) *refusal {
	if len(c.Customers()) == 0 || x.route.Public {
		return nil
	}
	u, ok := c.Customer(x.ask.APIKey)
	if !x.s.KeysUsable(x.arrived) {
		return staleKeys
	}
	if !ok {
		return badKey
	}
	x.customer = u
	return nil
}

// split chooses the service of a route by weight.
func (x *exchange) split(c *fleet.Config) (*fleet.Service, bool) {
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

// rank is the priority of the request; 0 is the most urgent.
func (x *exchange) rank() int {
	if x.customer != nil && x.customer.Priority != nil {
		return *x.customer.Priority
	}
	return x.route.Priority
}

// serve takes the request from the customer's rate and offers it to upstreams until it
// is answered.
func (x *exchange) serve(ctx context.Context) {
	if x.customer != nil {
		ok, after := x.s.Limiter.Take(x.arrived, x.customer, x.cost())
		if !ok {
			x.refuse(&refusal{status: http.StatusTooManyRequests, code: units.RateExceeded, after: after})
			return
		}
	}
	x.s.request(x.service.Name)
	if x.ask.Model != "" {
		x.s.OnModelUse(x.service.Name, x.ask.Model, x.ask.Adapter, reside.Work(x.ask.PromptTokens, x.ask.ExpectedOutput()))
	}
	for !x.finished {
		x.offer(ctx)
	}
}

// offer sends the request to one upstream, or ends it.
func (x *exchange) offer(ctx context.Context) {
	if x.sends > 0 && (x.sends >= maxSends || !x.s.mayRepeat(x.service.Name)) {
		x.giveUp("repeats")
		return
	}
	if x.runs > 0 && x.s.rejects(x.fingerprint) {
		x.giveUp("crashed upstreams")
		return
	}
	k := x.place(ctx)
	if k == nil {
		return
	}
	x.upstream, x.placed = k.Upstream.ID, x.s.Clock.Now()
	x.avoid = append(x.avoid, k.Upstream.ID)
	outcome := x.attempt(ctx, k)
	x.s.outcome(x.fingerprint, k, outcome)
	if outcome != sched.Served && outcome != sched.Canceled {
		klog.V(1).InfoS("relay: attempt failed", "request", x.ask.RequestID, "upstream", k.Upstream.ID, "outcome", outcome, "reason", x.reason, "revision", x.view.Revision)
	}
}

// place waits for an upstream. It returns nil once the request was ended.
func (x *exchange) place(ctx context.Context) *sched.Attempt {
	now := x.s.Clock.Now()
	w := sched.Request{
		Service: x.service, Model: x.ask.Model, Adapter: x.ask.Adapter,
		Prompt: x.ask.PromptTokens, Output: x.ask.ExpectedOutput(), PromptParts: x.ask.PromptParts,
		Rank: x.rank(), FirstEventDue: x.arrived.Add(x.route.TargetLatency), LatestStart: x.lastStart(), Avoid: x.avoid,
	}
	x.s.mu.Lock()
	k := x.s.Scheduler.Add(now, w)
	x.s.mu.Unlock()
	if k.ModelMissing {
		x.s.OnModelMissing(x.service.Name, x.ask.Model, x.ask.Adapter)
	}
	select {
	case <-k.Ready:
	case <-ctx.Done():
		x.s.mu.Lock()
		waiting := x.s.Scheduler.Cancel(k)
		x.s.mu.Unlock()
		if waiting {
			x.reason = "waiting"
			x.end(ctx)
			return nil
		}
		<-k.Ready
	}
	if k.Refused != nil {
		x.reason = "no place"
		x.noPlace(k.Refused)
		return nil
	}
	return k
}

// lastStart is the last time at which a start is of use.
func (x *exchange) lastStart() clock.Time {
	span := x.limit
	if x.route.Stream {
		span = min(span, max(givesUp, targetsUp*x.route.TargetLatency, gapsUp*x.route.MaxEventGap))
	}
	return sched.LatestStart(x.arrived, span)
}

// noPlace ends a request that no upstream takes.
func (x *exchange) noPlace(r *sched.Refusal) {
	if x.runs > 0 || x.begun {
		x.giveUp(string(r.Code))
		return
	}
	x.refuse(&refusal{status: http.StatusServiceUnavailable, code: r.Code, after: r.RetryAfter})
}

// soon is when a caller should come back whose request found no place in time.
const soon = 200 * clock.Millisecond

// Refusals of requests that have not run.
var (
	noUpstream = &refusal{status: http.StatusServiceUnavailable, code: units.NoUpstream, after: soon}
	tooLate    = &refusal{status: http.StatusServiceUnavailable, code: units.DeadlineMissed, after: soon}
)

// giveUp ends a request that can't be sent again.
func (x *exchange) giveUp(reason string) {
	x.reason = reason
	x.fail(broken, noUpstream)
}

// end ends a request at its time limit, or after its caller has left.
func (x *exchange) end(ctx context.Context) {
	if x.r.Context().Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		x.finished = true
		stats.Event("callers_left")
		return
	}
	x.fail(timedOut, tooLate)
}

// fail ends a request with the failure that an upstream answered, if there is one. The
// refusal depends on whether the request may have run.
func (x *exchange) fail(ran, notRun *refusal) {
	switch {
	case x.begun:
		x.cut()
	case x.kept != nil:
		x.deliver(x.kept)
	case x.runs > 0:
		x.refuse(ran)
	default:
		x.refuse(notRun)
	}
}

// cost is the number of tokens that the request takes from its customer's rate.
func (x *exchange) cost() float64 {
	if x.customer == nil {
		return 0
	}
	return x.ask.Cost(x.customer)
}

// Latencies of requests that were answered by an upstream, from their arrival.
var (
	placeTime = stats.NewHistogram("relay_place_ms")
	firstTime = stats.NewHistogram("relay_first_event_ms")
	wholeTime = stats.NewHistogram("relay_whole_ms")
)

// served notes a request that was answered by an upstream.
func (x *exchange) served(status int) {
	placeTime.Record(x.placed.Sub(x.arrived).Duration())
	firstTime.Record(x.first.Sub(x.arrived).Duration())
	wholeTime.Record(x.s.Clock.Now().Sub(x.arrived).Duration())
	klog.InfoS("relay: served", "request", x.ask.RequestID, "status", status, "upstream", x.upstream, "customer", x.customerID(),
		"cost", x.cost(), "model", x.ask.Model, "adapter", x.ask.Adapter, "sends", x.sends, "runs", x.runs, "events", x.stream.count,
		"placed", x.placed.Sub(x.arrived), "first", x.first.Sub(x.arrived), "took", x.s.Clock.Now().Sub(x.arrived), "revision", x.view.Revision)
}

// refuse answers with a refusal of the gateway's own.
func (x *exchange) refuse(p *refusal) {
	x.finished = true
	if x.s.drain.Load() {
		p = &refusal{p.status, p.code, p.after, true}
	}
	p.write(x.w, x.ask.RequestID)
	klog.InfoS("relay: refused", "request", x.ask.RequestID, "code", p.code, "status", p.status, "after", p.after,
		"customer", x.customerID(), "cost", x.cost(), "model", x.ask.Model, "adapter", x.ask.Adapter, "sends", x.sends, "runs", x.runs, "upstream", x.upstream, "reason", x.reason,
		"took", x.s.Clock.Now().Sub(x.arrived), "revision", x.view.Revision)
}

// cut breaks a stream off without its end, so that it does not look complete.
func (x *exchange) cut() {
	x.finished, x.aborted = true, true
	stats.Event("streams_cut")
	klog.InfoS("relay: stream cut", "request", x.ask.RequestID, "upstream", x.upstream, "events", x.stream.count, "reason", x.reason,
		"took", x.s.Clock.Now().Sub(x.arrived))
}
