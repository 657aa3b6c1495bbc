package store_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/keyval"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/units"
)

// waitUntil polls until done returns true and fails the test after 15 s.
func waitUntil(t *testing.T, condition string, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s", condition)
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(15*time.Second))
}

// runLock runs a Lock until the returned function is called or the test ends.
func runLock(t *testing.T, c *store.Client, value string, testClock clock.Clock) (*store.Lock,
	context.CancelFunc) {
	t.Helper()
	lock := store.NewLock(store.LockOptions{KV: c, Key: "/control/leader", Value: []byte(value),
		TTL: clock.Second, Clock: testClock})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- lock.Run(ctx) }()
	stop := func() {
		cancel()
		assert.NilError(t, <-done)
		done <- nil
	}
	t.Cleanup(stop)
	return lock, stop
}

func isHeld(lock *store.Lock) bool {
	_, ok := lock.Held()
	return ok
}

// Guards against a lock that still counts as held when the store may have let its lease expire.
func TestLockLostBeforeLeaseExpiry(t *testing.T) {
	s, c := startStore(t, keyval.Options{})
	lock, _ := runLock(t, c, "g1", nil)
	waitUntil(t, "held", func() bool { return isHeld(lock) })
	s.SetOutage(true)
	before := s.Revision()
	waitUntil(t, "lease expires in the store", func() bool {
		expired := s.Revision() > before
		assert.Assert(t, !expired || !isHeld(lock))
		return expired
	})
	s.SetOutage(false)
	waitUntil(t, "lock is acquired again", func() bool { return isHeld(lock) })
	fence, _ := lock.Held()
	assert.Assert(t, fence > units.Fence(before))
}

// Guards against a lock whose validity depends on a goroutine being scheduled: the clock jumps
// past the TTL, as after a pause of the process.
func TestLockLostAfterClockJump(t *testing.T) {
	_, c := startStore(t, keyval.Options{})
	manual := clock.NewManual(1)
	lock, _ := runLock(t, c, "g1", manual)
	waitUntil(t, "held", func() bool { return isHeld(lock) })
	manual.Advance(clock.Second)
	assert.Assert(t, !isHeld(lock))
	assert.Equal(t, lock.Remaining(), clock.Span(0))
}

// Guards against two holders at once, fencing numbers that don't grow, and a lock that is not
// released when its holder stops.
func TestLockMutualExclusion(t *testing.T) {
	s, c := startStore(t, keyval.Options{})
	const contenders = 3
	locks := make([]*store.Lock, contenders)
	stops := make([]context.CancelFunc, contenders)
	for i := range locks {
		locks[i], stops[i] = runLock(t, c, fmt.Sprint("g", i), nil)
	}
	end := make(chan struct{})
	overlap := make(chan bool, 1)
	go func() { overlap <- overlaps(locks, end) }()
	lastFence := units.Fence(0)
	for n := range contenders {
		s.LoseResponses(n)
		i := -1
		waitUntil(t, "one lock is held", func() bool {
			for j, h := range locks {
				if f, ok := h.Held(); ok && f > lastFence {
					i, lastFence = j, f
				}
			}
			return i >= 0
		})
		stops[i]()
	}
	close(end)
	assert.Assert(t, !<-overlap)
}

// overlaps polls the locks until end is closed and reports whether two were held at once.
func overlaps(locks []*store.Lock, end <-chan struct{}) bool {
	for {
		select {
		case <-end:
			return false
		case <-time.After(time.Millisecond):
		}
		for _, a := range locks {
			before, ok := a.Held()
			if !ok {
				continue
			}
			for _, b := range locks {
				if b == a || !isHeld(b) {
					continue
				}
				if after, ok := a.Held(); ok && after == before {
					return true
				}
			}
		}
	}
}

// Guards against a lock that still counts as held after its key was deleted.
func TestLockLostAfterKeyDeletion(t *testing.T) {
	_, c := startStore(t, keyval.Options{})
	lock, _ := runLock(t, c, "g1", nil)
	waitUntil(t, "held", func() bool { return isHeld(lock) })
	old, _ := lock.Held()
	assert.NilError(t, c.Delete(context.Background(), "/control/leader", 0))
	waitUntil(t, "lock is held with a new fencing number", func() bool {
		f, ok := lock.Held()
		return ok && f > old
	})
}
