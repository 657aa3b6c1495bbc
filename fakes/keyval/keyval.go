// Package keyval is a fake of the platform's key-value service. It implements the part of the
// etcd v3 JSON API that package store uses.
package keyval

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/serve"
	"github.com/magnolialever/magnolialever/units"
)

const (
	defaultMinHistory  = 100_000
	leaseCheckInterval = 20 * clock.Millisecond
	maxValueBytes      = 1 << 20
)

// Options configure a Server.
type Options struct {
	// Address to listen on; empty means a free port of 127.0.0.1.
	Address string
	// ReadsPerSecond and WritesPerSecond limit the rates of calls; 0 means no limit. Watches
	// count as reads, lease calls as writes.
	ReadsPerSecond  int
	WritesPerSecond int
	// MinHistory is the minimum number of changes that watches and reads of past revisions can
	// access; 0 means 100,000. Older changes are compacted.
	MinHistory int
	// Clock is used for the expiry of leases; nil means clock.System.
	Clock clock.Clock
}

// Faults are the injectable faults.
type Faults struct {
	// Outage closes the connections of all calls, open watches included, before the calls take
	// effect. Leases keep expiring.
	Outage bool `json:"outage"`
	// Refuse makes every call fail with status 503 before it takes effect, and closes
	// open watches.
	Refuse bool `json:"refuse"`
	// DelayMillis delays every call before it takes effect. A call takes effect even if its
	// client has disconnected meanwhile.
	DelayMillis clock.Span `json:"delay_millis"`
	// WatchOutage closes the connections of all watches, but of no other calls.
	WatchOutage bool `json:"watch_outage"`
	// WatchDelayMillis delays the events of watches.
	WatchDelayMillis clock.Span `json:"watch_delay_millis"`
	// LoseResponses is the number of following key writes (put, delete, transaction) whose
	// responses are lost after the writes took effect.
	LoseResponses int `json:"lose_answers"`
	// LoseWrites is the number of following key writes whose connections are closed before the
	// writes take effect.
	LoseWrites int `json:"lose_writes"`
	// CutWatches is the number of following watch messages after which the connection is
	// closed.
	CutWatches int `json:"cut_watches"`
}

// CallCounts counts the calls received, by method.
type CallCounts struct {
	Range     int64 `json:"range"`
	Put       int64 `json:"put"`
	Delete    int64 `json:"delete"`
	Txn       int64 `json:"txn"`
	Grant     int64 `json:"grant"`
	KeepAlive int64 `json:"keepalive"`
	Revoke    int64 `json:"revoke"`
	Watch     int64 `json:"watch"`
	// Limited counts calls that exceeded a rate limit.
	Limited int64 `json:"limited"`
}

// Total returns the number of all calls. A watch counts once, whatever it delivers.
func (c CallCounts) Total() int64 {
	return c.Range + c.Put + c.Delete + c.Txn + c.Grant + c.KeepAlive + c.Revoke + c.Watch
}

// Server is the fake.
type Server struct {
	web        *serve.Server
	clock      clock.Clock
	minHistory int
	reads      *rate.Limiter
	writes     *rate.Limiter
	faults     serve.Faults[Faults]

	mu        sync.Mutex
	calls     CallCounts
	revision  units.Revision
	compacted units.Revision
	data      map[string]keyValue
	history   []keyChange
	leases    map[int64]*lease
	lastLease int64
	// changed is closed and replaced at each change of data.
	changed chan struct{}
	// watchOutage is closed while open watches have to end.
	watchOutage chan struct{}
}

// New opens the listener; Run serves it.
func New(o Options) (*Server, error) {
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	if o.MinHistory == 0 {
		o.MinHistory = defaultMinHistory
	}
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	s := &Server{
		clock: o.Clock, minHistory: o.MinHistory, reads: newLimiter(o.ReadsPerSecond), writes: newLimiter(o.WritesPerSecond),
		revision: 1, data: make(map[string]keyValue), leases: make(map[int64]*lease),
		changed: make(chan struct{}), watchOutage: make(chan struct{}),
	}
	web, err := serve.Listen(o.Address, s.routes())
	if err != nil {
		return nil, fmt.Errorf("key-value fake: %w", err)
	}
	s.web = web
	return s, nil
}

// newLimiter returns a limiter whose burst is one second's worth of calls.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Addr returns the listen address as host:port.
func (s *Server) Addr() string { return s.web.Addr() }

// Run serves requests until ctx is done. It returns nil then, and an error if serving fails.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.expireLeases(ctx)
	}()
	err := s.web.Run(ctx)
	cancel()
	<-done
	return err
}

// Calls returns the numbers of calls received.
func (s *Server) Calls() CallCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Revision returns the current revision.
func (s *Server) Revision() units.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Faults returns a copy of the injected faults.
func (s *Server) Faults() Faults { return s.faults.Get() }

// Update changes the injected faults.
func (s *Server) Update(change func(*Faults)) {
	s.faults.Update(change)
	s.applyOutage()
}

// SetOutage starts or ends an outage of all calls.
func (s *Server) SetOutage(on bool) { s.Update(func(f *Faults) { f.Outage = on }) }

// SetDelay sets the delay of every call; 0 ends it.
func (s *Server) SetDelay(d clock.Span) { s.Update(func(f *Faults) { f.DelayMillis = d }) }

// LoseResponses loses the responses of the next n key writes after they took effect.
func (s *Server) LoseResponses(n int) { s.Update(func(f *Faults) { f.LoseResponses = n }) }

// Compact drops all changes up to the current revision.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.revision
}

// applyOutage closes open watches when an outage starts, and admits new ones when it ends.
func (s *Server) applyOutage() {
	f := s.faults.Get()
	s.mu.Lock()
	defer s.mu.Unlock()
	unavailable := f.Outage || f.Refuse || f.WatchOutage
	closed := isClosed(s.watchOutage)
	switch {
	case unavailable && !closed:
		close(s.watchOutage)
	case !unavailable && closed:
		s.watchOutage = make(chan struct{})
	}
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// admit counts the call and applies the faults and rate limits that precede its effect. It
// returns false after it has written an error response.
func (s *Server) admit(w http.ResponseWriter, counter *int64, class callClass) bool {
	s.mu.Lock()
	*counter++
	s.mu.Unlock()
	f := s.faults.Get()
	if f.Outage {
		serve.Abort()
	}
	if f.DelayMillis > 0 {
		// The delay ignores the request's context: a call takes effect even if its client has
		// disconnected.
		time.Sleep(f.DelayMillis.Duration())
	}
	if f.Refuse {
		writeError(w, http.StatusServiceUnavailable, codeUnavailable, "etcdserver: no leader")
		return false
	}
	l := s.writes
	if class == readCall {
		l = s.reads
	}
	if !l.Allow() {
		s.mu.Lock()
		s.calls.Limited++
		s.mu.Unlock()
		writeError(w, http.StatusTooManyRequests, codeExhausted, "etcdserver: too many requests")
		return false
	}
	return true
}

func loseResponses(f *Faults) *int { return &f.LoseResponses }
func loseWrites(f *Faults) *int    { return &f.LoseWrites }
func cutWatches(f *Faults) *int    { return &f.CutWatches }
