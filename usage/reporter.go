package usage

import (
	"maps"
	"reflect"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// closeShare is the part of the delay of a report after which a window is closed although a gateway has not sent all
	// that it counted. The rest is for the write to the store and for calls that are not answered.
	closeShare = 0.45
	// minCloseDelay is the least time from the end of a window until it is closed.
	minCloseDelay = 500 * clock.Millisecond
	// collectTime is the time for the answers of all gateways after a change of the leader.
	collectTime = 700 * clock.Millisecond
	// askDelay is the part of closeShare after which gateways that have not sent all are asked, and others for what these
	// have sent them.
	askDelay = 0.6
	// maxDecisions is the number of windows that one write decides.
	maxDecisions = 20
)

// Options are what a Reporter goes by.
type Options struct {
	// Length is the length of a window, Delay the time after its end by which its report is due.
	Length, Delay clock.Span
	// FirstStart is set if the system is started for the first time: without a state in the store nothing was ever
	// reported.
	FirstStart bool
}

// Reporter decides what is reported, at the gateway that is the leader. It is not safe for concurrent use.
type Reporter struct {
	Options
	aggregate *Aggregate
	// state is what the store holds at the revision, 0 for no value.
	state    State
	revision units.Revision
	// current is set while the state is known to be that of the store, so that more may be decided; written while its
	// reports are known to have been written under this leadership and era, so that they may be sent.
	current, written bool
	// era is the store's.
	era int64
	// tookOverAt is when this gateway became the leader, or the store's era changed.
	tookOverAt Instant
	// acknowledged are the windows whose reports are known to have arrived.
	acknowledged map[Window]bool
}

// NewReporter returns a Reporter that has not read the store.
func NewReporter(o Options, a *Aggregate) *Reporter {
	return &Reporter{Options: o, aggregate: a, acknowledged: map[Window]bool{}}
}

// TakeOver records that this gateway became the leader and asked all others for what they know. Windows that should have
// been closed before wait for the answers.
func (r *Reporter) TakeOver(now Instant) {
	r.tookOverAt = now
	r.Unload()
}

// SetEra records that the store may have lost its newest writes: its state is read again, and others are asked as after a
// change of the leader.
func (r *Reporter) SetEra(now Instant, era int64) {
	r.era = era
	r.TakeOver(now)
}

// Loaded reports whether the state of the store is known. Nothing is decided before.
func (r *Reporter) Loaded() bool { return r.current }

// Unload forgets the state of the store, as the leadership has ended.
func (r *Reporter) Unload() { r.current, r.written = false, false }

// Recheck records that a write may or may not have taken effect: the state is read again before more is decided. Reports
// that were written before are still due.
func (r *Reporter) Recheck() { r.current = false }

// Load sets the state that was read from the store with its revision; the revision is 0 if there is none. A state for
// windows of another length counts as none, and so do windows that may have been reported before the store lost its
// newest writes, if no gateway remembers any report.
func (r *Reporter) Load(now Instant, s State, revision units.Revision) {
	r.revision, r.current, r.written = revision, true, true
	if revision == 0 || s.Length != r.Length {
		s = State{}
	}
	r.state = s
	for _, report := range s.Reports {
		r.aggregate.Decided(report)
	}
	if s.Next > 0 && s.Era != r.era && r.aggregate.Next() <= s.Next && len(r.aggregate.Reports(s.Next-1)) == 0 {
		r.state.Next = max(s.Next, WindowOf(now, r.Length))
	}
	for _, t := range r.state.Totals {
		r.aggregate.Merge(t)
	}
}

// Revision returns the revision of the key that the next write replaces; 0 if there is no key.
func (r *Reporter) Revision() units.Revision { return r.revision }

// Ahead reports whether the store says that windows of the future are decided: a leader had a wrong clock.
func (r *Reporter) Ahead(now Instant) bool {
	return r.current && r.state.Next > WindowOf(now, r.Length)+1
}

// Written records that a state that Decide returned is in the store at the revision. It returns the reports that it
// decided.
func (r *Reporter) Written(s State, revision units.Revision) []Report {
	before := r.state.Next
	r.state, r.revision = s, revision
	var decided []Report
	for _, report := range s.Reports {
		if report.Window >= before {
			r.aggregate.Decided(report)
			decided = append(decided, report)
		}
	}
	return decided
}

// Decide returns the state to write next, if a window can be closed, or if there is no state yet. All of the gateways
// should have sent what they counted. customers are counted with 0 if nothing began.
func (r *Reporter) Decide(now Instant, gateways []units.VMID, customers []units.CustomerID) (State, bool) {
	if !r.current {
		return State{}, false
	}
	s := State{Length: r.Length, Era: r.era, Next: r.next(now)}
	for _, report := range r.state.Reports {
		if !r.acknowledged[report.Window] && report.Window >= s.Next-maxBacklog {
			s.Reports = append(s.Reports, report)
		}
	}
	changed := s.Next != r.state.Next
	for range maxDecisions {
		report, known := r.aggregate.Report(s.Next)
		if !known && s.Next >= r.aggregate.Next() {
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
		s.Totals = withoutDecided(r.state.Totals, s.Next)
	}
	return s, changed
}

// withoutDecided returns a copy of totals without the windows before next.
func withoutDecided(all []Totals, next Window) []Totals {
	var out []Totals
	for _, t := range all {
		t = t.clone()
		maps.DeleteFunc(t.Windows, func(w Window, _ Counts) bool { return w < next })
		if len(t.Windows) > 0 {
			out = append(out, t)
		}
	}
	return out
}

// Merge returns the state with totals that the store may lack, and whether that changes it.
func (s State) Merge(all []Totals) (State, bool) {
	a := NewAggregate()
	for _, t := range s.Totals {
		a.Merge(t)
	}
	before := a.Totals()
	for _, t := range withoutDecided(all, s.Next) {
		a.Merge(Totals{VM: t.VM, Incarnation: t.Incarnation, Windows: t.Windows})
	}
	s.Totals = a.Totals()
	return s, !reflect.DeepEqual(before, s.Totals)
}

// Missing returns the gateways that have not sent all that they counted in the next window, some time after its end.
func (r *Reporter) Missing(now Instant, gateways []units.VMID) []units.VMID {
	if !r.current {
		return nil
	}
	w := r.next(now)
	if now < w.End(r.Length).Add(clock.FromMilliseconds(float64(r.closeDelay())*askDelay)) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(gateways), func(vm units.VMID) bool { return r.aggregate.Covers(vm, w, w.End(r.Length)) })
}

// next returns the first window that is not decided in the store. Windows long past are given up.
func (r *Reporter) next(now Instant) Window {
	current := WindowOf(now, r.Length)
	if r.state.Next > 0 {
		return max(r.state.Next, current-maxBacklog)
	}
	first := current
	if w, ok := r.aggregate.First(); ok && (r.FirstStart || r.era == 0) {
		// Nothing was reported yet, as far as anybody knows and no write of the store was lost.
		first = min(first, w)
	}
	if w := r.aggregate.Next(); w > 0 {
		// The store has lost its value: what was decided is decided again.
		first = w
		for {
			if _, ok := r.aggregate.Report(first - 1); !ok {
				break
			}
			first--
		}
	}
	return max(first, current-maxBacklog)
}

// closeDelay is the time from the end of a window after which it is closed whatever is missing.
func (r *Reporter) closeDelay() clock.Span {
	return max(clock.FromMilliseconds(float64(r.Delay)*closeShare), minCloseDelay)
}

// close returns the report of a window if it can be decided now: the sum of what all gateways have sent, once they have
// sent everything or the report would be late.
func (r *Reporter) close(now Instant, w Window, gateways []units.VMID, customers []units.CustomerID) (Report, bool) {
	end := w.End(r.Length)
	collecting := r.tookOverAt.Add(collectTime)
	if now < end.Add(minCloseDelay) || (now < collecting && end.Add(minCloseDelay) <= r.tookOverAt) {
		// Another leader may have reported a window that ended before, which others then know.
		return Report{}, false
	}
	missing := slices.ContainsFunc(gateways, func(vm units.VMID) bool { return !r.aggregate.Covers(vm, w, end) })
	if missing && now < max(collecting, end.Add(r.closeDelay())) {
		return Report{}, false
	}
	sum := r.aggregate.Sum(w)
	for _, id := range customers {
		sum[id] += 0
	}
	return Report{Window: w, Counts: sum}, true
}

// Due returns the report to send next: of those that are in the store and not acknowledged the first one that is not
// late, or else the first one. One that differs from what this gateway received before the store lost a write is never
// due.
func (r *Reporter) Due(now Instant) (Report, bool) {
	late, found := Report{}, false
	if !r.written {
		return late, false
	}
	for _, report := range r.state.Reports {
		known, ok := r.aggregate.Report(report.Window)
		if ok && !known.Equal(report) || r.acknowledged[report.Window] {
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
	maps.DeleteFunc(r.acknowledged, func(v Window, _ bool) bool { return v < w-2*maxBacklog })
}

// DueAt returns when the report of a window is due.
func (r *Reporter) DueAt(w Window) Instant { return w.End(r.Length).Add(r.Delay) }
