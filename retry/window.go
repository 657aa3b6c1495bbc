package retry

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/start"
)

// sliceLength is the length of the slices in which a Window counts.
const sliceLength = clock.Second

// WindowLimit bounds the repeated sends of requests to one service in a sliding window, over
// all gateways.
type WindowLimit struct {
	// Ratio is the number of repeated sends allowed per request in the window.
	Ratio float64
	// Slack is the number of repeated sends allowed in addition.
	Slack float64
	// Span is the length of the window.
	Span clock.Span
}

// Window keeps the repeated sends of one gateway to one service within the gateway's share of
// a WindowLimit. The limit takes effect when many upstreams fail at once and each request would
// be sent again.
type Window struct {
	limit WindowLimit
	start start.Start
	// requests and repeats are the counts per slice.
	requests, repeats map[clock.Time]float64
}

// NewWindow returns a Window without requests of a process with the start.
func NewWindow(l WindowLimit, s start.Start) *Window {
	return &Window{limit: l, start: s, requests: map[clock.Time]float64{}, repeats: map[clock.Time]float64{}}
}

// RecordRequest records a request to the service; repeated sends don't count.
func (w *Window) RecordRequest(now clock.Time) { w.requests[now/clock.Time(sliceLength)]++ }

// Allows reports whether one more repeated send keeps this gateway's share. The slack is divided equally among the
// gateways. Until a whole window has passed since the start it counts as spent.
func (w *Window) Allows(now clock.Time, gateways int) bool {
	allowed := w.limit.Ratio * w.countInWindow(now, w.requests)
	if !w.start.Covers(now, w.limit.Span) {
		allowed += w.limit.Slack / float64(max(gateways, 1))
	}
	return w.countInWindow(now, w.repeats)+1 <= usedLimitShare*allowed
}

// Take records one repeated send and returns true, or returns false if Allows does.
func (w *Window) Take(now clock.Time, gateways int) bool {
	if !w.Allows(now, gateways) {
		return false
	}
	w.repeats[now/clock.Time(sliceLength)]++
	return true
}

// usedLimitShare is the share of the limit that is used, because a send that is recorded in
// one window may arrive in the next.
const usedLimitShare = 0.8

// countInWindow returns the total of the slices in the window, the oldest one in full. It
// drops older slices.
func (w *Window) countInWindow(now clock.Time, counts map[clock.Time]float64) float64 {
	first := now.Add(-w.limit.Span) / clock.Time(sliceLength)
	total := 0.0
	for at, n := range counts {
		if at < first {
			delete(counts, at)
			continue
		}
		total += n
	}
	return total
}
