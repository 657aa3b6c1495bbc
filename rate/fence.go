package rate

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// attemptRetention is how long an attempt is remembered after its permit has expired. A
// duplicate message that a connection delivers later would be refused although the request was
// started.
const attemptRetention = 15 * clock.Second

// Fence checks permits at an agent. It refuses all permits until it has a table that is known
// to be current.
type Fence struct {
	version int64
	epochs  [SlotCount]units.Epoch
	open    bool
	// decided holds the decided attempts, with the time until which each is remembered.
	decided   map[units.AttemptID]clock.Time
	lastSweep clock.Time
	faults    faults
}

// NewFence returns a fence without a table.
func NewFence() *Fence {
	return &Fence{decided: make(map[units.AttemptID]clock.Time)}
}

// UpdateTable raises the epochs of slots to those of a table. Current means that the table was
// read from the store after the agent had started, or is the newest among those of all
// gateways on the VM list. The table of one gateway is not enough to open the fence of a
// restarted agent, because that gateway may lag. It returns the version to acknowledge to the
// gateways.
func (f *Fence) UpdateTable(t *SlotTable, current bool) int64 {
	f.open = f.open || current
	f.version = max(f.version, t.Version)
	for s := range t.Rows {
		f.epochs[s] = max(f.epochs[s], t.Rows[s].Epoch)
	}
	return f.Version()
}

// Version returns the highest table version seen. It may be acknowledged while the fence is
// closed, because a closed fence refuses all epochs.
func (f *Fence) Version() int64 { return f.version }

// Admit checks the permit of an attempt that needs cost tokens. An empty code admits the
// request; with any other code it must not run. Each attempt is decided once. A duplicate
// message gets InProgress and must not be answered: "not run" would let the gateway reuse the
// tokens of a started request.
func (f *Fence) Admit(now clock.Time, id units.AttemptID, p Permit, cost units.Tokens) units.Code {
	f.sweep(now)
	if _, ok := f.decided[id]; ok && !f.faults.acceptReplay {
		return units.InProgress
	}
	code := f.checkPermit(now, p, cost)
	// An expired permit needs no entry: a duplicate is refused for the same reason.
	if code != units.PermitExpired {
		f.decided[id] = p.Expires.Add(attemptRetention)
	}
	if code != "" {
		return code
	}
	for _, g := range p.Parts {
		// A permit of the new owner may arrive before the table with its epoch.
		f.epochs[g.Slot] = max(f.epochs[g.Slot], g.Epoch)
	}
	return ""
}

func (f *Fence) checkPermit(now clock.Time, p Permit, cost units.Tokens) units.Code {
	if !f.open {
		return units.PermitStale
	}
	if !now.Before(p.Expires) && !f.faults.ignoreExpiry {
		return units.PermitExpired
	}
	var paid units.Tokens
	for _, g := range p.Parts {
		if int(g.Slot) >= SlotCount || g.Tokens < 0 {
			return units.PermitStale
		}
		if g.Epoch < f.epochs[g.Slot] && !f.faults.ignoreEpoch {
			return units.PermitStale
		}
		paid += g.Tokens
	}
	if paid < cost {
		return units.PermitStale
	}
	return ""
}

// sweep forgets attempts that are past their retention.
func (f *Fence) sweep(now clock.Time) {
	if now.Sub(f.lastSweep) < GrantTTL {
		return
	}
	f.lastSweep = now
	for id, ends := range f.decided {
		if !now.Before(ends) {
			delete(f.decided, id)
		}
	}
}
