// Package relay handles callers' requests on an entry VM: it validates a request, waits until the
// scheduler assigns an upstream and relays the response, event by event for streams.
package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/magnolialever/magnolialever/budget"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/notice"
	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/start"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

// Limiter enforces the rate limits of customers. It has to be safe for concurrent use.
type Limiter interface {
	// Take charges tokens to the customer's rate limit. If there are too few, it charges nothing
	// and returns false and the time after which a retry may succeed. It may wait for other gateways,
	// but not much longer than until ctx is done.
	Take(ctx context.Context, c *fleet.Customer, tokens float64) (bool, clock.Span)
	// Spend records that a request whose tokens were charged is sent to an upstream, Unspend that no upstream has run it
	// and that it waits again.
	Spend(c *fleet.Customer, tokens float64)
	Unspend(c *fleet.Customer, tokens float64)
	// Refund returns tokens that were charged for a request that waits and will not run.
	Refund(c *fleet.Customer, tokens float64)
}

// Options are the dependencies and limits of a Server. All fields but Start, Parts, OnVerdict, OnModelShort, OnBegin, OnPrompt, SendTimeout and BodyBudget are required; the
// functions are called from concurrent requests.
type Options struct {
	Clock clock.Clock
	// Scheduler assigns upstreams. The Server guards it by its own lock.
	Scheduler *sched.Scheduler
	// Limiter enforces the rate limits of customers.
	Limiter Limiter
	// Retries is the retry budget per service, shared by all gateways.
	Retries retry.WindowLimit
	// Start is the start of this process.
	Start start.Start
	// KeysUsable reports whether the known API keys are recent enough: keys withdrawn since then
	// are still within the allowed delay of revocation.
	KeysUsable func(now clock.Time) bool
	// OnModelMissing is called for each request for a model or adapter that no upstream has loaded.
	OnModelMissing func(s units.ServiceID, m units.ModelID, adapter string)
	// Parts decides which requests may be sent by the parts of their prompts; a Guard without other
	// gateways if nil.
	Parts *parts.Guard
	// OnVerdict is called by Tick for each request that is refused from now on as it crashed upstreams here; may be nil.
	OnVerdict func(v parts.Verdict)
	// SendTimeout is the time within which the system of an upstream's VM has to acknowledge a request; 0 is no limit.
	// A request that is held up for longer must not arrive: the upstream may have left.
	SendTimeout clock.Span
	// BodyBudget is the limit on the bytes of request bodies buffered at once; 0 means
	// DefaultBodyBudget.
	BodyBudget int64
	// OnModelUse is called for each request that names a model, with its work as estimated by
	// assign.Work.
	OnModelUse func(s units.ServiceID, m units.ModelID, adapter string, work float64)
	// OnModelShort is called for each request that is refused because the upstreams that have loaded its model or adapter
	// are full, or none has, with its work; may be nil.
	OnModelShort func(s units.ServiceID, m units.ModelID, adapter string, work float64)
	// OnBegin is called once for each request of a customer that an upstream began to run, with when that was; may be nil.
	OnBegin func(c units.CustomerID, at clock.Time)
	// OnPrompt is called after a prompt was assigned to an engine; may be nil.
	OnPrompt func()
}

// Server is the http.Handler for callers. Its methods are safe for concurrent use.
type Server struct {
	Options
	view atomic.Pointer[view.Snapshot]
	pool *pool
	// notices are the notices of upstreams to this gateway.
	notices *notice.Board
	// stop has the times of a stop of this gateway; nil if none was requested.
	stop atomic.Pointer[stopTimes]
	// ended is done once the grace period of a stop is over for requests; end makes it so.
	ended context.Context
	end   context.CancelFunc
	// bodies limits the bytes of request bodies buffered at once.
	bodies *budget.Pool
	// reach tells which silent upstreams can be reached.
	reach reach
	// answers limits the bytes of upstreams' responses buffered at once. It has the same limit
	// as bodies, but is separate: an answer must not fail because of requests that wait.
	answers *budget.Pool
	// events limits the bytes of incomplete events, apart from both: upstreams that never end an event must not fail
	// sound answers.
	events eventBudget
	// active counts requests in progress.
	active atomic.Int64

	mu           sync.Mutex // guards the fields below and Scheduler
	retryWindows map[units.ServiceID]*retry.Window
	crashes      *retry.CrashDetector
	gateways     int
}

// answerYieldDelay is the time for which an answer may make no progress, or be taken slowly, before it gives way to others.
// It is longer than that of a request's body, as the request has run.
const answerYieldDelay = 10 * clock.Second

// eventBudgetPart divides the budget for bodies to give that for incomplete events.
const eventBudgetPart = 2

// New returns a Server without a configuration; it refuses requests until SetView is called.
func New(o Options) *Server {
	s := &Server{
		Options: o, pool: newPool(o.Clock, o.SendTimeout), gateways: 1, notices: o.Scheduler.Notices(),
		reach: reach{probes: map[string]*reachProbe{}}, retryWindows: map[units.ServiceID]*retry.Window{}, crashes: retry.NewCrashDetector(),
	}
	if s.Parts == nil {
		s.Parts = parts.NewGuard(o.Clock)
	}
	if s.BodyBudget <= 0 {
		s.BodyBudget = DefaultBodyBudget
	}
	s.bodies, s.answers = budget.NewPool(units.Bytes(s.BodyBudget)), budget.NewPool(units.Bytes(s.BodyBudget))
	s.answers.SetYieldDelay(answerYieldDelay)
	s.events.limit = s.BodyBudget / eventBudgetPart
	s.ended, s.end = context.WithCancel(context.Background())
	s.view.Store(&view.Snapshot{})
	return s
}

// SetView replaces the view of configuration and upstreams for new requests.
func (s *Server) SetView(v *view.Snapshot) {
	s.view.Store(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	s.Scheduler.SetView(now, v)
	s.checkCrashes(now, v)
}

// SetGateways sets the gateways that share limits, and which of them this is.
func (s *Server) SetGateways(self units.VMID, gateways []member.Gateway) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gateways = max(len(gateways), 1)
	s.Scheduler.SetGateways(self, gateways)
}

// Tick refuses requests that were queued too long and closes expired idle connections. The caller has
// to call it periodically.
func (s *Server) Tick() {
	s.mu.Lock()
	s.Scheduler.Dispatch(s.Clock.Now())
	rejected := s.crashes.TakeRejected()
	s.mu.Unlock()
	if s.OnVerdict != nil {
		for _, f := range rejected {
			s.OnVerdict(verdictOn(f))
		}
	}
	s.Parts.Tick()
	s.pool.closeExpired()
}

// Loads returns this gateway's load at each upstream.
func (s *Server) Loads() []sched.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Scheduler.Loads(s.Clock.Now())
}

// Waiting returns the number of requests of each service that wait for an upstream which holds what they ask for.
func (s *Server) Waiting() map[units.ServiceID]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Scheduler.Waiting()
}

// Unreachable returns the upstreams to which this gateway could not connect lately.
func (s *Server) Unreachable() []units.UpstreamID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Scheduler.Unreachable(s.Clock.Now())
}

// SetOtherLoads replaces the sums of the other gateways' loads by upstream. Each of them reports its
// loads once in an interval.
func (s *Server) SetOtherLoads(m map[units.UpstreamID]sched.Load, interval clock.Span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Scheduler.SetOtherLoads(m, interval)
	s.Scheduler.Dispatch(s.Clock.Now())
}

// Config returns the configuration in use; nil before the first one.
func (s *Server) Config() *fleet.Config { return s.view.Load().Config }

// TakeSent returns the prompts that this gateway sent to engines since the last call, one entry an engine.
func (s *Server) TakeSent() []sched.SentPrompts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Scheduler.TakeSent()
}

// RecordOthersSent records prompts that another gateway has just sent to engines.
func (s *Server) RecordOthersSent(sent []sched.SentPrompts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Scheduler.RecordOthersSent(s.Clock.Now(), sent)
}

// Learned returns what was learned of at most a number of upstreams.
func (s *Server) Learned(most int) []sched.Learned {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Scheduler.Learned(s.Clock.Now(), most)
}

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// ServeHTTP handles one request of a caller. It panics with http.ErrAbortHandler to end an incomplete
// stream without its terminator.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	x := &exchange{server: s, writer: w, httpRequest: r, arrivedAt: s.Clock.Now()}
	// In this order the view may be newer than the one whose keys are usable, but not older.
	x.keysUsable = s.KeysUsable(x.arrivedAt)
	x.view = s.view.Load()
	defer x.bodyClaim.release()
	if s.stopping() {
		w.Header().Set("Connection", "close")
	}
	if p := x.validate(); p != nil {
		x.refuse(x.afterBody(p))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), x.timeout.Duration())
	defer cancel()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	defer context.AfterFunc(s.ended, func() { stop(errStopped) })()
	x.serve(ctx)
	if x.aborted {
		panic(http.ErrAbortHandler)
	}
}

// recordRequest counts a request to the service towards its retry budget.
func (s *Server) recordRequest(id units.ServiceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryWindow(id).RecordRequest(s.Clock.Now())
}

// takeRetry charges one retry to the budget of the service and reports whether it sufficed.
func (s *Server) takeRetry(id units.ServiceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryWindow(id).Take(s.Clock.Now(), s.gateways)
}

// retryWindow returns the retry budget of the service. The caller holds s.mu.
func (s *Server) retryWindow(id units.ServiceID) *retry.Window {
	w, ok := s.retryWindows[id]
	if !ok {
		w = retry.NewWindow(s.Retries, s.Start)
		s.retryWindows[id] = w
	}
	return w
}
