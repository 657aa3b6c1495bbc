package place_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/place"
	"github.com/magnolialever/magnolialever/units"
)

const (
	capacity     = units.Bytes(100)
	maxReportLag = 5 * clock.Millisecond
)

// sentOrder is an order that was sent to the engine and whose result is outstanding.
type sentOrder struct {
	order place.Order
	// executed is set when the order has taken effect, dropped when it never will.
	executed bool
	dropped  bool
	// lostAt is when the ledger received the result Uncertain; 0 if it has not.
	lostAt clock.Time
}

// snapshot is the content of the engine's memory at one time.
type snapshot struct {
	at       clock.Time
	resident map[string]place.ReportedTarget
}

// simulation is an engine that ignores fencing numbers and capacity, with a network that
// loses, delays, duplicates and reorders orders and reports.
type simulation struct {
	now    clock.Time
	ledger *place.Ledger
	// otherBytes is memory that the engine uses for other purposes.
	otherBytes units.Bytes
	resident   map[string]place.ReportedTarget
	history    []snapshot
	inFlight   []*sentOrder
	issued     []place.Order
	fence      units.Fence
	nextID     int
}

func (sm *simulation) used() units.Bytes {
	sum := sm.otherBytes
	for _, t := range sm.resident {
		sum += t.Bytes
	}
	return sum
}

func targetKey(o place.Order) string { return string(o.Target) + "/" + o.Version }

// execute applies an order to the engine's memory and checks the capacity.
func (sm *simulation) execute(t *rapid.T, s *sentOrder) {
	o := s.order
	s.executed = true
	if o.Op == place.Unload {
		delete(sm.resident, targetKey(o))
	} else if _, ok := sm.resident[targetKey(o)]; !ok {
		sm.resident[targetKey(o)] = place.ReportedTarget{Target: o.Target, Version: o.Version, Bytes: o.Bytes, Base: o.Base}
	}
	assert.Assert(t, sm.used() <= capacity, "overcommitted: %v", sm.resident)
}

// deliver passes an order to the ledger, and to the engine if the ledger decides so.
func (sm *simulation) deliver(t *rapid.T, o place.Order) {
	highest := sm.ledger.Fence()
	d := sm.ledger.Admit(sm.now, o)
	assert.Equal(t, d.Code == units.FenceStale, o.Fence < highest)
	assert.Equal(t, d.Step == place.Refuse, d.Code != "")
	if d.Step == place.Send {
		sm.inFlight = append(sm.inFlight, &sentOrder{order: d.Order})
	}
}

func (sm *simulation) recordSnapshot() {
	resident := map[string]place.ReportedTarget{}
	for k, t := range sm.resident {
		resident[k] = t
	}
	sm.history = append(sm.history, snapshot{sm.now, resident})
}

// advance moves the time by 1 ms. An order with an uncertain result that has not taken effect
// within maxReportLag never will.
func (sm *simulation) advance() {
	sm.recordSnapshot()
	sm.now++
	for _, s := range sm.inFlight {
		if s.lostAt != 0 && !s.executed && sm.now.Sub(s.lostAt) > maxReportLag {
			s.dropped = true
		}
	}
	sm.inFlight = slices.DeleteFunc(sm.inFlight, func(s *sentOrder) bool { return s.lostAt != 0 && (s.executed || s.dropped) })
}

// deliverReport passes a report to the ledger that is up to maxReportLag old.
func (sm *simulation) deliverReport(t *rapid.T) {
	i := len(sm.history) - 1
	for i > 0 && sm.now.Sub(sm.history[i-1].at) <= maxReportLag && rapid.Bool().Draw(t, "older") {
		i--
	}
	r := place.Report{Used: sm.otherBytes}
	for _, k := range slices.Sorted(mapKeys(sm.history[i].resident)) {
		target := sm.history[i].resident[k]
		r.Used += target.Bytes
		r.Targets = append(r.Targets, target)
	}
	sm.ledger.Observe(sm.now, r)
}

func mapKeys(m map[string]place.ReportedTarget) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// pickInFlight draws one of the matching orders in flight, or returns nil if there is none.
func (sm *simulation) pickInFlight(t *rapid.T, match func(*sentOrder) bool) *sentOrder {
	var matching []*sentOrder
	for _, s := range sm.inFlight {
		if match(s) {
			matching = append(matching, s)
		}
	}
	if len(matching) == 0 {
		return nil
	}
	return rapid.SampledFrom(matching).Draw(t, "sent")
}

func (sm *simulation) drawOrder(t *rapid.T) place.Order {
	sm.nextID++
	sm.fence += units.Fence(rapid.IntRange(0, 1).Draw(t, "newer"))
	target := rapid.IntRange(0, 4).Draw(t, "target")
	return place.Order{
		ID:    fmt.Sprint(sm.nextID),
		Fence: max(sm.fence-units.Fence(rapid.IntRange(0, 1).Draw(t, "stale")), 0),
		Op:    rapid.SampledFrom([]place.Op{place.Load, place.Load, place.Unload}).Draw(t, "op"),
		// A target has the same size in each version.
		Target: units.ModelID(fmt.Sprint("m", target)), Bytes: units.Bytes(20 + 10*target),
		Version: rapid.SampledFrom([]string{"1", "2", ""}).Draw(t, "version"),
	}
}

// Guards against overcommitting accelerator memory at any step, with an agent that starts
// after its engine, and with orders and reports that are lost, late, duplicated and
// reordered.
func TestNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sm := &simulation{now: 1, resident: map[string]place.ReportedTarget{}}
		sm.otherBytes = units.Bytes(rapid.IntRange(0, 20).Draw(t, "other"))
		newLedger := func() { sm.ledger = place.NewLedger(place.Options{Capacity: capacity, MaxReportLag: maxReportLag}) }
		newLedger()
		if rapid.Bool().Draw(t, "resident") {
			sm.resident["m0/1"] = place.ReportedTarget{Target: "m0", Version: "1", Bytes: 20}
		}
		sm.recordSnapshot()
		assert.Equal(t, sm.ledger.Free(), units.Bytes(0))
		t.Repeat(map[string]func(*rapid.T){
			"order": func(t *rapid.T) {
				o := sm.drawOrder(t)
				sm.issued = append(sm.issued, o)
				if rapid.IntRange(0, 4).Draw(t, "arrives") > 0 {
					sm.deliver(t, o)
				}
			},
			"repeat": func(t *rapid.T) {
				if len(sm.issued) > 0 {
					sm.deliver(t, rapid.SampledFrom(sm.issued).Draw(t, "issued"))
				}
			},
			"execute": func(t *rapid.T) {
				if s := sm.pickInFlight(t, func(s *sentOrder) bool { return !s.executed && !s.dropped }); s != nil {
					sm.execute(t, s)
				}
			},
			"done": func(t *rapid.T) {
				if s := sm.pickInFlight(t, func(s *sentOrder) bool { return s.executed && s.lostAt == 0 }); s != nil {
					sm.ledger.Complete(sm.now, s.order, place.Done)
					sm.inFlight = slices.DeleteFunc(sm.inFlight, func(o *sentOrder) bool { return o == s })
				}
			},
			"fail": func(t *rapid.T) {
				if s := sm.pickInFlight(t, func(s *sentOrder) bool { return !s.executed && s.lostAt == 0 }); s != nil {
					sm.ledger.Complete(sm.now, s.order, place.Failed)
					sm.inFlight = slices.DeleteFunc(sm.inFlight, func(o *sentOrder) bool { return o == s })
				}
			},
			"lose": func(t *rapid.T) {
				if s := sm.pickInFlight(t, func(s *sentOrder) bool { return s.lostAt == 0 }); s != nil {
					s.lostAt = sm.now
					sm.ledger.Complete(sm.now, s.order, place.Uncertain)
				}
			},
			"clean": func(t *rapid.T) {
				for _, o := range sm.ledger.CleanupOrders() {
					sm.nextID++
					o.ID = fmt.Sprint(sm.nextID)
					sm.deliver(t, o)
				}
			},
			"report": sm.deliverReport,
			"restart engine": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "seldom") > 0 {
					return
				}
				sm.resident = map[string]place.ReportedTarget{}
				if rapid.Bool().Draw(t, "noticed") {
					sm.ledger.EngineRestarted()
				}
			},
			"tick": func(*rapid.T) { sm.advance() },
			"": func(t *rapid.T) {
				free := sm.ledger.Free()
				assert.Assert(t, free == 0 || sm.used()+free <= capacity, "free %d, used %d", free, sm.used())
			},
		})
	})
}

// Guards against memory that stays reserved forever after the result of an order was lost,
// and against refusing a load after an unload has freed the memory for it.
func TestUncertainMemoryIsReclaimed(t *testing.T) {
	l := place.NewLedger(place.Options{Capacity: capacity, MaxReportLag: maxReportLag})
	l.Observe(1, place.Report{})
	load := place.Order{ID: "1", Fence: 3, Op: place.Load, Target: "a", Bytes: 70, Version: "1"}
	assert.Equal(t, l.Admit(2, load).Step, place.Send)
	assert.Equal(t, l.Admit(2, load).Step, place.InProgress)
	assert.Equal(t, l.Free(), units.Bytes(30))
	largeLoad := place.Order{ID: "2", Fence: 3, Op: place.Load, Target: "b", Bytes: 40}
	assert.Equal(t, l.Admit(2, largeLoad).Code, units.MemoryFull)
	l.Complete(3, load, place.Uncertain)
	l.Observe(4, place.Report{})
	assert.Equal(t, l.Free(), units.Bytes(30))
	assert.Equal(t, len(l.CleanupOrders()), 0, "no report is recent enough")
	l.Observe(20, place.Report{})
	cleanup := l.CleanupOrders()
	assert.Equal(t, len(cleanup), 1)
	cleanup[0].ID = "clean"
	decision := l.Admit(20, cleanup[0])
	assert.Equal(t, decision.Step, place.Send)
	l.Complete(21, decision.Order, place.Done)
	assert.Equal(t, l.Free(), capacity)
	assert.Equal(t, l.Admit(22, largeLoad).Step, place.Send)
	l.Complete(23, largeLoad, place.Done)
	assert.Assert(t, l.IsResident("b"))
	stale := place.Order{ID: "3", Fence: 2, Op: place.Unload, Target: "b"}
	assert.Equal(t, l.Admit(24, stale).Code, units.FenceStale)
	adapter := place.Order{ID: "4", Fence: 3, Op: place.Load, Target: "x", Base: "b", Bytes: 1}
	assert.Equal(t, l.Admit(25, adapter).Step, place.Send)
	l.Complete(26, adapter, place.Done)
	unload := l.Admit(27, place.Order{ID: "6", Fence: 3, Op: place.Unload, Target: "x"})
	assert.Equal(t, unload.Order.Base, units.ModelID("b"), "engines need the base model to find an adapter")
	l.Complete(27, unload.Order, place.Failed)
	assert.Equal(t, l.Admit(27, place.Order{ID: "5", Fence: 3, Op: place.Unload, Target: "b"}).Code, units.InvalidRequest)
}

// Guards against a load that is refused for lack of memory because a report, requested before an unload was confirmed and
// received after it, shows the target that was unloaded.
func TestReportFromBeforeUnloadTakesNoMemory(t *testing.T) {
	l := place.NewLedger(place.Options{Capacity: capacity, MaxReportLag: maxReportLag})
	full := place.Report{Used: 90, Total: capacity, Targets: []place.ReportedTarget{{Target: "a", Bytes: 30}, {Target: "b", Bytes: 60}}}
	l.Observe(10, full)
	unload := l.Admit(20, place.Order{ID: "1", Fence: 1, Op: place.Unload, Target: "a"})
	assert.Equal(t, unload.Step, place.Send)
	l.Complete(22, unload.Order, place.Done)
	l.Observe(21, full)
	assert.Equal(t, l.Free(), units.Bytes(40))
	assert.Equal(t, l.Admit(23, place.Order{ID: "2", Fence: 1, Op: place.Load, Target: "c", Bytes: 20}).Step, place.Send)
	// A report requested after the unload counts as before: the engine may use the memory otherwise.
	l.Observe(24, full)
	assert.Equal(t, l.Free(), units.Bytes(0))
}
