package coord

import (
	"cmp"
	"slices"
	"sync"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// demandInterval is the lowest time between two Demand messages.
const demandInterval = clock.Second

// demand implements gate.Demand: it counts what callers ask for until the control
// loop reports it to the controller.
type demand struct {
	mu      sync.Mutex
	targets map[units.ModelID]*asked
}

type asked struct {
	tokens  units.Tokens
	waiting int
	// told is the number of waiting requests in the last message.
	told int
}

func newDemand() *demand { return &demand{targets: map[units.ModelID]*asked{}} }

func (d *demand) entry(target units.ModelID) *asked {
	a := d.targets[target]
	if a == nil {
		a = &asked{}
		d.targets[target] = a
	}
	return a
}

// Asked implements gate.Demand.
func (d *demand) Asked(target units.ModelID, cost units.Tokens) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entry(target).tokens += cost
}

// Waits implements gate.Demand.
func (d *demand) Waits(target units.ModelID) (end func()) {
	d.wait(target, 1)
	return func() { d.wait(target, -1) }
}

func (d *demand) wait(target units.ModelID, change int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entry(target).waiting += change
}

// take returns the message with what has changed since the last one, or nil.
func (d *demand) take() *wire.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := &wire.Demand{}
	for id, a := range d.targets {
		if a.tokens != 0 || a.waiting != 0 || a.told != 0 {
			m.Asked = append(m.Asked, &wire.Asked{Target: string(id), Tokens: int64(a.tokens), Waiting: uint32(a.waiting)})
		}
		a.tokens, a.told = 0, a.waiting
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

// sendDemand reports the demand to the controller, if one is known.
func (s *state) sendDemand() {
	now := s.now()
	if s.controller.id == "" || now.Sub(s.demandSent) < demandInterval {
		return
	}
	m := s.coord.demand.take()
	if m == nil {
		return
	}
	s.demandSent = now
	if s.controller.id == s.coord.options.Self {
		s.coord.placer.demanded(now, s.coord.options.Self, m)
		return
	}
	s.push(string(s.controller.id), &wire.Frame{Body: &wire.Frame_Demand{Demand: m}})
}

// controller is the gateway with the highest fencing number that this one knows of.
type controller struct {
	id    units.VMID
	fence units.Fence
}

// lead takes over a message about the holder of the control lease.
func (s *state) lead(id units.VMID, fence units.Fence) {
	if fence >= s.controller.fence {
		s.controller = controller{id, fence}
	}
}

// leading tells the loop that this gateway holds the control lease. It announces
// that to all processes: gateways send their demand here, and agents refuse older
// fencing numbers.
type leading struct{ fence units.Fence }

func (e leading) apply(s *state) {
	s.lead(s.coord.options.Self, e.fence)
	for id := range s.coord.outboxes.boxes {
		s.announce(id)
	}
}

// announce tells one process of the control lease while this gateway holds it.
func (s *state) announce(id string) {
	fence, held := s.coord.leader.holder.Held()
	if !held || s.controller != (controller{s.coord.options.Self, fence}) {
		return
	}
	if s.agents[id] {
		s.push(id, &wire.Frame{Body: &wire.Frame_Versions{Versions: &wire.Versions{
			Owners: s.coord.SlotTableVersion(), Confirmed: -1, Fence: int64(fence),
		}}})
		return
	}
	s.push(id, &wire.Frame{Body: &wire.Frame_Leader{Leader: &wire.Leader{Fence: int64(fence)}}})
}
