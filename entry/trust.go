package entry

import (
	"sync/atomic"

	"github.com/magnolialever/magnolialever/clock"
)

const (
	// validityMargin is taken off the time for which keys may be used after the store has
	// confirmed them: callers and the store are some milliseconds away.
	validityMargin = 300 * clock.Millisecond
	// outageValidity is how long keys may be used after all gateways were last seen to have
	// lost the store. Nothing can be withdrawn while it serves nobody.
	outageValidity = clock.Second
	// minOutageReports is the number of other gateways that have to say so.
	minOutageReports = 2
)

// keyValidity tells whether customers' keys can be used. A key that was withdrawn must stop
// working within a bound, also at a gateway that is cut off and can't hear of it.
type keyValidity struct {
	validUntil atomic.Int64
}

// valid reports whether keys can be used.
func (k *keyValidity) valid(now clock.Time) bool { return now.Before(clock.Time(k.validUntil.Load())) }

func (k *keyValidity) set(until clock.Time) { k.validUntil.Store(int64(until)) }

// storeStatus is what another gateway says of the store.
type storeStatus struct {
	configVersion int64
	confirmedAt   clock.Time
	storeLost     bool
	fresh         bool
}

// keysValidUntil returns how long the keys of the version may be used.
func keysValidUntil(now, confirmedAt clock.Time, storeLost bool, configVersion int64, others []storeStatus, revocationDelay clock.Span) clock.Time {
	lostByAll := storeLost && len(others) >= minOutageReports
	for _, o := range others {
		if o.fresh && o.configVersion == configVersion {
			confirmedAt = max(confirmedAt, o.confirmedAt)
		}
		lostByAll = lostByAll && o.fresh && o.storeLost && o.configVersion == configVersion
	}
	until := clock.Time(0)
	if confirmedAt != 0 {
		until = confirmedAt.Add(revocationDelay - validityMargin)
	}
	if lostByAll {
		until = max(until, now.Add(outageValidity))
	}
	return until
}
