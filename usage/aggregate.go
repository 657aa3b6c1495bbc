package usage

import (
	"cmp"
	"maps"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// keptReports is the number of windows whose reports every gateway remembers, in case that the store loses its newest
	// writes.
	keptReports = 60
	// checkedReports is the number of the newest windows that FirstUnknown looks at.
	checkedReports = 20
)

// Aggregate has what a gateway knows of the counts of all gateways, and of what was decided. It is not safe for concurrent
// use.
type Aggregate struct {
	// totals are those of all known processes, merged from their messages.
	totals map[Incarnation]*Totals
	// byVM has the same totals, in the order in which the processes became known.
	byVM    map[units.VMID][]*Totals
	reports map[Window]Report
	// next is the first window that is not known to be decided; 0 if none is. newest is the last window with counts.
	next, newest Window
}

// NewAggregate returns an empty Aggregate.
func NewAggregate() *Aggregate {
	return &Aggregate{totals: map[Incarnation]*Totals{}, byVM: map[units.VMID][]*Totals{}, reports: map[Window]Report{}}
}

// Merge adds totals of a process. They may be old, repeated or incomplete.
func (a *Aggregate) Merge(t Totals) {
	known, ok := a.totals[t.Incarnation]
	if !ok {
		known = &Totals{VM: t.VM, Incarnation: t.Incarnation, Windows: map[Window]Counts{}}
		a.totals[t.Incarnation] = known
		a.byVM[t.VM] = append(a.byVM[t.VM], known)
	}
	known.Final = known.Final || t.Final
	if t.Until != 0 && t.SentAt >= known.SentAt {
		known.SentAt, known.Until, known.Sums = t.SentAt, t.Until, t.Sums
	}
	for w, n := range t.Windows {
		if w < a.next || w < a.newest-maxBacklog {
			continue
		}
		a.newest = max(a.newest, w)
		if known.Windows[w] == nil {
			known.Windows[w] = Counts{}
		}
		known.Windows[w].merge(n)
	}
}

// Decided records what is reported for a window; those before it are decided too. It changes nothing and returns false
// if something else is known to be reported.
func (a *Aggregate) Decided(r Report) bool {
	if known, ok := a.reports[r.Window]; ok {
		return known.Equal(r)
	}
	a.reports[r.Window] = r
	a.next = max(a.next, r.Window+1)
	maps.DeleteFunc(a.reports, func(w Window, _ Report) bool { return w < a.next-keptReports })
	for _, t := range a.totals {
		maps.DeleteFunc(t.Windows, func(w Window, _ Counts) bool { return w < a.next })
	}
	return true
}

// Report returns what is reported for a window, and false if that is not known.
func (a *Aggregate) Report(w Window) (Report, bool) {
	r, ok := a.reports[w]
	return r, ok
}

// Reports returns the known reports from a window on, in order.
func (a *Aggregate) Reports(from Window) []Report {
	var out []Report
	for w, r := range a.reports {
		if w >= from {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(x, y Report) int { return cmp.Compare(x.Window, y.Window) })
	return out
}

// Next returns the first window that is not known to be decided; 0 if none is.
func (a *Aggregate) Next() Window { return a.next }

// FirstUnknown returns the first of the newest windows whose report isn't known; 0 if no report is.
func (a *Aggregate) FirstUnknown() Window {
	if a.next == 0 {
		return 0
	}
	first := a.next
	for w := range a.reports {
		first = min(first, w)
	}
	for w := max(first, a.next-checkedReports); w < a.next; w++ {
		if _, ok := a.reports[w]; !ok {
			return w
		}
	}
	return a.next
}

// Sum returns the counts of a window over all gateways.
func (a *Aggregate) Sum(w Window) Counts {
	sum := Counts{}
	for _, t := range a.totals {
		sum.add(t.Windows[w])
	}
	return sum
}

// First returns the first window of which there are counts, and false if there is none.
func (a *Aggregate) First() (Window, bool) {
	first, ok := Window(0), false
	for _, t := range a.totals {
		for w := range t.Windows {
			if !ok || w < first {
				first, ok = w, true
			}
		}
	}
	return first, ok
}

// last returns the totals of the process that was started last on a VM, nil if none is known.
func (a *Aggregate) last(vm units.VMID) *Totals {
	for _, t := range slices.Backward(a.byVM[vm]) {
		if t.Until != 0 {
			return t
		}
	}
	return nil
}

// Covers reports whether all is known that the process which was started last on a VM has counted in a window, which ends
// at the instant.
func (a *Aggregate) Covers(vm units.VMID, w Window, end Instant) bool {
	t := a.last(vm)
	return t != nil && t.Until >= end && t.Windows[w].Total() >= t.Sums[w]
}

// Ended reports whether the process that was started last on a VM has said that it counts no more.
func (a *Aggregate) Ended(vm units.VMID) bool {
	t := a.last(vm)
	return t != nil && t.Final
}

// Known returns a copy of the totals of all processes on a VM.
func (a *Aggregate) Known(vm units.VMID) []Totals {
	out := make([]Totals, 0, len(a.byVM[vm]))
	for _, t := range a.byVM[vm] {
		out = append(out, t.clone())
	}
	return out
}

// clone returns a copy of the totals.
func (t *Totals) clone() Totals {
	out := *t
	out.Sums, out.Windows = maps.Clone(t.Sums), maps.Clone(t.Windows)
	for w, n := range out.Windows {
		out.Windows[w] = maps.Clone(n)
	}
	return out
}

// Totals returns a copy of the totals of all processes that have counts, in order of their incarnations.
func (a *Aggregate) Totals() []Totals {
	var out []Totals
	for _, t := range a.totals {
		if len(t.Windows) > 0 {
			out = append(out, t.clone())
		}
	}
	slices.SortFunc(out, func(x, y Totals) int { return cmp.Compare(x.Incarnation, y.Incarnation) })
	return out
}

// Prune forgets processes without counts that have said nothing for the span before the instant.
func (a *Aggregate) Prune(now Instant, age clock.Span) {
	for id, t := range a.totals {
		if len(t.Windows) > 0 || t.Until.Add(age) >= now {
			continue
		}
		delete(a.totals, id)
		a.byVM[t.VM] = slices.DeleteFunc(a.byVM[t.VM], func(other *Totals) bool { return other == t })
		if len(a.byVM[t.VM]) == 0 {
			delete(a.byVM, t.VM)
		}
	}
}
