// Package duty holds what all duties of the leader have in common: who may perform one, under which epoch, and what may
// be sent for a subject while the answer to a call is missing. Orders to upstreams, usage reports and scaling orders use
// it. The package performs no I/O and elects nobody: the leader of package elect holds all duties.
//
// A call without an answer may still be carried out seconds later, after newer ones. It is therefore repeated exactly, or
// nothing else is sent for its subject until its epoch is past.
package duty

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// Subject names what a duty is about, such as an upstream or the usage of all customers. One epoch at a time has calls
// for a subject.
type Subject string

// Leader says under which epoch this gateway is the leader. An elect.Elector is one.
type Leader interface {
	// OrderEpoch returns the current epoch, and whether calls may be made under it now.
	OrderEpoch(now clock.Time) (units.Epoch, bool)
}

// Proof is what a call for a subject states of its sender.
type Proof struct {
	Subject Subject
	// Holder is the machine that holds the duty, Epoch the term under which it does.
	Holder units.VMID
	Epoch  units.Epoch
}

// Holder says which duties a gateway holds. It is not safe for concurrent use.
type Holder struct {
	self   units.VMID
	leader Leader
	// givenUp has the last epoch under which a duty was given up, by subject.
	givenUp map[Subject]units.Epoch
}

// NewHolder returns the Holder of the gateway on a VM.
func NewHolder(self units.VMID, leader Leader) *Holder {
	return &Holder{self: self, leader: leader, givenUp: map[Subject]units.Epoch{}}
}

// Prove takes the duty for a subject, if this gateway is the leader and has not given the duty up under the current
// epoch. The result holds for a call that is made at once.
func (h *Holder) Prove(now clock.Time, s Subject) (Proof, bool) {
	epoch, ok := h.leader.OrderEpoch(now)
	if !ok || (h.givenUp[s] != 0 && epoch <= h.givenUp[s]) {
		return Proof{}, false
	}
	return Proof{Subject: s, Holder: h.self, Epoch: epoch}, true
}

// Holds reports whether a proof that was taken earlier still holds.
func (h *Holder) Holds(now clock.Time, p Proof) bool {
	current, ok := h.Prove(now, p.Subject)
	return ok && current == p
}

// GiveUp gives up the duty under the epoch of a proof, because a call was refused that had a later one behind it. It
// can be taken again under a later epoch.
func (h *Holder) GiveUp(p Proof) {
	h.givenUp[p.Subject] = max(h.givenUp[p.Subject], p.Epoch)
}
