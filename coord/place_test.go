package coord

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/vmlist"
	"github.com/magnolialever/magnolialever/wire"
)

// placerHarness runs a placer with a manual clock, a simulated lease and simulated load reports.
type placerHarness struct {
	coord *Coord
	state *state
	clock *clock.Manual
	// fence is the fencing number of the lease, or 0 while it is not held.
	fence      units.Fence
	reports    []gate.LoadReport
	sentOrders []*wire.Order
}

func newPlacerHarness(t testing.TB, v *tree.Team) *placerHarness {
	h := &placerHarness{clock: clock.NewManual(1000), fence: 7}
	h.coord = New(Options{Self: "g1", Clock: h.clock, Reports: func() []gate.LoadReport { return h.reports }})
	h.state = newState(h.coord)
	h.configure(t, v, 1)
	return h
}

func (h *placerHarness) configure(t testing.TB, v *tree.Team, r units.Revision) {
	data, err := tree.Encode(v)
	assert.NilError(t, err)
	s, _, err := h.coord.placer.inbox.snapshot.Merge(tree.FleetTeam, r, data)
	assert.NilError(t, err)
	h.coord.placer.setSnapshot(s)
}

func (h *placerHarness) lease() (units.Fence, bool) { return h.fence, h.fence != 0 }

// addAgent adds a load report of a replica with memory for one target of 10 bytes.
func (h *placerHarness) addAgent(id string, zone units.Zone, resident ...string) {
	l := &wire.Load{Upstream: id, MemoryTotal: 10, MemoryFree: int64(10 - 10*len(resident)), Resident: resident}
	h.reports = append(h.reports, gate.LoadReport{Upstream: units.UpstreamID(id), Zone: zone, Load: l, ReceivedAt: h.clock.Now(), Alive: true})
}

// runRound runs the leader task once, returns the orders that would be sent, and advances the clock
// by a second. All reports are renewed.
func (h *placerHarness) runRound(t testing.TB) []*wire.Order {
	t.Helper()
	assert.NilError(t, h.coord.placer.Run(context.Background(), h.lease))
	h.sentOrders = nil
	for len(h.coord.events) > 0 {
		if e, ok := (<-h.coord.events).(sendOrder); ok {
			if fence, held := h.lease(); held && fence == e.fence {
				h.sentOrders = append(h.sentOrders, e.order.frame.GetOrder())
			}
		}
	}
	h.clock.Advance(clock.Second)
	for i := range h.reports {
		h.reports[i].ReceivedAt = h.clock.Now()
	}
	return h.sentOrders
}

func (h *placerHarness) setFleet(ids ...units.VMID) {
	l := &vmlist.List{}
	for _, id := range ids {
		l.VMs = append(l.VMs, vmlist.VM{ID: id, Role: vmlist.Upstream, State: vmlist.Live})
	}
	h.coord.elector.setFleet(l)
}

func oneModelTeam() *tree.Team {
	return &tree.Team{Models: []tree.Model{{ID: "m", Bytes: 10, Version: "3"}}}
}

// Guards against orders without a fencing number, a lost order that is not sent again, and one that
// is sent under another id before orderTimeout, while the first may still take effect.
func TestLostOrderIsResent(t *testing.T) {
	h := newPlacerHarness(t, oneModelTeam())
	h.setFleet("u1")
	h.addAgent("u1", "a")
	first := h.runRound(t)
	assert.Equal(t, len(first), 1)
	assert.DeepEqual(t, []string{first[0].Op, first[0].Target, first[0].Version}, []string{"load", "m", "3"})
	assert.Equal(t, first[0].Fence, int64(7))
	resends, replacementID := 0, ""
	for range 30 {
		for _, o := range h.runRound(t) {
			if o.Id == first[0].Id {
				resends++
			} else if replacementID == "" {
				replacementID = o.Id
			}
		}
	}
	assert.Equal(t, resends, 6)
	assert.Assert(t, replacementID != "", "the load is not ordered again after orderTimeout")
}

// Guards against orders that are sent without the lease, or after an agent has reported a higher
// fencing number, because another gateway holds the lease.
func TestNoOrdersWithoutLease(t *testing.T) {
	h := newPlacerHarness(t, oneModelTeam())
	h.setFleet("u1", "u2")
	h.addAgent("u1", "a")
	h.addAgent("u2", "b")
	first := h.runRound(t)
	assert.Equal(t, len(first), 1)
	h.coord.placer.addResult(units.UpstreamID("u1"), &wire.OrderResult{Id: first[0].Id, Code: string(units.FenceStale)})
	h.coord.placer.addResult(units.UpstreamID("u2"), &wire.OrderResult{Id: first[0].Id, Code: string(units.FenceStale)})
	for range 10 {
		assert.Equal(t, len(h.runRound(t)), 0)
	}
	h.fence = 0
	assert.Equal(t, len(h.runRound(t)), 0)
	h.fence = 9
	next := h.runRound(t)
	assert.Equal(t, len(next), 1)
	assert.Equal(t, next[0].Fence, int64(9))
	// The lease may be lost between planning and sending.
	link := &recorderLink{}
	h.state.coord.outboxes.open("u1", link)
	sendOrder{h.coord.placer.pending[next[0].Id], 9, func() (units.Fence, bool) { return 0, false }}.apply(h.state)
	h.state.coord.outboxes.stop()
	h.state.coord.outboxes.senders.Wait()
	assert.Equal(t, len(link.frames), 0)
}

// recorderLink is a link that records the pushed frames.
type recorderLink struct{ frames []*wire.Frame }

func (r *recorderLink) Push(f *wire.Frame) error {
	r.frames = append(r.frames, f)
	return nil
}

// Guards against copies that count although their replica is silent, excluded, draining, leaving,
// or has an old report: the target must be loaded on another replica.
func TestOnlyFreshReplicasCount(t *testing.T) {
	tests := []struct {
		name   string
		change func(t *testing.T, h *placerHarness)
	}{
		{"silent", func(_ *testing.T, h *placerHarness) { h.reports[0].Alive = false }},
		{"old report", func(_ *testing.T, h *placerHarness) { h.reports[0].ReceivedAt -= clock.Time(maxReportAge) + 1 }},
		{"agent is draining", func(_ *testing.T, h *placerHarness) { h.reports[0].Draining = true }},
		{"zone excluded", func(t *testing.T, h *placerHarness) {
			v := oneModelTeam()
			v.ExcludedZones = []units.Zone{"a"}
			h.configure(t, v, 2)
		}},
		{"upstream excluded", func(t *testing.T, h *placerHarness) {
			v := oneModelTeam()
			v.ExcludedUpstreams = []units.UpstreamID{"u1"}
			h.configure(t, v, 2)
		}},
		{"leaving on the VM list", func(_ *testing.T, h *placerHarness) { h.coord.elector.vms.VMs[0].State = vmlist.Leaving }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newPlacerHarness(t, oneModelTeam())
			h.setFleet("u1", "u2")
			h.addAgent("u1", "a", "m")
			h.addAgent("u2", "b")
			for range 5 {
				assert.Equal(t, len(h.runRound(t)), 0)
			}
			tt.change(t, h)
			orders := h.runRound(t)
			assert.Equal(t, len(orders), 1)
			assert.Equal(t, h.coord.placer.pending[orders[0].Id].command.Replica, units.UpstreamID("u2"))
		})
	}
}

// Guards against a new controller that loads models again that are resident on agents without a
// report so far, and against one that waits forever for the report of an agent.
func TestWaitsForReports(t *testing.T) {
	h := newPlacerHarness(t, oneModelTeam())
	h.setFleet("u1", "u2")
	h.addAgent("u1", "a")
	for range 3 {
		assert.Equal(t, len(h.runRound(t)), 0)
	}
	assert.Equal(t, len(h.runRound(t)), 1)
}

// Guards against Demand messages that are sent more than once per second, contain targets without
// demand, or go to a gateway that is no longer the controller.
func TestDemandMessages(t *testing.T) {
	h := newPlacerHarness(t, oneModelTeam())
	s, d := h.state, h.coord.demand
	old, current := &recorderLink{}, &recorderLink{}
	s.coord.outboxes.open("g2", old)
	s.coord.outboxes.open("g3", current)
	s.updateController("g2", 3)
	s.updateController("g3", 5)
	s.updateController("g2", 3)
	d.Asked("m", 10)
	end := d.Waits("x")
	tick := func(span clock.Span) {
		h.clock.Advance(span)
		s.tick()
	}
	tick(0)
	d.Asked("m", 5)
	tick(500)
	tick(500)
	end()
	tick(1000)
	tick(1000)
	tick(1000)
	s.coord.outboxes.stop()
	s.coord.outboxes.senders.Wait()
	var got []string
	for _, f := range current.frames {
		for _, a := range f.GetDemand().GetAsked() {
			got = append(got, fmt.Sprint(a.Target, a.Tokens, a.Waiting))
		}
		got = append(got, ";")
	}
	assert.Equal(t, len(old.frames), 0)
	assert.Assert(t, slices.Equal(got, []string{"m10 0", "x0 1", ";", "m5 0", "x0 1", ";", "x0 0", ";"}), "%q", got)
}
