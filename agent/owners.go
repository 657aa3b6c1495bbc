package agent

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// staleWait gives the table of owners time to arrive before the next try.
const staleWait = 100 * clock.Millisecond

// owners is the table of rate slot owners. It only moves forward.
type owners struct {
	version int64
	epochs  map[uint32]int64
	table   *wire.Owners
}

// update takes a table and reports whether it is newer.
func (o *owners) update(t *wire.Owners) bool {
	if t.Version <= o.version {
		return false
	}
	if o.epochs == nil {
		o.epochs = map[uint32]int64{}
	}
	for _, sl := range t.Slot {
		o.epochs[sl.Slot] = max(o.epochs[sl.Slot], sl.Epoch)
	}
	o.version, o.table = t.Version, t
	return true
}

// check decides whether the permit covers the start of the call at the given time.
func (o *owners) check(now clock.Time, c *wire.Call, free bool) *refusal {
	p := c.Permit
	if c.Cost == 0 && len(p.GetPaid()) == 0 && free {
		// Such a permit, if any, only limits the time of the start.
		if p.GetExpires() != 0 && now.After(clock.Time(p.Expires)) {
			return notRun(units.PermitExpired, "permit has expired")
		}
		return nil
	}
	if p == nil || now.After(clock.Time(p.Expires)) {
		return notRun(units.PermitExpired, "permit is missing or has expired")
	}
	if o.table == nil {
		// A new agent can't tell which epochs are over.
		return stale("owners of rate slots are not known yet")
	}
	paid := int64(0)
	for _, g := range p.Paid {
		if g.Epoch < o.epochs[g.Slot] {
			return stale("permit is paid by a former owner")
		}
		if g.Tokens > 0 {
			paid += g.Tokens
		}
	}
	if paid < c.Cost || len(p.Paid) == 0 {
		return stale("permit does not cover the cost")
	}
	return nil
}

func stale(message string) *refusal {
	r := notRun(units.PermitStale, message)
	r.wait = staleWait
	return r
}
