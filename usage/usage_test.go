package usage_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/usage"
)

const (
	length = 5 * clock.Second
	delay  = 6 * clock.Second
	// window is the first window of the tests.
	window usage.Window = 353_445_120
)

// gateway is a gateway of the tests, whose clock begins with the first window.
type gateway struct {
	vm          units.VMID
	incarnation usage.Incarnation
	counter     *usage.Counter
	known       *usage.Aggregate
	reporter    *usage.Reporter
}

const offset = clock.Span(int64(window) * int64(length))

func newGateway(vm units.VMID, incarnation usage.Incarnation) *gateway {
	g := &gateway{vm: vm, incarnation: incarnation, counter: usage.NewCounter(length, delay), known: usage.NewAggregate()}
	g.reporter = usage.NewReporter(usage.Options{Length: length, Delay: delay, FirstStart: true}, g.known)
	return g
}

// run records n requests of a customer that begin at a time.
func (g *gateway) run(at clock.Time, customer units.CustomerID, n int) {
	for range n {
		g.counter.Record(at, at, customer)
	}
}

// tell passes the totals at a time to others.
func (g *gateway) tell(now clock.Time, to ...*gateway) {
	g.counter.Fold(now, offset)
	t := g.counter.Totals(0)
	t.VM, t.Incarnation = g.vm, g.incarnation
	for _, other := range to {
		other.known.Merge(t)
	}
}

// store is the store with one key.
type store struct {
	value    []byte
	revision units.Revision
}

// load reads the store.
func (g *gateway) load(t *testing.T, s *store, at ...clock.Time) {
	t.Helper()
	now := clock.Time(100)
	for _, v := range at {
		now = v
	}
	state := usage.State{}
	if s.revision != 0 {
		var err error
		state, err = usage.DecodeState(s.value)
		assert.NilError(t, err)
	}
	g.reporter.Load(usage.At(now, offset), state, s.revision)
}

// leave adds the totals to those in the store, as the last gateway to stop does, and reports whether they were missing.
func (g *gateway) leave(t *testing.T, s *store) bool {
	t.Helper()
	state, err := usage.DecodeState(s.value)
	assert.NilError(t, err)
	state, changed := state.Merge(g.known.Totals())
	s.value, err = state.Encode()
	assert.NilError(t, err)
	s.revision++
	return changed
}

// decide decides and writes what it can, and returns the reports that this decided. It fails the test on a conflict.
func (g *gateway) decide(t *testing.T, s *store, now clock.Time, gateways ...units.VMID) []usage.Report {
	t.Helper()
	state, ok := g.reporter.Decide(usage.At(now, offset), gateways, []units.CustomerID{"court", "exam"})
	if !ok {
		return nil
	}
	assert.Equal(t, g.reporter.Revision(), s.revision)
	value, err := state.Encode()
	assert.NilError(t, err)
	s.value, s.revision = value, s.revision+1
	return g.reporter.Written(state, s.revision)
}

// Guards against a window that is reported without what one gateway has counted, twice what datagrams repeat, or
// customers that are missing.
func TestWindowIsClosedOnceAllHaveTold(t *testing.T) {
	a, b, s := newGateway("a", 1), newGateway("b", 2), &store{}
	a.load(t, s)
	assert.Equal(t, len(a.decide(t, s, 100, "a", "b")), 0)
	a.run(4999, "court", 3)
	b.run(4999, "court", 2)
	b.run(5000, "court", 7)
	b.tell(5200, a, a)
	a.tell(6100, a)
	assert.Equal(t, len(a.decide(t, s, 6100, "a", "b")), 0, "b may have counted more")
	b.tell(6100, a, a)
	decided := a.decide(t, s, 6100, "a", "b")
	assert.Equal(t, len(decided), 1)
	assert.DeepEqual(t, decided[0], usage.Report{Window: window, Counts: usage.Counts{"court": 5, "exam": 0}})
	due, ok := a.reporter.Due(usage.At(6100, offset))
	assert.Assert(t, ok && due.Equal(decided[0]))
	a.reporter.Acknowledge(window)
	_, ok = a.reporter.Due(usage.At(6100, offset))
	assert.Assert(t, !ok)
}

// Guards against reports that are late because a gateway was killed, and against the loss of what it had sent.
func TestKilledGatewayDelaysReportsButStillCounts(t *testing.T) {
	a, b, s := newGateway("a", 1), newGateway("b", 2), &store{}
	a.load(t, s)
	a.decide(t, s, 100, "a", "b")
	b.run(1000, "court", 40)
	b.tell(1100, a)
	again := newGateway("b", 3)
	again.run(4000, "court", 2)
	again.tell(4100, a)
	a.tell(6100, a)
	assert.Equal(t, len(a.decide(t, s, 6100, "a", "b")), 0)
	decided := a.decide(t, s, clock.Time(length+delay*45/100), "a", "b")
	assert.Equal(t, len(decided), 1)
	assert.Equal(t, decided[0].Counts["court"], int64(42))
}

// Guards against a successor that reports something else than the leader that wrote its decision and died, or froze,
// before it reported.
func TestSuccessorReportsWhatWasWritten(t *testing.T) {
	a, b, s := newGateway("a", 1), newGateway("b", 2), &store{}
	a.load(t, s)
	a.decide(t, s, 100, "a")
	a.run(1000, "court", 4)
	a.tell(6100, a)
	decided := a.decide(t, s, 6100, "a")
	assert.Equal(t, len(decided), 1)
	a.run(1000, "court", 1)
	a.tell(5700, b)
	b.load(t, s)
	due, ok := b.reporter.Due(usage.At(5700, offset))
	assert.Assert(t, ok && due.Equal(decided[0]))
	assert.Equal(t, len(b.decide(t, s, 5700, "a", "b")), 0)
	// The first leader wakes up and knows only the old revision: its write would be a conflict.
	a.tell(11_000, a)
	_, ok = a.reporter.Decide(usage.At(11_000, offset), []units.VMID{"a"}, nil)
	assert.Assert(t, ok)
	b.tell(11_000, b)
	a.tell(11_000, b)
	assert.Equal(t, len(b.decide(t, s, 11_000, "a", "b")), 1)
	assert.Assert(t, a.reporter.Revision() != s.revision)
	a.reporter.Unload()
	_, ok = a.reporter.Due(usage.At(11_000, offset))
	assert.Assert(t, !ok, "nothing is reported before the store is read")
}

// Guards against a successor that closes windows which are due already with what it alone knows, also if all gateways
// have sent their totals: the leader before may have reported them.
func TestSuccessorCollectsFirst(t *testing.T) {
	a, b, s := newGateway("a", 1), newGateway("b", 2), &store{}
	a.load(t, s)
	a.decide(t, s, 100, "a", "b")
	a.run(1000, "court", 4)
	b.reporter.TakeOver(usage.At(9000, offset))
	b.load(t, s)
	b.tell(9000, b)
	a.tell(9000, b)
	assert.Equal(t, len(b.decide(t, s, 9100, "a", "b")), 0)
	assert.Equal(t, b.decide(t, s, 9800, "a", "b")[0].Counts["court"], int64(4))
	// A gateway that does not answer is not waited for.
	c := newGateway("c", 3)
	c.reporter.TakeOver(usage.At(15_000, offset))
	c.load(t, s)
	c.tell(15_600, c)
	assert.Equal(t, len(c.decide(t, s, 15_600, "a", "c")), 0)
	assert.Equal(t, len(c.decide(t, s, 15_800, "a", "c")), 1)
}

// Guards against windows that are closed without what a lost datagram had.
func TestLostDatagramIsNoticed(t *testing.T) {
	a, b, s := newGateway("a", 1), newGateway("b", 2), &store{}
	a.load(t, s)
	a.decide(t, s, 100, "a", "b")
	b.run(1000, "court", 4)
	b.counter.Fold(1100, offset)
	b.counter.TakeChanged() // This one is lost.
	b.run(2000, "exam", 1)
	b.counter.Fold(6100, offset)
	changed, all := b.counter.TakeChanged(), b.counter.Totals(window+1)
	for _, t := range []*usage.Totals{&changed, &all} {
		t.VM, t.Incarnation = "b", 2
		a.known.Merge(*t)
	}
	a.tell(6100, a)
	assert.Equal(t, len(a.decide(t, s, 6100, "a", "b")), 0)
	b.tell(6200, a)
	assert.Equal(t, a.decide(t, s, 6200, "a", "b")[0].Counts["court"], int64(4))
}

// Guards against reports that differ, or are made twice, after the store has lost its newest writes and all who knew.
func TestNewEraLeavesOutWhatMayBeReported(t *testing.T) {
	a, s := newGateway("a", 1), &store{}
	a.load(t, s)
	a.decide(t, s, 100, "a")
	fresh := newGateway("b", 2)
	fresh.run(16_000, "court", 3)
	fresh.reporter.SetEra(usage.At(16_500, offset), 1)
	assert.Assert(t, !fresh.reporter.Loaded())
	fresh.load(t, s, 16_500)
	fresh.tell(21_100, fresh)
	decided := fresh.decide(t, s, 21_100, "b")
	assert.Equal(t, len(decided), 1)
	assert.Equal(t, decided[0].Window, window+3)
	assert.Equal(t, decided[0].Counts["court"], int64(3))
}

// Guards against reports that are never sent, or kept for good, after the control API was out of reach for long.
func TestOldReportsAreStillSent(t *testing.T) {
	a, s := newGateway("a", 1), &store{}
	a.load(t, s)
	a.decide(t, s, 100, "a")
	now := clock.Time(0)
	for i := range 100 {
		now = clock.Time((i+1)*5000 + 1100)
		a.tell(now, a)
		assert.Equal(t, len(a.decide(t, s, now, "a")), 1)
	}
	for sent := 0; ; sent++ {
		due, ok := a.reporter.Due(usage.At(now, offset))
		if !ok {
			assert.Equal(t, sent, 100)
			break
		}
		a.reporter.Acknowledge(due.Window)
	}
}

// Guards against a second report of a window that differs from the first because the store lost its newest writes.
func TestLostWriteIsDecidedAlike(t *testing.T) {
	a, b, s := newGateway("a", 1), newGateway("b", 2), &store{}
	a.load(t, s)
	a.decide(t, s, 100, "a")
	before := *s
	a.run(1000, "court", 4)
	a.tell(6100, a)
	decided := a.decide(t, s, 6100, "a")
	assert.Assert(t, b.known.Decided(decided[0]))
	*s = before
	a.run(1000, "court", 1)
	a.tell(5700, b)
	b.load(t, s)
	again := b.decide(t, s, 5700, "a", "b")
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Equal(decided[0]))
	// The value is lost as a whole, and with it what b wrote.
	c := newGateway("c", 3)
	assert.Assert(t, c.known.Decided(decided[0]))
	*s = store{}
	c.load(t, s)
	again = c.decide(t, s, 5800, "c")
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Equal(decided[0]))
	// A window that is known to be decided, but not how, is left out.
	d := newGateway("d", 4)
	assert.Assert(t, d.known.Decided(usage.Report{Window: window + 1, Counts: usage.Counts{"court": 1}}))
	*s = before
	d.load(t, s)
	again = d.decide(t, s, 11_000, "d")
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Window, window+1)
}

// Guards against a restart of all gateways, after which windows are missing, or what was sent before is forgotten.
func TestRestartOfAllGoesOn(t *testing.T) {
	a, s := newGateway("a", 1), &store{}
	a.load(t, s)
	a.decide(t, s, 100, "a")
	a.run(1000, "court", 4)
	a.run(5500, "court", 9)
	a.tell(6100, a)
	a.decide(t, s, 6100, "a")
	a.leave(t, s)
	b := newGateway("a", 2)
	b.load(t, s)
	b.run(9000, "court", 2)
	b.tell(17_000, b)
	decided := b.decide(t, s, 17_000, "a")
	assert.Equal(t, len(decided), 2)
	assert.Equal(t, decided[0].Window, window+1)
	assert.Equal(t, decided[0].Counts["court"], int64(11))
	assert.Equal(t, decided[1].Counts["court"], int64(0))
	due, ok := b.reporter.Due(usage.At(17_000, offset))
	assert.Assert(t, ok)
	assert.Equal(t, due.Window, window+2, "one that is not late yet comes first")
}

// Guards against the loss of the last totals when all gateways stop, and against counting them twice.
func TestTotalsLeftInTheStoreCountOnce(t *testing.T) {
	a, s := newGateway("a", 1), &store{}
	a.load(t, s)
	a.decide(t, s, 100, "a")
	a.run(1000, "court", 4)
	a.tell(1100, a)
	assert.Assert(t, a.leave(t, s))
	assert.Assert(t, !a.leave(t, s))
	b := newGateway("a", 2)
	b.load(t, s)
	b.tell(6100, b)
	decided := b.decide(t, s, 6100, "a")
	assert.Equal(t, decided[0].Counts["court"], int64(4))
}

// Guards against a value of another writer that moves windows or reports one twice.
func TestOddStateIsRefused(t *testing.T) {
	for _, value := range []string{
		`{`, `{}`, `{"length":5000,"next":-1}`, `{"length":5000,"next":5,"reports":[{"window":5}]}`, `{"next":5}`,
		`{"length":5000,"next":5,"reports":[{"window":3},{"window":3}]}`,
		`{"length":5000,"next":5,"reports":[{"window":0}]}`, `{"length":5000,"next":1e99}`, `[]`,
	} {
		_, err := usage.DecodeState([]byte(value))
		assert.Assert(t, err != nil, value)
	}
}

// Guards against calls without streaming that are counted in the window of their answer, and against calls that no report
// counts as their window is decided when they are answered.
func TestRequestCountsWhenItBegan(t *testing.T) {
	c := usage.NewCounter(length, delay)
	c.Record(5300, 4900, "court")
	c.Record(9000, 4900, "court")
	c.Fold(9000, offset)
	got := c.Totals(0).Windows
	assert.Equal(t, got[window]["court"], int64(1))
	assert.Equal(t, got[window+1]["court"], int64(1))
	c.Forget(window + 2)
	c.Record(9500, 9400, "court")
	c.Fold(9500, offset)
	assert.Equal(t, c.Totals(0).Windows[window+2]["court"], int64(1))
}

// Load: 100 calls of 0.8 s a second. Guards against calls that fall between two windows.
func TestSlowCallsAreAllCounted(t *testing.T) {
	a, s := newGateway("a", 1), &store{}
	a.load(t, s)
	sum := int64(0)
	for now := clock.Time(0); now < 26_500; now += 10 {
		if now >= 800 {
			a.counter.Record(now, now-800, "court")
		}
		if now%40 == 0 {
			a.tell(now, a)
			for _, r := range a.decide(t, s, now, "a") {
				a.counter.Forget(a.known.Next())
				assert.Equal(t, r.Counts["court"], int64(500), "window %d", r.Window-window)
				sum += r.Counts["court"]
			}
		}
	}
	assert.Equal(t, sum, int64(2500))
}
