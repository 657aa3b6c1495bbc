package place

import (
	"cmp"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// ReportedTarget is one target in the memory of an engine.
type ReportedTarget struct {
	Target units.ModelID
	// Bytes is 0 when the engine does not tell.
	Bytes units.Bytes
	// Base is the base model of an adapter.
	Base    units.ModelID
	Version string
	// Pending targets are being loaded or unloaded.
	Pending bool
}

// Report is what an engine says of its memory.
type Report struct {
	// Used is all memory in use.
	Used units.Bytes
	// Total is the memory of the engine, or 0 when it does not tell.
	Total   units.Bytes
	Targets []ReportedTarget
}

// Observe compares the ledger with a report that was asked for at the given time.
// A report may be older than the last orders: it never makes memory free that they
// reserved.
func (l *Ledger) Observe(asked clock.Time, r Report) {
	if r.Total > 0 {
		l.total = min(l.options.Capacity, r.Total)
	}
	shown := map[key]bool{}
	for _, h := range r.Targets {
		shown[key{h.Target, h.Version}] = !h.Pending
		l.show(asked, h)
	}
	for k, e := range l.entries {
		if e.state == resident && !shown[k] && l.settled(asked, e.changed) {
			e.state = doubtful
		}
	}
	l.other = max(r.Used-l.attributed(r), 0)
	l.known = true
	l.asked = max(l.asked, asked)
}

// EngineRestarted tells that the engine has lost its memory. The next report shows what it
// holds now; the rest is in doubt.
func (l *Ledger) EngineRestarted() {
	for _, e := range l.entries {
		if e.state == resident {
			e.state, e.changed = doubtful, 0
		}
	}
}

// settled reports whether a report asked for at the given time shows a change.
func (l *Ledger) settled(asked, changed clock.Time) bool {
	return !l.known || changed == 0 || asked.After(changed.Add(l.options.MaxReportLag))
}

// attributed returns the part of the memory in use that the entries of the ledger
// account for. The rest counts as other use, for example a target whose unload was
// confirmed after the report was made.
func (l *Ledger) attributed(r Report) units.Bytes {
	sum := units.Bytes(0)
	for _, h := range r.Targets {
		e := l.entries[key{h.Target, h.Version}]
		switch {
		case e == nil:
		case h.Bytes == 0 && !h.Pending:
			sum += e.bytes
		default:
			sum += min(h.Bytes, e.bytes)
		}
	}
	return sum
}

func (l *Ledger) show(asked clock.Time, h ReportedTarget) {
	k := key{h.Target, h.Version}
	e := l.entries[k]
	if e == nil {
		if !h.Pending && l.settled(asked, l.changed) {
			// The target was loaded before this agent started.
			l.entries[k] = &entry{state: resident, bytes: h.Bytes, base: h.Base, changed: asked}
		}
		// Otherwise the report may be older than the unload of this target. Its memory
		// counts as other use until a later report decides.
		return
	}
	if e.state != doubtful || !l.settled(asked, e.changed) {
		return
	}
	e.changed = asked
	if !h.Pending {
		e.state = resident
	}
}

// CleanupOrders returns an order to unload for each target of which it is not known
// whether the engine holds it, without ids, sorted. The last report was young enough
// to show these targets and did not.
func (l *Ledger) CleanupOrders() []Order {
	var orders []Order
	for k, e := range l.entries {
		if e.state == doubtful && l.settled(l.asked, e.changed) {
			orders = append(orders, Order{Fence: l.fence, Op: Unload, Target: k.target, Version: k.version, Base: e.base})
		}
	}
	slices.SortFunc(orders, func(a, b Order) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Version, b.Version))
	})
	return orders
}
