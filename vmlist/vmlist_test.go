package vmlist_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/vms"
	"github.com/magnolialever/magnolialever/vmlist"
)

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(10*time.Second))
}

// Guards against a list that is lost in an outage of the VM list service, and against changes that
// are missed after it.
func TestListSurvivesOutage(t *testing.T) {
	s, err := vms.New(vms.Options{VMs: []vms.VM{{ID: "g1", Role: vms.RoleEntry, Address: "127.0.0.1:1", Zone: "a", State: vms.StateLive}}})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	c := vmlist.New(vmlist.Options{Address: s.Addr(), Interval: 10 * clock.Millisecond})
	ended := make(chan error, 2)
	go func() { ended <- s.Run(ctx) }()
	go func() { ended <- c.Run(ctx) }()

	l := <-c.Updates()
	assert.DeepEqual(t, l.VMs, []vmlist.VM{{ID: "g1", Role: vmlist.Entry, Address: "127.0.0.1:1", Zone: "a", State: vmlist.Live}})
	s.SetOutage(true)
	eventually(t, "failed polls are counted", func() bool { return c.Counters().Errors > 1 })
	assert.Equal(t, len(c.List().VMs), 1)
	s.SetState("g1", vms.StateDraining)
	s.SetOutage(false)
	eventually(t, "the change is in the list", func() bool { return c.List().VMs[0].State == vmlist.Leaving })
	cancel()
	assert.NilError(t, <-ended)
	assert.NilError(t, <-ended)
}

// Guards against a fake VM list service that ignores its lag, the delay before a change is visible.
func TestListLag(t *testing.T) {
	s, err := vms.New(vms.Options{Lag: clock.Minute})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	c := vmlist.New(vmlist.Options{Address: s.Addr(), Interval: 10 * clock.Millisecond})
	ended := make(chan error, 2)
	go func() { ended <- s.Run(ctx) }()
	go func() { ended <- c.Run(ctx) }()
	s.Set(vms.VM{ID: "u1", Role: vms.RoleUpstream, Address: "127.0.0.1:1", State: vms.StateLive})
	for range 3 {
		assert.Equal(t, len((<-c.Updates()).VMs), 0)
	}
	s.Update(func(f *vms.Faults) { f.LagMillis = 0 })
	eventually(t, "the VM is in the list", func() bool { return len(c.List().VMs) == 1 })
	cancel()
	assert.NilError(t, <-ended)
	assert.NilError(t, <-ended)
}
