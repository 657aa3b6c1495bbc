package elect_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/elect"
)

const takeoverDelay = 3 * clock.Second

// Guards against orders from a leader whose lease may have ended, because it was frozen or can't
// renew it.
func TestHolderStopsBeforeItsLeaseEnds(t *testing.T) {
	h := elect.New("one", takeoverDelay, true)
	assert.Assert(t, !h.ShouldAcquire(100), "the current leader is not known yet")
	h.RecordHolder(50, 5, "")
	assert.Assert(t, h.ShouldAcquire(100))
	h.Acquired(110, 100, 7, elect.LeaseTTL)
	for now := clock.Time(600); now < 3000; now += 500 {
		h.Renewed(now, elect.LeaseTTL)
	}
	epoch, may := h.OrderEpoch(3000)
	assert.Assert(t, may)
	assert.Equal(t, int64(epoch), int64(7))
	// The last renewal was at 2,600.
	_, may = h.OrderEpoch(2600 + clock.Time(elect.LeaseTTL) - 200)
	assert.Assert(t, !may)
}

// Guards against an order that arrives before a late one of the previous leader, at a replica that
// doesn't check epochs.
func TestUnfencedHolderWaits(t *testing.T) {
	h := elect.New("one", takeoverDelay, false)
	h.RecordHolder(50, 5, "")
	h.Acquired(110, 100, 7, 10*clock.Second)
	_, may := h.OrderEpoch(110 + clock.Time(takeoverDelay) - 1)
	assert.Assert(t, !may)
	_, may = h.OrderEpoch(110 + clock.Time(takeoverDelay))
	assert.Assert(t, may)
}

// Guards against leadership that alternates between two gateways: one that lost the lease waits
// before it tries again.
func TestLoserWaitsBeforeRetry(t *testing.T) {
	h := elect.New("one", takeoverDelay, true)
	h.RecordHolder(50, 5, "")
	h.Acquired(110, 100, 7, elect.LeaseTTL)
	h.RecordHolder(2000, 9, "")
	assert.Assert(t, !h.ShouldAcquire(2000+clock.Time(takeoverDelay)-1))
	assert.Assert(t, h.ShouldAcquire(2000+clock.Time(takeoverDelay)))
}

// Guards against a leader that gives up the lease because of events older than its epoch.
func TestLateEventsAreIgnored(t *testing.T) {
	h := elect.New("one", takeoverDelay, true)
	h.RecordHolder(50, 5, "other")
	assert.Assert(t, !h.ShouldAcquire(100))
	h.RecordHolder(50, 6, "")
	h.Acquired(110, 100, 8, elect.LeaseTTL)
	h.RecordHolder(50, 6, "")
	h.RecordHolder(50, 8, "one")
	assert.Assert(t, h.Holds(200))
	h.RecordHolder(200, 12, "")
	assert.Assert(t, !h.Holds(200), "the lease has ended at the store")
}

// Guards against a leader that continues after a replica has rejected its epoch.
func TestFencedHolderStops(t *testing.T) {
	h := elect.New("one", takeoverDelay, true)
	h.RecordHolder(50, 1, "")
	h.Acquired(110, 100, 2, elect.LeaseTTL)
	h.Lost(115)
	assert.Assert(t, !h.Holds(120))
}
