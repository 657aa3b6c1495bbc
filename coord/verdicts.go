package coord

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/units"
)

// verdictReadDelay is the mean delay after a failed read of the verdicts.
const verdictReadDelay = time.Second

// verdictStore implements parts.VerdictStore with the platform's key-value store.
type verdictStore struct{ kv store.KV }

// Put implements parts.VerdictStore.
func (v verdictStore) Put(ctx context.Context, verdict parts.Verdict) error {
	value, err := verdict.Encode()
	if err != nil {
		return err
	}
	lease, err := v.kv.GrantLease(ctx, parts.VerdictTTL)
	if err != nil {
		return fmt.Errorf("lease of verdict: %w", err)
	}
	revision, err := v.revision(ctx, verdict)
	if err != nil {
		return err
	}
	if _, err := v.kv.CompareAndSwap(ctx, verdict.Key(), revision, value, lease); err != nil {
		return fmt.Errorf("write verdict: %w", err)
	}
	return nil
}

// revision returns the revision of the verdict in the store; 0 if there is none.
func (v verdictStore) revision(ctx context.Context, verdict parts.Verdict) (units.Revision, error) {
	e, err := v.kv.Get(ctx, verdict.Key())
	if isMissing(err) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("read verdict: %w", err)
	}
	return e.Revision, nil
}

// Remove implements parts.VerdictStore.
func (v verdictStore) Remove(ctx context.Context, verdict parts.Verdict) error {
	if err := v.kv.Delete(ctx, verdict.Key(), 0); err != nil && !isMissing(err) {
		return fmt.Errorf("remove verdict: %w", err)
	}
	return nil
}

// watchVerdicts applies the verdicts in the store, and each later change, until the context is done.
func (c *Coord) watchVerdicts(ctx context.Context) {
	revision, err := c.readVerdicts(ctx)
	for err != nil && ctx.Err() == nil {
		klog.InfoS("coord: verdicts not read", "err", err)
		clock.Sleep(ctx, verdictReadDelay/2+rand.N(verdictReadDelay))
		revision, err = c.readVerdicts(ctx)
	}
	for e := range c.options.Store.Watch(ctx, parts.VerdictPrefix, revision+1) {
		part, ok := parts.ParseVerdictKey(e.Key)
		switch {
		case !ok:
			stats.Event("verdicts_unreadable")
		case e.Deleted:
			c.verdicts.Removed(part, 0)
		default:
			c.applyVerdict(part, e.Value)
		}
	}
}

// readVerdicts applies the verdicts in the store and returns the revision at which they were read.
func (c *Coord) readVerdicts(ctx context.Context) (units.Revision, error) {
	list, revision, err := c.options.Store.List(ctx, parts.VerdictPrefix)
	if err != nil {
		return 0, fmt.Errorf("list verdicts: %w", err)
	}
	for _, e := range list {
		if part, ok := parts.ParseVerdictKey(e.Key); ok {
			c.applyVerdict(part, e.Value)
		}
	}
	return revision, nil
}

// applyVerdict applies a verdict that was read from the store.
func (c *Coord) applyVerdict(part parts.ID, value []byte) {
	v, err := parts.DecodeVerdict(part, value)
	if err != nil {
		stats.Event("verdicts_unreadable")
		klog.InfoS("coord: invalid verdict ignored", "part", part, "err", err)
		return
	}
	c.verdicts.Stored(v)
}
