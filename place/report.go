package place

import (
	"cmp"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// ReportedTarget is one target in an engine's report.
type ReportedTarget struct {
	Target units.ModelID
	// Bytes is the memory that the target takes; 0 when the engine does not report it.
	Bytes units.Bytes
	// Base is the base model of an adapter; empty for a model.
	Base    units.ModelID
	Version string
	// Pending is set while the target is being loaded or unloaded.
	Pending bool
}

// Report is an engine's report on its memory.
type Report struct {
	// Used is all memory in use.
	Used units.Bytes
	// Total is the memory of the engine; 0 when the engine does not report it.
	Total   units.Bytes
	Targets []ReportedTarget
}

// Observe updates the ledger from a report that was requested at requestedAt. The report
// may be older than the last orders, so it never frees memory that they reserved.
func (l *Ledger) Observe(requestedAt clock.Time, r Report) {
	if r.Total > 0 {
		l.total = min(l.options.Capacity, r.Total)
	}
	reported := map[key]bool{}
	for _, t := range r.Targets {
		reported[key{t.Target, t.Version}] = !t.Pending
		l.observeTarget(requestedAt, t)
	}
	for k, e := range l.entries {
		if e.state == resident && !reported[k] && l.reportReflects(requestedAt, e.changedAt) {
			e.state = uncertain
		}
	}
	if !l.observed || !requestedAt.Before(l.changedAt) {
		l.unattributed = max(r.Used-l.attributedBytes(r), 0)
	}
	l.observed = true
	l.reportRequestedAt = max(l.reportRequestedAt, requestedAt)
}

// EngineRestarted marks all resident targets as uncertain, as the engine has lost its
// memory. The next report shows which targets it has loaded since.
func (l *Ledger) EngineRestarted() {
	for _, e := range l.entries {
		if e.state == resident {
			e.state, e.changedAt = uncertain, 0
		}
	}
}

// reportReflects reports whether a report requested at requestedAt is certain to show a
// change made at changedAt. A changedAt of 0 stands for a change in the distant past.
func (l *Ledger) reportReflects(requestedAt, changedAt clock.Time) bool {
	return !l.observed || changedAt == 0 || requestedAt.After(changedAt.Add(l.options.MaxReportLag))
}

// attributedBytes returns the part of the reported memory that the ledger's entries account
// for. The rest is unattributed, for example a target whose unload was confirmed after the
// report was made.
func (l *Ledger) attributedBytes(r Report) units.Bytes {
	sum := units.Bytes(0)
	for _, t := range r.Targets {
		e := l.entries[key{t.Target, t.Version}]
		switch {
		case e == nil:
		case t.Bytes == 0 && !t.Pending:
			sum += e.bytes
		default:
			sum += min(t.Bytes, e.bytes)
		}
	}
	return sum
}

// observeTarget updates the entry of a reported target, or creates one.
func (l *Ledger) observeTarget(requestedAt clock.Time, t ReportedTarget) {
	k := key{t.Target, t.Version}
	e := l.entries[k]
	if e == nil {
		if !t.Pending && l.reportReflects(requestedAt, l.changedAt) {
			// The engine loaded the target before this agent started.
			l.entries[k] = &entry{state: resident, bytes: t.Bytes, base: t.Base, changedAt: requestedAt}
		}
		// Otherwise the report may be older than the unload of this target. The memory is
		// unattributed until a later report.
		return
	}
	if e.state != uncertain || !l.reportReflects(requestedAt, e.changedAt) {
		return
	}
	e.changedAt = requestedAt
	if !t.Pending {
		e.state = resident
	}
}

// CleanupOrders returns an unload order for each uncertain target that the latest report
// would show if it were resident. The orders are sorted by target and version. Their IDs
// are empty; the caller sets them.
func (l *Ledger) CleanupOrders() []Order {
	var orders []Order
	for k, e := range l.entries {
		if e.state == uncertain && l.reportReflects(l.reportRequestedAt, e.changedAt) {
			orders = append(orders, Order{Fence: l.fence, Op: Unload, Target: k.target, Version: k.version, Base: e.base})
		}
	}
	slices.SortFunc(orders, func(a, b Order) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Version, b.Version))
	})
	return orders
}
