// Package elect decides when a gateway is the leader for a duty that one gateway performs at a
// time, such as sending load orders. The leader owns a key in the platform's store with a lease;
// the revision at which the key was created is the epoch, which only grows. The package performs
// no I/O. It handles leaders that crash, freeze, lose the connection to the store or stop as
// planned.
package elect

import (
	"github.com/magnolialever/magnolialever/clock"
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
}

// New returns an Elector without the lease.
func New(self units.VMID, takeoverDelay clock.Span, fenced bool) *Elector {
	return &Elector{self: self, takeoverDelay: takeoverDelay, fenced: fenced}
}

// RecordHolder records which gateway owns the key as of the revision; vm is empty if none does.
// Revisions up to this gateway's own epoch are ignored, as they arrive late.
func (h *Elector) RecordHolder(now clock.Time, revision units.Revision, vm units.VMID) {
	if h.epoch != 0 && int64(revision) <= int64(h.epoch) {
		return
	}
	h.endEpoch(now)
	h.holder, h.holderKnown = vm, true
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
// takeoverDelay, so that the previous leader's last order is at least that old.
func (h *Elector) Acquired(now, begin clock.Time, epoch units.Epoch, ttl clock.Span) {
	h.epoch, h.holder = epoch, h.self
	h.leaseEnd = begin.Add(ttl - leaseMargin)
	h.ordersFrom = now
	if !h.fenced {
		h.ordersFrom = now.Add(h.takeoverDelay)
	}
}

// Renewed records that a call that started at begin renewed the lease for the TTL.
func (h *Elector) Renewed(begin clock.Time, ttl clock.Span) {
	h.leaseEnd = begin.Add(ttl - leaseMargin)
}

// Lost records that the lease has ended or that a replica has seen a later epoch.
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
