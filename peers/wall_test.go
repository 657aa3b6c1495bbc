package peers_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/peers"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// machine has clocks of its own: a monotonic one that was started at another time, and a time of day.
type machine struct {
	vm units.VMID
	// started is the true time at which the monotonic clock was 0, off how far the time of day is wrong.
	started clock.Time
	off     clock.Span
	wall    *peers.Wall
}

// dayStart is the true time of day, in milliseconds, at time 0 of the tests.
const dayStart = 1_767_225_600_000

func (m *machine) now(t clock.Time) clock.Time { return clock.Time(t.Sub(m.started)) }

// exchange makes each machine read its clocks and tell them to the others, with a delay of 1 to 3 ms.
func exchange(t clock.Time, machines []*machine) {
	for i, m := range machines {
		m.wall.RecordOwn(m.now(t), dayStart+int64(t)+int64(m.off))
		d := &wire.Digest{Vm: string(m.vm), Life: uint64(i + 1), SentMs: int64(m.now(t)), WallMs: m.wall.Own(m.now(t))}
		for _, other := range machines {
			if other != m {
				delay := clock.Span(1 + (int64(t)/40+int64(i))%3)
				other.wall.RecordDigest(peers.Digest{Digest: d, ReceivedAt: other.now(t.Add(delay))})
			}
		}
	}
}

func newMachines(offs ...clock.Span) []*machine {
	var out []*machine
	for i, off := range offs {
		m := &machine{vm: units.VMID(rune('a' + i)), started: clock.Time(-7000 * i), off: off}
		m.wall = peers.NewWall(m.now(0))
		out = append(out, m)
	}
	return out
}

// largestError returns the largest error of the machines' time of day.
func largestError(t *testing.T, at clock.Time, machines []*machine) clock.Span {
	t.Helper()
	worst := clock.Span(0)
	for _, m := range machines {
		offset, ok := m.wall.Offset(m.now(at), len(machines))
		assert.Assert(t, ok)
		e := clock.Span(int64(m.now(at).Add(offset)) - dayStart - int64(at))
		worst = max(worst, e, -e)
	}
	return worst
}

// Guards against windows that move with the clock of a machine that is stepped, and back, by any amount.
func TestSteppedClocksOfAMinorityChangeNothing(t *testing.T) {
	for _, step := range []clock.Span{3 * clock.Second, -4 * clock.Second, clock.Hour} {
		machines := newMachines(-20, 0, 10, 30)
		for at := clock.Time(0); at < 60_000; at += 40 {
			switch at {
			case 10_000:
				machines[2].off += step
			case 12_000:
				machines[0].off -= step
			case 30_000:
				machines[2].off -= step
			}
			exchange(at, machines)
			if at > 1000 {
				assert.Assert(t, largestError(t, at, machines) <= 35, "step %d at %d: %d", step, at, largestError(t, at, machines))
			}
		}
	}
}

// Guards against a gateway that is started on a machine whose clock is wrong by seconds.
func TestWrongClockAtStartIsOutvoted(t *testing.T) {
	machines := newMachines(2*clock.Second, 5, 0)
	for at := clock.Time(0); at < 2000; at += 40 {
		exchange(at, machines)
	}
	assert.Assert(t, largestError(t, 2000, machines) <= 10)
	alone := peers.NewWall(100)
	alone.RecordOwn(100, dayStart)
	_, ok := alone.Offset(1000, 3)
	assert.Assert(t, !ok, "most of the gateways were not heard")
	_, ok = alone.Offset(4000, 3)
	assert.Assert(t, ok)
	assert.Assert(t, !alone.HasMajority(3), "one clock decides for three")
	assert.Assert(t, alone.HasMajority(2))
	assert.Assert(t, machines[0].wall.HasMajority(4))
}

// Guards against a time of day that moves away as the monotonic clocks of the machines drift apart.
func TestDriftIsFollowed(t *testing.T) {
	w := peers.NewWall(1)
	for at := clock.Time(1); at < clock.Time(clock.Hour); at += 400 {
		// The local clock runs 100 ppm fast; all times of day are right.
		local := at + at/10_000
		w.RecordOwn(local, dayStart+int64(at))
		for i := range 2 {
			d := &wire.Digest{Vm: string(rune('x' + i)), Life: 1, SentMs: int64(at), WallMs: dayStart + int64(at)}
			w.RecordDigest(peers.Digest{Digest: d, ReceivedAt: local + 2})
		}
		if offset, ok := w.Offset(local, 3); ok {
			e := clock.Span(int64(local.Add(offset)) - dayStart - int64(at))
			assert.Assert(t, max(e, -e) <= 5, "%d ms after %d", e, at)
		}
	}
}

// Guards against one of two gateways, or a single one, that follows a step which is taken back.
func TestStepThatIsTakenBackIsPassedOver(t *testing.T) {
	for _, n := range []int{1, 2} {
		machines := newMachines(make([]clock.Span, n)...)
		for at := clock.Time(0); at < 60_000; at += 40 {
			switch at {
			case 20_000:
				machines[0].off = 5 * clock.Second
			case 30_000:
				machines[0].off = 0
			}
			exchange(at, machines)
			if at > 1000 {
				assert.Assert(t, largestError(t, at, machines) <= 5, "%d machines at %d", n, at)
			}
		}
	}
}
