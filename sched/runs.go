package sched

import (
	"math/bits"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// runWindow is the least time for which a run counts; it is forgotten after at most twice as long.
	runWindow = 5 * clock.Minute
	// maxRunKinds bounds the kinds of runs on record.
	maxRunKinds = 256
	// enoughRuns and enoughSingleRuns are how many runs have to be on record before the longest of them bounds the next
	// one, which outlasts all of n like ones with a chance of 1 in n+1. A request that may run once needs more: if it
	// is cut off, its caller can't repeat it.
	enoughRuns       = 4
	enoughSingleRuns = 20
)

// RunKind is what requests whose runs take about as long, for their size, have in common.
type RunKind struct {
	Service units.ServiceID
	// Route is the name of the route.
	Route string
}

// runRecord is what is known of the longest runs: by kind, and by powers of two of their size, since the time to the first
// event weighs less in a long answer than in a short one. Its size is bounded.
type runRecord map[RunKind]*kindRecord

// kindRecord is the record of one kind of runs.
type kindRecord struct {
	// current begins at startedAt and lasts for runWindow; previous is the window before.
	current, previous runWindowRecord
	startedAt         clock.Time
}

// runWindowRecord has the longest runs of a window, indexed by the bit length of their size.
type runWindowRecord [32]longestRun

// longestRun is the longest of a number of runs of about the same size.
type longestRun struct {
	count int
	// took is the longest time, perToken the longest time per token of the size.
	took     clock.Span
	perToken float64
	// total is the sum of the times per token of the runs that ended by themselves.
	total float64
}

// add records a run of the size in tokens; 0 stands for runs without tokens. A run that did not end by itself is not
// counted, but took that long at least.
func (r runRecord) add(now clock.Time, k RunKind, size units.Tokens, took clock.Span, ended bool) {
	w := &r.kind(now, k).current[sizeIndex(size)]
	if ended {
		w.count++
		w.total += float64(took) / float64(max(size, 1))
	}
	w.took = max(w.took, took)
	w.perToken = max(w.perToken, float64(took)/float64(max(size, 1)))
}

// kind returns the record of a kind. It forgets runs that are too old and, for a new kind, the one that was begun first
// if there are too many.
func (r runRecord) kind(now clock.Time, k RunKind) *kindRecord {
	v, ok := r[k]
	if !ok {
		if len(r) >= maxRunKinds {
			delete(r, r.oldest())
		}
		v = &kindRecord{startedAt: now}
		r[k] = v
	}
	switch age := now.Sub(v.startedAt); {
	case age >= 2*runWindow:
		*v = kindRecord{startedAt: now}
	case age >= runWindow:
		*v = kindRecord{previous: v.current, startedAt: now}
	}
	return v
}

// oldest returns the kind whose window began first.
func (r runRecord) oldest() RunKind {
	var oldest RunKind
	var at clock.Time
	for k, v := range r {
		if at == 0 || v.startedAt < at {
			oldest, at = k, v.startedAt
		}
	}
	return oldest
}

// longest returns how long a run of the size is known to take at most, and false if fewer than enough runs tell.
// Runs of about the size count, then smaller ones, whose time per token is longer, then larger ones.
func (r runRecord) longest(now clock.Time, k RunKind, size units.Tokens, enough int) (clock.Span, bool) {
	v := r.kind(now, k)
	var longest clock.Span
	count := 0
	own := sizeIndex(size)
	for i := own; i >= 0 && count < enough && (i > 0 || size == 0); i-- {
		l := v.at(i)
		longest = max(longest, clock.Span(l.perToken*float64(max(size, 1))))
		count += l.count
	}
	for i := own + 1; size > 0 && i < len(v.current) && count < enough; i++ {
		l := v.at(i)
		longest = max(longest, l.took)
		count += l.count
	}
	return longest, count >= enough
}

// at returns the longest runs with the index in both windows.
func (v *kindRecord) at(i int) longestRun {
	a, b := v.current[i], v.previous[i]
	return longestRun{a.count + b.count, max(a.took, b.took), max(a.perToken, b.perToken), a.total + b.total}
}

// mean returns how long runs of about the size take on average, and false if there were none.
func (r runRecord) mean(now clock.Time, k RunKind, size units.Tokens) (clock.Span, bool) {
	l := r.kind(now, k).at(sizeIndex(size))
	if l.count == 0 {
		return 0, false
	}
	return clock.Span(l.total / float64(l.count) * float64(max(size, 1))), true
}

// sizeIndex returns the index of a size in a runWindowRecord.
func sizeIndex(size units.Tokens) int {
	return min(bits.Len64(uint64(max(size, 0))), len(runWindowRecord{})-1)
}
