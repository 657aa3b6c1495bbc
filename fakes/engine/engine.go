// Package engine is a fake model engine: an OpenAI-compatible HTTP server with continuous
// batching, whose responses are a function of the target and the prompt.
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

// Options configure a Server. Zero values mean the stated defaults.
type Options struct {
	// Address to listen on; empty means a free port of 127.0.0.1.
	Address string
	// Capacity is the accelerator memory for models and adapters, 80 GiB by default.
	Capacity units.Bytes
	// Models are resident at the start and after a crash.
	Models []Model
	// WeightStore is the address (host:port) of the weight store. If it is empty, a load takes
	// LoadTime only.
	WeightStore string
	// LoadTime is the duration of a load, not counting the transfer of the weights.
	LoadTime clock.Span
	// UnloadTime is the duration of an unload. The memory counts as used until its end.
	UnloadTime clock.Span
	// StepTime is the duration of a step, 5 ms by default, in which each running request gets
	// one token. A random time of up to StepJitter is added.
	StepTime   clock.Span
	StepJitter clock.Span
	// FullSpeedRequests is the number of running requests, 50 by default, above which the
	// duration of a step grows in proportion to their number.
	FullSpeedRequests int
	// MaxRunning limits the running requests, 128 by default; further requests are queued.
	MaxRunning int
	// PrefillTokensPerStep is the number of prompt tokens of a request that one step
	// processes, 512 by default.
	PrefillTokensPerStep int
	// KVBlocks is the number of KV cache blocks of 16 tokens, 16,384 by default.
	KVBlocks int
	// PrefixCacheBlocks is the capacity of the prefix cache in blocks of 64 prompt bytes, 4096
	// by default.
	PrefixCacheBlocks int
	// EventLag is the delay of prefix cache events.
	EventLag clock.Span
	// EventLossProbability is the probability, from 0 to 1, that an event is never delivered.
	EventLossProbability float64
	// LoadLag is the age of the numbers in load reports.
	LoadLag clock.Span
	// CheckFence makes the engine refuse orders whose fencing number is below the highest
	// seen.
	CheckFence bool
	// StartCold makes the engine start cold. After a crash it is always cold.
	StartCold bool
	// MaxColdRequests is the number of requests at once, 4 by default, above which a cold
	// engine collapses.
	MaxColdRequests int
	// WarmupResponses is the number of complete responses, 10 by default, after which a cold
	// engine is warm.
	WarmupResponses int
	// ColdFactor multiplies the duration of a step while the engine is cold, 3 by default.
	ColdFactor int
	// CollapseTime is the time for which a collapsed engine refuses all requests, 1 s by
	// default.
	CollapseTime clock.Span
	// CrashMarker is a text in a prompt that crashes the engine; empty means none.
	CrashMarker string
	// RestartDelay is the downtime after a crash by CrashMarker, 500 ms by default.
	RestartDelay clock.Span
}

// setDefault sets *v to def if it is the zero value.
func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (o *Options) setDefaults() {
	setDefault(&o.Address, "127.0.0.1:0")
	setDefault(&o.Capacity, 80<<30)
	setDefault(&o.StepTime, 5*clock.Millisecond)
	setDefault(&o.FullSpeedRequests, 50)
	setDefault(&o.MaxRunning, 128)
	setDefault(&o.PrefillTokensPerStep, 512)
	setDefault(&o.KVBlocks, 16384)
	setDefault(&o.PrefixCacheBlocks, 4096)
	setDefault(&o.MaxColdRequests, 4)
	setDefault(&o.WarmupResponses, 10)
	setDefault(&o.ColdFactor, 3)
	setDefault(&o.CollapseTime, clock.Second)
	setDefault(&o.RestartDelay, 500*clock.Millisecond)
}

// Faults are the injectable faults.
type Faults struct {
	// Hang stops the batch: no request makes progress.
	Hang bool `json:"hang"`
	// SlowFactor multiplies the duration of a step; 0 means 1.
	SlowFactor int `json:"slow"`
	// FailRequests is the number of following requests that fail with status 500 before they
	// run.
	FailRequests int `json:"fail_requests"`
	// CutStreams is the number of following streams whose connections are closed after
	// CutAfter tokens.
	CutStreams int `json:"cut_streams"`
	CutAfter   int `json:"cut_after"`
	// UnsizedStreams is the number of following streams without a length, which end with the connection. One that is cut is
	// reset CutSilence ms after its last token.
	UnsizedStreams int        `json:"unsized_streams"`
	CutSilence     clock.Span `json:"cut_silence"`
	// LoseOrderResponses is the number of following orders whose responses are lost after they
	// took effect.
	LoseOrderResponses int `json:"lose_orders"`
	// OrderDelayMillis delays orders before they take effect.
	OrderDelayMillis clock.Span `json:"order_delay_millis"`
}

// Counts are counters since the start.
type Counts struct {
	// Requests counts requests received, Completed those with a complete response, Canceled
	// those whose client disconnected, and Refused those that never ran.
	Requests  int64 `json:"requests"`
	Completed int64 `json:"done"`
	Canceled  int64 `json:"cancelled"`
	Refused   int64 `json:"refused"`
	// AbortedByUnload counts requests that ended because their model was unloaded.
	AbortedByUnload int64 `json:"killed"`
	// Tokens counts generated tokens.
	Tokens int64 `json:"tokens"`
	// Crashes counts crashes, and Collapses overloads of a cold engine.
	Crashes   int64 `json:"crashes"`
	Collapses int64 `json:"collapses"`
	// MaxColdRequests is the highest number of requests at once, queued ones included, while
	// the engine was cold.
	MaxColdRequests int `json:"max_cold"`
	// Overcommits counts loads that exceeded Capacity, and MaxUsed is the highest use of
	// memory in bytes.
	Overcommits int64       `json:"overcommits"`
	MaxUsed     units.Bytes `json:"max_used"`
	// Loads and Unloads count orders that took effect.
	Loads   int64 `json:"loads"`
	Unloads int64 `json:"unloads"`
	// StaleOrders counts orders that took effect although their fencing number was below the
	// highest seen, and RefusedOrders those that were refused for that reason.
	StaleOrders   int64 `json:"stale_orders"`
	RefusedOrders int64 `json:"refused_orders"`
}

// Server is the fake.
type Server struct {
	options      Options
	server       *serve.Server
	faults       serve.Faults[Faults]
	weightClient *http.Client
	submitted    chan struct{}
	stopped      chan struct{}

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

// New opens the listener; Run serves it.
func New(o Options) (*Server, error) {
	o.setDefaults()
	s := &Server{
		options: o, weightClient: &http.Client{Transport: &http.Transport{}}, submitted: make(chan struct{}, 1),
		stopped: make(chan struct{}),
		prefix:  newPrefixCache(o), instance: time.Now().UnixNano(),
	}
	s.memory.reset(o.Models)
	s.batch.freeBlocks = o.KVBlocks
	s.cold.active = o.StartCold
	s.samples = []sample{s.takeSample()}
	s.counts.MaxUsed = s.memory.used()
	web, err := serve.Listen(o.Address, s.routes())
	if err != nil {
		return nil, fmt.Errorf("engine fake: %w", err)
	}
	s.server = web
	return s, nil
}

// Addr returns the listen address as host:port.
func (s *Server) Addr() string { return s.server.Addr() }

// Run serves requests until ctx is done. It returns nil then, and an error if serving fails.
// It may be called only once.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(s.stopped)
	defer s.weightClient.CloseIdleConnections()
	ended := make(chan struct{}, 2)
	for _, part := range []func(context.Context){s.runBatch, s.recordSamples} {
		go func() {
			part(ctx)
			ended <- struct{}{}
		}()
	}
	err := s.server.Run(ctx)
	cancel()
	<-ended
	<-ended
	return err
}

// Faults returns a copy of the injected faults.
func (s *Server) Faults() Faults { return s.faults.Get() }

// Update changes the injected faults under a lock.
func (s *Server) Update(change func(*Faults)) { s.faults.Update(change) }

// Counts returns a copy of the counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Crash closes the listener and all connections, ends all requests, and restarts the engine
// after the downtime, cold and with the models of its options. With a downtime of 0 it stays
// down until Restart is called.
func (s *Server) Crash(downtime clock.Span) {
	s.mu.Lock()
	s.counts.Crashes++
	s.instance++
	s.batch.endAll(errCrashed, s.options.KVBlocks)
	s.memory.reset(s.options.Models)
	s.cold = cold{active: true}
	s.prefix.clear(clock.System{}.Now())
	s.mu.Unlock()
	s.server.Crash(downtime)
}

// Restart ends a crash early.
func (s *Server) Restart() { s.server.Restart() }

func (s *Server) routes() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/completions", s.serveCompletions)
	m.HandleFunc("POST /v1/chat/completions", s.serveChat)
	m.HandleFunc("POST /v1/embeddings", s.serveEmbeddings)
	m.HandleFunc("GET /load", s.serveLoad)
	m.HandleFunc("GET /events", s.serveEvents)
	m.HandleFunc("POST /orders", s.serveOrders)
	s.faultRoutes(m)
	return m
}
