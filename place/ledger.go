package place

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// Order asks an upstream to load or unload a target.
type Order struct {
	ID      string
	Fence   units.Fence
	Op      Op
	Target  units.ModelID
	Bytes   units.Bytes
	Base    units.ModelID
	Version string
}

// Step is what the agent does with an order.
type Step uint8

// Steps.
const (
	// Refuse ends the order with the code of the verdict.
	Refuse Step = iota
	// Finished means that nothing is left to do.
	Finished
	// Send passes the order to the engine; the agent reports its Answer.
	Send
	// InProgress means that the same order is with the engine already.
	InProgress
)

// Decision is the decision on an order.
type Decision struct {
	Step Step
	Code units.Code
	// Order is the order to send, with the version that it concerns.
	Order Order
}

// Result is what is known of an order that was sent to the engine.
type Result uint8

// Answers.
const (
	// Done: the engine has carried out the order.
	Done Result = iota
	// Failed: the engine did not and will not carry out the order.
	Failed
	// Lost: the engine may have carried out the order, or may do so soon.
	Uncertain
)

// Options configure a ledger.
type Options struct {
	Capacity units.Bytes
	// MaxReportLag is the time within which reports show every change, and within which an
	// order whose answer was lost takes effect or never does.
	MaxReportLag clock.Span
}

type state uint8

const (
	loading state = iota
	resident
	unloading
	// doubtful targets may be in memory or not. They count as used until a report
	// shows them or the engine confirms that they are unloaded.
	doubtful
)

// key names one version of a target; two versions may be in memory at once.
type key struct {
	target  units.ModelID
	version string
}

func (o *Order) key() key { return key{o.Target, o.Version} }

type entry struct {
	state state
	bytes units.Bytes
	base  units.ModelID
	// order is the one that is with the engine; back is the state before it, and
	// added what it reserved.
	order   string
	back    state
	created bool
	added   units.Bytes
	changed clock.Time
}

// Ledger accounts for the memory of one upstream: free = capacity - resident -
// reserved. What is not known counts as used. Memory is reserved before an order to
// load is sent, and is free again only after the engine confirmed the unload.
type Ledger struct {
	options Options
	fence   units.Fence
	// known is false until the first report; nothing counts as free until then.
	known   bool
	total   units.Bytes
	entries map[key]*entry
	// other is memory that the engine uses for something else.
	other   units.Bytes
	changed clock.Time
	// asked is the time of the last report.
	asked clock.Time
	past  results
}

// NewLedger returns a ledger that knows nothing of its engine.
func NewLedger(o Options) *Ledger {
	return &Ledger{options: o, total: o.Capacity, entries: map[key]*entry{}, past: newResults()}
}

// RaiseFence raises the highest fencing number seen.
func (l *Ledger) RaiseFence(f units.Fence) { l.fence = max(l.fence, f) }

// Fence returns the highest fencing number seen.
func (l *Ledger) Fence() units.Fence { return l.fence }

// Admit decides on an order. Memory is reserved when the verdict is to send it.
func (l *Ledger) Admit(now clock.Time, o Order) Decision {
	if o.Fence < l.fence {
		return Decision{Step: Refuse, Code: units.FenceStale}
	}
	l.RaiseFence(o.Fence)
	if l.past.has(o.ID) {
		return Decision{Step: Finished}
	}
	if o.Version == "" {
		o.Version = l.version(o.Target)
	}
	e := l.entries[o.key()]
	if e != nil && e.order != "" {
		if e.order == o.ID {
			return Decision{Step: InProgress, Order: o}
		}
		return Decision{Step: Refuse, Code: units.InProgress}
	}
	if e != nil && e.state == doubtful && !l.settled(now, e.changed) {
		// An earlier order may still take effect, after this one.
		return Decision{Step: Refuse, Code: units.InProgress}
	}
	v := l.decide(o, e)
	if v.Step == Send {
		if e != nil && o.Op == Unload {
			o.Base = e.base
		}
		v.Order = o
		l.begin(now, o, e)
	}
	return v
}

// version returns the version that an order without one concerns: the one in
// memory that changed first.
func (l *Ledger) version(target units.ModelID) string {
	version := ""
	var oldest *entry
	for k, e := range l.entries {
		if k.target != target {
			continue
		}
		if oldest == nil || e.changed < oldest.changed || e.changed == oldest.changed && k.version < version {
			version, oldest = k.version, e
		}
	}
	return version
}

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
	case l.extra(o, e) > l.Free():
		return Decision{Step: Refuse, Code: units.MemoryFull}
	}
	return Decision{Step: Send}
}

// extra returns the memory that a load needs beyond what is counted already.
func (l *Ledger) extra(o Order, e *entry) units.Bytes {
	if e == nil {
		return o.Bytes
	}
	return max(o.Bytes-e.bytes, 0)
}

func (l *Ledger) decideUnload(o Order, e *entry) Decision {
	switch {
	case !l.known:
		return Decision{Step: Refuse, Code: units.MemoryFull}
	case e == nil:
		return Decision{Step: Finished}
	case l.needed(o):
		return Decision{Step: Refuse, Code: units.InvalidRequest}
	}
	return Decision{Step: Send}
}

// needed reports whether adapters run on this version and on no other.
func (l *Ledger) needed(o Order) bool {
	adapters := false
	for k, e := range l.entries {
		if k.target == o.Target && k.version != o.Version && e.state == resident {
			return false
		}
		adapters = adapters || e.base == o.Target
	}
	return adapters
}

func (l *Ledger) begin(now clock.Time, o Order, e *entry) {
	if e == nil {
		e = &entry{created: true}
		l.entries[o.key()] = e
	}
	e.back, e.order, e.changed, e.state = e.state, o.ID, now, unloading
	if o.Op == Load {
		e.added = l.extra(o, e)
		e.bytes += e.added
		e.base, e.state = o.Base, loading
	}
	l.changed = now
}

// Complete reports the end of an order that Order decided to send.
func (l *Ledger) Complete(now clock.Time, o Order, a Result) {
	e := l.entries[o.key()]
	if e == nil || e.order != o.ID {
		return
	}
	l.changed = now
	e.changed = now
	switch {
	case a == Uncertain:
		e.state = doubtful
	case a == Failed && e.created, a == Done && o.Op == Unload:
		delete(l.entries, o.key())
	case a == Failed:
		e.state = e.back
		e.bytes -= e.added
	default:
		e.state = resident
	}
	e.order, e.added, e.created = "", 0, false
	if a == Done {
		l.past.add(o.ID)
	}
}

// Free returns the memory that a load may take.
func (l *Ledger) Free() units.Bytes {
	if !l.known {
		return 0
	}
	return max(l.total-l.counted()-l.other, 0)
}

func (l *Ledger) counted() units.Bytes {
	sum := units.Bytes(0)
	for _, e := range l.entries {
		sum += e.bytes
	}
	return sum
}

// Total returns the memory of the upstream.
func (l *Ledger) Total() units.Bytes { return l.total }

// Observed reports whether the engine has been read.
func (l *Ledger) Observed() bool { return l.known }

// IsResident reports whether requests for the target can run. A target that is being
// unloaded takes no new ones.
func (l *Ledger) IsResident(target units.ModelID) bool { return l.any(target, resident) }

// IsLoading reports whether the target is being loaded.
func (l *Ledger) IsLoading(target units.ModelID) bool { return l.any(target, loading) }

func (l *Ledger) any(target units.ModelID, s state) bool {
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

// Targets returns the resident targets and those being loaded, sorted.
func (l *Ledger) Targets() (ready, pending []units.ModelID) {
	for k, e := range l.entries {
		switch e.state {
		case resident:
			ready = append(ready, k.target)
		case loading:
			pending = append(pending, k.target)
		}
	}
	slices.Sort(ready)
	slices.Sort(pending)
	return slices.Compact(ready), slices.Compact(pending)
}
