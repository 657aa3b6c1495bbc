package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/serve"
)

// sample is the load at one time.
type sample struct {
	at      clock.Time
	running int
	waiting int
	free    int
	cold    bool
}

// LoadReport is the answer of GET /load. Models, adapters and memory are current; the
// other numbers lag.
type LoadReport struct {
	// Instance changes when the engine restarts.
	Instance int64   `json:"instance,string"`
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"`
	Free     int     `json:"free_blocks"`
	Blocks   int     `json:"total_blocks"`
	Cold     bool    `json:"cold"`
	Memory   Memory  `json:"memory"`
	Models   []Model `json:"models"`
	Adapters []Model `json:"adapters"`
}

const sampleInterval = 20 * time.Millisecond

func (s *Server) sample() sample {
	return sample{
		at: clock.System{}.Now(), running: len(s.batch.running), waiting: len(s.batch.waiting),
		free: s.batch.free, cold: s.cold.on,
	}
}

// sampleLoad records the load for reports that lag.
func (s *Server) sampleLoad(ctx context.Context) {
	if s.options.LoadLag == 0 {
		return
	}
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.mu.Lock()
			s.samples = append(s.samples, s.sample())
			s.lagged()
			s.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// lagged returns the newest sample that is older than the lag and drops those
// before it.
func (s *Server) lagged() sample {
	if s.options.LoadLag == 0 {
		return s.sample()
	}
	limit := clock.System{}.Now().Add(-s.options.LoadLag)
	n := 0
	for i, v := range s.samples {
		if !v.at.After(limit) {
			n = i
		}
	}
	s.samples = s.samples[n:]
	return s.samples[0]
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	v := s.lagged()
	l := LoadReport{
		Instance: s.instance, Running: v.running, Waiting: v.waiting, Free: v.free, Blocks: s.options.KVBlocks,
		Cold: v.cold, Memory: s.memorySize(), Models: s.memory.list(false), Adapters: s.memory.list(true),
	}
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, l)
}
