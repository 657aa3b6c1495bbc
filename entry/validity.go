package entry

import (
	"cmp"
	"slices"
	"sync/atomic"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/peers"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// validityMargin is subtracted from the time for which API keys are accepted after the store
	// has confirmed them, because of the network delay to callers and to the store.
	validityMargin = 300 * clock.Millisecond
	// ownConfirmationShare is the part of the delay of revocation for which a gateway relies on its own
	// calls to the store. After that it also uses what other gateways have confirmed.
	ownConfirmationShare = 1.0 / 3
	// maxConfirmers is the number of other gateways whose confirmations are looked at.
	maxConfirmers = 3
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

// keyBelief is what a gateway knows about how current its API keys are. Only the store's word counts,
// to this gateway or to another one: that gateways are silent or don't reach the store tells nothing.
type keyBelief struct {
	// confirmedAt is the latest time as of which the store is known not to have had a newer
	// configuration; 0 is never.
	confirmedAt clock.Time
	// gateway is the other gateway to which the store confirmed it; empty if it was this one.
	gateway units.VMID
}

// confirm records that the store confirmed the configuration as of a time.
func (b *keyBelief) confirm(at clock.Time, gateway units.VMID) {
	if at.After(b.confirmedAt) {
		*b = keyBelief{at, gateway}
	}
}

// validUntil returns until when keys are accepted; 0 if the store never confirmed any.
func (b *keyBelief) validUntil(revocationDelay clock.Span) clock.Time {
	if b.confirmedAt == 0 {
		return 0
	}
	return b.confirmedAt.Add(revocationDelay - validityMargin)
}

// keyBeliefLog logs changes of the belief about keys, and nothing while it stays the same.
type keyBeliefLog struct {
	accepted bool
	// others is set while keys rest on another gateway's word.
	others bool
}

// record logs the belief at the time if keys are now accepted and were not, or the reverse, or if it
// begins or ceases to rest on another gateway's word.
func (l *keyBeliefLog) record(now clock.Time, b keyBelief, until clock.Time, configVersion int64) {
	accepted, others := now.Before(until), b.gateway != ""
	if accepted == l.accepted && (others == l.others || !accepted) {
		return
	}
	l.accepted, l.others = accepted, others
	if !accepted {
		stats.Event("keys_not_accepted")
	}
	klog.InfoS("entry: keys", "accepted", accepted, "gateway", b.gateway, "version", configVersion,
		"age", now.Sub(b.confirmedAt), "left", until.Sub(now))
}

// claim is that of another gateway to have a confirmation by the store.
type claim struct {
	digest peers.Digest
	// claimedAt is when the confirmation was at the latest.
	claimedAt clock.Time
}

// chooseConfirmers returns the digests of up to maxConfirmers gateways that may have a later
// confirmation than the time, latest first. Gateways with a newer configuration than the version confirm
// nothing: keys may have been withdrawn by it.
func chooseConfirmers(digests []peers.Digest, after clock.Time, configVersion int64) []peers.Digest {
	var claims []claim
	for _, d := range digests {
		c := claim{d, d.ReceivedAt.Add(-clock.Span(d.GetConfirmedMs()))}
		known := d.GetConfig() != 0 && d.GetConfirmedMs() < noConfirmationMs
		if known && d.GetConfig() <= configVersion && c.claimedAt.After(after) {
			claims = append(claims, c)
		}
	}
	slices.SortFunc(claims, func(x, y claim) int { return cmp.Compare(y.claimedAt, x.claimedAt) })
	claims = claims[:min(len(claims), maxConfirmers)]
	out := make([]peers.Digest, 0, len(claims))
	for _, c := range claims {
		out = append(out, c.digest)
	}
	return out
}
