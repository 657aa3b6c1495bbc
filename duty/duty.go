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
	// TTL is the lifetime of the lease.
	TTL = 2 * clock.Second
	// KeepEvery is the interval at which it is renewed.
	KeepEvery = 600 * clock.Millisecond
	// margin is taken off the lease on the holder's clock, for the way of an order.
	margin = 300 * clock.Millisecond
)

// Holder is the state of one duty at one gateway.
type Holder struct {
	self units.VMID
	// turn is the least time between the orders of two holders.
	turn  clock.Span
	epoch units.Epoch
	// until is when the lease ends at the latest, on this gateway's clock.
	until clock.Time
	// from is when the first order may be given.
	from clock.Time
	// other is the gateway that holds the key; empty where nobody does.
	other units.VMID
	known bool
}

// New returns a Holder that does not hold the duty.
func New(self units.VMID, turn clock.Span) *Holder { return &Holder{self: self, turn: turn} }

// Seen notes who holds the key as of the revision; nobody if empty. Events from before
// the gateway's own epoch are late.
func (h *Holder) Seen(rev units.Revision, vm units.VMID) {
	if h.epoch != 0 && int64(rev) <= int64(h.epoch) {
		return
	}
	h.other, h.known = vm, true
	h.epoch = 0
}

// Wants reports whether the gateway should try to take the duty.
func (h *Holder) Wants(now clock.Time) bool {
	return h.known && h.other == "" && !h.Holds(now)
}

// Taken notes that the key was created. The lease was asked for at the time begin.
func (h *Holder) Taken(now, begin clock.Time, epoch units.Epoch, ttl clock.Span) {
	h.epoch, h.other = epoch, h.self
	h.until = begin.Add(ttl - margin)
	h.from = now.Add(h.turn)
}

// Kept notes that the lease was renewed by a call that began at the time.
func (h *Holder) Kept(begin clock.Time, ttl clock.Span) { h.until = begin.Add(ttl - margin) }

// Lost notes that the lease has ended or that a later holder has given orders.
func (h *Holder) Lost() {
	h.epoch = 0
	h.other = ""
}

// Holds reports whether the lease is the gateway's own.
func (h *Holder) Holds(now clock.Time) bool { return h.epoch != 0 && now.Before(h.until) }

// May reports whether an order may be given now, and under which epoch.
func (h *Holder) May(now clock.Time) (units.Epoch, bool) {
	return h.epoch, h.Holds(now) && !now.Before(h.from)
}

// Other is the gateway that holds the duty; empty where nobody is known to.
func (h *Holder) Other() units.VMID { return h.other }
