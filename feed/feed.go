// Package feed keeps the belief of a gateway current with the platform's store.
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

const (
	// pause lies between two watches. Each call is paid for; the pause collects changes
	// that come close together.
	pause = 300 * time.Millisecond
	// wait is how long a watch waits for a change. It bounds the age of the belief.
	wait = clock.Second
	// firstRetry and maxRetry bound the delay after a failed call.
	firstRetry = 150 * time.Millisecond
	maxRetry   = 600 * time.Millisecond
)

// Store is what the feed needs of the platform's store.
type Store interface {
	Range(ctx context.Context, prefix string) ([]platform.Item, units.Revision, error)
	Watch(ctx context.Context, prefix string, after units.Revision, wait clock.Span) ([]platform.Item, units.Revision, error)
}

// Options are what a Feed needs.
type Options struct {
	Clock clock.Clock
	Store Store
	// OnChange is called from the feed's goroutine after a change.
	OnChange func(s *view.Snapshot)
	// OnConfirm is called when the belief is known to have held at the time.
	OnConfirm func(at clock.Time)
	// OnOtherItem is called for items that are no concern of the belief, such as the keys of
	// other gateways.
	OnOtherItem func(i platform.Item)
	// OnFullRead is called after a full read with the keys of such items.
	OnFullRead func(keys map[string]bool)
}

// Feed reads the store and follows its changes. One goroutine runs it.
type Feed struct {
	Options
	state *view.State
	full  bool
	delay time.Duration
	// lost is set while the store does not answer.
	lost bool
	// ignored are entries that could not be read and were logged.
	ignored map[string]units.Revision
}

// New returns a Feed.
func New(o Options) *Feed {
	return &Feed{Options: o, state: view.New(), ignored: map[string]units.Revision{}}
}

// Run follows the store until the context is done.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		if f.state.Expire(f.Clock.Now()) {
			f.OnChange(f.state.Snapshot())
		}
		clock.Sleep(ctx, f.next(err))
	}
}

// next returns the delay before the next call.
func (f *Feed) next(err error) time.Duration {
	if err == nil {
		if f.lost {
			klog.InfoS("feed: store answers again", "revision", f.state.Revision())
		}
		f.lost, f.delay = false, 0
		return pause
	}
	if errors.Is(err, platform.ErrCompacted) {
		klog.InfoS("feed: history is gone, reading in full", "revision", f.state.Revision())
		f.full = false
		return 0
	}
	f.state.RecordStoreFailure()
	stats.Event("store_failed")
	if !f.lost {
		klog.InfoS("feed: store does not answer", "err", err, "revision", f.state.Revision())
	}
	f.lost = true
	f.delay = min(max(f.delay*2, firstRetry), maxRetry)
	return f.delay/2 + rand.N(f.delay/2+1)
}

func (f *Feed) step(ctx context.Context) error {
	if !f.full {
		return f.read(ctx)
	}
	begin := f.Clock.Now()
	items, rev, err := f.Store.Watch(ctx, "", f.state.Revision(), wait)
	if err != nil {
		return err
	}
	now := f.Clock.Now()
	at := begin
	if len(items) == 0 {
		// The store answered when the wait was over.
		at = min(begin.Add(wait), now)
	}
	f.state.RecordStoreAnswer(now, at, rev)
	changed := false
	for _, i := range items {
		changed = f.apply(now, i) || changed
	}
	if changed {
		f.OnChange(f.state.Snapshot())
	}
	f.OnConfirm(at)
	return nil
}

// read reads everything.
func (f *Feed) read(ctx context.Context) error {
	begin := f.Clock.Now()
	items, rev, err := f.Store.Range(ctx, "")
	if err != nil {
		return err
	}
	now := f.Clock.Now()
	f.state.RecordStoreAnswer(now, begin, rev)
	upstreams, out, own := map[units.UpstreamID]bool{}, map[units.Zone]bool{}, map[string]bool{}
	for _, i := range items {
		own[i.Key] = true
		f.apply(now, i)
		c, err := platform.DecodeItem(i)
		if err != nil {
			continue
		}
		if c.Upstream != nil {
			upstreams[c.Upstream.ID] = true
		}
		if c.Out != "" {
			out[c.Out] = true
		}
	}
	f.state.RemoveUnlisted(now, upstreams, out)
	f.OnFullRead(own)
	f.full = true
	f.OnChange(f.state.Snapshot())
	f.OnConfirm(begin)
	klog.InfoS("feed: read in full", "items", len(items), "revision", rev)
	return nil
}

// apply takes one change over and reports whether the belief changed.
func (f *Feed) apply(now clock.Time, i platform.Item) bool {
	c, err := platform.DecodeItem(i)
	if err != nil && f.ignored[i.Key] != i.Revision {
		f.ignored[i.Key] = i.Revision
		stats.Event("entries_ignored")
		klog.InfoS("feed: entry can't be read and is ignored", "key", i.Key, "revision", i.Revision, "err", err)
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
		f.state.SetUpstream(now, c.Upstream)
		klog.InfoS("feed: upstream", "upstream", c.Upstream.ID, "draining", c.Upstream.Draining, "cold", c.Upstream.ColdFor,
			"models", len(c.Upstream.Models), "revision", i.Revision)
	case c.Gone != "":
		f.state.Remove(now, c.Gone)
		klog.InfoS("feed: upstream is gone", "upstream", c.Gone, "revision", i.Revision)
	case c.Out != "":
		f.state.SetZoneExcluded(now, c.Out, true)
		klog.InfoS("feed: zone is out", "zone", c.Out, "revision", i.Revision)
	case c.Back != "":
		f.state.SetZoneExcluded(now, c.Back, false)
		klog.InfoS("feed: zone is back", "zone", c.Back, "revision", i.Revision)
	default:
		f.OnOtherItem(i)
		return false
	}
	return true
}
