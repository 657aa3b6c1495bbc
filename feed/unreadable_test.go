package feed_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/feed"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/platform/fakes"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

// oddStore is a store of which a watch can't read a change, and of which a full read returns an item without a key.
type oddStore struct {
	scriptedStore
	excluded, unreadable platform.Item
	unreadableRange      bool
}

func (s *oddStore) Range(context.Context, string) ([]platform.Item, units.Revision, error) {
	if err := s.call("range"); err != nil {
		return nil, 0, err
	}
	if s.count("range") == 1 {
		return []platform.Item{s.excluded}, 5, nil
	}
	if s.unreadableRange {
		return nil, 0, fmt.Errorf("range: %w", platform.ErrUnreadable)
	}
	return []platform.Item{s.unreadable, upstream("new", 6)}, 7, nil
}

func (s *oddStore) Watch(_ context.Context, _ string, after units.Revision, _ clock.Span) ([]platform.Item, units.Revision, error) {
	if err := s.call("watch"); err != nil {
		return nil, 0, err
	}
	if after < 7 {
		return nil, 0, fmt.Errorf("watch: %w", platform.ErrUnreadable)
	}
	return nil, after, nil
}

// follow runs a Feed on the store for a time and returns its last view, and the batches that it passed on.
func (s *oddStore) follow(t *testing.T, d time.Duration) (last *view.Snapshot, batches []feed.Batch) {
	t.Helper()
	s.calls, s.revision = map[string]int{}, 7
	f := feed.New(feed.Options{
		Clock: clock.System{}, Store: s, OnChange: func(v *view.Snapshot) { last = v }, OnConfirm: func(clock.Time) {},
		OthersConfirmedAt: func() clock.Time { return 0 }, OnOtherItem: func(i platform.Item, _ bool) { assert.Check(t, i.Key != "") }, OnFullRead: func(feed.FullRead) {},
		Pause: func() clock.Span { return 20 }, ConfirmInterval: func() clock.Span { return clock.Hour },
		OnBatch: func(b feed.Batch) { batches = append(batches, b) },
	})
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	f.Run(ctx)
	return last, batches
}

// Guards against a feed that stops at a change that can't be read, or goes on as if there were none, and against
// a zone that counts as included again because its item may be the one that can't be read.
func TestUnreadableChangeIsReadInFull(t *testing.T) {
	s := &oddStore{
		excluded:   platform.Item{Key: fakes.EvacuateKeyPrefix + "zone-a", Revision: 4},
		unreadable: platform.Item{Unreadable: true},
	}
	last, batches := s.follow(t, 300*time.Millisecond)
	assert.Equal(t, len(last.Upstreams), 1)
	assert.Assert(t, last.ExcludedZones["zone-a"])
	assert.Equal(t, s.count("range"), 2)
	for _, b := range batches {
		assert.Assert(t, b.After >= 7, "passed on changes that it did not have")
	}
}

// Guards against calls without delay while the full read can't be read either.
func TestUnreadableStoreIsReadWithBackoff(t *testing.T) {
	s := &oddStore{unreadableRange: true}
	s.follow(t, 400*time.Millisecond)
	assert.Assert(t, s.count("range") < 7, "%d reads", s.count("range"))
}

// churningStore is a store to which another writer writes and deletes odd entries, each under a new key.
type churningStore struct{ scriptedStore }

func (s *churningStore) Watch(_ context.Context, _ string, after units.Revision, _ clock.Span) ([]platform.Item, units.Revision, error) {
	key := fmt.Sprint(fakes.UpstreamKeyPrefix, "odd", after)
	return []platform.Item{{Key: key, Value: []byte("odd"), Revision: after + 1}, {Key: key, Deleted: true, Revision: after + 2}}, after + 2, nil
}

// Guards against memory that grows with the odd entries that there ever were.
func TestIgnoredEntriesAreForgotten(t *testing.T) {
	f := feed.New(feed.Options{
		Clock: clock.System{}, Store: &churningStore{scriptedStore{revision: 1, calls: map[string]int{}}},
		OnChange: func(*view.Snapshot) {}, OnConfirm: func(clock.Time) {}, OthersConfirmedAt: func() clock.Time { return 0 }, OnOtherItem: func(platform.Item, bool) {},
		OnFullRead: func(feed.FullRead) {}, Pause: func() clock.Span { return 1 }, ConfirmInterval: func() clock.Span { return clock.Hour },
		OnBatch: func(feed.Batch) {},
	})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	f.Run(ctx)
	assert.Assert(t, f.RememberedEntries() < 3, "%d entries", f.RememberedEntries())
}
