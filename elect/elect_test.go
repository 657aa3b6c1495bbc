package elect_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/elect"
	"github.com/magnolialever/magnolialever/epoch"
	"github.com/magnolialever/magnolialever/units"
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

// Guards against two leaders when the store has forgotten the lease of one: the one that it knows of waits until the other has
// stopped, also where replicas check epochs, and the other stops as soon as it hears of the new era.
func TestLeaderOfNewEraWaitsForEarlierOne(t *testing.T) {
	revision := func(era epoch.Era, own int64) units.Revision {
		r, ok := epoch.Join(era, own)
		assert.Assert(t, ok)
		return r
	}
	earlier := elect.New("one", takeoverDelay, true)
	earlier.SetFirstStart()
	earlier.BeginEra(10, 1)
	earlier.RecordHolder(50, revision(1, 50), "")
	earlier.Acquired(110, 100, units.Epoch(revision(1, 60)), elect.LeaseTTL)
	assert.Assert(t, earlier.Holds(120))
	_, may := earlier.OrderEpoch(120)
	assert.Assert(t, may, "there was no leader before the first start")

	next := elect.New("two", takeoverDelay, true)
	next.BeginEra(10, 1)
	next.RecordHolder(150, revision(1, 60), "one")
	next.BeginEra(1000, 2)
	assert.Assert(t, !next.ShouldAcquire(1000), "the leader of the new era is not known yet")
	next.RecordHolder(1010, revision(1, 70), "")
	assert.Assert(t, !next.ShouldAcquire(1010), "a late message of the earlier era tells nothing")
	next.RecordHolder(1010, revision(2, 5), "")
	assert.Assert(t, next.ShouldAcquire(1010))
	next.Acquired(1020, 1010, units.Epoch(revision(2, 6)), elect.LeaseTTL)
	next.Renewed(2000, elect.LeaseTTL)
	_, may = next.OrderEpoch(1000 + clock.Time(elect.LeaseTTL) - 1)
	assert.Assert(t, !may, "the earlier leader may still send orders")
	e, may := next.OrderEpoch(1000 + clock.Time(elect.LeaseTTL))
	assert.Assert(t, may)
	old, _ := earlier.OrderEpoch(1000)
	assert.Assert(t, e > old, "%d after %d", e, old)

	earlier.BeginEra(1005, 2)
	assert.Assert(t, !earlier.Holds(1005))
	earlier.Acquired(1006, 900, units.Epoch(revision(1, 80)), elect.LeaseTTL)
	assert.Assert(t, !earlier.Holds(1006), "the store has forgotten this lease")
}

// Guards against a leader that gives up its term because of the answer to an order of an earlier one.
func TestRefusedOrderOfEarlierTerm(t *testing.T) {
	h := elect.New("one", 0, true)
	h.RecordHolder(50, 1, "")
	h.Acquired(110, 100, 2, elect.LeaseTTL)
	h.Lost(115)
	h.RecordHolder(120, 3, "")
	h.Acquired(130, 120, 4, elect.LeaseTTL)
	h.Refused(140, 2)
	assert.Assert(t, h.Holds(140))
	h.Refused(140, 4)
	assert.Assert(t, !h.Holds(140))
}

// Guards against a key that no lease of its owner ends, so that there is no leader: the store came back while it was written.
func TestStrayKeyIsFound(t *testing.T) {
	h := elect.New("one", 0, true)
	h.BeginEra(10, 2)
	revision, ok := epoch.Join(2, 7)
	assert.Assert(t, ok)
	h.RecordHolder(100, revision, "one")
	_, stray := h.StrayKey(100+2*clock.Time(elect.LeaseTTL)-1, elect.LeaseTTL)
	assert.Assert(t, !stray, "the lease of an earlier process may not have ended")
	found, stray := h.StrayKey(100+2*clock.Time(elect.LeaseTTL), elect.LeaseTTL)
	assert.Assert(t, stray)
	assert.Equal(t, found, revision)
	h.RecordHolder(5000, revision+1, "two")
	_, stray = h.StrayKey(9000, elect.LeaseTTL)
	assert.Assert(t, !stray)
}
