package syncer

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// isolationTimeout is the time without contact after which a gateway is isolated. A withdrawn
// key must stop working within 3 s, of which this leaves 1 s.
const isolationTimeout = 2 * clock.Second

// contacts records when the store and the gateways last responded to a call. It keeps the time
// of the call rather than of the response, which may have been queued while the process was
// paused.
type contacts struct {
	self             units.VMID
	lastStoreCall    clock.Time
	gateways         []units.VMID
	lastGatewayCalls map[units.VMID]clock.Time
}

func newContacts(self units.VMID) contacts {
	return contacts{self: self, lastGatewayCalls: map[units.VMID]clock.Time{}}
}

func (c *contacts) storeResponded(sent clock.Time) { c.lastStoreCall = max(c.lastStoreCall, sent) }

func (c *contacts) gatewayResponded(sent clock.Time, from units.VMID) {
	c.lastGatewayCalls[from] = max(c.lastGatewayCalls[from], sent)
}

func (c *contacts) setGateways(gateways []units.VMID) {
	c.gateways = slices.Clone(gateways)
	// Drops the times of removed VMs and of agents.
	current := make(map[units.VMID]clock.Time, len(gateways))
	for _, id := range gateways {
		if t, ok := c.lastGatewayCalls[id]; ok {
			current[id] = t
		}
	}
	c.lastGatewayCalls = current
}

// minTime and maxTime are the bounds of the contact times.
const (
	minTime clock.Time = -1 << 62
	maxTime clock.Time = 1<<62 - 1
)

// deadline returns the time at which the last contact with the store, or with a majority of the
// gateways, becomes older than isolationTimeout. It is minTime without any contact, and maxTime
// when this node is the only gateway.
func (c *contacts) deadline() clock.Time {
	lastContact := c.lastMajorityContact()
	if c.lastStoreCall != 0 {
		lastContact = max(lastContact, c.lastStoreCall)
	}
	if lastContact == maxTime || lastContact == minTime {
		return lastContact
	}
	return lastContact.Add(isolationTimeout)
}

// lastMajorityContact returns the latest time since which more than half of the gateways have
// responded to a call. This node counts as reachable.
func (c *contacts) lastMajorityContact() clock.Time {
	if len(c.gateways) == 0 {
		return minTime
	}
	times := make([]clock.Time, 0, len(c.gateways))
	for _, id := range c.gateways {
		t, ok := c.lastGatewayCalls[id]
		switch {
		case id == c.self:
			t = maxTime
		case !ok:
			t = minTime
		}
		times = append(times, t)
	}
	slices.Sort(times)
	slices.Reverse(times)
	return times[len(times)/2]
}
