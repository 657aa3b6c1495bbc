package retry

import "github.com/magnolialever/magnolialever/clock"

// windowSlice is the resolution of a Window.
const windowSlice = clock.Second

// WindowLimit bounds repeated sends to one service in a sliding window.
type WindowLimit struct {
	// Ratio is the number of repeated sends that one request allows.
	Ratio float64
	// Slack is allowed besides.
	Slack float64
	Span  clock.Span
}

// Window keeps the repeated sends of one gateway to one service within its part of a
// limit that holds over all gateways. It answers failures of many upstreams at once,
// where each request would be sent again.
type Window struct {
	limit WindowLimit
	// requests and repeats count by slice of time.
	requests, repeats map[clock.Time]float64
}

// NewWindow returns a Window that has seen nothing.
func NewWindow(l WindowLimit) *Window {
	return &Window{limit: l, requests: map[clock.Time]float64{}, repeats: map[clock.Time]float64{}}
}

// RecordRequest notes a request to the service.
func (w *Window) RecordRequest(now clock.Time) { w.requests[now/clock.Time(windowSlice)]++ }

// Take takes one repeated send, if this gateway's part allows it. The slack is
// divided among the gateways.
func (w *Window) Take(now clock.Time, gateways int) bool {
	allowed := w.limit.Ratio*w.sum(now, w.requests) + w.limit.Slack/float64(max(gateways, 1))
	if w.sum(now, w.repeats)+1 > usedLimitShare*allowed {
		return false
	}
	w.repeats[now/clock.Time(windowSlice)]++
	return true
}

// usedLimitShare is the part of the limit that is used: arrivals that were sent in one
// window may be counted in the next.
const usedLimitShare = 0.8

// sum adds what falls into the window, its first slice included in full.
func (w *Window) sum(now clock.Time, m map[clock.Time]float64) float64 {
	first := now.Add(-w.limit.Span) / clock.Time(windowSlice)
	total := 0.0
	for at, n := range m {
		if at < first {
			delete(m, at)
			continue
		}
		total += n
	}
	return total
}
