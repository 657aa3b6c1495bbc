// Package clock provides the time type of the project: milliseconds on a
// monotonic clock. Decision code receives the current time as an argument, so
// that tests and benchmarks can drive it.
package clock

import (
	"sync/atomic"
	"time"
)

// Time is a point on a process-local monotonic clock, in milliseconds. Times of
// different processes are not comparable.
type Time int64

// Span is a length of time in milliseconds.
type Span int64

// Common spans.
const (
	Millisecond Span = 1
	Second           = 1000 * Millisecond
	Minute           = 60 * Second
	Hour             = 60 * Minute
)

// Add returns the time s after t.
func (t Time) Add(s Span) Time { return t + Time(s) }

// Sub returns the span from u to t.
func (t Time) Sub(u Time) Span { return Span(t - u) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// After reports whether t is later than u.
func (t Time) After(u Time) bool { return t > u }

// Duration converts s for use with the standard library.
func (s Span) Duration() time.Duration { return time.Duration(s) * time.Millisecond }

// Seconds returns s as a floating-point number of seconds.
func (s Span) Seconds() float64 { return float64(s) / float64(Second) }

// FromDuration converts d, rounding down to whole milliseconds.
func FromDuration(d time.Duration) Span { return Span(d / time.Millisecond) }

// Clock returns the current time.
type Clock interface {
	Now() Time
}

// System is the monotonic clock of the process.
type System struct{}

var start = time.Now()

// Now returns the time since the process started. It never returns zero, so that a
// zero Time can stand for "never".
func (System) Now() Time { return Time(time.Since(start)/time.Millisecond) + 1 }

// Manual is a clock for tests that moves only by Advance. It is safe for concurrent use.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a Manual clock set to t.
func NewManual(t Time) *Manual {
	m := &Manual{}
	m.now.Store(int64(t))
	return m
}

// Now returns the time that the clock was last set to.
func (m *Manual) Now() Time { return Time(m.now.Load()) }

// Advance moves the clock forward by s and returns the new time.
func (m *Manual) Advance(s Span) Time { return Time(m.now.Add(int64(s))) }
