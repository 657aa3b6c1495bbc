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

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(15*time.Second))
}

func hold(t *testing.T, c *store.Client, name string, k clock.Clock) (*store.Lock, context.CancelFunc) {
	t.Helper()
	h := store.NewLock(store.LockOptions{KV: c, Key: "/control/leader", Value: []byte(name), TTL: clock.Second, Clock: k})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	stop := func() {
		cancel()
		assert.NilError(t, <-done)
		done <- nil
	}
	t.Cleanup(stop)
	return h, stop
}

func held(h *store.Lock) bool {
	_, ok := h.Held()
	return ok
}

// Guards against a holder that still acts when the store may have given the lease
// to another.
func TestHolderStopsBeforeExpiry(t *testing.T) {
	s, c := start(t, keyval.Options{})
	h, _ := hold(t, c, "g1", nil)
	eventually(t, "held", func() bool { return held(h) })
	s.SetOutage(true)
	before := s.Revision()
	eventually(t, "lapsed in the store", func() bool {
		lapsed := s.Revision() > before
		assert.Assert(t, !lapsed || !held(h))
		return lapsed
	})
	s.SetOutage(false)
	eventually(t, "held again", func() bool { return held(h) })
	f, _ := h.Held()
	assert.Assert(t, f > units.Fence(before))
}

// Guards against a holder that trusts its goroutine rather than its clock: here the
// clock jumps, as after a pause of the process.
func TestHolderAfterPause(t *testing.T) {
	_, c := start(t, keyval.Options{})
	k := clock.NewManual(1)
	h, _ := hold(t, c, "g1", k)
	eventually(t, "held", func() bool { return held(h) })
	k.Advance(clock.Second)
	assert.Assert(t, !held(h))
	assert.Equal(t, h.Remaining(), clock.Span(0))
}

// Guards against two holders at once, fencing numbers that don't grow, and a lease
// that is not handed over when its holder stops.
func TestHoldersTakeTurns(t *testing.T) {
	s, c := start(t, keyval.Options{})
	const holders = 3
	all := make([]*store.Lock, holders)
	stops := make([]context.CancelFunc, holders)
	for i := range all {
		all[i], stops[i] = hold(t, c, fmt.Sprint("g", i), nil)
	}
	end := make(chan struct{})
	overlap := make(chan bool, 1)
	go func() { overlap <- overlaps(all, end) }()
	last := units.Fence(0)
	for n := range holders {
		s.LoseResponses(n)
		i := -1
		eventually(t, "one holds", func() bool {
			for j, h := range all {
				if f, ok := h.Held(); ok && f > last {
					i, last = j, f
				}
			}
			return i >= 0
		})
		stops[i]()
	}
	close(end)
	assert.Assert(t, !<-overlap)
}

// overlaps reports whether two holders held the lease at one time.
func overlaps(all []*store.Lock, end <-chan struct{}) bool {
	for {
		select {
		case <-end:
			return false
		case <-time.After(time.Millisecond):
		}
		for _, a := range all {
			before, ok := a.Held()
			if !ok {
				continue
			}
			for _, b := range all {
				if b == a || !held(b) {
					continue
				}
				if after, ok := a.Held(); ok && after == before {
					return true
				}
			}
		}
	}
}

// Guards against a holder that does not notice that its key was removed.
func TestHolderWithoutKey(t *testing.T) {
	_, c := start(t, keyval.Options{})
	h, _ := hold(t, c, "g1", nil)
	eventually(t, "held", func() bool { return held(h) })
	old, _ := h.Held()
	assert.NilError(t, c.Delete(context.Background(), "/control/leader", 0))
	eventually(t, "held with a new number", func() bool {
		f, ok := h.Held()
		return ok && f > old
	})
}
