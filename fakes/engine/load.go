package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/serve"
)

// sample is the load at the time takenAt.
type sample struct {
	takenAt    clock.Time
	running    int
	waiting    int
	freeBlocks int
	cold       bool
}

// LoadReport is the response of GET /load. Models, Adapters and Memory are current; Running,
// Waiting, Free and Cold are as old as Options.LoadLag.
type LoadReport struct {
	// Instance identifies one run of the engine; it changes at each restart.
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

// takeSample returns the current load. It requires s.mu to be held.
func (s *Server) takeSample() sample {
	return sample{
		takenAt: clock.System{}.Now(), running: len(s.batch.running), waiting: len(s.batch.waiting),
		freeBlocks: s.batch.freeBlocks, cold: s.cold.active,
	}
}

// recordSamples records the load at intervals for reports with a lag.
func (s *Server) recordSamples(ctx context.Context) {
	if s.options.LoadLag == 0 {
		return
	}
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.mu.Lock()
			s.samples = append(s.samples, s.takeSample())
			s.laggedSample()
			s.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// laggedSample returns the latest sample that is at least as old as LoadLag, and drops the
// samples before it. It requires s.mu to be held.
func (s *Server) laggedSample() sample {
	if s.options.LoadLag == 0 {
		return s.takeSample()
	}
	cutoff := clock.System{}.Now().Add(-s.options.LoadLag)
	newest := 0
	for i, v := range s.samples {
		if !v.takenAt.After(cutoff) {
			newest = i
		}
	}
	s.samples = s.samples[newest:]
	return s.samples[0]
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	v := s.laggedSample()
	l := LoadReport{
		Instance: s.instance, Running: v.running, Waiting: v.waiting, Free: v.freeBlocks, Blocks: s.options.KVBlocks,
		Cold: v.cold, Memory: s.memoryUsage(), Models: s.memory.list(false), Adapters: s.memory.list(true),
	}
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, l)
}
