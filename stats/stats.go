// Package stats holds the counters and latency histograms that a process
// publishes through expvar.
package stats

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/magnolialever/magnolialever/units"
)

// Counters published by each process, by reason. A Map has an entry for each
// reason that occurred.
var (
	// Refusals counts refused requests, by code.
	Refusals = expvar.NewMap("refusals")
	// Retries counts attempts that were retried, by code of the failed attempt.
	Retries = expvar.NewMap("retries")
	// Events counts all other events, by name.
	Events = expvar.NewMap("events")
)

// Refuse counts one refusal.
func Refuse(c units.Code) { Refusals.Add(string(c), 1) }

// Retry counts one retry caused by c.
func Retry(c units.Code) { Retries.Add(string(c), 1) }

// Event counts one occurrence of the named event.
func Event(name string) { Events.Add(name, 1) }

const (
	histogramMaxMicros = int64(10 * time.Minute / time.Microsecond)
	histogramDigits    = 3
)

// Histogram records latencies between 1 µs and 10 minutes. It is safe for
// concurrent use.
type Histogram struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

// NewHistogram returns a histogram published through expvar under the name, with
// quantiles in milliseconds.
func NewHistogram(name string) *Histogram {
	h := &Histogram{hist: hdrhistogram.New(1, histogramMaxMicros, histogramDigits)}
	expvar.Publish(name, expvar.Func(h.summary))
	return h
}

// Latency histograms published by each process.
var (
	// FirstToken is the time from the arrival of a request to its first token.
	FirstToken = NewHistogram("first_token_ms")
	// InterToken is the time between two tokens of a stream.
	InterToken = NewHistogram("inter_token_ms")
)

// Record adds one latency; values out of range count as the nearest bound.
func (h *Histogram) Record(d time.Duration) {
	v := min(max(d.Microseconds(), 1), histogramMaxMicros)
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.hist.RecordValue(v) // v is within the bounds of the histogram
}

// Quantile returns the latency at the percentile q, from 0 to 100.
func (h *Histogram) Quantile(q float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.hist.ValueAtQuantile(q)) * time.Microsecond
}

type summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

func (h *Histogram) summary() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	ms := func(q float64) float64 { return float64(h.hist.ValueAtQuantile(q)) / 1000 }
	return summary{Count: h.hist.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99)}
}
