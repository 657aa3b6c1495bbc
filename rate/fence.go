package rate

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// repeatMax is how long after the expiry of a permit its attempt is remembered. A
// message that a connection repeats later than that would get a refusal although
// the request was started.
const repeatMax = 15 * clock.Second

// Fence is the agent's check of permits. It refuses all permits until it has
// learned a table that is known to be current.
type Fence struct {
	version int64
	epochs  [SlotCount]units.Epoch
	open    bool
	// seen holds until when decided attempts are remembered.
	seen   map[units.AttemptID]clock.Time
	swept  clock.Time
	faults faults
}

// NewFence returns a fence that knows no table.
func NewFence() *Fence {
	return &Fence{seen: make(map[units.AttemptID]clock.Time)}
}

// UpdateTable takes over the epochs of a table. Current tells that the table was read
// from the store after the agent had started, or is the newest of all gateways on
// the VM list; a restarted agent must not be opened by the table of one gateway
// that lags. It returns the version to acknowledge to the gateways.
func (f *Fence) UpdateTable(t *SlotTable, current bool) int64 {
	f.open = f.open || current
	f.version = max(f.version, t.Version)
	for s := range t.Rows {
		f.epochs[s] = max(f.epochs[s], t.Rows[s].Epoch)
	}
	return f.Version()
}

// Version returns the highest version learned. It may be acknowledged while the
// fence is closed, because a closed fence refuses all epochs.
func (f *Fence) Version() int64 { return f.version }

// Admit checks the permit of an attempt that needs cost tokens. An empty code is
// the start of the request; with another one the request must not run. Each
// attempt is decided once. A repeated message gets InProgress, and the agent must
// not answer it: "not run" would let the gateway spend the tokens of a started
// request again.
func (f *Fence) Admit(now clock.Time, id units.AttemptID, p Permit, cost units.Tokens) units.Code {
	f.sweep(now)
	if _, ok := f.seen[id]; ok && !f.faults.replay {
		return units.InProgress
	}
	code := f.check(now, p, cost)
	// An expired permit needs no entry: a repeated refusal is still true.
	if code != units.PermitExpired {
		f.seen[id] = p.Expires.Add(repeatMax)
	}
	if code != "" {
		return code
	}
	for _, g := range p.Parts {
		// The new owner may reach the agent before the table does.
		f.epochs[g.Slot] = max(f.epochs[g.Slot], g.Epoch)
	}
	return ""
}

func (f *Fence) check(now clock.Time, p Permit, cost units.Tokens) units.Code {
	if !f.open {
		return units.PermitStale
	}
	if !now.Before(p.Expires) && !f.faults.noExpiry {
		return units.PermitExpired
	}
	var paid units.Tokens
	for _, g := range p.Parts {
		if int(g.Slot) >= SlotCount || g.Tokens < 0 {
			return units.PermitStale
		}
		if g.Epoch < f.epochs[g.Slot] && !f.faults.noEpoch {
			return units.PermitStale
		}
		paid += g.Tokens
	}
	if paid < cost {
		return units.PermitStale
	}
	return ""
}

func (f *Fence) sweep(now clock.Time) {
	if now.Sub(f.swept) < GrantTTL {
		return
	}
	f.swept = now
	for id, ends := range f.seen {
		if !now.Before(ends) {
			delete(f.seen, id)
		}
	}
}
