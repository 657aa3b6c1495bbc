// Package keyval is a stand-in for the platform's key-value service. It speaks
// the part of the etcd v3 JSON mapping that package store uses.
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
	defaultKeepEvents = 100_000
	lapseInterval     = 20 * clock.Millisecond
	maxValueBytes     = 1 << 20
)

// Options configure a Server.
type Options struct {
	// Address to listen on; empty means a free port of 127.0.0.1.
	Address string
	// ReadsPerSecond and WritesPerSecond limit the calls; 0 means no limit.
	ReadsPerSecond  int
	WritesPerSecond int
	// MinHistory is the least number of changes kept for watches and reads of the past;
	// 0 means 100,000. Older ones are compacted.
	MinHistory int
	// Clock measures leases; nil means clock.System.
	Clock clock.Clock
}

// Faults are the switchable faults.
type Faults struct {
	// Outage cuts every call, also open watches, before it takes effect. Leases run
	// on.
	Outage bool `json:"outage"`
	// Refuse answers every call with 503 before it takes effect.
	Refuse bool `json:"refuse"`
	// DelayMillis holds every call before it takes effect, even if its caller gives
	// up.
	DelayMillis clock.Span `json:"delay_millis"`
	// WatchOutage cuts watches only.
	WatchOutage bool `json:"watch_outage"`
	// WatchDelayMillis holds the events of watches.
	WatchDelayMillis clock.Span `json:"watch_delay_millis"`
	// LoseResponses is the number of next writes of keys whose answers are lost after
	// the write took effect.
	LoseResponses int `json:"lose_answers"`
	// LoseWrites is the number of next writes of keys that are cut before they take effect.
	LoseWrites int `json:"lose_writes"`
	// CutWatches is the number of next watch messages after which the connection is
	// cut.
	CutWatches int `json:"cut_watches"`
}

// CallCounts counts the calls received.
type CallCounts struct {
	Range     int64 `json:"range"`
	Put       int64 `json:"put"`
	Delete    int64 `json:"delete"`
	Txn       int64 `json:"txn"`
	Grant     int64 `json:"grant"`
	KeepAlive int64 `json:"keepalive"`
	Revoke    int64 `json:"revoke"`
	Watch     int64 `json:"watch"`
	// Limited counts calls refused because of the limits.
	Limited int64 `json:"limited"`
}

// Total returns the number of all calls; a watch is one.
func (c CallCounts) Total() int64 {
	return c.Range + c.Put + c.Delete + c.Txn + c.Grant + c.KeepAlive + c.Revoke + c.Watch
}

// Server is the stand-in.
type Server struct {
	web    *serve.Server
	clock  clock.Clock
	keep   int
	reads  *rate.Limiter
	writes *rate.Limiter
	faults serve.Faults[Faults]

	mu        sync.Mutex
	calls     CallCounts
	revision  units.Revision
	compacted units.Revision
	data      map[string]keyValue
	log       []change
	leases    map[int64]*lease
	lastLease int64
	// changed is closed and replaced at each change of data.
	changed chan struct{}
	// outage is closed while watches have to end.
	outage chan struct{}
}

// New opens the listener.
func New(o Options) (*Server, error) {
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	if o.MinHistory == 0 {
		o.MinHistory = defaultKeepEvents
	}
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	s := &Server{
		clock: o.Clock, keep: o.MinHistory, reads: limiter(o.ReadsPerSecond), writes: limiter(o.WritesPerSecond),
		revision: 1, data: make(map[string]keyValue), leases: make(map[int64]*lease),
		changed: make(chan struct{}), outage: make(chan struct{}),
	}
	web, err := serve.Listen(o.Address, s.routes())
	if err != nil {
		return nil, fmt.Errorf("key-value stand-in: %w", err)
	}
	s.web = web
	return s, nil
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Addr returns the address of the listener.
func (s *Server) Addr() string { return s.web.Addr() }

// Run serves until the context is done.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.lapse(ctx)
	}()
	err := s.web.Run(ctx)
	cancel()
	<-done
	return err
}

// Calls returns the counts so far.
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

// Faults returns the faults in force.
func (s *Server) Faults() Faults { return s.faults.Get() }

// Update changes the faults.
func (s *Server) Update(change func(*Faults)) {
	s.faults.Update(change)
	s.applyOutage()
}

// SetOutage starts or ends an outage.
func (s *Server) SetOutage(on bool) { s.Update(func(f *Faults) { f.Outage = on }) }

// SetDelay makes every call take at least the span.
func (s *Server) SetDelay(d clock.Span) { s.Update(func(f *Faults) { f.DelayMillis = d }) }

// LoseResponses loses the answers of the next n writes after they took effect.
func (s *Server) LoseResponses(n int) { s.Update(func(f *Faults) { f.LoseResponses = n }) }

// Compact drops all events up to the current revision.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = nil
	s.compacted = s.revision
}

// applyOutage ends open watches when an outage starts.
func (s *Server) applyOutage() {
	f := s.faults.Get()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := f.Outage || f.Refuse || f.WatchOutage
	closed := isClosed(s.outage)
	switch {
	case out && !closed:
		close(s.outage)
	case !out && closed:
		s.outage = make(chan struct{})
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

// admit applies the faults and limits before a call takes effect. It returns
// false after it has answered.
func (s *Server) admit(w http.ResponseWriter, count *int64, k kind) bool {
	s.mu.Lock()
	*count++
	s.mu.Unlock()
	f := s.faults.Get()
	if f.Outage {
		serve.Abort()
	}
	if f.DelayMillis > 0 {
		// A call that its caller has given up still takes effect.
		time.Sleep(f.DelayMillis.Duration())
	}
	if f.Refuse {
		fail(w, http.StatusServiceUnavailable, codeUnavailable, "etcdserver: no leader")
		return false
	}
	l := s.writes
	if k == read {
		l = s.reads
	}
	if !l.Allow() {
		s.mu.Lock()
		s.calls.Limited++
		s.mu.Unlock()
		fail(w, http.StatusTooManyRequests, codeExhausted, "etcdserver: too many requests")
		return false
	}
	return true
}

// take reports whether one of the counted faults is due.
func (s *Server) take(field func(*Faults) *int) bool {
	due := false
	s.faults.Update(func(f *Faults) {
		if n := field(f); *n > 0 {
			*n--
			due = true
		}
	})
	return due
}

func loseAnswers(f *Faults) *int { return &f.LoseResponses }
func loseWrites(f *Faults) *int  { return &f.LoseWrites }
func cutWatches(f *Faults) *int  { return &f.CutWatches }
