package usage

import (
	"maps"
	"reflect"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// closeShare is the part of the delay of a report after which a window is closed although a gateway has not told all
	// that it counted. The rest is for the write to the store and for calls that are not answered.
	closeShare = 0.4
	// minCloseDelay is the least time from the end of a window until it is closed. It covers calls that were sent right
	// before the end and are answered after it.
	minCloseDelay = 500 * clock.Millisecond
	// collectTime is the time for the answers of all gateways after a change of the leader.
	collectTime = 700 * clock.Millisecond
	// askDelay is the time from the end of a window after which gateways that have not told all are asked, and others for
	// what these have told them.
	askDelay = 800 * clock.Millisecond
	// maxBacklog is the number of windows before the current one that are still reported. Nothing is due for older ones.
	maxBacklog = 400
	// maxDecisions is the number of windows that one write decides.
	maxDecisions = 20
)

// Options are the lengths that a Reporter goes by.
type Options struct {
	// Length is the length of a window, Delay the time after its end by which its report is due.
	Length, Delay clock.Span
}

// Reporter decides what is reported, at the gateway that is the leader. It is not safe for concurrent use.
type Reporter struct {
	Options
	book *Book
	// state is what the store holds at the revision, 0 for no value; it is valid once loaded is set.
	state    State
	revision units.Revision
	loaded   bool
	// collecting is the instant until which windows are closed only once all gateways have told what they counted.
	collecting Instant
	// acknowledged are the windows whose reports are known to have arrived.
	acknowledged map[Window]bool
}

// NewReporter returns a Reporter that has not read the store.
func NewReporter(o Options, b *Book) *Reporter {
	return &Reporter{Options: o, book: b, acknowledged: map[Window]bool{}}
}

// Loaded reports whether the state of the store is known. Nothing is decided before.
func (r *Reporter) Loaded() bool { return r.loaded }

// Collect records that this gateway took over the leadership and asked all others for their totals: windows that should
// have been closed before wait for the answers.
func (r *Reporter) Collect(now Instant) { r.collecting = now.Add(collectTime) }

// Unload forgets the state of the store: the leadership has ended, or a write may or may not have taken effect.
func (r *Reporter) Unload() { r.loaded = false }

// Load sets the state that was read from the store with its revision; the revision is 0 if there is none.
func (r *Reporter) Load(s State, revision units.Revision) {
	r.state, r.revision, r.loaded = s, revision, true
	if revision == 0 {
		r.state = State{}
	}
	for _, t := range r.state.Totals {
		r.book.Merge(t)
	}
	for _, report := range r.state.Reports {
		r.book.Decided(report)
	}
}

// Revision returns the revision of the key that the next write replaces; 0 if there is no key.
func (r *Reporter) Revision() units.Revision { return r.revision }

// Written records that a state that Decide returned is in the store at the revision. It returns the reports that it
// decided.
func (r *Reporter) Written(s State, revision units.Revision) []Report {
	before := r.state.Next
	r.state, r.revision = s, revision
	var decided []Report
	for _, report := range s.Reports {
		if report.Window >= before {
			r.book.Decided(report)
			decided = append(decided, report)
		}
	}
	return decided
}

// Decide returns the state to write next, if a window can be closed, or if there is no state yet. All of the gateways
// should have told what they counted. customers are counted with 0 if nothing began.
func (r *Reporter) Decide(now Instant, gateways []units.VMID, customers []units.CustomerID) (State, bool) {
	if !r.loaded {
		return State{}, false
	}
	s := State{Next: r.next(now)}
	for _, report := range r.state.Reports {
		if !r.acknowledged[report.Window] {
			s.Reports = append(s.Reports, report)
		}
	}
	changed := s.Next != r.state.Next
	for range maxDecisions {
		report, known := r.book.Report(s.Next)
		if !known && s.Next >= r.book.Next() {
			if report, known = r.close(now, s.Next, gateways, customers); !known {
				break
			}
		}
		if known {
			s.Reports = append(s.Reports, report)
		}
		// A window that was decided, but not known how, must not be reported otherwise.
		s.Next++
		changed = true
	}
	if changed {
		s.Totals = r.undecided(s.Next)
	}
	return s, changed
}

// Missing returns the gateways that have not told all that they counted in a window that ended a while ago.
func (r *Reporter) Missing(now Instant, gateways []units.VMID) []units.VMID {
	end := r.next(now).End(r.Length)
	if !r.loaded || now < end.Add(askDelay) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(gateways), func(vm units.VMID) bool { return r.book.Covers(vm, end) })
}

// undecided returns the totals of the windows from next on.
func (r *Reporter) undecided(next Window) []Totals {
	var out []Totals
	for _, t := range r.book.Totals() {
		maps.DeleteFunc(t.Windows, func(w Window, _ Counts) bool { return w < next })
		if len(t.Windows) > 0 {
			out = append(out, t)
		}
	}
	return out
}

// Merge returns the state with totals that the store may lack, and whether that changes it.
func (s State) Merge(all []Totals) (State, bool) {
	b := NewBook()
	for _, t := range s.Totals {
		b.Merge(t)
	}
	before := b.Totals()
	for _, t := range all {
		maps.DeleteFunc(t.Windows, func(w Window, _ Counts) bool { return w < s.Next })
		b.Merge(t)
	}
	s.Totals = b.Totals()
	return s, !reflect.DeepEqual(before, s.Totals)
}

// next returns the first window that is not decided in the store. Windows long past are given up. Without a state in the
// store, windows are reported from the first of which anything is known.
func (r *Reporter) next(now Instant) Window {
	current := WindowOf(now, r.Length)
	if r.state.Next > 0 {
		return max(r.state.Next, current-maxBacklog)
	}
	first := current
	if w, ok := r.book.First(); ok {
		first = min(first, w)
	}
	if w := r.book.Next(); w > 0 {
		// The store has lost its value: what was decided is decided again.
		first = w
		for {
			if _, ok := r.book.Report(first - 1); !ok {
				break
			}
			first--
		}
	}
	return max(first, current-maxBacklog)
}

// close returns the report of a window if it can be decided now: the sum of what all gateways have told, once they have
// told everything or the report would be late.
func (r *Reporter) close(now Instant, w Window, gateways []units.VMID, customers []units.CustomerID) (Report, bool) {
	end := w.End(r.Length)
	if now < end.Add(minCloseDelay) {
		return Report{}, false
	}
	untold := slices.ContainsFunc(gateways, func(vm units.VMID) bool { return !r.book.Covers(vm, end) })
	if untold && now < max(r.collecting, end.Add(max(clock.Span(float64(r.Delay)*closeShare), minCloseDelay))) {
		return Report{}, false
	}
	sum := r.book.Sum(w)
	for _, id := range customers {
		sum[id] += 0
	}
	return Report{Window: w, Counts: sum}, true
}

// Due returns the report to send next: of those that are in the store and not acknowledged the first one that is not
// late, or else the first one. One that differs from what this gateway was told before the store lost a write is never
// due.
func (r *Reporter) Due(now Instant) (Report, bool) {
	late, found := Report{}, false
	if !r.loaded {
		return late, false
	}
	for _, report := range r.state.Reports {
		known, ok := r.book.Report(report.Window)
		if !ok || !known.Equal(report) || r.acknowledged[report.Window] {
			continue
		}
		if now <= r.DueAt(report.Window) {
			return report, true
		}
		if !found {
			late, found = report, true
		}
	}
	return late, found
}

// Acknowledge records that the report of a window has arrived.
func (r *Reporter) Acknowledge(w Window) {
	r.acknowledged[w] = true
	maps.DeleteFunc(r.acknowledged, func(v Window, _ bool) bool { return v < w-maxBacklog })
}

// DueAt returns when the report of a window is due.
func (r *Reporter) DueAt(w Window) Instant { return w.End(r.Length).Add(r.Delay) }
