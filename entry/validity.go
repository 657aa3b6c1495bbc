package entry

import (
	"sync/atomic"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

// validityMargin is subtracted from the time for which API keys are accepted after the store
// has confirmed them, because of the network delay to callers and to the store.
const validityMargin = 300 * clock.Millisecond

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

// validitySource is whose word the validity of keys rests on.
type validitySource string

// Sources of validity, as they appear in the log.
const (
	fromNobody  validitySource = "none"
	fromStore   validitySource = "store"
	fromGateway validitySource = "gateway"
)

// keyBelief is what a gateway believes about the API keys of its configuration.
type keyBelief struct {
	// until is the time until which they are accepted.
	until clock.Time
	// confirmedAt is when the store last confirmed the configuration as far as known; 0 is never.
	confirmedAt clock.Time
	// source is the store as long as its own confirmation to this gateway suffices.
	source validitySource
	// gateway is the other gateway that had the confirmation; empty if source isn't fromGateway.
	gateway units.VMID
}

// keyBeliefLog logs changes of the belief about keys, and nothing while it stays the same.
type keyBeliefLog struct {
	accepted bool
	source   validitySource
}

// record logs the belief at the time if keys are now accepted and were not, or the reverse, or if
// another source confirms them.
func (l *keyBeliefLog) record(now clock.Time, b keyBelief, configVersion int64) {
	accepted := now.Before(b.until)
	if accepted == l.accepted && (b.source == l.source || !accepted) {
		return
	}
	l.accepted, l.source = accepted, b.source
	if !accepted {
		stats.Event("keys_not_accepted")
	}
	klog.InfoS("entry: keys", "accepted", accepted, "source", b.source, "gateway", b.gateway, "version", configVersion,
		"age", now.Sub(b.confirmedAt), "left", b.until.Sub(now))
}

// storeStatus is another gateway's last report about the store.
type storeStatus struct {
	gateway units.VMID
	// configVersion is the version of the configuration that the gateway uses.
	configVersion int64
	// confirmedAt is when the store last confirmed that version to the gateway.
	confirmedAt clock.Time
}

// validUntil returns until when keys may be accepted that the store confirmed at a time; 0 if it never
// did.
func validUntil(confirmedAt clock.Time, revocationDelay clock.Span) clock.Time {
	if confirmedAt == 0 {
		return 0
	}
	return confirmedAt.Add(revocationDelay - validityMargin)
}

// believeKeys returns until when this gateway may accept the API keys of its configuration, and why.
// confirmedAt is when the store last confirmed that configuration to it, 0 for never; a
// confirmation of the same version by another gateway counts as well. That gateways don't reach the
// store tells nothing: operators may.
func believeKeys(now, confirmedAt clock.Time, configVersion int64, others []storeStatus, revocationDelay clock.Span) keyBelief {
	b := keyBelief{confirmedAt: confirmedAt, source: fromStore}
	for _, o := range others {
		if o.configVersion == configVersion && o.confirmedAt.After(b.confirmedAt) {
			b = keyBelief{confirmedAt: o.confirmedAt, source: fromGateway, gateway: o.gateway}
		}
	}
	switch own := validUntil(confirmedAt, revocationDelay); {
	case b.confirmedAt == 0:
		b.source = fromNobody
	case now.Before(own):
		b.source, b.gateway = fromStore, ""
	}
	b.until = validUntil(b.confirmedAt, revocationDelay)
	return b
}
