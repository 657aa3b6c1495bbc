// Package feed keeps a gateway's view of the platform's store up to date: it reads the whole
// store once and then follows changes by long polling.
package feed

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/epoch"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/rawjson"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

const (
	// maxLateTime is the time after which the store's eras are taken to have gone back for good.
	maxLateTime = 10 * clock.Second
	// maxRereadDelay bounds the random delay of the second full read after a return of the store, which all gateways do.
	maxRereadDelay = 500 * clock.Millisecond
	// watchTimeout is how long the store holds a watch open without a change.
	watchTimeout = clock.Second
	// minRetryDelay and maxRetry bound the backoff after a failed call, before jitter.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
)

// Store is the part of the platform's store that a Feed reads.
type Store interface {
	// Era returns the latest known era of the store. Calls that refer to an earlier one fail.
	Era() epoch.Era
	// Range returns all items under the prefix and the revision of the store at that time.
	Range(ctx context.Context, prefix string) ([]platform.Item, units.Revision, error)
	// Revision returns the revision of the store. All changes that were acknowledged before the call
	// have that revision or an earlier one.
	Revision(ctx context.Context) (units.Revision, error)
	// Watch returns the first changes after a revision, with the revision that they lead to. Without a
	// change, or if it does not hear of any, it returns no items after the time wait. It fails with an
	// error that wraps platform.ErrCompacted when the store no longer has the changes after that
	// revision, and with one that wraps platform.ErrUnreadable when the changes are not known.
	Watch(ctx context.Context, prefix string, after units.Revision, wait clock.Span) ([]platform.Item, units.Revision, error)
	// Get returns the item under a key.
	Get(ctx context.Context, key string) (platform.Item, error)
}

// Options are the dependencies of a Feed. All of them are required; the functions are called from
// the goroutine that runs the Feed.
type Options struct {
	Clock clock.Clock
	Store Store
	// OnChange is called with the new view after each change.
	OnChange func(s *view.Snapshot)
	// OnConfirm is called with the latest time as of which the view is known to have been current.
	OnConfirm func(at clock.Time)
	// OnOtherItem is called for items that are not part of the view, such as the keys of other
	// gateways. restored is set if the store may have brought it back from an older copy.
	OnOtherItem func(i platform.Item, restored bool)
	// OnFullRead is called after a full read.
	OnFullRead func(r FullRead)
	// Pause returns the delay before the next watch, from the last confirmation on. Each call to the
	// store is billed, so the delay batches changes that come close together.
	Pause func() clock.Span
	// ConfirmInterval returns the least age of a confirmation before the store's revision is read again.
	ConfirmInterval func() clock.Span
	// OthersConfirmedAt returns the latest time at which the store is known to have answered another gateway; 0 if none is
	// known.
	OthersConfirmedAt func() clock.Time
	// OnBatch is called after each watch with the changes that it returned, none included.
	OnBatch func(b Batch)
}

// FullRead says what a full read returned.
type FullRead struct {
	// Keys are the keys of all items in the store.
	Keys map[string]bool
	// Revision is the revision of the store before the read.
	Revision units.Revision
	// Returned is set after the store has come back from an older copy, Settling while it may not have got back what it lost.
	Returned, Settling bool
}

// Feed reads the store and follows its changes. It is not safe for concurrent use.
type Feed struct {
	Options
	state *view.State
	// synced is set while state holds a full read, so that a watch can continue from it.
	synced bool
	// retryDelay is the current backoff; 0 after a successful call.
	retryDelay time.Duration
	// storeDown is set while calls to the store fail.
	storeDown bool
	// ignoredRevisions holds, by key, the revision of each undecodable entry, so that each
	// revision is logged once. A full read removes the keys that are gone.
	ignoredRevisions map[string]units.Revision
	// batches are those that other gateways have sent.
	batches chan Batch
	// readRevisions holds, by key, the revision of items that were read because a batch omitted them.
	readRevisions map[string]units.Revision
	// batchAt is when a batch last confirmed the state.
	batchAt clock.Time
	// era is the store's era that a full read was tried in, eraBegan receives a value when there may be a later one.
	era      epoch.Era
	eraBegan chan struct{}
	// lateSince is when the first of the answers of an earlier era came; 0 if the last call had another result.
	lateSince clock.Time
	// confirmAt is when the store's word confirms keys again; 0 is never.
	confirmAt clock.Time
	// restoring is set while an item of the first full read after a return is applied.
	restoring bool
	// rereadAt is when everything is read again, as what the store lost is written again by then; 0 is never.
	rereadAt clock.Time
}

// New returns a Feed. Run starts it.
func New(o Options) *Feed {
	return &Feed{
		Options: o, state: view.New(), ignoredRevisions: map[string]units.Revision{}, batches: make(chan Batch, maxBatches),
		readRevisions: map[string]units.Revision{}, eraBegan: make(chan struct{}, 1),
	}
}

// CheckEra makes the Feed call the store at once, and read everything if Store.Era has risen. It is safe for concurrent use.
func (f *Feed) CheckEra() {
	select {
	case f.eraBegan <- struct{}{}:
	default:
	}
}

// recordEra records the store's era and reports whether it has risen since the last full read began. Revisions of the earlier
// one may exist again with other content then, so that no watch can continue from them.
func (f *Feed) recordEra() bool {
	era := f.Store.Era()
	if era <= f.era {
		return false
	}
	now, returned := f.Clock.Now(), f.state.Revision() != 0
	f.era, f.confirmAt = era, now.Add(view.RewriteTime)
	if !returned {
		return false
	}
	f.synced = false
	f.state.BeginEra(now)
	f.rereadAt = f.state.SettledAt().Add(rand.N(maxRereadDelay))
	stats.Event("store_returns")
	klog.InfoS("feed: store came back from an older copy, reading the full state", "era", era, "revision", f.state.Revision())
	return true
}

// Run follows the store until ctx is canceled. It retries failed calls with backoff.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.sync(ctx)
		if f.state.Expire(f.Clock.Now()) {
			f.OnChange(f.state.Snapshot())
		}
		f.applyBatches(ctx, f.nextDelay(err))
	}
}

// applyChanges applies the changes up to a revision.
func (f *Feed) applyChanges(items []platform.Item, revision units.Revision) {
	now := f.Clock.Now()
	f.recordStoreAnswer(now)
	f.state.Advance(revision)
	changed := false
	for _, i := range items {
		changed = f.apply(now, i) || changed
	}
	if f.state.Expire(now) || changed {
		f.OnChange(f.state.Snapshot())
	}
}

// recordStoreAnswer records that a call to the store succeeded. How long entries that are missing may still come back depends
// on when the store answered first, this gateway or another one.
func (f *Feed) recordStoreAnswer(now clock.Time) {
	if !f.state.Failing() {
		return
	}
	f.state.RecordOthersAnswer(f.OthersConfirmedAt())
	f.state.RecordStoreAnswer(now)
	klog.InfoS("feed: outage is over", "revision", f.state.Revision(), "recovered", now.Sub(f.state.RecoveredAt()))
}

// recordLateAnswer counts answers of an earlier era, given the result of a call. If there are no others for maxLateTime, the
// era that is known was wrong, or the store was set up anew: only a process that starts believes it again.
func (f *Feed) recordLateAnswer(err error) {
	if !errors.Is(err, platform.ErrLateAnswer) {
		f.lateSince = 0
		return
	}
	stats.Event("store_answers_late")
	now := f.Clock.Now()
	if f.lateSince == 0 {
		f.lateSince = now
	}
	if now.Sub(f.lateSince) >= maxLateTime {
		f.lateSince = now
		klog.ErrorS(err, "feed: store states an earlier era than it did before; gateways have to be restarted", "era", f.era)
	}
}

// pause returns the delay before the next call, which is not after rereadAt nor confirmAt.
func (f *Feed) pause() time.Duration {
	pause, now := f.Pause(), f.Clock.Now()
	if f.rereadAt != 0 {
		pause = min(pause, max(f.rereadAt.Sub(now), clock.Millisecond))
	}
	if f.confirmAt.After(now) {
		pause = min(pause, f.confirmAt.Sub(now)+clock.Millisecond)
	}
	return pause.Duration()
}

// nextDelay returns the delay before the next call, given the result of the last one.
func (f *Feed) nextDelay(err error) time.Duration {
	if err == nil {
		f.lateSince = 0
		if f.storeDown {
			klog.InfoS("feed: store answers again", "revision", f.state.Revision())
		}
		f.storeDown, f.retryDelay = false, 0
		if f.state.Behind() {
			return minRetryDelay
		}
		return f.pause()
	}
	if f.recordEra() {
		// All gateways read the full state now.
		return rand.N(maxGapDelay)
	}
	if errors.Is(err, platform.ErrNewEra) {
		f.synced = false
		return minRetryDelay
	}
	if errors.Is(err, platform.ErrCompacted) {
		klog.InfoS("feed: history after the revision was compacted, reading the full state", "revision", f.state.Revision())
		f.synced = false
		return 0
	}
	if f.synced && errors.Is(err, platform.ErrUnreadable) {
		stats.Event("store_changes_unreadable")
		klog.InfoS("feed: changes after the revision can't be read, reading the full state", "revision", f.state.Revision(), "err", err)
		f.synced = false
		return 0
	}
	if errors.Is(err, errWatchCut) {
		stats.Event("store_watches_cut")
		return f.backOff()
	}
	f.recordLateAnswer(err)
	stats.Event("store_failed")
	if pause := f.Pause(); f.batchAt != 0 && f.Clock.Now().Sub(f.batchAt) < pause {
		// Other gateways reach the store; this one waits for their batches.
		return pause.Duration()
	}
	f.state.RecordStoreFailure(f.Clock.Now())
	f.state.RecordOthersAnswer(f.OthersConfirmedAt())
	if !f.storeDown {
		klog.InfoS("feed: store does not answer", "err", err, "revision", f.state.Revision())
	}
	f.storeDown = true
	if errors.Is(err, platform.ErrUnreachable) {
		// The store has no work with this. Entries are kept for a time that begins with its answer, so that must not come late.
		return minRetryDelay
	}
	return f.backOff()
}

// backOff returns the delay before the next call after one that failed, longer each time.
func (f *Feed) backOff() time.Duration {
	f.retryDelay = min(max(f.retryDelay*2, minRetryDelay), maxRetryDelay)
	return f.retryDelay/2 + rand.N(f.retryDelay/2+1)
}

// sync reads the store: all of it, or the next changes once the state is synced.
func (f *Feed) sync(ctx context.Context) error {
	f.recordEra()
	if !f.synced || f.rereadAt != 0 && !f.Clock.Now().Before(f.rereadAt) {
		return f.readAll(ctx)
	}
	if f.storeDown {
		// One cheap call tells whether the store answers again.
		if err := f.readRevision(ctx); err != nil {
			return err
		}
	}
	after := f.state.Revision()
	watched := f.startWatch(ctx, after)
	readErr := f.readRevision(ctx)
	w := <-watched
	if w.err != nil {
		if readErr == nil && f.isOnlyCut(ctx, w.err) {
			return errWatchCut
		}
		return w.err
	}
	f.applyWatch(w)
	if readErr == nil {
		// After a watch that waited, the confirmation from its start is old.
		readErr = f.readRevision(ctx)
	}
	f.OnConfirm(f.state.ConfirmedAt())
	f.OnBatch(Batch{After: after, Revision: f.state.Revision(), ConfirmedAt: f.state.ConfirmedAt(), Items: w.items})
	return readErr
}

// errWatchCut means that a watch ended without an answer while the store answered other calls.
var errWatchCut = errors.New("the watch was cut")

// isOnlyCut reports whether a watch that failed was cut and the store has no outage: it answers this gateway at once. An outage
// would let entries of live upstreams expire, so that those which are removed had to be kept for a while.
func (f *Feed) isOnlyCut(ctx context.Context, err error) bool {
	if f.storeDown || isTimeout(err) {
		return false
	}
	for _, other := range []error{platform.ErrNewEra, platform.ErrCompacted, platform.ErrUnreadable, platform.ErrLateAnswer, platform.ErrUnreachable} {
		if errors.Is(err, other) {
			return false
		}
	}
	return f.confirmRevision(ctx) == nil
}

// isTimeout reports whether a call failed as no answer came in time.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// watchResult is the result of a watch.
type watchResult struct {
	items    []platform.Item
	revision units.Revision
	took     clock.Span
	err      error
}

// startWatch watches for changes after the revision in another goroutine and returns the channel that
// receives the result.
func (f *Feed) startWatch(ctx context.Context, after units.Revision) <-chan watchResult {
	watched := make(chan watchResult, 1)
	started := f.Clock.Now()
	go func() {
		items, revision, err := f.Store.Watch(ctx, "", after, watchTimeout)
		watched <- watchResult{items, revision, f.Clock.Now().Sub(started), err}
	}()
	return watched
}

// applyWatch applies the changes that a watch has returned.
func (f *Feed) applyWatch(w watchResult) {
	if len(w.items) > 0 {
		klog.InfoS("feed: changes", "after", f.state.Revision(), "revision", w.revision, "items", len(w.items),
			"bytes", valueBytes(w.items), "took", w.took)
	}
	f.applyChanges(w.items, w.revision)
	if f.state.Behind() {
		klog.InfoS("feed: not all changes received", "revision", f.state.Revision())
	}
}

// readRevision reads the revision of the store, unless the state was confirmed a short time ago and confirmAt has not passed since.
func (f *Feed) readRevision(ctx context.Context) error {
	now := f.Clock.Now()
	due := f.confirmAt != 0 && !now.Before(f.confirmAt)
	if !due && now.Sub(f.state.ConfirmedAt()) < f.ConfirmInterval() {
		return nil
	}
	if err := f.confirmRevision(ctx); err != nil {
		return err
	}
	if due {
		f.confirmAt = 0
	}
	return nil
}

// confirmRevision reads the revision of the store, which may confirm the state.
func (f *Feed) confirmRevision(ctx context.Context) error {
	started := f.Clock.Now()
	revision, err := f.Store.Revision(ctx)
	if err != nil {
		return err
	}
	f.state.RecordStoreRevision(started, revision)
	f.OnConfirm(f.state.ConfirmedAt())
	return nil
}

// valueBytes returns the size of the items' values.
func valueBytes(items []platform.Item) int {
	n := 0
	for _, i := range items {
		n += len(i.Value)
	}
	return n
}

// readAll replaces the state by a full read of the store.
func (f *Feed) readAll(ctx context.Context) error {
	started := f.Clock.Now()
	items, rev, err := f.Store.Range(ctx, "")
	if err != nil {
		return err
	}
	f.recordEra()
	if epoch.Of(rev) < f.era {
		return platform.ErrLateAnswer
	}
	now := f.Clock.Now()
	f.recordStoreAnswer(now)
	f.state.Advance(rev)
	f.state.RecordStoreRevision(started, rev)
	upstreams, zonesOut, keys := map[units.UpstreamID]bool{}, map[units.Zone]bool{}, map[string]bool{}
	for _, i := range items {
		f.applyRead(now, i)
		if i.Key == "" {
			// It may be any key. An upstream that can't be read gets no requests, a zone stays excluded.
			maps.Copy(zonesOut, f.state.Snapshot().ExcludedZones)
			continue
		}
		keys[i.Key] = true
		c, err := platform.DecodeItem(i)
		if err != nil {
			continue
		}
		if c.Upstream != nil {
			upstreams[c.Upstream.ID] = true
		}
		if c.ExcludedZone != "" {
			zonesOut[c.ExcludedZone] = true
		}
	}
	gone := func(key string, _ units.Revision) bool { return !keys[key] }
	maps.DeleteFunc(f.ignoredRevisions, gone)
	maps.DeleteFunc(f.readRevisions, gone)
	f.state.RemoveUnlisted(now, upstreams, zonesOut)
	returned, settling := f.rereadAt != 0, now.Before(f.rereadAt)
	f.OnFullRead(FullRead{Keys: keys, Revision: rev, Returned: returned, Settling: settling})
	f.synced = true
	if !settling {
		f.rereadAt = 0
	}
	f.OnChange(f.state.Snapshot())
	f.OnConfirm(f.state.ConfirmedAt())
	klog.InfoS("feed: full state read", "items", len(items), "revision", rev)
	return nil
}

// apply applies one change to the state and reports whether the view changed.
func (f *Feed) apply(now clock.Time, i platform.Item) bool {
	return f.applyItem(now, i, f.state.SetUpstream)
}

// applyRead is apply for an item of a full read.
func (f *Feed) applyRead(now clock.Time, i platform.Item) {
	f.restoring = now.Before(f.rereadAt)
	f.applyItem(now, i, f.state.SetReadUpstream)
	f.restoring = false
}

func (f *Feed) applyItem(now clock.Time, i platform.Item, setUpstream func(now clock.Time, u *fleet.Upstream)) bool {
	c, err := platform.DecodeItem(i)
	if err != nil {
		f.recordIgnored(i, err)
	} else {
		delete(f.ignoredRevisions, i.Key)
	}
	if i.Deleted {
		delete(f.readRevisions, i.Key)
	}
	switch {
	case c.Config != nil:
		if !f.state.SetConfig(c.Config) {
			return false
		}
		klog.InfoS("feed: configuration", "version", c.Config.Version, "revision", i.Revision)
		for _, u := range c.Config.Customers() {
			klog.InfoS("feed: customer", "version", c.Config.Version, "customer", u.ID, "rate", u.Rate, "burst", u.Burst)
		}
	case c.Upstream != nil:
		setUpstream(now, c.Upstream)
		klog.InfoS("feed: upstream", "upstream", c.Upstream.ID, "draining", c.Upstream.Draining, "cold", c.Upstream.ColdFor,
			"models", len(c.Upstream.Models), "revision", i.Revision)
	case c.RemovedUpstream != "":
		f.state.Remove(now, c.RemovedUpstream)
		klog.InfoS("feed: upstream is gone", "upstream", c.RemovedUpstream, "revision", i.Revision)
	case c.ExcludedZone != "":
		f.state.SetZoneExcluded(now, c.ExcludedZone, true)
		klog.InfoS("feed: zone is out", "zone", c.ExcludedZone, "revision", i.Revision)
	case c.RestoredZone != "":
		f.state.SetZoneExcluded(now, c.RestoredZone, false)
		klog.InfoS("feed: zone is back", "zone", c.RestoredZone, "revision", i.Revision)
	case i.Key != "":
		f.OnOtherItem(i, f.restoring)
		return false
	default:
		return false
	}
	return true
}

// recordIgnored counts and logs an entry that can't be read, once for each revision.
func (f *Feed) recordIgnored(i platform.Item, err error) {
	if revision, ok := f.ignoredRevisions[i.Key]; ok && revision == i.Revision {
		return
	}
	f.ignoredRevisions[i.Key] = i.Revision
	stats.Event("entries_ignored")
	klog.InfoS("feed: entry can't be read and is ignored", "key", rawjson.Shorten(i.Key), "revision", i.Revision, "err", err)
}
