package feed_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/units"
)

// leavingStore is a scriptedStore with an upstream that is removed once a watch has failed.
type leavingStore struct {
	*scriptedStore
	step int
}

func (s *leavingStore) Range(context.Context, string) ([]platform.Item, units.Revision, error) {
	return []platform.Item{upstream("a", 5)}, s.currentRevision(), s.call("range")
}

func (s *leavingStore) Watch(_ context.Context, _ string, after units.Revision, _ clock.Span) ([]platform.Item, units.Revision, error) {
	s.step++
	if s.step == 1 {
		return nil, 0, errDown
	}
	if s.step == 2 {
		return []platform.Item{{Key: "servers/a", Revision: after + 1, Deleted: true}}, after + 1, nil
	}
	time.Sleep(10 * time.Millisecond)
	return nil, after, nil
}

// Guards against an upstream that still gets requests seconds after its entry was removed, since a watch was cut shortly before,
// which is no outage of the store; and against one that is removed at once after an outage, as its entry may have expired in it.
func TestCutWatchIsNoOutage(t *testing.T) {
	for name, fails := range map[string]string{"the watch alone": "", "the store": "revision"} {
		t.Run(name, func(t *testing.T) {
			store := &leavingStore{scriptedStore: &scriptedStore{revision: 10, calls: map[string]int{}, items: map[string]platform.Item{}}}
			store.fail(fails)
			f := newFollowerOf(t, store, store.scriptedStore, 20*clock.Millisecond)
			time.AfterFunc(400*time.Millisecond, func() { store.fail() })
			removed := f.next()
			assert.Equal(t, len(removed.Upstreams) == 0, fails == "", "the view after the removal: %v", removed.Upstreams)
		})
	}
}
