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
	vm       units.VMID
	life     usage.Life
	counter  *usage.Counter
	book     *usage.Book
	reporter *usage.Reporter
}

const offset = clock.Span(int64(window) * int64(length))

func newGateway(vm units.VMID, life usage.Life) *gateway {
	g := &gateway{vm: vm, life: life, counter: usage.NewCounter(length), book: usage.NewBook()}
	g.reporter = usage.NewReporter(usage.Options{Length: length, Delay: delay}, g.book)
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
	t.VM, t.Life = g.vm, g.life
	for _, other := range to {
		other.book.Merge(t)
	}
}

// store is the store with one key.
type store struct {
	value    []byte
	revision units.Revision
}

// load reads the store.
func (g *gateway) load(t *testing.T, s *store) {
	t.Helper()
	state := usage.State{}
	if s.revision != 0 {
		var err error
		state, err = usage.DecodeState(s.value)
		assert.NilError(t, err)
	}
	g.reporter.Load(state, s.revision)
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
	a.tell(5600, a)
	assert.Equal(t, len(a.decide(t, s, 5600, "a", "b")), 0, "b may have counted more")
	b.tell(5600, a, a)
	decided := a.decide(t, s, 5600, "a", "b")
	assert.Equal(t, len(decided), 1)
	assert.DeepEqual(t, decided[0], usage.Report{Window: window, Counts: usage.Counts{"court": 5, "exam": 0}})
	due, ok := a.reporter.Due(usage.At(5600, offset))
	assert.Assert(t, ok && due.Equal(decided[0]))
	a.reporter.Acknowledge(window)
	_, ok = a.reporter.Due(usage.At(5600, offset))
	assert.Assert(t, !ok)
}

// Guards against reports that are late because a gateway was killed, and against the loss of what it had told.
func TestKilledGatewayDelaysReportsButStillCounts(t *testing.T) {
	a, b, s := newGateway("a", 1), newGateway("b", 2), &store{}
	a.load(t, s)
	a.decide(t, s, 100, "a", "b")
	b.run(1000, "court", 40)
	b.tell(1100, a)
	again := newGateway("b", 3)
	again.run(4000, "court", 2)
	again.tell(4100, a)
	a.tell(5600, a)
	assert.Equal(t, len(a.decide(t, s, 5600, "a", "b")), 0)
	decided := a.decide(t, s, clock.Time(length+delay*4/10), "a", "b")
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
	a.tell(5600, a)
	decided := a.decide(t, s, 5600, "a")
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

// Guards against a successor that closes windows which are due already with what it alone knows.
func TestSuccessorCollectsFirst(t *testing.T) {
	a, b, s := newGateway("a", 1), newGateway("b", 2), &store{}
	a.load(t, s)
	a.decide(t, s, 100, "a", "b")
	a.run(1000, "court", 4)
	b.load(t, s)
	b.reporter.Collect(usage.At(9000, offset))
	b.tell(9000, b)
	assert.Equal(t, len(b.decide(t, s, 9000, "a", "b")), 0)
	a.tell(9100, b)
	assert.Equal(t, b.decide(t, s, 9100, "a", "b")[0].Counts["court"], int64(4))
	// A gateway that does not answer is not waited for.
	c := newGateway("c", 3)
	c.load(t, s)
	c.reporter.Collect(usage.At(15_000, offset))
	c.tell(15_600, c)
	assert.Equal(t, len(c.decide(t, s, 15_600, "a", "c")), 0)
	assert.Equal(t, len(c.decide(t, s, 15_800, "a", "c")), 1)
}

// Guards against a second report of a window that differs from the first because the store lost its newest writes.
func TestLostWriteIsDecidedAlike(t *testing.T) {
	a, b, s := newGateway("a", 1), newGateway("b", 2), &store{}
	a.load(t, s)
	a.decide(t, s, 100, "a")
	before := *s
	a.run(1000, "court", 4)
	a.tell(5600, a)
	decided := a.decide(t, s, 5600, "a")
	assert.Assert(t, b.book.Decided(decided[0]))
	*s = before
	a.run(1000, "court", 1)
	a.tell(5700, b)
	b.load(t, s)
	again := b.decide(t, s, 5700, "a", "b")
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Equal(decided[0]))
	// The value is lost as a whole, and with it what b wrote.
	c := newGateway("c", 3)
	assert.Assert(t, c.book.Decided(decided[0]))
	*s = store{}
	c.load(t, s)
	again = c.decide(t, s, 5800, "c")
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Equal(decided[0]))
	// A window that is known to be decided, but not how, is left out.
	d := newGateway("d", 4)
	assert.Assert(t, d.book.Decided(usage.Report{Window: window + 1, Counts: usage.Counts{"court": 1}}))
	*s = before
	d.load(t, s)
	again = d.decide(t, s, 11_000, "d")
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Window, window+1)
}

// Guards against a restart of all gateways, after which windows are missing, or what was told before is forgotten.
func TestRestartOfAllGoesOn(t *testing.T) {
	a, s := newGateway("a", 1), &store{}
	a.load(t, s)
	a.decide(t, s, 100, "a")
	a.run(1000, "court", 4)
	a.run(5500, "court", 9)
	a.tell(5600, a)
	a.decide(t, s, 5600, "a")
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
	state, err := usage.DecodeState(s.value)
	assert.NilError(t, err)
	for range 2 {
		var changed bool
		state, changed = state.Merge(a.book.Totals())
		s.value, err = state.Encode()
		assert.NilError(t, err)
		_ = changed
	}
	_, changed := state.Merge(a.book.Totals())
	assert.Assert(t, !changed)
	b := newGateway("a", 2)
	b.load(t, s)
	b.tell(6000, b)
	decided := b.decide(t, s, 6000, "a")
	assert.Equal(t, decided[0].Counts["court"], int64(4))
}

// Guards against a value of another writer that moves windows or reports one twice.
func TestOddStateIsRefused(t *testing.T) {
	for _, value := range []string{
		`{`, `{}`, `{"next":-1}`, `{"next":5,"reports":[{"window":5}]}`, `{"next":5,"reports":[{"window":3},{"window":3}]}`,
		`{"next":5,"reports":[{"window":0}]}`, `{"next":1e99}`, `[]`,
	} {
		_, err := usage.DecodeState([]byte(value))
		assert.Assert(t, err != nil, value)
	}
}

// Guards against calls without streaming that are counted in the window of their answer, and against changes to windows
// that are long closed.
func TestRequestCountsWhenItBegan(t *testing.T) {
	c := usage.NewCounter(length)
	c.Record(5300, 4900, "court")
	c.Record(9000, 4900, "court")
	c.Fold(9000, offset)
	got := c.Totals(0).Windows
	assert.Equal(t, got[window]["court"], int64(1))
	assert.Equal(t, got[window+1]["court"], int64(1))
}
