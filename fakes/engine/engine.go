// Package engine is a stand-in for a model engine: an OpenAI-compatible HTTP
// server with continuous batching, whose answers are a function of the prompt.
package engine

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/serve"
	"github.com/magnolialever/magnolialever/units"
)

// Options configure a Server. Zero values stand for the defaults given.
type Options struct {
	// Address to listen on; empty means a free port of 127.0.0.1.
	Address string
	// Capacity is the accelerator memory for models and adapters, 80 GB by default.
	Capacity units.Bytes
	// Models are resident at the start and after a crash.
	Models []Model
	// WeightStore is the address of the weight store; empty means that a load takes only
	// LoadTime.
	WeightStore string
	// LoadTime is what a load takes beside fetching the weights.
	LoadTime clock.Span
	// UnloadTime is what an unload takes; its memory counts as used until the end.
	UnloadTime clock.Span
	// StepTime is the length of a step, 5 ms by default, in which each running
	// request gets one token. A random part up to Jitter is added.
	StepTime   clock.Span
	StepJitter clock.Span
	// FullSpeedRequests is the number of running requests, 50 by default, beyond which steps grow
	// in proportion.
	FullSpeedRequests int
	// MaxRunning limits the running requests, 128 by default; others wait.
	MaxRunning int
	// PrefillTokensPerStep is how much of a prompt one step processes, 512 by default.
	PrefillTokensPerStep int
	// KVBlocks is the number of KV cache blocks of 16 tokens, 16,384 by default.
	KVBlocks int
	// PrefixCacheBlocks is the number of prompt blocks in the prefix cache, 4096 by
	// default.
	PrefixCacheBlocks int
	// EventLag delays the events of the prefix cache.
	EventLag clock.Span
	// EventLossProbability is the share of events that are never delivered.
	EventLossProbability float64
	// LoadLag is the age of the numbers in load reports.
	LoadLag clock.Span
	// CheckFence makes the engine refuse orders with an old fencing number.
	CheckFence bool
	// StartCold makes the engine start cold. It is always cold after a crash.
	StartCold bool
	// MaxColdRequests is the number of requests, 4 by default, that it bears while cold.
	MaxColdRequests int
	// WarmupResponses is the number of answers, 10 by default, after which it is warm.
	WarmupResponses int
	// ColdFactor multiplies the length of a step while cold, 3 by default.
	ColdFactor int
	// CollapseTime is how long it refuses all requests after it collapsed, 1 s by
	// default.
	CollapseTime clock.Span
	// CrashMarker in a prompt crashes the engine; empty means none.
	CrashMarker string
	// RestartDelay is how long it is down after a crash by Marker, 500 ms by default.
	RestartDelay clock.Span
}

func orDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (o *Options) setDefaults() {
	orDefault(&o.Address, "127.0.0.1:0")
	orDefault(&o.Capacity, 80<<30)
	orDefault(&o.StepTime, 5*clock.Millisecond)
	orDefault(&o.FullSpeedRequests, 50)
	orDefault(&o.MaxRunning, 128)
	orDefault(&o.PrefillTokensPerStep, 512)
	orDefault(&o.KVBlocks, 16384)
	orDefault(&o.PrefixCacheBlocks, 4096)
	orDefault(&o.MaxColdRequests, 4)
	orDefault(&o.WarmupResponses, 10)
	orDefault(&o.ColdFactor, 3)
	orDefault(&o.CollapseTime, clock.Second)
	orDefault(&o.RestartDelay, 500*clock.Millisecond)
}

// Faults are the switchable faults.
type Faults struct {
	// Hang stops all steps.
	Hang bool `json:"hang"`
	// SlowFactor multiplies the length of a step; 0 means 1.
	SlowFactor int `json:"slow"`
	// FailRequests is the number of next requests answered with 500 before they run.
	FailRequests int `json:"fail_requests"`
	// CutStreams is the number of next streams that are cut after CutAfter tokens.
	CutStreams int `json:"cut_streams"`
	CutAfter   int `json:"cut_after"`
	// LoseOrderResponses is the number of next orders whose answers are lost after they took
	// effect.
	LoseOrderResponses int `json:"lose_orders"`
	// OrderDelayMillis holds orders before they take effect.
	OrderDelayMillis clock.Span `json:"order_delay_millis"`
}

// Counts are what tests check.
type Counts struct {
	// Requests counts requests received, Done those answered completely, Cancelled
	// those whose caller left, and Refused those that never ran.
	Requests  int64 `json:"requests"`
	Completed int64 `json:"done"`
	Canceled  int64 `json:"cancelled"`
	Refused   int64 `json:"refused"`
	// AbortedByUnload counts requests that ended because their model was unloaded.
	AbortedByUnload int64 `json:"killed"`
	// Tokens counts tokens generated.
	Tokens int64 `json:"tokens"`
	// Crashes and Collapses count failures of the engine.
	Crashes   int64 `json:"crashes"`
	Collapses int64 `json:"collapses"`
	// MaxColdRequests is the highest number of requests at once while cold.
	MaxColdRequests int `json:"max_cold"`
	// Overcommits counts loads that exceeded the capacity, and MaxUsed is the highest
	// use of memory.
	Overcommits int64       `json:"overcommits"`
	MaxUsed     units.Bytes `json:"max_used"`
	// Loads and Unloads count orders that took effect.
	Loads   int64 `json:"loads"`
	Unloads int64 `json:"unloads"`
	// StaleOrders counts orders with a fencing number below the highest seen that
	// took effect, and RefusedOrders those that were refused for it.
	StaleOrders   int64 `json:"stale_orders"`
	RefusedOrders int64 `json:"refused_orders"`
}

// Server is the stand-in.
type Server struct {
	options Options
	web     *serve.Server
	faults  serve.Faults[Faults]
	weights *http.Client
	wake    chan struct{}
	stopped chan struct{}

	mu       sync.Mutex
	counts   Counts
	records  records
	batch    batch
	memory   memory
	cold     cold
	prefix   *prefixCache
	instance int64
	samples  []sample
}

// New opens the listener.
func New(o Options) (*Server, error) {
	o.setDefaults()
	s := &Server{
		options: o, weights: &http.Client{Transport: &http.Transport{}}, wake: make(chan struct{}, 1), stopped: make(chan struct{}),
		prefix: newPrefixCache(o), instance: time.Now().UnixNano(),
	}
	s.memory.reset(o.Models)
	s.batch.free = o.KVBlocks
	s.cold.on = o.StartCold
	s.samples = []sample{s.sample()}
	s.counts.MaxUsed = s.memory.used()
	web, err := serve.Listen(o.Address, s.routes())
	if err != nil {
		return nil, fmt.Errorf("engine stand-in: %w", err)
	}
	s.web = web
	return s, nil
}

// Addr returns the address of the listener.
func (s *Server) Addr() string { return s.web.Addr() }

// Run serves until the context is done. It may be called once.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(s.stopped)
	defer s.weights.CloseIdleConnections()
	ended := make(chan struct{}, 2)
	for _, part := range []func(context.Context){s.steps, s.sampleLoad} {
		go func() {
			part(ctx)
			ended <- struct{}{}
		}()
	}
	err := s.web.Run(ctx)
	cancel()
	<-ended
	<-ended
	return err
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults { return s.faults.Get() }

// Update changes the faults.
func (s *Server) Update(change func(*Faults)) { s.faults.Update(change) }

// Counts returns the counts so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Crash ends the engine as a crash does and restarts it, cold and with the models
// of the options, after the span. With a span of 0 it stays down until Restart.
func (s *Server) Crash(down clock.Span) {
	s.mu.Lock()
	s.counts.Crashes++
	s.instance++
	s.batch.endAll(errCrashed, s.options.KVBlocks)
	s.memory.reset(s.options.Models)
	s.cold = cold{on: true}
	s.prefix.clear(clock.System{}.Now())
	s.mu.Unlock()
	s.web.Crash(down)
}

// Restart ends a crash without a time limit.
func (s *Server) Restart() { s.web.Restart() }

func (s *Server) routes() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/completions", s.completions)
	m.HandleFunc("POST /v1/chat/completions", s.chat)
	m.HandleFunc("POST /v1/embeddings", s.embeddings)
	m.HandleFunc("GET /load", s.serveLoad)
	m.HandleFunc("GET /events", s.serveEvents)
	m.HandleFunc("POST /orders", s.orders)
	s.faultRoutes(m)
	return m
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
