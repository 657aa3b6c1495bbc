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
	// leaderKey is the store key of the control lease; it exists while a gateway holds the lease.
	leaderKey = "/control/leader"
	// taskInterval is the interval at which the leader tasks run.
	taskInterval = 500 * time.Millisecond
	// unreachableTimeout is how long a gateway must be disconnected before the controller
	// assigns its rate slots to others. It is longer than a reconnect takes.
	unreachableTimeout = 3 * clock.Second
)

// LeaderTask is a task of the controller, the gateway that holds the control lease.
type LeaderTask interface {
	// Run performs one round. It must call held again before each action with an effect outside
	// the process. Held returns the fencing number of the lease, and false without the lease.
	Run(ctx context.Context, held func() (units.Fence, bool)) error
}

// elector competes for the control lease and runs the leader tasks while it is held.
type elector struct {
	coord  *Coord
	holder *store.Lock
	tasks  []LeaderTask

	mu  sync.Mutex
	vms *vmlist.List
	// lastConnected is when a session with each other gateway last began or ended.
	lastConnected map[units.VMID]clock.Time
	connected     map[units.VMID]bool
	// draining holds the gateways that have announced a graceful stop.
	draining map[units.VMID]bool
}

func newElector(c *Coord) *elector {
	e := &elector{
		coord:         c,
		lastConnected: map[units.VMID]clock.Time{},
		connected:     map[units.VMID]bool{},
		draining:      map[units.VMID]bool{},
	}
	e.holder = store.NewLock(store.LockOptions{
		KV: c.options.Store, Key: leaderKey, Value: []byte(c.options.Self), Clock: c.clock,
	})
	e.tasks = append([]LeaderTask{slotTableTask{e}}, c.options.LeaderTasks...)
	if c.options.Reports != nil {
		e.tasks = append(e.tasks, c.placer)
	}
	return e
}

// run competes for the lease until the context is done, and returns after its release.
func (e *elector) run(ctx context.Context) error {
	holderDone := make(chan error, 1)
	go func() { holderDone <- e.holder.Run(ctx) }()
	ticker := time.NewTicker(taskInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return <-holderDone
		case <-ticker.C:
		case <-e.holder.Changes():
			// Run at once, so that a new controller announces its fencing number without delay.
		}
		for _, task := range e.tasks {
			if _, held := e.holder.Held(); !held {
				break
			}
			if err := task.Run(ctx, e.holder.Held); err != nil && ctx.Err() == nil {
				stats.Event("controller_duty_failed")
				klog.Warningf("coord: controller task failed: %v", err)
			}
		}
	}
}

func (e *elector) setFleet(list *vmlist.List) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.vms = list
}

// vmList returns the newest VM list, or nil before the first one.
func (e *elector) vmList() *vmlist.List {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.vms
}

// setConnected records the begin (up) or the end of a session with another gateway.
func (e *elector) setConnected(id units.VMID, up bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.connected[id] = up
	e.lastConnected[id] = e.coord.clock.Now()
	if up {
		// The gateway's process has been restarted.
		delete(e.draining, id)
	}
}

// setDraining records that a gateway has announced a graceful stop. Its rate slots are assigned to
// others while it still runs, so that it can transfer their buckets.
func (e *elector) setDraining(id units.VMID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining[id] = true
}

// liveGateways returns the gateways that may own rate slots: those that are live on the VM list,
// are not draining, and are or were connected within unreachableTimeout.
func (e *elector) liveGateways(now clock.Time) []rate.Gateway {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.vms == nil {
		return nil
	}
	var live []rate.Gateway
	for _, v := range e.vms.VMs {
		if v.Role == vmlist.Entry && v.State == vmlist.Live && !e.draining[v.ID] && e.reachable(now, v.ID) {
			live = append(live, rate.Gateway{ID: v.ID, Zone: v.Zone})
		}
	}
	return live
}

func (e *elector) reachable(now clock.Time, id units.VMID) bool {
	if id == e.coord.options.Self || e.connected[id] {
		return true
	}
	// A gateway that has never connected has unreachableTimeout to do so.
	if _, ok := e.lastConnected[id]; !ok {
		e.lastConnected[id] = now
	}
	return now.Sub(e.lastConnected[id]) < unreachableTimeout
}

// slotTableTask updates the slot table in the store when the set of live gateways changes.
type slotTableTask struct{ elector *elector }

// Run implements LeaderTask. It fails if the store does or if the stored table can't be decoded.
func (d slotTableTask) Run(ctx context.Context, held func() (units.Fence, bool)) error {
	kv := d.elector.coord.options.Store
	t, revision, err := readSlotTable(ctx, kv)
	if err != nil {
		return err
	}
	if t == nil {
		t = &rate.SlotTable{}
	}
	live := d.elector.liveGateways(d.elector.coord.clock.Now())
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
	// If the lease has been lost since the check, the revision prevents overwriting a newer table.
	_, err = kv.CompareAndSwap(ctx, rate.OwnersKey, revision, b, 0)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("write slot table: %w", err)
	}
	d.elector.coord.post(slotTableStored{next})
	return nil
}

func isMissing(err error) bool { return errors.Is(err, store.ErrNotFound) }
