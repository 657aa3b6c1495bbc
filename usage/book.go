package usage

import (
	"cmp"
	"maps"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// keptReports is the number of windows whose reports every gateway remembers, in case that the store loses its newest
// writes.
const keptReports = 60

// Book has what a gateway knows of the counts of all gateways, and of what was decided. It is not safe for concurrent use.
type Book struct {
	lives   map[Life]*Totals
	reports map[Window]Report
	// next is the first window that is not known to be decided; 0 if none is.
	next Window
}

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{lives: map[Life]*Totals{}, reports: map[Window]Report{}} }

// Merge adds totals of a process. They may be old, repeated or incomplete.
func (b *Book) Merge(t Totals) {
	known, ok := b.lives[t.Life]
	if !ok {
		known = &Totals{VM: t.VM, Life: t.Life, Windows: map[Window]Counts{}}
		b.lives[t.Life] = known
	}
	known.Until, known.Final = max(known.Until, t.Until), known.Final || t.Final
	for w, n := range t.Windows {
		if w < b.next {
			continue
		}
		if known.Windows[w] == nil {
			known.Windows[w] = Counts{}
		}
		known.Windows[w].merge(n)
	}
}

// Decided records what is reported for a window; those before it are decided too. It changes nothing and returns false
// if something else is known to be reported.
func (b *Book) Decided(r Report) bool {
	if known, ok := b.reports[r.Window]; ok {
		return known.Equal(r)
	}
	b.reports[r.Window] = r
	b.next = max(b.next, r.Window+1)
	maps.DeleteFunc(b.reports, func(w Window, _ Report) bool { return w < b.next-keptReports })
	for _, t := range b.lives {
		maps.DeleteFunc(t.Windows, func(w Window, _ Counts) bool { return w < b.next })
	}
	return true
}

// Report returns what is reported for a window, and false if that is not known.
func (b *Book) Report(w Window) (Report, bool) {
	r, ok := b.reports[w]
	return r, ok
}

// Next returns the first window that is not known to be decided; 0 if none is.
func (b *Book) Next() Window { return b.next }

// Sum returns the counts of a window over all gateways.
func (b *Book) Sum(w Window) Counts {
	sum := Counts{}
	for _, t := range b.lives {
		sum.add(t.Windows[w])
	}
	return sum
}

// First returns the first window of which there are counts, and false if there is none.
func (b *Book) First() (Window, bool) {
	first, ok := Window(0), false
	for _, t := range b.lives {
		for w := range t.Windows {
			if !ok || w < first {
				first, ok = w, true
			}
		}
	}
	return first, ok
}

// last returns the totals of the process that was started last on a VM, nil if none is known.
func (b *Book) last(vm units.VMID) *Totals {
	var last *Totals
	for _, t := range b.lives {
		if t.VM == vm && (last == nil || t.Until > last.Until) {
			last = t
		}
	}
	return last
}

// Covers reports whether the process that was started last on a VM has told all that it counted before an instant.
func (b *Book) Covers(vm units.VMID, i Instant) bool {
	t := b.last(vm)
	return t != nil && t.Until >= i
}

// Ended reports whether the process that was started last on a VM has told that it counts no more.
func (b *Book) Ended(vm units.VMID) bool {
	t := b.last(vm)
	return t != nil && t.Final
}

// Known returns a copy of the totals of all processes on a VM.
func (b *Book) Known(vm units.VMID) []Totals {
	var out []Totals
	for _, t := range b.lives {
		if t.VM == vm {
			out = append(out, t.clone())
		}
	}
	return out
}

// clone returns a copy of the totals.
func (t *Totals) clone() Totals {
	out := *t
	out.Windows = maps.Clone(t.Windows)
	for w, n := range out.Windows {
		out.Windows[w] = maps.Clone(n)
	}
	return out
}

// Totals returns a copy of the totals of all processes that have counts, in order of their lives.
func (b *Book) Totals() []Totals {
	var out []Totals
	for _, t := range b.lives {
		if len(t.Windows) > 0 {
			out = append(out, t.clone())
		}
	}
	slices.SortFunc(out, func(a, b Totals) int { return cmp.Compare(a.Life, b.Life) })
	return out
}

// Prune forgets processes without counts that have told nothing for the span before the instant.
func (b *Book) Prune(now Instant, age clock.Span) {
	maps.DeleteFunc(b.lives, func(_ Life, t *Totals) bool { return len(t.Windows) == 0 && t.Until.Add(age) < now })
}
