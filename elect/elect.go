// Package elect decides when a gateway is the leader for a duty that one gateway performs at a
// time, such as sending load orders. The leader owns a key in the platform's store with a lease;
// the revision at which the key was created is the epoch. It holds the store's era (package epoch), so that it only grows
// also when the store comes back from an older copy. The package performs
// no I/O. It handles leaders that crash, freeze, lose the connection to the store or stop as
// planned, and a store that has forgotten the leader.
package elect

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/epoch"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// LeaseTTL is the lifetime of the lease without renewal.
	LeaseTTL = 1600 * clock.Millisecond
	// RenewInterval is the interval between renewals of the lease.
	RenewInterval = 500 * clock.Millisecond
	// leaseMargin is how long before the end of its lease the leader stops to send orders, so that
	// the last ones arrive within it.
	leaseMargin = 300 * clock.Millisecond
)

// Elector is the state of one gateway in the election for a duty.
type Elector struct {
	self units.VMID
	// takeoverDelay is the least time between the orders of two leaders.
	takeoverDelay clock.Span
	// fenced is set if replicas reject orders of an older epoch.
	fenced bool
	epoch  units.Epoch
	// leaseEnd is when this gateway stops to use its lease, leaseMargin before the lease can end.
	leaseEnd clock.Time
	// ordersFrom is when the first order may be sent.
	ordersFrom clock.Time
	// holder is the gateway that owns the key; empty if none does. It is valid once holderKnown is
	// set.
	holder      units.VMID
	holderKnown bool
	// lostAt is when this gateway last lost the lease; 0 is never.
	lostAt clock.Time
	// era is the latest known era of the store, eraAt when this gateway learned of it; 0 if no leader of an earlier era
	// can still hold its lease.
	era   epoch.Era
	eraAt clock.Time
	// firstStart is set if there was no leader before this process started.
	firstStart bool
	// ownKeyAt is when the key was found to name this gateway without a lease that it knows of; 0 if it does not.
	// ownKeyRevision is the revision of the key.
	ownKeyAt       clock.Time
	ownKeyRevision units.Revision
}

// New returns an Elector without the lease.
func New(self units.VMID, takeoverDelay clock.Span, fenced bool) *Elector {
	return &Elector{self: self, takeoverDelay: takeoverDelay, fenced: fenced}
}

// BeginEra records that the store has come back from an older copy. It has forgotten the leases of the era before, so that the
// next leader takes the key before the one that it does not know of has stopped: this gateway gives up its own epoch, and
// waits before its first order until any lease of that era has ended.
func (h *Elector) BeginEra(now clock.Time, era epoch.Era) {
	if era <= h.era {
		return
	}
	if h.era != 0 || h.holderKnown || !h.firstStart || era > 1 {
		h.eraAt = now
	}
	h.endEpoch(now)
	h.era, h.holder, h.holderKnown = era, "", false
}

// GiveUp gives up this gateway's epoch, if it has one, because the store may have forgotten it.
func (h *Elector) GiveUp(now clock.Time) {
	if h.epoch != 0 {
		h.endEpoch(now)
		h.holder, h.holderKnown = "", false
	}
}

// SetFirstStart records that the whole system starts for the first time, so that no earlier leader holds a lease.
func (h *Elector) SetFirstStart() { h.firstStart = true }

// RecordHolder records which gateway owns the key as of the revision; vm is empty if none does.
// Revisions of an earlier era, and those up to this gateway's own epoch, are ignored, as they arrive late.
func (h *Elector) RecordHolder(now clock.Time, revision units.Revision, vm units.VMID) {
	if epoch.Of(revision) < h.era || h.epoch != 0 && int64(revision) <= int64(h.epoch) {
		return
	}
	h.BeginEra(now, epoch.Of(revision))
	h.endEpoch(now)
	h.holder, h.holderKnown = vm, true
	h.ownKeyAt = 0
	if vm == h.self {
		h.ownKeyAt, h.ownKeyRevision = now, revision
	}
}

// StrayKey returns the revision of a key that names this gateway although its lease must have ended, and whether there is one.
// When the store came back while the key was written, it may have given the number of its lease to another owner, who renews
// it. Nobody could become the leader while the key exists.
func (h *Elector) StrayKey(now clock.Time, ttl clock.Span) (units.Revision, bool) {
	return h.ownKeyRevision, h.era != 0 && h.epoch == 0 && h.holder == h.self && h.ownKeyAt != 0 && now.Sub(h.ownKeyAt) >= 2*ttl
}

// endEpoch gives up this gateway's epoch, if it has one.
func (h *Elector) endEpoch(now clock.Time) {
	if h.epoch != 0 {
		h.epoch, h.lostAt = 0, now
	}
}

// ShouldAcquire reports whether the gateway should try to create the key. After it has lost the
// lease it waits for takeoverDelay, so that leadership doesn't alternate between two gateways.
func (h *Elector) ShouldAcquire(now clock.Time) bool {
	return h.holderKnown && h.holder == "" && !h.Holds(now) && (h.lostAt == 0 || now.Sub(h.lostAt) >= h.takeoverDelay)
}

// Acquired records that the key was created with a lease requested at begin. The previous lease
// has ended by then; if replicas don't reject older epochs, the first order also waits for
// takeoverDelay, so that the previous leader's last order is at least that old. An epoch of an earlier era is of no use: the
// store has forgotten it. It reports whether the gateway is the leader.
func (h *Elector) Acquired(now, begin clock.Time, e units.Epoch, ttl clock.Span) bool {
	if epoch.OfEpoch(e) < h.era {
		return false
	}
	h.BeginEra(now, epoch.OfEpoch(e))
	h.epoch, h.holder = e, h.self
	h.leaseEnd = begin.Add(ttl - leaseMargin)
	h.ordersFrom = now
	if !h.fenced {
		h.ordersFrom = now.Add(h.takeoverDelay)
	}
	if h.eraAt != 0 {
		h.ordersFrom = max(h.ordersFrom, h.eraAt.Add(ttl))
	}
	return true
}

// Renewed records that a call that started at begin renewed the lease for the TTL.
func (h *Elector) Renewed(begin clock.Time, ttl clock.Span) {
	h.leaseEnd = begin.Add(ttl - leaseMargin)
}

// Refused records that a replica has seen a later epoch than that of an order. An epoch that this gateway has given up
// meanwhile says nothing of the current one.
func (h *Elector) Refused(now clock.Time, e units.Epoch) {
	if e == h.epoch {
		h.Lost(now)
	}
}

// Lost records that the lease has ended.
func (h *Elector) Lost(now clock.Time) {
	h.endEpoch(now)
	h.holder = ""
}

// Holder returns the gateway that owns the key as far as known; empty if none does.
func (h *Elector) Holder() units.VMID { return h.holder }

// Holds reports whether this gateway has the lease, less leaseMargin.
func (h *Elector) Holds(now clock.Time) bool { return h.epoch != 0 && now.Before(h.leaseEnd) }

// LeaderUntil returns the time until which Holds is true without a renewal; 0 if it is not.
func (h *Elector) LeaderUntil() clock.Time {
	if h.epoch == 0 {
		return 0
	}
	return h.leaseEnd
}

// OrderEpoch returns the current epoch, and whether orders may be sent under it now.
func (h *Elector) OrderEpoch(now clock.Time) (units.Epoch, bool) {
	return h.epoch, h.Holds(now) && !now.Before(h.ordersFrom)
}
