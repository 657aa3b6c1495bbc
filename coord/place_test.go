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

// bed drives a placer with a clock, a lease and reports of its own.
type bed struct {
	coord   *Coord
	state   *state
	clock   *clock.Manual
	fence   units.Fence
	reports []gate.LoadReport
	sent    []*wire.Order
}

func newBed(t testing.TB, v *tree.Team) *bed {
	b := &bed{clock: clock.NewManual(1000), fence: 7}
	b.coord = New(Options{Self: "g1", Clock: b.clock, Reports: func() []gate.LoadReport { return b.reports }})
	b.state = newState(b.coord)
	b.configure(t, v, 1)
	return b
}

func (b *bed) configure(t testing.TB, v *tree.Team, r units.Revision) {
	data, err := tree.Encode(v)
	assert.NilError(t, err)
	s, _, err := b.coord.placer.inbox.snapshot.Merge(tree.FleetTeam, r, data)
	assert.NilError(t, err)
	b.coord.placer.setSnapshot(s)
}

func (b *bed) held() (units.Fence, bool) { return b.fence, b.fence != 0 }

// agent adds a replica with memory for one target of the size 10.
func (b *bed) agent(id string, zone units.Zone, resident ...string) {
	l := &wire.Load{Upstream: id, MemoryTotal: 10, MemoryFree: int64(10 - 10*len(resident)), Resident: resident}
	b.reports = append(b.reports, gate.LoadReport{Upstream: units.UpstreamID(id), Zone: zone, Load: l, ReceivedAt: b.clock.Now(), Alive: true})
}

// round performs the duty, collects the orders that would be sent, and moves the clock
// by a second.
func (b *bed) round(t testing.TB) []*wire.Order {
	t.Helper()
	assert.NilError(t, b.coord.placer.Run(context.Background(), b.held))
	b.sent = nil
	for len(b.coord.events) > 0 {
		if e, ok := (<-b.coord.events).(sendOrder); ok {
			if fence, held := b.held(); held && fence == e.fence {
				b.sent = append(b.sent, e.order.frame.GetOrder())
			}
		}
	}
	b.clock.Advance(clock.Second)
	for i := range b.reports {
		b.reports[i].ReceivedAt = b.clock.Now()
	}
	return b.sent
}

func (b *bed) fleet(ids ...units.VMID) {
	l := &vmlist.List{}
	for _, id := range ids {
		l.VMs = append(l.VMs, vmlist.VM{ID: id, Role: vmlist.Upstream, State: vmlist.Live})
	}
	b.coord.leader.setFleet(l)
}

func one() *tree.Team { return &tree.Team{Models: []tree.Model{{ID: "m", Bytes: 10, Version: "3"}}} }

// Guards against a lost order that is never repeated, one that is repeated under
// another id while it may take effect, and a fencing number that orders lack.
func TestOrderLost(t *testing.T) {
	b := newBed(t, one())
	b.fleet("u1")
	b.agent("u1", "a")
	first := b.round(t)
	assert.Equal(t, len(first), 1)
	assert.DeepEqual(t, []string{first[0].Op, first[0].Target, first[0].Version}, []string{"load", "m", "3"})
	assert.Equal(t, first[0].Fence, int64(7))
	repeats, next := 0, ""
	for range 30 {
		for _, o := range b.round(t) {
			if o.Id == first[0].Id {
				repeats++
			} else if next == "" {
				next = o.Id
			}
		}
	}
	assert.Equal(t, repeats, 6)
	assert.Assert(t, next != "", "a lost order is planned again")
}

// Guards against orders without the lease, and after an agent has told that another
// gateway holds it.
func TestStopsWithoutLease(t *testing.T) {
	b := newBed(t, one())
	b.fleet("u1", "u2")
	b.agent("u1", "a")
	b.agent("u2", "b")
	first := b.round(t)
	assert.Equal(t, len(first), 1)
	b.coord.placer.result(units.UpstreamID("u1"), &wire.OrderResult{Id: first[0].Id, Code: string(units.FenceStale)})
	b.coord.placer.result(units.UpstreamID("u2"), &wire.OrderResult{Id: first[0].Id, Code: string(units.FenceStale)})
	for range 10 {
		assert.Equal(t, len(b.round(t)), 0)
	}
	b.fence = 0
	assert.Equal(t, len(b.round(t)), 0)
	b.fence = 9
	again := b.round(t)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Fence, int64(9))
	// The lease may be lost between the plan and the push.
	link := &recorder{}
	b.state.coord.outboxes.open("u1", link)
	sendOrder{b.coord.placer.open[again[0].Id], 9, func() (units.Fence, bool) { return 0, false }}.apply(b.state)
	b.state.coord.outboxes.stop()
	b.state.coord.outboxes.group.Wait()
	assert.Equal(t, len(link.frames), 0)
}

// recorder is a link that keeps what is pushed.
type recorder struct{ frames []*wire.Frame }

func (r *recorder) Push(f *wire.Frame) error {
	r.frames = append(r.frames, f)
	return nil
}

// Guards against copies that count although their replica is silent, out, leaving, or
// has not reported for long.
func TestOnlyFreshReplicasCount(t *testing.T) {
	tests := []struct {
		name   string
		change func(t *testing.T, b *bed)
	}{
		{"silent", func(_ *testing.T, b *bed) { b.reports[0].Alive = false }},
		{"old report", func(_ *testing.T, b *bed) { b.reports[0].ReceivedAt -= clock.Time(freshSpan) + 1 }},
		{"announced its stop", func(_ *testing.T, b *bed) { b.reports[0].Draining = true }},
		{"zone out", func(t *testing.T, b *bed) {
			v := one()
			v.ExcludedZones = []units.Zone{"a"}
			b.configure(t, v, 2)
		}},
		{"upstream out", func(t *testing.T, b *bed) {
			v := one()
			v.ExcludedUpstreams = []units.UpstreamID{"u1"}
			b.configure(t, v, 2)
		}},
		{"leaving on the VM list", func(_ *testing.T, b *bed) { b.coord.leader.fleet.VMs[0].State = vmlist.Leaving }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBed(t, one())
			b.fleet("u1", "u2")
			b.agent("u1", "a", "m")
			b.agent("u2", "b")
			for range 5 {
				assert.Equal(t, len(b.round(t)), 0)
			}
			tt.change(t, b)
			orders := b.round(t)
			assert.Equal(t, len(orders), 1)
			assert.Equal(t, b.coord.placer.open[orders[0].Id].command.Replica, units.UpstreamID("u2"))
		})
	}
}

// Guards against a new controller that loads again what agents hold that have not
// reported to it yet, and against one that waits for an agent for ever.
func TestGathersReports(t *testing.T) {
	b := newBed(t, one())
	b.fleet("u1", "u2")
	b.agent("u1", "a")
	for range 3 {
		assert.Equal(t, len(b.round(t)), 0)
	}
	assert.Equal(t, len(b.round(t)), 1)
}

// Guards against Demand messages more often than once a second, with targets that have
// not changed, or to a gateway that no longer is the controller.
func TestDemandMessages(t *testing.T) {
	b := newBed(t, one())
	s, d := b.state, b.coord.demand
	old, current := &recorder{}, &recorder{}
	s.coord.outboxes.open("g2", old)
	s.coord.outboxes.open("g3", current)
	s.lead("g2", 3)
	s.lead("g3", 5)
	s.lead("g2", 3)
	d.Asked("m", 10)
	end := d.Waits("x")
	tick := func(span clock.Span) {
		b.clock.Advance(span)
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
	s.coord.outboxes.group.Wait()
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
