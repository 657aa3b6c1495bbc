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
	capacity = units.Bytes(100)
	lag      = 5 * clock.Millisecond
)

// sent is an order on its way to the engine or back.
type sent struct {
	order place.Order
	// executed is true when the order has taken effect; dropped ones never do.
	executed bool
	dropped  bool
	// lost is when the ledger was told that the answer is lost; 0: not yet.
	lost clock.Time
}

// snapshot is the memory of the engine at one time.
type snapshot struct {
	at   clock.Time
	held map[string]place.ReportedTarget
}

// world is an engine that ignores fencing numbers and capacity, with a network
// that loses, delays, doubles and reorders orders and reports.
type world struct {
	now    clock.Time
	ledger *place.Ledger
	// other is memory that the engine takes for itself.
	other  units.Bytes
	held   map[string]place.ReportedTarget
	past   []snapshot
	sent   []*sent
	issued []place.Order
	fence  units.Fence
	next   int
}

func (w *world) used() units.Bytes {
	sum := w.other
	for _, h := range w.held {
		sum += h.Bytes
	}
	return sum
}

func name(o place.Order) string { return string(o.Target) + "/" + o.Version }

func (w *world) execute(t *rapid.T, s *sent) {
	o := s.order
	s.executed = true
	if o.Op == place.Unload {
		delete(w.held, name(o))
	} else if _, ok := w.held[name(o)]; !ok {
		w.held[name(o)] = place.ReportedTarget{Target: o.Target, Version: o.Version, Bytes: o.Bytes, Base: o.Base}
	}
	assert.Assert(t, w.used() <= capacity, "overcommitted: %v", w.held)
}

// deliver gives an order to the ledger.
func (w *world) deliver(t *rapid.T, o place.Order) {
	highest := w.ledger.Fence()
	v := w.ledger.Admit(w.now, o)
	assert.Equal(t, v.Code == units.FenceStale, o.Fence < highest)
	assert.Equal(t, v.Step == place.Refuse, v.Code != "")
	if v.Step == place.Send {
		w.sent = append(w.sent, &sent{order: v.Order})
	}
}

func (w *world) remember() {
	held := map[string]place.ReportedTarget{}
	for k, h := range w.held {
		held[k] = h
	}
	w.past = append(w.past, snapshot{w.now, held})
}

// tick moves the time; an order whose answer was lost takes effect within the lag
// or never.
func (w *world) tick() {
	w.remember()
	w.now++
	for _, s := range w.sent {
		if s.lost != 0 && !s.executed && w.now.Sub(s.lost) > lag {
			s.dropped = true
		}
	}
	w.sent = slices.DeleteFunc(w.sent, func(s *sent) bool { return s.lost != 0 && (s.executed || s.dropped) })
}

func (w *world) report(t *rapid.T) {
	i := len(w.past) - 1
	for i > 0 && w.now.Sub(w.past[i-1].at) <= lag && rapid.Bool().Draw(t, "older") {
		i--
	}
	r := place.Report{Used: w.other}
	for _, k := range slices.Sorted(keys(w.past[i].held)) {
		h := w.past[i].held[k]
		r.Used += h.Bytes
		r.Targets = append(r.Targets, h)
	}
	w.ledger.Observe(w.now, r)
}

func keys(m map[string]place.ReportedTarget) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// pick returns a sent order without an answer.
func (w *world) pick(t *rapid.T, ok func(*sent) bool) *sent {
	var open []*sent
	for _, s := range w.sent {
		if ok(s) {
			open = append(open, s)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return rapid.SampledFrom(open).Draw(t, "sent")
}

func (w *world) draw(t *rapid.T) place.Order {
	w.next++
	w.fence += units.Fence(rapid.IntRange(0, 1).Draw(t, "newer"))
	target := rapid.IntRange(0, 4).Draw(t, "target")
	return place.Order{
		ID:    fmt.Sprint(w.next),
		Fence: max(w.fence-units.Fence(rapid.IntRange(0, 1).Draw(t, "stale")), 0),
		Op:    rapid.SampledFrom([]place.Op{place.Load, place.Load, place.Unload}).Draw(t, "op"),
		// A target has the same size in each version.
		Target: units.ModelID(fmt.Sprint("m", target)), Bytes: units.Bytes(20 + 10*target),
		Version: rapid.SampledFrom([]string{"1", "2", ""}).Draw(t, "version"),
	}
}

// Guards against accelerator memory that is overcommitted at any step, with an
// agent that starts beside a running engine, and with orders and reports that are
// lost, late, doubled and reordered.
func TestNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: 1, held: map[string]place.ReportedTarget{}}
		w.other = units.Bytes(rapid.IntRange(0, 20).Draw(t, "other"))
		start := func() { w.ledger = place.NewLedger(place.Options{Capacity: capacity, MaxReportLag: lag}) }
		start()
		if rapid.Bool().Draw(t, "resident") {
			w.held["m0/1"] = place.ReportedTarget{Target: "m0", Version: "1", Bytes: 20}
		}
		w.remember()
		assert.Equal(t, w.ledger.Free(), units.Bytes(0))
		t.Repeat(map[string]func(*rapid.T){
			"order": func(t *rapid.T) {
				o := w.draw(t)
				w.issued = append(w.issued, o)
				if rapid.IntRange(0, 4).Draw(t, "arrives") > 0 {
					w.deliver(t, o)
				}
			},
			"repeat": func(t *rapid.T) {
				if len(w.issued) > 0 {
					w.deliver(t, rapid.SampledFrom(w.issued).Draw(t, "issued"))
				}
			},
			"execute": func(t *rapid.T) {
				if s := w.pick(t, func(s *sent) bool { return !s.executed && !s.dropped }); s != nil {
					w.execute(t, s)
				}
			},
			"done": func(t *rapid.T) {
				if s := w.pick(t, func(s *sent) bool { return s.executed && s.lost == 0 }); s != nil {
					w.ledger.Complete(w.now, s.order, place.Done)
					w.sent = slices.DeleteFunc(w.sent, func(o *sent) bool { return o == s })
				}
			},
			"fail": func(t *rapid.T) {
				if s := w.pick(t, func(s *sent) bool { return !s.executed && s.lost == 0 }); s != nil {
					w.ledger.Complete(w.now, s.order, place.Failed)
					w.sent = slices.DeleteFunc(w.sent, func(o *sent) bool { return o == s })
				}
			},
			"lose": func(t *rapid.T) {
				if s := w.pick(t, func(s *sent) bool { return s.lost == 0 }); s != nil {
					s.lost = w.now
					w.ledger.Complete(w.now, s.order, place.Uncertain)
				}
			},
			"clean": func(t *rapid.T) {
				for _, o := range w.ledger.CleanupOrders() {
					w.next++
					o.ID = fmt.Sprint(w.next)
					w.deliver(t, o)
				}
			},
			"report": w.report,
			"restart engine": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "seldom") > 0 {
					return
				}
				w.held = map[string]place.ReportedTarget{}
				if rapid.Bool().Draw(t, "noticed") {
					w.ledger.EngineRestarted()
				}
			},
			"tick": func(*rapid.T) { w.tick() },
			"": func(t *rapid.T) {
				free := w.ledger.Free()
				assert.Assert(t, free == 0 || w.used()+free <= capacity, "free %d, used %d", free, w.used())
			},
		})
	})
}

// Guards against memory that stays reserved forever after an order was lost, and
// against a load that is refused although an unload made room.
func TestMemoryReturns(t *testing.T) {
	l := place.NewLedger(place.Options{Capacity: capacity, MaxReportLag: lag})
	l.Observe(1, place.Report{})
	load := place.Order{ID: "1", Fence: 3, Op: place.Load, Target: "a", Bytes: 70, Version: "1"}
	assert.Equal(t, l.Admit(2, load).Step, place.Send)
	assert.Equal(t, l.Admit(2, load).Step, place.InProgress)
	assert.Equal(t, l.Free(), units.Bytes(30))
	big := place.Order{ID: "2", Fence: 3, Op: place.Load, Target: "b", Bytes: 40}
	assert.Equal(t, l.Admit(2, big).Code, units.MemoryFull)
	l.Complete(3, load, place.Uncertain)
	l.Observe(4, place.Report{})
	assert.Equal(t, l.Free(), units.Bytes(30))
	assert.Equal(t, len(l.CleanupOrders()), 0, "no report is young enough")
	l.Observe(20, place.Report{})
	clean := l.CleanupOrders()
	assert.Equal(t, len(clean), 1)
	clean[0].ID = "clean"
	v := l.Admit(20, clean[0])
	assert.Equal(t, v.Step, place.Send)
	l.Complete(21, v.Order, place.Done)
	assert.Equal(t, l.Free(), capacity)
	assert.Equal(t, l.Admit(22, big).Step, place.Send)
	l.Complete(23, big, place.Done)
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
