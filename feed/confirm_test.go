package feed_test

import (
	"context"
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

// datedStore is a store that knows when it was at which revision. Its watches return at most pageItems
// changes; while deaf is set they return none, after they have waited.
type datedStore struct {
	clock     clock.System
	mu        sync.Mutex
	changes   []platform.Item
	changedAt []clock.Time
	pageItems int
	deaf      bool
}

// change writes n upstreams.
func (s *datedStore) change(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range n {
		revision := units.Revision(len(s.changes) + 1)
		s.changes = append(s.changes, upstream(fmt.Sprint("u", revision), revision))
		s.changedAt = append(s.changedAt, s.clock.Now())
	}
}

func (s *datedStore) setDeaf(deaf bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = deaf
}

// revisionBefore returns the revision that the store had reached before a time.
func (s *datedStore) revisionBefore(t clock.Time) units.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for n < len(s.changedAt) && s.changedAt[n].Before(t) {
		n++
	}
	return units.Revision(n)
}

func (*datedStore) Era() epoch.Era { return 0 }

func (s *datedStore) Revision(context.Context) (units.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return units.Revision(len(s.changes)), nil
}

func (s *datedStore) Range(context.Context, string) ([]platform.Item, units.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes, units.Revision(len(s.changes)), nil
}

func (s *datedStore) Watch(ctx context.Context, _ string, after units.Revision, wait clock.Span) ([]platform.Item, units.Revision, error) {
	for end := s.clock.Now().Add(wait); s.clock.Now().Before(end) && ctx.Err() == nil; time.Sleep(2 * time.Millisecond) {
		s.mu.Lock()
		items := s.changes[after:]
		if s.deaf {
			items = nil
		}
		items = items[:min(len(items), s.pageItems)]
		s.mu.Unlock()
		if len(items) > 0 {
			return items, items[len(items)-1].Revision, nil
		}
	}
	return nil, after, ctx.Err()
}

func (s *datedStore) Get(context.Context, string) (platform.Item, error) {
	return platform.Item{}, platform.ErrKeyNotFound
}

// auditedFeed is a Feed whose confirmations are compared with what the store held at that time.
type auditedFeed struct {
	store *datedStore
	feed  *feed.Feed

	mu sync.Mutex
	// revision is that of the view, confirmedAt the latest confirmation.
	revision    units.Revision
	confirmedAt clock.Time
	early       []string
}

func (f *auditedFeed) onChange(s *view.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = s.Revision
}

func (f *auditedFeed) onConfirm(at clock.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if held := f.store.revisionBefore(at); held > f.revision {
		f.early = append(f.early, fmt.Sprintf("view of revision %d confirmed as of a time when the store was at %d", f.revision, held))
	}
	f.confirmedAt = max(f.confirmedAt, at)
}

// state returns the revision of the view and the latest confirmation.
func (f *auditedFeed) state() (units.Revision, clock.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision, f.confirmedAt
}

func startAuditedFeed(t *testing.T, s *datedStore) *auditedFeed {
	f := &auditedFeed{store: s}
	f.feed = feed.New(feed.Options{
		Clock: s.clock, Store: s, OnChange: f.onChange, OnConfirm: f.onConfirm,
		OthersConfirmedAt: func() clock.Time { return 0 }, OnOtherItem: func(platform.Item, bool) {}, OnFullRead: func(feed.FullRead) {},
		Pause: func() clock.Span { return 60 * clock.Millisecond }, ConfirmInterval: func() clock.Span { return 20 * clock.Millisecond }, OnBatch: func(feed.Batch) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.feed.Run(ctx); close(done) }()
	t.Cleanup(func() {
		cancel()
		<-done
		assert.Equal(t, len(f.early), 0, "%v", f.early)
	})
	return f
}

// waitCurrent waits until the view has all changes and was confirmed after now.
func (f *auditedFeed) waitCurrent(t *testing.T) {
	t.Helper()
	now := f.store.clock.Now()
	for end := now.Add(5 * clock.Second); f.store.clock.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if revision, at := f.state(); revision == f.store.revisionBefore(now.Add(clock.Minute)) && at.After(now) {
			return
		}
	}
	revision, at := f.state()
	t.Fatalf("view of revision %d, confirmed %v ms ago", revision, f.store.clock.Now().Sub(at))
}

// Guards against a view that counts as current after the first page of many changes.
func TestFirstPageOfChangesConfirmsNothing(t *testing.T) {
	s := &datedStore{pageItems: 5}
	s.change(3)
	f := startAuditedFeed(t, s)
	f.waitCurrent(t)
	s.change(42)
	f.waitCurrent(t)
	for range 10 {
		s.change(7)
		time.Sleep(20 * time.Millisecond)
	}
	f.waitCurrent(t)
}

// Guards against an answer without changes that counts as current although changes were made before it.
func TestWatchThatHearsNothingConfirmsNothing(t *testing.T) {
	s := &datedStore{pageItems: 500}
	s.change(3)
	f := startAuditedFeed(t, s)
	f.waitCurrent(t)
	s.setDeaf(true)
	time.Sleep(100 * time.Millisecond)
	s.change(1)
	time.Sleep(2500 * time.Millisecond)
	s.setDeaf(false)
	f.waitCurrent(t)
}
