// Package duty decides when a gateway holds a duty that one gateway has at a time. The
// duty is a key of the platform's store with a lease; the revision at which it was
// created is the epoch, which only grows. It performs no I/O.
//
// It answers holders that die, freeze, are cut off from the store, or stop as planned.
package duty

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// LeaseTTL is the lifetime of the lease.
	LeaseTTL = 1600 * clock.Millisecond
	// RenewInterval is the interval at which it is renewed.
	RenewInterval = 500 * clock.Millisecond
	// margin is taken off the lease on the holder's clock, for the way of an order.
	margin = 300 * clock.Millisecond
)

// Elector is the state of one duty at one gateway.
type Elector struct {
	self units.VMID
	// turn is the least time between the orders of two holders that take turns.
	turn clock.Span
	// fenced is set where replicas refuse an older epoch.
	fenced bool
	epoch  units.Epoch
	// until is when the lease ends at the latest, on this gateway's clock.
	until clock.Time
	// from is when the first order may be given.
	from clock.Time
	// other is the gateway that holds the key; empty where nobody does.
	other units.VMID
	known bool
	// lost is when this gateway last lost the duty; 0 is never.
	lost clock.Time
}

// New returns a Holder that does not hold the duty.
func New(self units.VMID, turn clock.Span, fenced bool) *Elector {
	return &Elector{self: self, turn: turn, fenced: fenced}
}

// RecordHolder notes who holds the key as of the revision; nobody if empty. Events from before
// the gateway's own epoch are late.
func (h *Elector) RecordHolder(now clock.Time, rev units.Revision, vm units.VMID) {
	if h.epoch != 0 && int64(rev) <= int64(h.epoch) {
		return
	}
	h.drop(now)
	h.other, h.known = vm, true
}

// drop ends the own epoch.
func (h *Elector) drop(now clock.Time) {
	if h.epoch != 0 {
		h.epoch, h.lost = 0, now
	}
}

// ShouldAcquire reports whether the gateway should try to take the duty. One that has lost it
// leaves it to others first, so that two holders do not take turns.
func (h *Elector) ShouldAcquire(now clock.Time) bool {
	return h.known && h.other == "" && !h.Holds(now) && (h.lost == 0 || now.Sub(h.lost) >= h.turn)
}

// Acquired notes that the key was created. The lease was asked for at the time begin. The
// lease of the holder before has ended; where replicas do not refuse an older epoch,
// its last order has to be a turn ago besides.
func (h *Elector) Acquired(now, begin clock.Time, epoch units.Epoch, ttl clock.Span) {
	h.epoch, h.other = epoch, h.self
	h.until = begin.Add(ttl - margin)
	h.from = now
	if !h.fenced {
		h.from = now.Add(h.turn)
	}
}

// Renewed notes that the lease was renewed by a call that began at the time.
func (h *Elector) Renewed(begin clock.Time, ttl clock.Span) { h.until = begin.Add(ttl - margin) }

// Lost notes that the lease has ended or that a later holder has given orders.
func (h *Elector) Lost(now clock.Time) {
	h.drop(now)
	h.other = ""
}

// Holds reports whether the lease is the gateway's own.
func (h *Elector) Holds(now clock.Time) bool { return h.epoch != 0 && now.Before(h.until) }

// OrderEpoch reports whether an order may be given now, and under which epoch.
func (h *Elector) OrderEpoch(now clock.Time) (units.Epoch, bool) {
	return h.epoch, h.Holds(now) && !now.Before(h.from)
}
