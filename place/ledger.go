package place

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// Order asks an upstream to load or unload a target.
type Order struct {
	// ID identifies the order: repeats have the same ID and have no further effect.
	ID string
	// Fence is the fencing number of the leader that issued the order.
	Fence  units.Fence
	Op     Op
	Target units.ModelID
	// Bytes is the memory that the target takes when resident.
	Bytes units.Bytes
	// Base is the base model of an adapter; empty for a model.
	Base units.ModelID
	// Version of the target; empty for the one whose state has been unchanged longest.
	Version string
}

// Step is the action that the agent takes on an order.
type Step uint8

// Steps of agents.
const (
	// Refuse ends the order with the code of the decision.
	Refuse Step = iota
	// Finished ends the order successfully, as there is nothing left to do.
	Finished
	// Send sends the order to the engine. The agent passes its result to Ledger.Complete.
	Send
	// InProgress waits for the same order, which the engine is already executing.
	InProgress
)

// Decision is the ledger's decision on an order.
type Decision struct {
	Step Step
	// Code is the reason for a refusal; empty for other steps.
	Code units.Code
	// Order is set for Send and InProgress, with its version filled in.
	Order Order
}

// Result is the result of an order that was sent to the engine.
type Result uint8

// Results of orders.
const (
	// Done means that the engine has executed the order.
	Done Result = iota
	// Failed means that the engine has not executed the order and will not.
	Failed
	// Uncertain means that the engine may have executed the order or may still do so.
	Uncertain
)

// Options configure a Ledger.
type Options struct {
	// Capacity is the accelerator memory of the upstream. An engine that reports less
	// lowers it.
	Capacity units.Bytes
	// MaxReportLag is the time after which reports show every change, and after which an
	// order with an uncertain result has taken effect or never will.
	MaxReportLag clock.Span
}

// state is the state of one version of a target in the engine's memory.
type state uint8

const (
	loading state = iota
	resident
	unloading
	// uncertain targets may or may not be in memory. Their memory counts as used until the
	// engine confirms that they are unloaded; a report that shows them makes them resident.
	uncertain
)

// key identifies one version of a target; two versions may be in memory at once.
type key struct {
	target  units.ModelID
	version string
}

func (o *Order) key() key { return key{o.Target, o.Version} }

// entry accounts for one version of a target.
type entry struct {
	state state
	bytes units.Bytes
	base  units.ModelID
	// inFlightOrder is the ID of the order that the engine is executing; empty if none.
	// The next three fields are needed to undo that order: the state before it, whether
	// it created the entry, and the memory that it reserved.
	inFlightOrder  string
	previous       state
	createdByOrder bool
	reserved       units.Bytes
	changedAt      clock.Time
}

// Ledger accounts for the accelerator memory of one upstream: free = capacity - resident -
// reserved - unattributed. Memory whose use is uncertain counts as used. A load reserves
// memory before it is sent to the engine; memory is free again only after the engine has
// confirmed the unload. A Ledger is not safe for concurrent use.
type Ledger struct {
	options Options
	// fence is the highest fencing number seen.
	fence units.Fence
	// observed is false until the first report; nothing counts as free until then.
	observed bool
	total    units.Bytes
	entries  map[key]*entry
	// unattributed is memory in use that belongs to no entry.
	unattributed units.Bytes
	// changedAt is the time at which an order last changed any entry.
	changedAt clock.Time
	// reportRequestedAt is the time at which the latest report was requested.
	reportRequestedAt clock.Time
	completed         completedOrders
}

// NewLedger returns a Ledger without free memory until its first report.
func NewLedger(o Options) *Ledger {
	return &Ledger{options: o, total: o.Capacity, entries: map[key]*entry{}, completed: newCompletedOrders()}
}

// RaiseFence raises the fencing number below which orders are refused. A lower f has no
// effect.
func (l *Ledger) RaiseFence(f units.Fence) { l.fence = max(l.fence, f) }

// Fence returns the highest fencing number seen.
func (l *Ledger) Fence() units.Fence { return l.fence }

// Admit decides on an order. If the decision is Send, the memory that the order needs is
// reserved, and the caller must call Complete when the order has ended. Refusals have one
// of these codes: FenceStale, InProgress (another order for the target is in flight or may
// still take effect), NotLoaded (the base model is missing), MemoryFull (a load does not
// fit, or no report has arrived yet) and InvalidRequest.
func (l *Ledger) Admit(now clock.Time, o Order) Decision {
	if o.Fence < l.fence {
		return Decision{Step: Refuse, Code: units.FenceStale}
	}
	l.RaiseFence(o.Fence)
	if l.completed.has(o.ID) {
		return Decision{Step: Finished}
	}
	if o.Version == "" {
		o.Version = l.oldestVersion(o.Target)
	}
	e := l.entries[o.key()]
	if e != nil && e.inFlightOrder != "" {
		if e.inFlightOrder == o.ID {
			return Decision{Step: InProgress, Order: o}
		}
		return Decision{Step: Refuse, Code: units.InProgress}
	}
	if e != nil && e.state == uncertain && !l.reportReflects(now, e.changedAt) {
		// An earlier order may still take effect after this one.
		return Decision{Step: Refuse, Code: units.InProgress}
	}
	d := l.decide(o, e)
	if d.Step == Send {
		if e != nil && o.Op == Unload {
			o.Base = e.base
		}
		d.Order = o
		l.startOrder(now, o, e)
	}
	return d
}

// oldestVersion returns the version of the target whose entry has been unchanged longest,
// or "" if there is none. Orders without a version apply to it.
func (l *Ledger) oldestVersion(target units.ModelID) string {
	version := ""
	var oldest *entry
	for k, e := range l.entries {
		if k.target != target {
			continue
		}
		if oldest == nil || e.changedAt < oldest.changedAt || e.changedAt == oldest.changedAt && k.version < version {
			version, oldest = k.version, e
		}
	}
	return version
}

// decide returns the decision on an order whose target has no other order in flight; e is
// the entry of its target and version, or nil.
func (l *Ledger) decide(o Order, e *entry) Decision {
	switch {
	case o.ID == "" || o.Target == "" || o.Bytes < 0:
		return Decision{Step: Refuse, Code: units.InvalidRequest}
	case o.Op == Load:
		return l.decideLoad(o, e)
	case o.Op == Unload:
		return l.decideUnload(o, e)
	}
	return Decision{Step: Refuse, Code: units.InvalidRequest}
}

func (l *Ledger) decideLoad(o Order, e *entry) Decision {
	switch {
	case e != nil && e.state == resident:
		return Decision{Step: Finished}
	case o.Base != "" && !l.IsResident(o.Base):
		return Decision{Step: Refuse, Code: units.NotLoaded}
	case l.additionalBytes(o, e) > l.Free():
		return Decision{Step: Refuse, Code: units.MemoryFull}
	}
	return Decision{Step: Send}
}

// additionalBytes returns the memory that a load needs beyond that of the entry.
func (l *Ledger) additionalBytes(o Order, e *entry) units.Bytes {
	if e == nil {
		return o.Bytes
	}
	return max(o.Bytes-e.bytes, 0)
}

func (l *Ledger) decideUnload(o Order, e *entry) Decision {
	switch {
	case !l.observed:
		return Decision{Step: Refuse, Code: units.MemoryFull}
	case e == nil:
		return Decision{Step: Finished}
	case l.hasDependents(o):
		return Decision{Step: Refuse, Code: units.InvalidRequest}
	}
	return Decision{Step: Send}
}

// hasDependents reports whether adapters of the target are in memory and no other version
// of it is resident, so that they depend on the version in the order.
func (l *Ledger) hasDependents(o Order) bool {
	adapters := false
	for k, e := range l.entries {
		if k.target == o.Target && k.version != o.Version && e.state == resident {
			return false
		}
		adapters = adapters || e.base == o.Target
	}
	return adapters
}

// startOrder records that the order is in flight, and reserves its memory if it is a load.
func (l *Ledger) startOrder(now clock.Time, o Order, e *entry) {
	if e == nil {
		e = &entry{createdByOrder: true}
		l.entries[o.key()] = e
	}
	e.previous, e.inFlightOrder, e.changedAt, e.state = e.state, o.ID, now, unloading
	if o.Op == Load {
		e.reserved = l.additionalBytes(o, e)
		e.bytes += e.reserved
		e.base, e.state = o.Base, loading
	}
	l.changedAt = now
}

// Complete records the result of an order for which Admit decided Send. It ignores orders
// that are not in flight.
func (l *Ledger) Complete(now clock.Time, o Order, result Result) {
	e := l.entries[o.key()]
	if e == nil || e.inFlightOrder != o.ID {
		return
	}
	l.changedAt = now
	e.changedAt = now
	switch {
	case result == Uncertain:
		e.state = uncertain
	case result == Failed && e.createdByOrder, result == Done && o.Op == Unload:
		delete(l.entries, o.key())
	case result == Failed:
		e.state = e.previous
		e.bytes -= e.reserved
	default:
		e.state = resident
	}
	e.inFlightOrder, e.reserved, e.createdByOrder = "", 0, false
	if result == Done {
		l.completed.add(o.ID)
	}
}

// Free returns the bytes that a load may take; 0 before the first report.
func (l *Ledger) Free() units.Bytes {
	if !l.observed {
		return 0
	}
	return max(l.total-l.accountedBytes()-l.unattributed, 0)
}

// accountedBytes returns the memory of all entries, whatever their state.
func (l *Ledger) accountedBytes() units.Bytes {
	sum := units.Bytes(0)
	for _, e := range l.entries {
		sum += e.bytes
	}
	return sum
}

// Total returns the memory of the upstream in bytes, used and free.
func (l *Ledger) Total() units.Bytes { return l.total }

// Observed reports whether the ledger has received a report of the engine.
func (l *Ledger) Observed() bool { return l.observed }

// IsResident reports whether a version of the target is resident, so that requests for it
// can run. A version that is being unloaded is not: it gets no new requests.
func (l *Ledger) IsResident(target units.ModelID) bool { return l.anyInState(target, resident) }

// IsLoading reports whether a version of the target is being loaded.
func (l *Ledger) IsLoading(target units.ModelID) bool { return l.anyInState(target, loading) }

func (l *Ledger) anyInState(target units.ModelID, s state) bool {
	for k, e := range l.entries {
		if k.target == target && e.state == s {
			return true
		}
	}
	return false
}

// IsAdapter reports whether the target is known to be an adapter.
func (l *Ledger) IsAdapter(target units.ModelID) bool {
	for k, e := range l.entries {
		if k.target == target && e.base != "" {
			return true
		}
	}
	return false
}

// Targets returns the resident targets and those being loaded, each sorted and without
// duplicates.
func (l *Ledger) Targets() (residentTargets, loadingTargets []units.ModelID) {
	for k, e := range l.entries {
		switch e.state {
		case resident:
			residentTargets = append(residentTargets, k.target)
		case loading:
			loadingTargets = append(loadingTargets, k.target)
		}
	}
	slices.Sort(residentTargets)
	slices.Sort(loadingTargets)
	return slices.Compact(residentTargets), slices.Compact(loadingTargets)
}
