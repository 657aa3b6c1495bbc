// Package relay serves callers on an entry VM: it checks a request, asks for an
// upstream and passes the answer on, event by event for streams.
package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

// Limiter bounds what customers use.
type Limiter interface {
	// Take takes tokens from the customer's rate. Where they don't suffice it returns
	// false and when they may.
	Take(now clock.Time, c *fleet.Customer, tokens float64) (bool, clock.Span)
}

// Options are what a Server needs.
type Options struct {
	Clock     clock.Clock
	Scheduler *sched.Scheduler
	// Limiter bounds the rates of customers.
	Limiter Limiter
	// Retries bounds repeated sends to a service over all gateways.
	Retries retry.WindowLimit
	// KeysUsable reports whether keys can be trusted not to be withdrawn.
	KeysUsable func(now clock.Time) bool
	// OnModelMissing is told of requests for a model or adapter that no upstream holds.
	OnModelMissing func(s units.ServiceID, m units.ModelID, adapter string)
	// BodyBudget bounds the bytes of request bodies under way; 0 is MaxHeld.
	BodyBudget int64
	// OnModelUse is told of the work that requests for a model or adapter bring.
	OnModelUse func(s units.ServiceID, m units.ModelID, adapter string, work float64)
}

// Server handles requests of callers.
type Server struct {
	Options
	view  atomic.Pointer[view.Snapshot]
	pool  *pool
	drain atomic.Bool
	room  room
	// active counts requests under way.
	active atomic.Int64

	mu       sync.Mutex // guards the fields below and Table
	windows  map[units.ServiceID]*retry.Window
	crashes  *retry.CrashDetector
	gateways int
}

// New returns a Server that knows no configuration yet.
func New(o Options) *Server {
	s := &Server{
		Options: o, pool: newPool(o.Clock), gateways: 1,
		windows: map[units.ServiceID]*retry.Window{}, crashes: retry.NewCrashDetector(),
	}
	s.room.most = o.BodyBudget
	if s.room.most <= 0 {
		s.room.most = DefaultBodyBudget
	}
	s.view.Store(&view.Snapshot{})
	return s
}

// SetView replaces the belief that requests are decided by.
func (s *Server) SetView(v *view.Snapshot) {
	s.view.Store(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	s.Scheduler.SetView(now, v)
	s.ended(now, v)
}

// SetGateways sets the number of gateways that share limits.
func (s *Server) SetGateways(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gateways = n
	s.Scheduler.SetGateways(n)
}

// Tick refuses requests that waited too long and closes idle connections.
func (s *Server) Tick() {
	s.mu.Lock()
	s.Scheduler.Dispatch(s.Clock.Now())
	s.mu.Unlock()
	s.pool.prune()
}

// Loads returns what the gateway has under way at each upstream.
func (s *Server) Loads() []sched.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Scheduler.Loads()
}

// SetOtherLoads replaces what the other gateways have under way.
func (s *Server) SetOtherLoads(m map[units.UpstreamID]sched.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Scheduler.SetOtherLoads(m)
	s.Scheduler.Dispatch(s.Clock.Now())
}

// Drain makes the server close each connection after its next answer, and refuse requests
// that have not started by the time, so that their callers can go elsewhere.
func (s *Server) Drain(lastStart clock.Time) {
	s.drain.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Scheduler.SetStartDeadline(lastStart)
}

// Active is the number of requests under way.
func (s *Server) Active() int64 { return s.active.Load() }

// ServeHTTP handles one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	x := &exchange{s: s, w: w, r: r, arrived: s.Clock.Now(), view: s.view.Load()}
	defer func() { s.room.give(x.held) }()
	if s.drain.Load() {
		w.Header().Set("Connection", "close")
	}
	if p := x.check(); p != nil {
		x.refuse(p)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), x.limit.Duration())
	defer cancel()
	x.serve(ctx)
	if x.aborted {
		panic(http.ErrAbortHandler)
	}
}

// request notes a request to the service for the budget of repeated sends.
func (s *Server) request(id units.ServiceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window(id).RecordRequest(s.Clock.Now())
}

// mayRepeat takes one repeated send to the service.
func (s *Server) mayRepeat(id units.ServiceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.window(id).Take(s.Clock.Now(), s.gateways)
}

func (s *Server) window(id units.ServiceID) *retry.Window {
	w, ok := s.windows[id]
	if !ok {
		w = retry.NewWindow(s.Retries)
		s.windows[id] = w
	}
	return w
}
