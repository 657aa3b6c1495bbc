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
	h := duty.New("one", turn)
	assert.Assert(t, !h.Wants(100), "who holds the duty is not known yet")
	h.Seen(5, "")
	assert.Assert(t, h.Wants(100))
	h.Taken(110, 100, 7, duty.TTL)
	_, may := h.May(200)
	assert.Assert(t, !may, "the holder before it may have given an order a moment ago")
	for now := clock.Time(700); now < 4000; now += 600 {
		h.Kept(now, duty.TTL)
	}
	epoch, may := h.May(4000)
	assert.Assert(t, may)
	assert.Equal(t, int64(epoch), int64(7))
	_, may = h.May(5650)
	assert.Assert(t, !may, "the last renewal was at 3,700")
}

// Guards against a holder that gives its duty up for events that are older than its
// epoch.
func TestLateEventsAreIgnored(t *testing.T) {
	h := duty.New("one", turn)
	h.Seen(5, "other")
	assert.Assert(t, !h.Wants(100))
	h.Seen(6, "")
	h.Taken(110, 100, 8, duty.TTL)
	h.Seen(6, "")
	h.Seen(8, "one")
	assert.Assert(t, h.Holds(200))
	h.Seen(12, "")
	assert.Assert(t, !h.Holds(200), "the lease has ended at the store")
	assert.Assert(t, h.Wants(200))
}

// Guards against a holder that goes on after a replica has told it of a later one.
func TestFencedHolderStops(t *testing.T) {
	h := duty.New("one", turn)
	h.Seen(1, "")
	h.Taken(110, 100, 2, duty.TTL)
	h.Lost()
	assert.Assert(t, !h.Holds(120))
}
