package duty_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/duty"
)

const turn = 3 * clock.Second

// Guards against orders of a holder whose lease may have ended, such as one that was
// frozen or can't renew it.
func TestHolderStopsBeforeItsLeaseEnds(t *testing.T) {
	h := duty.New("one", turn, true)
	assert.Assert(t, !h.ShouldAcquire(100), "who holds the duty is not known yet")
	h.RecordHolder(50, 5, "")
	assert.Assert(t, h.ShouldAcquire(100))
	h.Acquired(110, 100, 7, duty.LeaseTTL)
	for now := clock.Time(600); now < 3000; now += 500 {
		h.Renewed(now, duty.LeaseTTL)
	}
	epoch, may := h.OrderEpoch(3000)
	assert.Assert(t, may)
	assert.Equal(t, int64(epoch), int64(7))
	// The last renewal was at 2,600.
	_, may = h.OrderEpoch(2600 + clock.Time(duty.LeaseTTL) - 200)
	assert.Assert(t, !may)
}

// Guards against an order that reaches a replica before a late one of the holder before,
// where the replica does not tell them apart.
func TestUnfencedHolderWaits(t *testing.T) {
	h := duty.New("one", turn, false)
	h.RecordHolder(50, 5, "")
	h.Acquired(110, 100, 7, 10*clock.Second)
	_, may := h.OrderEpoch(110 + clock.Time(turn) - 1)
	assert.Assert(t, !may)
	_, may = h.OrderEpoch(110 + clock.Time(turn))
	assert.Assert(t, may)
}

// Guards against two holders that take turns: one that lost the duty leaves it to others.
func TestLoserLeavesTheDuty(t *testing.T) {
	h := duty.New("one", turn, true)
	h.RecordHolder(50, 5, "")
	h.Acquired(110, 100, 7, duty.LeaseTTL)
	h.RecordHolder(2000, 9, "")
	assert.Assert(t, !h.ShouldAcquire(2000+clock.Time(turn)-1))
	assert.Assert(t, h.ShouldAcquire(2000+clock.Time(turn)))
}

// Guards against a holder that gives its duty up for events that are older than its
// epoch.
func TestLateEventsAreIgnored(t *testing.T) {
	h := duty.New("one", turn, true)
	h.RecordHolder(50, 5, "other")
	assert.Assert(t, !h.ShouldAcquire(100))
	h.RecordHolder(50, 6, "")
	h.Acquired(110, 100, 8, duty.LeaseTTL)
	h.RecordHolder(50, 6, "")
	h.RecordHolder(50, 8, "one")
	assert.Assert(t, h.Holds(200))
	h.RecordHolder(200, 12, "")
	assert.Assert(t, !h.Holds(200), "the lease has ended at the store")
}

// Guards against a holder that goes on after a replica has told it of a later one.
func TestFencedHolderStops(t *testing.T) {
	h := duty.New("one", turn, true)
	h.RecordHolder(50, 1, "")
	h.Acquired(110, 100, 2, duty.LeaseTTL)
	h.Lost(115)
	assert.Assert(t, !h.Holds(120))
}
