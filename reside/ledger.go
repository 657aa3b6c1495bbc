package reside

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

const (
	// describeSpan is how old a description may be when it arrives.
	describeSpan = clock.Second
	// loadGrace is added to the expected time of a load before it counts as lost.
	loadGrace = 6 * clock.Second
	// incomingSpan is how long an adapter that was ordered may be on its way.
	incomingSpan = 3 * clock.Second
	// busyPause is the time before an upstream that refused an order is asked again.
	busyPause = 150 * clock.Millisecond
	// errorPause is the time before an upstream that did not answer is asked again.
	errorPause = 100 * clock.Millisecond
)

// PlannedOrder is one order.
type PlannedOrder struct {
	Upstream units.UpstreamID
	Service  units.ServiceID
	Unload   bool
	Model    units.ModelID
	Adapter  string
	// Expected is the number of orders that the upstream must have accepted.
	Expected int64
	// FromWeightStore is set for loads that probably come from the weight store.
	FromWeightStore bool
}

// Result is how an order was answered.
type Result uint8

// Results of orders.
const (
	// Accepted means that the order is being carried out.
	Accepted Result = iota
	// AlreadyApplied means that the order held already.
	AlreadyApplied
	// Refused means that another order is under way or was missed.
	Refused
	// Unanswered means that the order may still be carried out.
	Unanswered
	// UpstreamGone means that the upstream is not there any more.
	UpstreamGone
)

// site is the account of one upstream.
type site struct {
	born   int64
	orders int64
	models map[units.ModelID]*copyOf
	// stale is set where orders may have been missed; a report has to be read.
	stale bool
	// sending is set while an order or a report is under way.
	sending bool
	// busy is the model order that is being carried out.
	busy  *PlannedOrder
	since clock.Time
	pause clock.Time
	// changed is when the last order was accepted.
	changed clock.Time
	entry   *view.Entry
}

type copyOf struct {
	adapters map[string]clock.Time
	// loading copies are being loaded.
	loading bool
	since   clock.Time
}

func newCopy(now clock.Time) *copyOf { return &copyOf{adapters: map[string]clock.Time{}, since: now} }

// Ledger keeps account of what each upstream holds and which orders are under way.
type Ledger struct {
	sites map[units.UpstreamID]*site
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{sites: map[units.UpstreamID]*site{}} }

// UpdateUpstreams takes over what the engines among the upstreams say of themselves.
func (l *Ledger) UpdateUpstreams(now clock.Time, upstreams map[units.UpstreamID]*view.Entry, engines map[units.ServiceID]bool) {
	for id := range l.sites {
		if _, ok := upstreams[id]; !ok {
			delete(l.sites, id)
		}
	}
	for id, e := range upstreams {
		if !engines[e.Service] {
			continue
		}
		s, ok := l.sites[id]
		if !ok || s.born != e.Born {
			s = &site{born: e.Born, orders: -1, stale: true, models: map[units.ModelID]*copyOf{}}
			l.sites[id] = s
		}
		if s.entry == nil || s.entry.Seen != e.Seen {
			s.entry = e
			if e.Seen.Sub(s.changed) > describeSpan || s.busy != nil {
				s.took(now, e.Models)
			}
		}
		s.entry = e
	}
}

// ApplyReport takes a report over. One that is older than the last order is read again.
func (l *Ledger) ApplyReport(now clock.Time, id units.UpstreamID, orders int64, models []fleet.Resident, busy bool) {
	s, ok := l.sites[id]
	if !ok {
		return
	}
	s.sending = false
	if orders < s.orders || (busy && s.busy == nil) {
		s.pause = now.Add(busyPause)
		return
	}
	s.orders, s.stale = orders, false
	s.took(now, models)
}

// took takes a state over.
func (s *site) took(now clock.Time, models []fleet.Resident) {
	fresh := map[units.ModelID]*copyOf{}
	for _, m := range models {
		c, ok := s.models[m.Model]
		if !ok || c.loading {
			c = newCopy(now)
		}
		c.adapters = s.merge(now, c.adapters, m.Adapters)
		fresh[m.Model] = c
	}
	s.settle(now, fresh)
	s.models = fresh
}

// merge returns the adapters that were read, and those that were ordered a moment ago:
// they take their place already.
func (s *site) merge(now clock.Time, known map[string]clock.Time, read []string) map[string]clock.Time {
	out := map[string]clock.Time{}
	for _, a := range read {
		at, ok := known[a]
		if !ok {
			at = now
		}
		out[a] = at
	}
	for a, at := range known {
		if now.Sub(at) < incomingSpan {
			out[a] = at
		}
	}
	return out
}

// settle compares the order under way with a state that was read.
func (s *site) settle(now clock.Time, fresh map[units.ModelID]*copyOf) {
	if s.busy == nil {
		return
	}
	_, there := fresh[s.busy.Model]
	if there != s.busy.Unload {
		s.busy = nil
		return
	}
	if now.Sub(s.since) > loadGrace {
		s.busy, s.stale = nil, true
		return
	}
	if !s.busy.Unload {
		c := newCopy(now)
		c.loading = true
		fresh[s.busy.Model] = c
	}
}

// OrderStarted notes that an order goes out.
func (l *Ledger) OrderStarted(c PlannedOrder) {
	if s, ok := l.sites[c.Upstream]; ok {
		s.sending = true
	}
}

// ReportStarted notes that a report is being read.
func (l *Ledger) ReportStarted(id units.UpstreamID) {
	if s, ok := l.sites[id]; ok {
		s.sending = true
	}
}

// ReportFailed notes that a report could not be read.
func (l *Ledger) ReportFailed(now clock.Time, id units.UpstreamID) {
	if s, ok := l.sites[id]; ok {
		s.sending = false
		s.pause = now.Add(errorPause)
	}
}

// ApplyResult notes how an order was answered.
func (l *Ledger) ApplyResult(now clock.Time, c PlannedOrder, r Result) {
	s, ok := l.sites[c.Upstream]
	if !ok {
		return
	}
	s.sending = false
	switch r {
	case Accepted:
		s.begun(now, c)
	case AlreadyApplied:
		if !c.Unload && c.Adapter != "" {
			s.adapter(now, c)
		}
		s.stale = c.Adapter == "" || c.Unload
	case Refused:
		s.stale = true
		s.pause = now.Add(busyPause)
	case Unanswered:
		s.stale = true
		s.pause = now.Add(errorPause)
	case UpstreamGone:
		delete(l.sites, c.Upstream)
	}
}

func (s *site) begun(now clock.Time, c PlannedOrder) {
	s.orders = max(s.orders, c.Expected+1)
	s.changed = now
	switch {
	case c.Adapter != "":
		s.adapter(now, c)
	default:
		s.busy, s.since = &c, now
		if !c.Unload {
			one := newCopy(now)
			one.loading = true
			s.models[c.Model] = one
		}
	}
}

func (s *site) adapter(now clock.Time, c PlannedOrder) {
	m, ok := s.models[c.Model]
	if !ok {
		return
	}
	if c.Unload {
		delete(m.adapters, c.Adapter)
	} else {
		m.adapters[c.Adapter] = now
	}
}

// StaleUpstreams returns the upstreams whose report has to be read before the next order.
func (l *Ledger) StaleUpstreams(now clock.Time) []units.UpstreamID {
	var out []units.UpstreamID
	for id, s := range l.sites {
		lost := s.busy != nil && now.Sub(s.since) > loadGrace
		if (s.stale || lost) && !s.sending && !now.Before(s.pause) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// free reports whether an order can be given now.
func (s *site) free(now clock.Time) bool {
	return !s.sending && !s.stale && !now.Before(s.pause) && s.orders >= 0
}

// idle reports whether an order for a model can be given now.
func (s *site) idle(now clock.Time) bool { return s.free(now) && s.busy == nil }

// keeps reports whether a load of the model needs nothing from the weight store: the
// host has a copy.
func (s *site) keeps(m units.ModelID) bool {
	e := s.entry
	return slices.Contains(e.OnDisk, m) || slices.Contains(e.InMemory, m)
}

// usedMegabytes is the memory of what the upstream holds and loads. An order without
// an answer does not count: it is carried out late only while no other was accepted.
func (s *site) usedMegabytes(e *fleet.Engine) float64 {
	total := 0.0
	for id, c := range s.models {
		if m, ok := e.Model(id); ok {
			total += m.Megabytes + float64(len(c.adapters))*m.AdapterMegabytes
		}
	}
	return total
}

// adapters is the number of adapters that the upstream holds and loads.
func (s *site) adapters() int {
	n := 0
	for _, c := range s.models {
		n += len(c.adapters)
	}
	return n
}
