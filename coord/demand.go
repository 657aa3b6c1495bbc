package coord

import (
	"cmp"
	"slices"
	"sync"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// demandInterval is the minimum interval between two Demand messages.
const demandInterval = clock.Second

// demand implements gate.Demand. It counts requested tokens and waiting requests per target until
// the control loop reports them to the controller.
type demand struct {
	mu      sync.Mutex
	targets map[units.ModelID]*targetDemand
}

type targetDemand struct {
	// tokens is the cost of the requests since the last message.
	tokens units.Tokens
	// waiting is the number of requests that wait for the target to be resident.
	waiting int
	// reportedWaiting is the value of waiting in the last message.
	reportedWaiting int
}

func newDemand() *demand { return &demand{targets: map[units.ModelID]*targetDemand{}} }

func (d *demand) entry(target units.ModelID) *targetDemand {
	t := d.targets[target]
	if t == nil {
		t = &targetDemand{}
		d.targets[target] = t
	}
	return t
}

// Asked implements gate.Demand.
func (d *demand) Asked(target units.ModelID, cost units.Tokens) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entry(target).tokens += cost
}

// Waits implements gate.Demand.
func (d *demand) Waits(target units.ModelID) (end func()) {
	d.addWaiting(target, 1)
	return func() { d.addWaiting(target, -1) }
}

func (d *demand) addWaiting(target units.ModelID, change int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entry(target).waiting += change
}

// takeMessage returns a message with the demand since the last one, or nil if there is none. A
// target whose last waiting request has ended is reported once more, with 0.
func (d *demand) takeMessage() *wire.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := &wire.Demand{}
	for id, a := range d.targets {
		if a.tokens != 0 || a.waiting != 0 || a.reportedWaiting != 0 {
			m.Asked = append(m.Asked, &wire.Asked{Target: string(id), Tokens: int64(a.tokens), Waiting: uint32(a.waiting)})
		}
		a.tokens, a.reportedWaiting = 0, a.waiting
		if a.waiting == 0 {
			delete(d.targets, id)
		}
	}
	if len(m.Asked) == 0 {
		return nil
	}
	slices.SortFunc(m.Asked, func(a, b *wire.Asked) int { return cmp.Compare(a.Target, b.Target) })
	return m
}

// sendDemand reports the demand to the controller, if one is known, at most once per
// demandInterval.
func (s *state) sendDemand() {
	now := s.now()
	if s.controller.id == "" || now.Sub(s.demandSentAt) < demandInterval {
		return
	}
	m := s.coord.demand.takeMessage()
	if m == nil {
		return
	}
	s.demandSentAt = now
	if s.controller.id == s.coord.options.Self {
		s.coord.placer.addDemand(now, s.coord.options.Self, m)
		return
	}
	s.push(string(s.controller.id), &wire.Frame{Body: &wire.Frame_Demand{Demand: m}})
}

// controller is the gateway that announced the control lease with the highest fencing number.
type controller struct {
	id    units.VMID
	fence units.Fence
}

// updateController records a holder of the control lease, unless its fencing number is out of date.
func (s *state) updateController(id units.VMID, fence units.Fence) {
	if fence >= s.controller.fence {
		s.controller = controller{id, fence}
	}
}

// announceLease announces to all connected processes that this gateway holds the control lease.
// Gateways then send it their demand, and agents refuse orders with lower fencing numbers.
type announceLease struct{ fence units.Fence }

func (e announceLease) apply(s *state) {
	s.updateController(s.coord.options.Self, e.fence)
	for id := range s.coord.outboxes.boxes {
		s.announce(id)
	}
}

// announce announces the control lease to one connected process, if this gateway holds it. An agent
// gets the fencing number in a Versions message that does not confirm the configuration (-1).
func (s *state) announce(id string) {
	fence, held := s.coord.elector.holder.Held()
	if !held || s.controller != (controller{s.coord.options.Self, fence}) {
		return
	}
	if s.isAgent[id] {
		s.push(id, &wire.Frame{Body: &wire.Frame_Versions{Versions: &wire.Versions{
			Owners: s.coord.SlotTableVersion(), Confirmed: -1, Fence: int64(fence),
		}}})
		return
	}
	s.push(id, &wire.Frame{Body: &wire.Frame_Leader{Leader: &wire.Leader{Fence: int64(fence)}}})
}
