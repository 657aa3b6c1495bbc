// Package weight is a fake of the platform's store of model weights, which limits the rate and
// the concurrency of loads.
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
	defaultLoadsPerSecond = 1.6
	defaultMaxConcurrent  = 6
	// A response consists of responseChunks chunks, sent at equal intervals over the time of
	// the load.
	responseChunks = 10
	chunkBytes     = 1 << 10
)

// Options configure a Server. Zero values mean the stated defaults.
type Options struct {
	// Address to listen on; empty means a free port of 127.0.0.1.
	Address string
	// LoadsPerSecond limits the rate of loads, 1.6 by default.
	LoadsPerSecond float64
	// Burst is the number of loads that may start at once, MaxConcurrent by default.
	Burst int
	// MaxConcurrent limits the loads in progress, 6 by default.
	MaxConcurrent int
	// LoadTime is the duration of a load.
	LoadTime clock.Span
}

// Faults are the injectable faults.
type Faults struct {
	// Outage closes the connection of every request.
	Outage bool `json:"outage"`
	// SlowFactor multiplies the duration of a load; 0 means 1.
	SlowFactor int `json:"slow"`
	// CutLoads is the number of following loads whose connections are closed halfway.
	CutLoads int `json:"cut_loads"`
}

// Counts are counters since the start.
type Counts struct {
	// Loads counts loads started, and Refused those that exceeded a limit.
	Loads   int64 `json:"loads"`
	Refused int64 `json:"refused"`
	// MaxConcurrent is the highest number of loads that were in progress at once.
	MaxConcurrent int `json:"max_concurrent"`
}

// Server is the fake.
type Server struct {
	options Options
	serve.Base[Faults]
	limiter *rate.Limiter

	mu          sync.Mutex
	counts      Counts
	activeLoads int
}

// New opens the listener; Run serves it.
func New(o Options) (*Server, error) {
	if o.LoadsPerSecond == 0 {
		o.LoadsPerSecond = defaultLoadsPerSecond
	}
	if o.MaxConcurrent == 0 {
		o.MaxConcurrent = defaultMaxConcurrent
	}
	if o.Burst == 0 {
		o.Burst = o.MaxConcurrent
	}
	s := &Server{options: o, limiter: rate.NewLimiter(rate.Limit(o.LoadsPerSecond), o.Burst)}
	m := http.NewServeMux()
	m.HandleFunc("GET /weights/{id}", s.serveWeights)
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

// Counts returns a copy of the counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// startLoad counts a load as started, or as refused if it exceeds a limit; then it returns
// false.
func (s *Server) startLoad() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeLoads >= s.options.MaxConcurrent || !s.limiter.Allow() {
		s.counts.Refused++
		return false
	}
	s.activeLoads++
	s.counts.Loads++
	s.counts.MaxConcurrent = max(s.counts.MaxConcurrent, s.activeLoads)
	return true
}

func (s *Server) endLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeLoads--
}

func (s *Server) serveWeights(w http.ResponseWriter, r *http.Request) {
	if s.Faults().Outage {
		serve.Abort()
	}
	if !s.startLoad() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "rate or concurrency limit exceeded", http.StatusTooManyRequests)
		return
	}
	defer s.endLoad()
	cutIndex := -1
	s.Update(func(f *Faults) {
		if f.CutLoads > 0 {
			f.CutLoads--
			cutIndex = responseChunks / 2
		}
	})
	interval := s.options.LoadTime.Duration() * time.Duration(max(s.Faults().SlowFactor, 1)) / responseChunks
	t := time.NewTimer(interval)
	defer t.Stop()
	chunk := make([]byte, chunkBytes)
	for i := range responseChunks {
		select {
		case <-t.C:
		case <-r.Context().Done():
			return
		}
		t.Reset(interval)
		if i == cutIndex {
			serve.Abort()
		}
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}
