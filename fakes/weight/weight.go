// Package weight is a stand-in for the platform's rate-limited store of model
// weights.
package weight

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/serve"
)

const (
	defaultRate       = 1.6
	defaultConcurrent = 6
	// parts is the number of writes over which an answer is spread.
	parts     = 10
	partBytes = 1 << 10
)

// Options configure a Server. Zero values stand for the defaults given.
type Options struct {
	// Address to listen on; empty means a free port of 127.0.0.1.
	Address string
	// LoadsPerSecond is the number of loads per second, 1.6 by default.
	LoadsPerSecond float64
	// Burst is the number of loads that may start at once, by default Concurrent.
	Burst int
	// MaxConcurrent is the number of loads at the same time, 6 by default.
	MaxConcurrent int
	// LoadTime is what one load takes.
	LoadTime clock.Span
}

// Faults are the switchable faults.
type Faults struct {
	// Outage cuts every call.
	Outage bool `json:"outage"`
	// SlowFactor multiplies the time of a load; 0 means 1.
	SlowFactor int `json:"slow"`
	// CutLoads is the number of next loads that are cut halfway.
	CutLoads int `json:"cut_loads"`
}

// Counts are what tests check.
type Counts struct {
	// Loads counts loads started, Refused those above a limit.
	Loads   int64 `json:"loads"`
	Refused int64 `json:"refused"`
	// MaxConcurrent is the highest number of loads at the same time.
	MaxConcurrent int `json:"max_concurrent"`
}

// Server is the stand-in.
type Server struct {
	options Options
	serve.Base[Faults]
	limit *rate.Limiter

	mu     sync.Mutex
	counts Counts
	active int
}

// New opens the listener.
func New(o Options) (*Server, error) {
	if o.LoadsPerSecond == 0 {
		o.LoadsPerSecond = defaultRate
	}
	if o.MaxConcurrent == 0 {
		o.MaxConcurrent = defaultConcurrent
	}
	if o.Burst == 0 {
		o.Burst = o.MaxConcurrent
	}
	s := &Server{options: o, limit: rate.NewLimiter(rate.Limit(o.LoadsPerSecond), o.Burst)}
	m := http.NewServeMux()
	m.HandleFunc("GET /weights/{id}", s.load)
	m.HandleFunc("GET /fault/counts", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, s.Counts())
	})
	if err := s.Listen("weight store", o.Address, m); err != nil {
		return nil, err
	}
	return s, nil
}

// SetOutage starts or ends an outage.
func (s *Server) SetOutage(on bool) { s.Update(func(f *Faults) { f.Outage = on }) }

// Counts returns the counts so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// enter starts a load unless it exceeds a limit.
func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active >= s.options.MaxConcurrent || !s.limit.Allow() {
		s.counts.Refused++
		return false
	}
	s.active++
	s.counts.Loads++
	s.counts.MaxConcurrent = max(s.counts.MaxConcurrent, s.active)
	return true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	if s.Faults().Outage {
		serve.Abort()
	}
	if !s.enter() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "above the rate or concurrency limit", http.StatusTooManyRequests)
		return
	}
	defer s.leave()
	cut := -1
	s.Update(func(f *Faults) {
		if f.CutLoads > 0 {
			f.CutLoads--
			cut = parts / 2
		}
	})
	pause := s.options.LoadTime.Duration() * time.Duration(max(s.Faults().SlowFactor, 1)) / parts
	t := time.NewTimer(pause)
	defer t.Stop()
	part := make([]byte, partBytes)
	for i := range parts {
		select {
		case <-t.C:
		case <-r.Context().Done():
			return
		}
		t.Reset(pause)
		if i == cut {
			serve.Abort()
		}
		if _, err := w.Write(part); err != nil {
			return
		}
	}
}
