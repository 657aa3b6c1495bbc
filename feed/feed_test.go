package feed_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/epoch"
	"github.com/magnolialever/magnolialever/feed"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

// scriptedStore is a store that holds items and counts calls. Its watches return nothing.
type scriptedStore struct {
	mu       sync.Mutex
	revision units.Revision
	items    map[string]platform.Item
	calls    map[string]int
	// failing holds the kinds of calls, and the keys, that fail.
	failing map[string]bool
}

var errDown = errors.New("store is down")

func (s *scriptedStore) call(kind string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[kind]++
	if s.failing[kind] {
		return errDown
	}
	return nil
}

// fail makes calls of the kinds, and of the keys, fail, and no others.
func (s *scriptedStore) fail(kinds ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = map[string]bool{}
	for _, k := range kinds {
		s.failing[k] = true
	}
}

// put sets the value under a key.
func (s *scriptedStore) put(i platform.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items[i.Key] = i
}

// eraRevision returns a revision in an era.
func eraRevision(era epoch.Era, own int64) units.Revision {
	r, _ := epoch.Join(era, own)
	return r
}

func (s *scriptedStore) Era() epoch.Era { return epoch.Of(s.currentRevision()) }

func (s *scriptedStore) currentRevision() units.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

func (s *scriptedStore) Range(context.Context, string) ([]platform.Item, units.Revision, error) {
	return nil, s.currentRevision(), s.call("range")
}

func (s *scriptedStore) Revision(context.Context) (units.Revision, error) {
	return s.currentRevision(), s.call("revision")
}

func (s *scriptedStore) Watch(context.Context, string, units.Revision, clock.Span) ([]platform.Item, units.Revision, error) {
	return nil, s.currentRevision(), s.call("watch")
}

func (s *scriptedStore) Get(_ context.Context, key string) (platform.Item, error) {
	err := s.call("get")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing[key] {
		err = errDown
	}
	return s.items[key], err
}

func (s *scriptedStore) count(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[kind]
}

// follower is a Feed whose own watches are far apart.
type follower struct {
	t     *testing.T
	store *scriptedStore
	feed  *feed.Feed
	views chan *view.Snapshot
	clock clock.System
}

func newFollower(t *testing.T) *follower { return newPausedFollower(t, clock.Minute) }

// newPausedFollower returns a follower whose own watches are the pause apart.
func newPausedFollower(t *testing.T, pause clock.Span) *follower {
	t.Helper()
	s := &scriptedStore{revision: 10, calls: map[string]int{}, items: map[string]platform.Item{}}
	return newFollowerOf(t, s, s, pause)
}

// newFollowerOf returns a follower of a store that counts its calls in another one.
func newFollowerOf(t *testing.T, s feed.Store, counts *scriptedStore, pause clock.Span) *follower {
	t.Helper()
	f := &follower{t: t, store: counts, views: make(chan *view.Snapshot, 100)}
	f.feed = feed.New(feed.Options{
		Clock: f.clock, Store: s, OnChange: func(s *view.Snapshot) { f.views <- s }, OnConfirm: func(clock.Time) {},
		OthersConfirmedAt: func() clock.Time { return 0 }, OnOtherItem: func(platform.Item, bool) {}, OnFullRead: func(feed.FullRead) {}, Pause: func() clock.Span { return pause },
		ConfirmInterval: func() clock.Span { return clock.Second },
		OnBatch:         func(feed.Batch) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.feed.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	f.next()
	return f
}

// next returns the next view.
func (f *follower) next() *view.Snapshot {
	f.t.Helper()
	select {
	case s := <-f.views:
		return s
	case <-time.After(5 * time.Second):
		f.t.Fatal("no change after 5 s")
		return nil
	}
}

func (f *follower) deliver(after, revision units.Revision, items ...platform.Item) {
	f.feed.Deliver(feed.Batch{After: after, Revision: revision, ConfirmedAt: f.clock.Now(), Items: items})
	time.Sleep(2 * time.Millisecond)
}

func upstream(id string, revision units.Revision) platform.Item {
	value := fmt.Sprintf(`{"service":"s","address":"10.0.0.1:%d","state":"ready","born":%d}`, 1000+revision, revision)
	return platform.Item{Key: "servers/" + id, Value: []byte(value), Revision: revision}
}

// Guards against gateways that each watch the store: a gateway that receives its changes from another
// one makes no calls, also for changes that it receives twice.
func TestDeliveredChangesNeedNoCalls(t *testing.T) {
	f := newFollower(t)
	f.deliver(10, 12, upstream("one", 11), upstream("two", 12))
	assert.Equal(t, len(f.next().Upstreams), 2)
	f.deliver(10, 13, upstream("one", 11), upstream("two", 12), upstream("three", 13))
	assert.Equal(t, len(f.next().Upstreams), 3)
	f.deliver(13, 14, platform.Item{Key: "servers/one", Revision: 14, Deleted: true})
	assert.Equal(t, len(f.next().Upstreams), 2)
	assert.Equal(t, f.store.count("watch"), 0)
}

// Guards against a removed upstream that is in use again because changes arrive late or in the wrong
// order.
func TestLateChangesDontBringBackUpstreams(t *testing.T) {
	f := newFollower(t)
	f.deliver(10, 11, upstream("one", 11))
	f.next()
	f.deliver(11, 12, platform.Item{Key: "servers/one", Revision: 12, Deleted: true})
	assert.Equal(t, len(f.next().Upstreams), 0)
	f.deliver(10, 11, upstream("one", 11))
	f.deliver(12, 13, upstream("two", 13))
	s := f.next()
	assert.Assert(t, s.Upstreams["one"] == nil && s.Upstreams["two"] != nil)
}

// Guards against missed changes: after a gap the gateway watches the store itself.
func TestMissingChangesAreRead(t *testing.T) {
	f := newFollower(t)
	f.deliver(11, 12, upstream("two", 12))
	for range 100 {
		if f.store.count("watch") > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the store was not read")
}

// Guards against a stale value of a key whose value was omitted, and against one read for each mention.
func TestOmittedValueIsReadOnce(t *testing.T) {
	f := newFollower(t)
	f.store.items["servers/big"] = upstream("big", 15)
	for revision := units.Revision(11); revision < 14; revision++ {
		f.feed.Deliver(feed.Batch{
			After: revision - 1, Revision: revision, ConfirmedAt: f.clock.Now(),
			Omitted: []feed.OmittedItem{{Key: "servers/big", Revision: revision}},
		})
		time.Sleep(2 * time.Millisecond)
	}
	assert.Assert(t, f.next().Upstreams["big"] != nil)
	assert.Equal(t, f.store.count("get"), 1)
	assert.Equal(t, f.store.count("watch"), 0)
}

// Guards against a change that is lost because another one beside it could not be read.
func TestOmittedValueIsKeptWhenAnotherFails(t *testing.T) {
	f := newFollower(t)
	f.store.fail("watch", "revision", "servers/other")
	f.store.put(upstream("big", 11))
	f.store.put(upstream("other", 12))
	b := feed.Batch{
		After: 10, Revision: 12, ConfirmedAt: f.clock.Now(),
		Omitted: []feed.OmittedItem{{Key: "servers/big", Revision: 11}, {Key: "servers/other", Revision: 12}},
	}
	for range 8 {
		// The order in which values are read varies.
		f.feed.Deliver(b)
		time.Sleep(20 * time.Millisecond)
	}
	f.store.fail("watch", "revision")
	f.feed.Deliver(b)
	s := f.next()
	assert.Assert(t, s.Upstreams["big"] != nil && s.Upstreams["other"] != nil, "revision %d without all of its changes", s.Revision)
}

// Guards against a gateway that relies on changes from others, although none of them confirms its view.
func TestUnconfirmedChangesDontReplaceWatches(t *testing.T) {
	f := newPausedFollower(t, 200*clock.Millisecond)
	for revision := units.Revision(10); f.store.count("watch") == 0; revision++ {
		assert.Assert(t, revision < 60, "no watch after 50 messages")
		f.feed.Deliver(feed.Batch{After: revision, Revision: revision + 1, Items: []platform.Item{upstream("one", revision+1)}})
		time.Sleep(20 * time.Millisecond)
	}
}
