// Package start tells what a process does not know because it has just started: what was sent before, by itself or by
// others that stopped at the same moment. Limits over a window of time count it as spent.
package start

import "github.com/magnolialever/magnolialever/clock"

// Start is the start of a process. The zero value stands for one long ago.
type Start struct {
	// At is the time of the start.
	At clock.Time
	// First is set if the whole system started for the first time, so that nothing was sent before.
	First bool
}

// Covers reports whether the window before now includes a time before the start, of which nothing is known.
func (s Start) Covers(now clock.Time, window clock.Span) bool {
	return !s.First && s.At != 0 && now.Sub(s.At) < window
}
