package feed_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/feed"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/platform/fakes"
	"github.com/magnolialever/magnolialever/view"
)

// returning is a Feed on a store that may come back from a copy.
type returning struct {
	t     *testing.T
	store *fakes.Store
	feed  *feed.Feed

	mu          sync.Mutex // guards the fields below
	last        *view.Snapshot
	confirmedAt clock.Time
}

// startReturning starts a Feed on a store with a configuration of version 5, and waits until the view is confirmed.
func startReturning(t *testing.T) *returning {
	t.Helper()
	r := &returning{t: t, store: fakes.NewStore()}
	r.store.SetEra(1)
	r.store.Put(fakes.ConfigKey, fakes.Config(5, "key"))
	client := platform.NewStore(r.store.Addr())
	r.feed = feed.New(feed.Options{
		Clock: clock.System{}, Store: client, OnChange: r.set, OnConfirm: r.confirm,
		OthersConfirmedAt: func() clock.Time { return 0 }, OnOtherItem: func(platform.Item, bool) {}, OnFullRead: func(feed.FullRead) {},
		Pause: func() clock.Span { return 50 }, ConfirmInterval: func() clock.Span { return 50 }, OnBatch: func(feed.Batch) {},
	})
	client.OnEra = func(int64) { r.feed.CheckEra() }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.feed.Run(ctx); close(done) }()
	t.Cleanup(func() { r.store.Close(); cancel(); <-done })
	r.waitFor("confirmation", func() bool { return r.confirmed() != 0 })
	return r
}

func (r *returning) set(s *view.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = s
}

func (r *returning) confirm(at clock.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedAt = at
}

func (r *returning) view() *view.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}

func (r *returning) confirmed() clock.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmedAt
}

func (r *returning) waitFor(what string, condition func() bool) {
	r.t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("no %s after 5 s", what)
		}
	}
}

// returnFrom makes the store come back from a copy after a moment.
func (r *returning) returnFrom(c *fakes.Copy, writes func(put func(key string, value any))) {
	r.store.SetStatus(http.StatusServiceUnavailable)
	time.Sleep(100 * time.Millisecond)
	r.store.Return(c, writes)
	r.store.SetStatus(0)
}

func describe(id string, start int, state string) (key string, value map[string]any) {
	return fakes.UpstreamKeyPrefix + id, map[string]any{
		"service": "app", "address": "10.0.0.1:" + id, "zone": "zone-a", "slots": 8, "state": state, "born": start,
	}
}

// Guards against a watch that goes on from a revision which exists again with other content, so that a change is missed
// for good.
func TestOtherContentAtSameRevisionIsRead(t *testing.T) {
	r := startReturning(t)
	copied := r.store.Copy()
	put := func(id string) { r.store.Put(describe(id, 1, "ready")) }
	put("1")
	put("2")
	r.waitFor("upstream", func() bool { return len(r.view().Upstreams) == 2 })
	r.returnFrom(copied, func(put func(key string, value any)) {
		put(describe("3", 1, "ready"))
		put(describe("4", 1, "ready"))
	})
	r.waitFor("upstream of the new era", func() bool { return r.view().Upstreams["3"] != nil && r.view().Upstreams["4"] != nil })
	r.store.Put(describe("5", 1, "ready"))
	r.waitFor("change in the new era", func() bool { return r.view().Upstreams["5"] != nil })
}

// Guards against an older configuration that replaces a newer one, and against its keys, or those of any that the store has
// lost, that count as confirmed before the operator has written again.
func TestConfigStaysWhenStoreReturnsOlder(t *testing.T) {
	r := startReturning(t)
	copied := r.store.Copy()
	r.store.Put(fakes.ConfigKey, fakes.Config(7, "key"))
	r.waitFor("version 7", func() bool { return r.view().Config.Version == 7 })
	r.returnFrom(copied, nil)
	returnedAt := clock.System{}.Now()
	time.Sleep(1500 * time.Millisecond)
	assert.Equal(t, r.view().Config.Version, int64(7))
	assert.Assert(t, r.confirmed().Before(returnedAt), "confirmed although the store has lost version 7")
	r.store.Put(fakes.ConfigKey, fakes.Config(7, "key"))
	r.waitFor("confirmation", func() bool { return r.confirmed().After(returnedAt) })

	// Nothing that this gateway knows of was lost, but a version that it had not seen may be.
	r.returnFrom(r.store.Copy(), nil)
	returnedAt = clock.System{}.Now()
	r.waitFor("confirmation", func() bool { return r.confirmed().After(returnedAt) })
	assert.Assert(t, r.confirmed().Sub(returnedAt) >= 900, "confirmed %d ms after the return", r.confirmed().Sub(returnedAt))
}

// Guards against requests to zones that are out, and to upstreams that leave, because the store has forgotten that, and
// against upstreams that are dropped because the store has forgotten them; and against all of them being kept for good.
func TestLostEntriesAreKeptUntilWrittenAgain(t *testing.T) {
	r := startReturning(t)
	r.store.Put(describe("1", 1, "ready"))
	r.store.Put(describe("2", 1, "ready"))
	copied := r.store.Copy()
	r.store.Put(fakes.EvacuateKeyPrefix+"zone-b", 1)
	r.store.Put(describe("1", 1, "draining"))
	r.store.Put(describe("2", 9, "ready"))
	r.store.Put(describe("3", 1, "ready"))
	r.waitFor("upstream", func() bool { return r.view().Upstreams["3"] != nil })
	r.returnFrom(copied, nil)
	time.Sleep(time.Second)
	s := r.view()
	assert.Assert(t, s.Revision > 1<<41, "the new era was not read")
	assert.Assert(t, s.ExcludedZones["zone-b"], "the zone is in use again")
	assert.Assert(t, s.Upstreams["1"].Draining, "the upstream that leaves is in use again")
	assert.Equal(t, s.Upstreams["2"].ProcessStart, int64(9), "an earlier process is back")
	assert.Assert(t, s.Upstreams["3"] != nil, "a live upstream is gone")
	r.store.Put(describe("2", 9, "ready"))
	r.waitFor("removal", func() bool { return r.view().Upstreams["3"] == nil })
	r.waitFor("zone", func() bool { return !r.view().ExcludedZones["zone-b"] })
	assert.Equal(t, r.view().Upstreams["2"].ProcessStart, int64(9))
}

// Guards against a confirmation of the view by what the store said before it came back from an older copy.
func TestBatchOfEarlierEraConfirmsNothing(t *testing.T) {
	f := newFollower(t)
	f.store.mu.Lock()
	f.store.revision = eraRevision(1, 10)
	f.store.mu.Unlock()
	f.feed.CheckEra()
	for f.store.count("range") < 2 {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	f.deliver(10, 12, upstream("one", 11))
	two := upstream("two", 11)
	two.Revision = eraRevision(1, 11)
	f.deliver(eraRevision(1, 10), two.Revision, two)
	for s := f.next(); s.Upstreams["two"] == nil; s = f.next() {
		assert.Assert(t, s.Upstreams["one"] == nil, "took a change of the era before")
	}
}
