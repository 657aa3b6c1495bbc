package assign

import (
	"slices"
	"sync"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

const (
	// maxDescriptionAge is the maximum age of an upstream's description on receipt. Within
	// this time of an accepted order, a description may predate the order.
	maxDescriptionAge = clock.Second
	// modelOrderTimeout is the time after which an accepted model order without a visible effect
	// counts as lost.
	modelOrderTimeout = 6 * clock.Second
	// adapterSettleTime is how long an ordered adapter may be missing from the upstream's
	// descriptions.
	adapterSettleTime = 3 * clock.Second
	// refusedRetryDelay is the delay before the next call to an upstream that refused an
	// order or sent an outdated report.
	refusedRetryDelay = 150 * clock.Millisecond
	// refusedUnloadDelay is the delay before the next order to unload an adapter that the upstream refused to unload: it is
	// in use. Gateways stop using it for each try.
	refusedUnloadDelay = 2 * clock.Second
	// unansweredTTL is how long an order without an answer counts as accepted while no report can be read.
	unansweredTTL = 1500 * clock.Millisecond
	// errorRetryDelay is the delay before the next call to an upstream that didn't respond.
	errorRetryDelay = 100 * clock.Millisecond
)

// PlannedOrder is an order to load or unload a model, or an adapter if Adapter is set.
type PlannedOrder struct {
	Upstream units.UpstreamID
	Service  units.ServiceID
	Unload   bool
	Model    units.ModelID
	Adapter  string
	// ExpectedOrders is the number of orders accepted by the upstream so far; the upstream
	// refuses the order if its own count differs.
	ExpectedOrders int64
	// FromWeightStore is set for loads that probably read from the weight store, because
	// the host has no copy.
	FromWeightStore bool
}

// Result is the outcome of an order.
type Result uint8

// Results of orders.
const (
	// Accepted means that the upstream executes the order.
	Accepted Result = iota
	// AlreadyApplied means that the upstream was already in the ordered state.
	AlreadyApplied
	// Refused means that the upstream executes another order, or has accepted one that this
	// ledger doesn't include.
	Refused
	// Unanswered means that the outcome is unknown and the order may still be executed.
	Unanswered
	// UpstreamGone means that the upstream no longer exists.
	UpstreamGone
)

// upstreamState tracks the models and orders of one upstream.
type upstreamState struct {
	// processStart is the start time of the upstream's process, which identifies it.
	processStart int64
	// acceptedOrders is the number of orders that the process has accepted; -1 is unknown.
	acceptedOrders int64
	models         map[units.ModelID]*modelCopy
	// stale is set while the state may lack orders; it takes a report to clear it.
	stale bool
	// callPending is set while an order or a read of a report is in flight.
	callPending bool
	// pendingOrder is the order in flight, or one without an answer until the next report; nil if there is none.
	pendingOrder *PlannedOrder
	// unansweredAt is when pendingOrder was given up without an answer; 0 while it is in flight.
	unansweredAt clock.Time
	// described is set once the models of the process are known.
	described bool
	// activeOrder is the model order that the upstream executes since activeSince.
	activeOrder *PlannedOrder
	activeSince clock.Time
	// loading is the model of the last order to load one that the upstream may execute since loadingSince and that
	// has had no visible effect yet; empty if there is none.
	loading      units.ModelID
	loadingSince clock.Time
	// unloadRefusedAt is when the upstream last refused to unload an adapter.
	unloadRefusedAt map[Target]clock.Time
	// retryAt is the earliest time of the next call.
	retryAt clock.Time
	// lastAccepted is the time of the last accepted order.
	lastAccepted clock.Time
	entry        *view.Entry
}

// modelCopy is a model that is resident on an upstream or being loaded there.
type modelCopy struct {
	// adapters maps each adapter to the time of its load.
	adapters map[string]clock.Time
	loading  bool
	since    clock.Time
	// loadedAt is when the load ended; 0 if it ended before this ledger knew the process.
	loadedAt clock.Time
}

func newCopy(now clock.Time) *modelCopy {
	return &modelCopy{adapters: map[string]clock.Time{}, since: now}
}

// Ledger tracks the resident models of each upstream and the orders in flight.
type Ledger struct {
	states map[units.UpstreamID]*upstreamState
	// replaced maps upstreams at whose address another one answered to their process start. Their
	// descriptions may outlive them.
	replaced map[units.UpstreamID]int64
	// loads holds back models that end the upstreams that load them.
	loads *retry.Holdback[modelKey]
}

// modelKey identifies a model of a service.
type modelKey struct {
	service units.ServiceID
	model   units.ModelID
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{states: map[units.UpstreamID]*upstreamState{}, replaced: map[units.UpstreamID]int64{}, loads: retry.NewHoldback[modelKey]()}
}

// UpdateUpstreams replaces the set of upstreams and applies the new descriptions of those that
// belong to the services in engines. A new process of an upstream starts with an empty, stale
// state.
func (l *Ledger) UpdateUpstreams(now clock.Time, upstreams map[units.UpstreamID]*view.Entry, engines map[units.ServiceID]bool) {
	// Called at the first end, before that upstream and its copies are dropped.
	loaded := sync.OnceValue(l.loadedModels)
	for id, s := range l.states {
		if _, ok := upstreams[id]; !ok {
			l.recordEnd(now, s, loaded())
			delete(l.states, id)
		}
	}
	for id := range l.replaced {
		if _, ok := upstreams[id]; !ok {
			delete(l.replaced, id)
		}
	}
	for id, e := range upstreams {
		if processStart, ok := l.replaced[id]; !engines[e.Service] || (ok && processStart == e.ProcessStart) {
			continue
		}
		s, ok := l.states[id]
		if !ok || s.processStart != e.ProcessStart {
			if ok {
				l.recordEnd(now, s, loaded())
			}
			s = &upstreamState{processStart: e.ProcessStart, acceptedOrders: -1, stale: true, models: map[units.ModelID]*modelCopy{}, unloadRefusedAt: map[Target]clock.Time{}}
			l.states[id] = s
		}
		if s.entry == nil || s.entry.ReceivedAt != e.ReceivedAt {
			s.entry = e
			if e.ReceivedAt.Sub(s.lastAccepted) > maxDescriptionAge || s.activeOrder != nil {
				l.applyResidents(now, s, e.Models)
			}
		}
		s.entry = e
	}
}

// loadedModels returns the models that upstreams have loaded.
func (l *Ledger) loadedModels() map[modelKey]bool {
	loaded := map[modelKey]bool{}
	for _, s := range l.states {
		for m, c := range s.models {
			if !c.loading && s.entry != nil {
				loaded[modelKey{s.entry.Service, m}] = true
			}
		}
	}
	return loaded
}

// recordEnd records the end of an upstream's process if it was loading a model that no upstream had loaded: many end at
// once for another cause, those with the copies among them. A draining one may end at any time.
func (l *Ledger) recordEnd(now clock.Time, s *upstreamState, loaded map[modelKey]bool) {
	if s.loading != "" && s.entry != nil && !s.entry.Draining && !loaded[modelKey{s.entry.Service, s.loading}] {
		l.loads.RecordFailure(now, modelKey{s.entry.Service, s.loading}, s.loadingSince)
	}
}

// applyResidents replaces the models of an upstream with those that it listed.
func (l *Ledger) applyResidents(now clock.Time, s *upstreamState, models []fleet.Resident) {
	for _, m := range models {
		if s.entry != nil {
			l.loads.RecordSuccess(modelKey{s.entry.Service, m.Model})
		}
		if m.Model == s.loading {
			s.loading = ""
		}
	}
	s.applyResidents(now, models)
}

// ApplyReport applies a report of the upstream: its number of accepted orders, its resident
// models and whether it executes a model order. A report that predates the last order is
// dropped and has to be read again after refusedRetryDelay. It returns the model order that the report shows to be
// accepted although its answer was lost; nil if there is none.
func (l *Ledger) ApplyReport(now clock.Time, id units.UpstreamID, acceptedOrders int64, models []fleet.Resident, activeOrder bool) *PlannedOrder {
	s, ok := l.states[id]
	if !ok {
		return nil
	}
	s.callPending = false
	accepted := s.pendingOrder
	s.pendingOrder = nil
	if accepted != nil && activeOrder && s.activeOrder == nil && accepted.Adapter == "" && acceptedOrders == accepted.ExpectedOrders+1 {
		s.recordAccepted(now, *accepted)
	} else {
		accepted = nil
	}
	if acceptedOrders < s.acceptedOrders || (activeOrder && s.activeOrder == nil) {
		s.retryAt = now.Add(refusedRetryDelay)
		return accepted
	}
	s.acceptedOrders, s.stale = acceptedOrders, false
	l.applyResidents(now, s, models)
	return accepted
}

// applyResidents replaces the models with those that the upstream listed, plus the one that
// the active order loads.
func (s *upstreamState) applyResidents(now clock.Time, models []fleet.Resident) {
	fresh := map[units.ModelID]*modelCopy{}
	for _, m := range models {
		c, ok := s.models[m.Model]
		if !ok || c.loading {
			c = newCopy(now)
			if s.described {
				c.loadedAt = now
			}
		}
		c.adapters = s.mergeAdapters(now, c.adapters, m.Adapters)
		fresh[m.Model] = c
	}
	s.reconcileOrder(now, fresh)
	s.models, s.described = fresh, true
}

// mergeAdapters returns the adapters that the upstream listed and those that were ordered
// within adapterSettleTime, which already occupy their slots.
func (s *upstreamState) mergeAdapters(now clock.Time, known map[string]clock.Time, read []string) map[string]clock.Time {
	out := map[string]clock.Time{}
	for _, a := range read {
		at, ok := known[a]
		if !ok {
			at = now
		}
		out[a] = at
	}
	for a, at := range known {
		if now.Sub(at) < adapterSettleTime {
			out[a] = at
		}
	}
	return out
}

// reconcileOrder completes the active order if the listed models show its effect, and drops it
// after modelOrderTimeout. It adds a model that is still loading to fresh.
func (s *upstreamState) reconcileOrder(now clock.Time, fresh map[units.ModelID]*modelCopy) {
	if s.activeOrder == nil {
		return
	}
	_, resident := fresh[s.activeOrder.Model]
	if resident != s.activeOrder.Unload {
		s.activeOrder = nil
		return
	}
	if now.Sub(s.activeSince) > modelOrderTimeout {
		s.activeOrder, s.stale = nil, true
		return
	}
	if !s.activeOrder.Unload {
		c := newCopy(now)
		c.loading = true
		fresh[s.activeOrder.Model] = c
	}
}

// OrderStarted records that an order is being sent.
func (l *Ledger) OrderStarted(o PlannedOrder) {
	if s, ok := l.states[o.Upstream]; ok {
		s.callPending = true
	}
}

// ReportStarted records that a report is being read.
func (l *Ledger) ReportStarted(id units.UpstreamID) {
	if s, ok := l.states[id]; ok {
		s.callPending = true
	}
}

// ReportFailed records that a report could not be read. The next read is due after
// errorRetryDelay.
func (l *Ledger) ReportFailed(now clock.Time, id units.UpstreamID) {
	if s, ok := l.states[id]; ok {
		s.callPending = false
		s.retryAt = now.Add(errorRetryDelay)
	}
}

// ApplyResult records the outcome of an order. UpstreamGone removes the upstream. All other
// outcomes but Accepted and an already loaded adapter make its state stale.
func (l *Ledger) ApplyResult(now clock.Time, o PlannedOrder, r Result) {
	s, ok := l.states[o.Upstream]
	if !ok {
		return
	}
	s.callPending, s.pendingOrder, s.unansweredAt = false, nil, 0
	if r == Unanswered {
		s.pendingOrder, s.unansweredAt = &o, now
	}
	if (r == Accepted || r == Unanswered) && o.Adapter == "" && !o.Unload {
		s.loading, s.loadingSince = o.Model, now
	}
	switch r {
	case Accepted:
		s.recordAccepted(now, o)
	case AlreadyApplied:
		if !o.Unload && o.Adapter != "" {
			s.applyAdapterOrder(now, o)
		}
		s.stale = o.Adapter == "" || o.Unload
	case Refused:
		s.stale = true
		s.retryAt = now.Add(refusedRetryDelay)
		if o.Unload && o.Adapter != "" {
			s.unloadRefusedAt[Target{o.Service, o.Model, o.Adapter}] = now
		}
	case Unanswered:
		s.stale = true
		s.retryAt = now.Add(errorRetryDelay)
	case UpstreamGone:
		l.replaced[o.Upstream] = s.processStart
		delete(l.states, o.Upstream)
	}
}

func (s *upstreamState) recordAccepted(now clock.Time, o PlannedOrder) {
	s.acceptedOrders = max(s.acceptedOrders, o.ExpectedOrders+1)
	s.lastAccepted = now
	switch {
	case o.Adapter != "":
		s.applyAdapterOrder(now, o)
	default:
		s.activeOrder, s.activeSince = &o, now
		if !o.Unload {
			mc := newCopy(now)
			mc.loading = true
			s.models[o.Model] = mc
		}
	}
}

func (s *upstreamState) applyAdapterOrder(now clock.Time, o PlannedOrder) {
	m, ok := s.models[o.Model]
	if !ok {
		return
	}
	if o.Unload {
		delete(m.adapters, o.Adapter)
	} else {
		m.adapters[o.Adapter] = now
	}
}

// StaleUpstreams returns the upstreams whose report has to be read before their next order,
// sorted by ID.
func (l *Ledger) StaleUpstreams(now clock.Time) []units.UpstreamID {
	var out []units.UpstreamID
	for id, s := range l.states {
		overdue := s.activeOrder != nil && now.Sub(s.activeSince) > modelOrderTimeout
		if (s.stale || overdue) && !s.callPending && !now.Before(s.retryAt) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// canSend reports whether an adapter order can be sent now.
func (s *upstreamState) canSend(now clock.Time) bool {
	return !s.callPending && !s.stale && !now.Before(s.retryAt) && s.acceptedOrders >= 0
}

// canSendModelOrder reports whether a model order can be sent now.
func (s *upstreamState) canSendModelOrder(now clock.Time) bool {
	return s.canSend(now) && s.activeOrder == nil
}

// hasHostCopy reports whether the host has a copy of the model, so that a load doesn't read
// from the weight store.
func (s *upstreamState) hasHostCopy(m units.ModelID) bool {
	e := s.entry
	return slices.Contains(e.OnDisk, m) || slices.Contains(e.InMemory, m)
}

// expectedOrder returns the order in flight, or one without an answer that the upstream may have accepted; nil if there
// is none.
func (s *upstreamState) expectedOrder(now clock.Time) *PlannedOrder {
	if s.unansweredAt != 0 && now.Sub(s.unansweredAt) > unansweredTTL {
		return nil
	}
	return s.pendingOrder
}

// unloads reports whether the upstream unloads the model, or is about to.
func (s *upstreamState) unloads(now clock.Time, m units.ModelID) bool {
	for _, o := range []*PlannedOrder{s.activeOrder, s.expectedOrder(now)} {
		if o != nil && o.Unload && o.Adapter == "" && o.Model == m {
			return true
		}
	}
	return false
}

// usedMegabytes returns the memory of the models and adapters that are resident or loading. An
// order with unknown outcome doesn't count, because the upstream executes it late only if it
// has accepted no other order in between.
func (s *upstreamState) usedMegabytes(models map[units.ModelID]*modelState) float64 {
	total := 0.0
	for id, c := range s.models {
		if m, ok := models[id]; ok {
			total += m.WeightMegabytes + float64(len(c.adapters))*m.AdapterMegabytes
		}
	}
	return total
}

// adapters returns the number of adapters that are resident or loading.
func (s *upstreamState) adapters() int {
	n := 0
	for _, c := range s.models {
		n += len(c.adapters)
	}
	return n
}
