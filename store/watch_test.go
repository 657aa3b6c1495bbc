package store_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/fakes/keyval"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/units"
)

// receiveEvent returns the next event and fails the test after 10 s or when the channel is closed.
func receiveEvent(t *testing.T, ch <-chan store.Event) store.Event {
	t.Helper()
	select {
	case e, ok := <-ch:
		assert.Assert(t, ok)
		return e
	case <-time.After(10 * time.Second):
		t.Fatal("no event within 10 s")
		return store.Event{}
	}
}

// Guards against events that are lost, repeated or reordered when connections break.
func TestWatchReconnects(t *testing.T) {
	s, c := startStore(t, keyval.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ch := c.Watch(ctx, "/p/", 1)
	const rounds, writes = 4, 50
	last := units.Revision(0)
	for r := range rounds {
		s.Update(func(f *keyval.Faults) { f.CutWatches = 1 })
		sent := make(chan error, 1)
		go func() { sent <- writeKeys(ctx, c, r, writes) }()
		for i := range writes {
			e := receiveEvent(t, ch)
			assert.Equal(t, e.Key, fmt.Sprintf("/p/%d/%d", r, i))
			assert.Assert(t, e.Revision > last)
			last = e.Revision
		}
		assert.NilError(t, <-sent)
		assert.Equal(t, s.Faults().CutWatches, 0)
	}
	waitUntil(t, "watch reconnected after each break", func() bool { return c.Counters().Watches > rounds })
}

// writeKeys creates the given number of keys under /p/ROUND/.
func writeKeys(ctx context.Context, c *store.Client, round, writes int) error {
	for i := range writes {
		if _, err := c.CompareAndSwap(ctx, fmt.Sprintf("/p/%d/%d", round, i), 0, nil, 0); err != nil {
			return err
		}
	}
	return nil
}

// Guards against a deletion that is not delivered because the store compacted its event during
// an outage.
func TestWatchAfterCompaction(t *testing.T) {
	s, c := startStore(t, keyval.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	put := func(key string) units.Revision {
		r, err := c.CompareAndSwap(ctx, key, 0, []byte("v"), 0)
		assert.NilError(t, err)
		return r
	}
	put("/p/old")
	ch := c.Watch(ctx, "/p/", put("/p/kept")+1)
	sentinel := put("/p/mark")
	assert.Equal(t, receiveEvent(t, ch).Revision, sentinel)

	failed := c.Counters().Errors
	s.Update(func(f *keyval.Faults) { f.WatchOutage = true })
	// The open stream must end before the changes, so that the watch misses their events.
	waitUntil(t, "watch stream is broken", func() bool { return c.Counters().Errors > failed })
	assert.NilError(t, c.Delete(ctx, "/p/old", 0))
	newRevision := put("/p/new")
	s.Compact()
	s.Update(func(f *keyval.Faults) { f.WatchOutage = false })
	e := receiveEvent(t, ch)
	assert.Equal(t, e.Key, "/p/new")
	assert.Equal(t, e.Revision, newRevision)
	e = receiveEvent(t, ch)
	assert.Equal(t, e.Key, "/p/old")
	assert.Assert(t, e.Deleted && e.Revision >= newRevision)
	next := put("/p/next")
	assert.Equal(t, receiveEvent(t, ch).Revision, next)
}

// Guards against a watch without a start revision that delivers earlier changes, and against a
// channel that is not closed when the context ends.
func TestWatchFromNow(t *testing.T) {
	s, c := startStore(t, keyval.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_, err := c.CompareAndSwap(ctx, "/a", 0, nil, 0)
	assert.NilError(t, err)
	ch := c.Watch(ctx, "/", 0)
	waitUntil(t, "watch is open", func() bool { return s.Calls().Watch == 1 })
	s.SetOutage(true)
	s.SetOutage(false)
	_, err = c.CompareAndSwap(ctx, "/b", 0, nil, 0)
	assert.NilError(t, err)
	assert.Equal(t, receiveEvent(t, ch).Key, "/b")
	cancel()
	waitUntil(t, "closed", func() bool {
		select {
		case _, ok := <-ch:
			return !ok
		default:
			return false
		}
	})
}
