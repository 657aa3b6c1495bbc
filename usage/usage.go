// Package usage counts how many requests of each customer began to run at upstreams in each window of time, over all
// gateways, and decides when a window is complete and what is reported for it, once and for all. It performs no I/O.
//
// Each gateway has a Counter and sends its totals to the leader and to a standby. Totals of one process only grow, so that
// they are merged in any order and any number of times (Aggregate). The leader's Reporter closes the windows in order: what
// it will report of one is written into the store before it is reported, so that any successor reports the same.
package usage

import (
	"encoding/json"
	"fmt"
	"maps"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// Instant is a time of day on which the gateways agree, in milliseconds since the start of 1970.
type Instant int64

// Add returns the instant s after i.
func (i Instant) Add(s clock.Span) Instant { return i + Instant(s) }

// At returns the instant of a time of a gateway's clock, of which the offset to the time of day is known.
func At(t clock.Time, offset clock.Span) Instant { return Instant(t).Add(offset) }

// Window numbers a window of time: window k begins k times its length after the start of 1970.
type Window int64

// WindowOf returns the window that an instant lies in.
func WindowOf(i Instant, length clock.Span) Window { return Window(int64(i) / int64(length)) }

// Begin returns the begin of the window.
func (w Window) Begin(length clock.Span) Instant { return Instant(int64(w) * int64(length)) }

// End returns the end of the window, which lies in the next one.
func (w Window) End(length clock.Span) Instant { return (w + 1).Begin(length) }

// Counts are the requests of each customer that began to run.
type Counts map[units.CustomerID]int64

// merge raises the counts to those of other.
func (c Counts) merge(other Counts) {
	for id, n := range other {
		c[id] = max(c[id], n)
	}
}

// add adds the counts of other.
func (c Counts) add(other Counts) {
	for id, n := range other {
		c[id] += n
	}
}

// Total returns the number of requests of all customers.
func (c Counts) Total() int64 {
	sum := int64(0)
	for _, n := range c {
		sum += n
	}
	return sum
}

// Incarnation identifies one run of a gateway process.
type Incarnation uint64

// Totals are what one run of a gateway process has counted so far, of some windows.
type Totals struct {
	VM          units.VMID  `json:"vm"`
	Incarnation Incarnation `json:"life"`
	// SentAt is the process's clock when it stated Until and Sums.
	SentAt clock.Time `json:"-"`
	// Until is the instant up to which all of it is counted; 0 if these totals don't say.
	Until Instant `json:"-"`
	// Sums are the requests of all customers in each window that is not decided, stated with Until. Totals that don't
	// reach them are incomplete.
	Sums map[Window]int64 `json:"-"`
	// Final is set once the process counts no more.
	Final   bool              `json:"-"`
	Windows map[Window]Counts `json:"windows"`
}

// Report is what is reported for a window. It never changes.
type Report struct {
	Window Window `json:"window"`
	Counts Counts `json:"counts"`
}

// Equal reports whether both say the same.
func (r Report) Equal(other Report) bool {
	return r.Window == other.Window && maps.Equal(r.Counts, other.Counts)
}

// State is the value of the key with which the leaders pass on what they have decided.
type State struct {
	// Length is the length of the windows.
	Length clock.Span `json:"length"`
	// Era is that of the store when the state was written.
	Era int64 `json:"era,omitempty"`
	// Next is the first window of which the report is not decided.
	Next Window `json:"next"`
	// Reports are the decided ones that are not known to have arrived, in order.
	Reports []Report `json:"reports"`
	// Totals are those of undecided windows that the last gateway to stop has left.
	Totals []Totals `json:"totals,omitempty"`
}

// Encode returns the state as JSON.
func (s *State) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode usage: %w", err)
	}
	return data, nil
}

// DecodeState parses the value of the key. It fails if it is no state, or if its windows are not in order.
func DecodeState(data []byte) (State, error) {
	var s State
	if err := json.Unmarshal(data, &s); err != nil {
		return State{}, fmt.Errorf("decode usage: %w", err)
	}
	if s.Next <= 0 || s.Length <= 0 {
		return State{}, fmt.Errorf("decode usage: window %d does not come next", s.Next)
	}
	last := Window(0)
	for _, r := range s.Reports {
		if r.Window <= last || r.Window >= s.Next {
			return State{}, fmt.Errorf("decode usage: report of window %d is out of order", r.Window)
		}
		last = r.Window
	}
	return s, nil
}
