package entry

import (
	"sync/atomic"

	"github.com/magnolialever/magnolialever/clock"
)

const (
	// validityMargin is subtracted from the time for which API keys are accepted after the store
	// has confirmed them, because of the network delay to callers and to the store.
	validityMargin = 300 * clock.Millisecond
	// outageValidity is how long API keys are accepted after all gateways were last known to have
	// lost the store. No key can be withdrawn while the store serves nobody.
	outageValidity = clock.Second
	// minOutageReports is the least number of other gateways that have to report the loss.
	minOutageReports = 2
)

// keyValidity holds until when customers' API keys are accepted. A withdrawn key must be rejected
// within platform.Bounds.RevocationDelay, also by a gateway that is disconnected from the store and
// doesn't learn of the withdrawal. It is safe for concurrent use.
type keyValidity struct {
	// validUntil is a clock.Time.
	validUntil atomic.Int64
}

// valid reports whether API keys are accepted at the time.
func (k *keyValidity) valid(now clock.Time) bool { return now.Before(clock.Time(k.validUntil.Load())) }

func (k *keyValidity) set(until clock.Time) { k.validUntil.Store(int64(until)) }

// storeStatus is another gateway's last report about the store.
type storeStatus struct {
	// configVersion is the version of the configuration that the gateway uses.
	configVersion int64
	// confirmedAt is when the store last confirmed that version to the gateway.
	confirmedAt clock.Time
	// storeLost is set if the gateway has lost the store.
	storeLost bool
	// fresh is set if the report is recent; otherwise the other fields are not set.
	fresh bool
}

// keysValidUntil returns the time until which this gateway may accept the API keys of its
// configuration. confirmedAt is when the store last confirmed that configuration to it, 0 for
// never; a fresh confirmation of the same version by another gateway counts as well. If all
// gateways have lost the store with the same version, the keys stay valid for outageValidity from
// now.
func keysValidUntil(
	now, confirmedAt clock.Time, storeLost bool, configVersion int64, others []storeStatus, revocationDelay clock.Span,
) clock.Time {
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
