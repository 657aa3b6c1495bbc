package coord

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/rate"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/vmlist"
)

const (
	// leaderKey exists while a gateway holds the control lease.
	leaderKey = "/control/leader"
	// leaderInterval is the time between two checks of the controller's duties.
	leaderInterval = 500 * time.Millisecond
	// unreachableSpan is how long a gateway must be unreachable for the controller to
	// give its rate slots to others. It is longer than a restart of a session.
	unreachableSpan = 3 * clock.Second
)

// LeaderTask is a task of the gateway that holds the control lease. It must check the
// lease again before each action that has an effect outside the process.
type LeaderTask interface {
	Run(ctx context.Context, held func() (units.Fence, bool)) error
}

// leader contends for the control lease and performs its duties while it is held.
type leader struct {
	coord  *Coord
	holder *store.Holder
	duties []LeaderTask

	mu    sync.Mutex
	fleet *vmlist.List
	// seen is when each other gateway was last connected.
	seen map[units.VMID]clock.Time
	up   map[units.VMID]bool
	// leaving gateways have announced a planned stop.
	leaving map[units.VMID]bool
}

func newLeader(c *Coord) *leader {
	l := &leader{coord: c, seen: map[units.VMID]clock.Time{}, up: map[units.VMID]bool{}, leaving: map[units.VMID]bool{}}
	l.holder = store.NewHolder(store.HolderOptions{
		KV: c.options.Store, Key: leaderKey, Value: []byte(c.options.Self), Clock: c.clock,
	})
	l.duties = append([]LeaderTask{ownersDuty{l}}, c.options.LeaderTasks...)
	if c.options.Reports != nil {
		l.duties = append(l.duties, c.placer)
	}
	return l
}

// run returns when the context is done and the lease is given up.
func (l *leader) run(ctx context.Context) error {
	end := make(chan error, 1)
	go func() { end <- l.holder.Run(ctx) }()
	t := time.NewTicker(leaderInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return <-end
		case <-t.C:
		case <-l.holder.Changes():
			// A new controller announces its fencing number at once.
		}
		for _, d := range l.duties {
			if _, held := l.holder.Held(); !held {
				break
			}
			if err := d.Run(ctx, l.holder.Held); err != nil && ctx.Err() == nil {
				stats.Event("controller_duty_failed")
				klog.Warningf("coord: controller: %v", err)
			}
		}
	}
}

func (l *leader) setFleet(list *vmlist.List) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet = list
}

// list returns the newest VM list, or nil.
func (l *leader) list() *vmlist.List {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet
}

// setConnected records whether the session with another gateway is up.
func (l *leader) setConnected(id units.VMID, up bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.up[id] = up
	l.seen[id] = l.coord.clock.Now()
	if up {
		// A new process of a gateway that has stopped.
		delete(l.leaving, id)
	}
}

// setLeaving records that the gateway has announced a planned stop. Its rate slots go
// to others while it still runs and can hand their levels over.
func (l *leader) setLeaving(id units.VMID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving[id] = true
}

// live returns the gateways that may own rate slots: those on the VM list that are
// live, and were connected a short time ago.
func (l *leader) live(now clock.Time) []rate.Gateway {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fleet == nil {
		return nil
	}
	var live []rate.Gateway
	for _, v := range l.fleet.VMs {
		if v.Role == vmlist.Entry && v.State == vmlist.Live && !l.leaving[v.ID] && l.reachable(now, v.ID) {
			live = append(live, rate.Gateway{ID: v.ID, Zone: v.Zone})
		}
	}
	return live
}

func (l *leader) reachable(now clock.Time, id units.VMID) bool {
	if id == l.coord.options.Self || l.up[id] {
		return true
	}
	// A gateway that was never connected gets the same time to connect.
	if _, ok := l.seen[id]; !ok {
		l.seen[id] = now
	}
	return now.Sub(l.seen[id]) < unreachableSpan
}

// ownersDuty keeps the table of rate slot owners in step with the live gateways.
type ownersDuty struct{ leader *leader }

// Run implements LeaderTask.
func (d ownersDuty) Run(ctx context.Context, held func() (units.Fence, bool)) error {
	kv := d.leader.coord.options.Store
	t, revision, err := readOwners(ctx, kv)
	if err != nil {
		return err
	}
	if t == nil {
		t = &rate.SlotTable{}
	}
	live := d.leader.live(d.leader.coord.clock.Now())
	if len(live) == 0 {
		return nil
	}
	next := t.Assign(live)
	if next == t {
		return nil
	}
	b, err := rate.EncodeTable(next)
	if err != nil {
		return err
	}
	if _, ok := held(); !ok {
		return nil
	}
	// The revision makes the write safe also when the lease was lost since the check.
	_, err = kv.Swap(ctx, rate.OwnersKey, revision, b, 0)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("write owners: %w", err)
	}
	d.leader.coord.post(tableStored{next})
	return nil
}

func isMissing(err error) bool { return errors.Is(err, store.ErrMissing) }
