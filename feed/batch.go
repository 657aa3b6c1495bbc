package feed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/epoch"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

// Batch holds the changes that one watch of the store has returned.
type Batch struct {
	// After is the revision that the changes follow, Revision the one that they lead to.
	After, Revision units.Revision
	// ConfirmedAt is a time at which the store was at Revision or an earlier one; 0 if none is known.
	ConfirmedAt clock.Time
	Items       []platform.Item
	// Omitted are further items whose values have to be read from the store.
	Omitted []OmittedItem
}

// OmittedItem is an item without its value.
type OmittedItem struct {
	Key      string
	Revision units.Revision
}

// maxBatches is the number of delivered batches that are kept until the Feed applies them.
const maxBatches = 32

// maxGapDelay bounds the random delay before a watch that reads missing changes, as other gateways miss
// them too.
const maxGapDelay = 100 * time.Millisecond

// Deliver passes on a batch that another gateway has read from the store. It is safe for concurrent
// use. A batch that can't be kept is dropped; the next watch returns its changes.
func (f *Feed) Deliver(b Batch) {
	select {
	case f.batches <- b:
	default:
		stats.Event("store_batches_dropped")
	}
}

// applyBatches applies delivered batches until the delay has passed since the last one that confirmed
// the state, or until a batch shows that changes are missing.
func (f *Feed) applyBatches(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-f.eraBegan:
			// The next answer of the store tells its era, if this gateway has only heard of it.
			f.recordEra()
			timer.Reset(rand.N(maxGapDelay))
		case b := <-f.batches:
			switch f.handleBatch(ctx, b) {
			case batchConfirmed:
				timer.Reset(f.pause())
			case batchMissing:
				timer.Reset(rand.N(maxGapDelay))
			case batchUnconfirmed:
			}
		}
	}
}

// batchResult is the result of handleBatch.
type batchResult uint8

const (
	// batchUnconfirmed means that the state is not confirmed as of a later time than before.
	batchUnconfirmed batchResult = iota
	// batchConfirmed means that it is.
	batchConfirmed
	// batchMissing means that changes between the state and the batch are missing.
	batchMissing
)

// handleBatch applies a batch if it continues the state. What it tells about the store's revision holds
// in any case.
func (f *Feed) handleBatch(ctx context.Context, b Batch) batchResult {
	if !f.synced || epoch.Of(b.Revision) < epoch.Of(f.state.Revision()) {
		// What the store said in an earlier era tells nothing of the state that it came back with.
		return batchUnconfirmed
	}
	missing := b.After > f.state.Revision()
	if missing {
		klog.InfoS("feed: changes before those from another gateway are missing", "revision", f.state.Revision(), "after", b.After)
	} else if err := f.applyBatch(ctx, b); err != nil {
		klog.InfoS("feed: changes that another gateway passed on can't be read", "err", err)
		missing = true
	}
	before := f.state.ConfirmedAt()
	if b.ConfirmedAt != 0 {
		f.state.RecordStoreRevision(b.ConfirmedAt, b.Revision)
		f.OnConfirm(f.state.ConfirmedAt())
	}
	switch {
	case missing:
		return batchMissing
	case f.state.ConfirmedAt().After(before):
		f.batchAt = f.Clock.Now()
		return batchConfirmed
	}
	return batchUnconfirmed
}

// applyBatch applies the changes of a batch that the state lacks. It fails if the value of one can't be
// read.
func (f *Feed) applyBatch(ctx context.Context, b Batch) error {
	revision := f.state.Revision()
	if b.Revision < revision {
		return nil
	}
	items := make([]platform.Item, 0, len(b.Items))
	for _, i := range b.Items {
		if i.Revision > revision {
			items = append(items, i)
		}
	}
	read, err := f.readOmitted(ctx, revision, b.Omitted)
	if err != nil {
		return err
	}
	items = append(items, read...)
	if len(items) > 0 {
		klog.InfoS("feed: changes from another gateway", "after", b.After, "revision", b.Revision, "items", len(items),
			"read", len(read), "confirmed", b.ConfirmedAt != 0, "age", f.Clock.Now().Sub(b.ConfirmedAt))
	}
	f.applyChanges(items, b.Revision)
	return nil
}

// readOmitted reads the newest values of items that changed after the revision, each once, or none if one
// can't be read. An item that was read at a later revision than stated is not read again for that
// revision.
func (f *Feed) readOmitted(ctx context.Context, after units.Revision, omitted []OmittedItem) ([]platform.Item, error) {
	newest := map[string]units.Revision{}
	for _, o := range omitted {
		if o.Revision > after && o.Revision > f.readRevisions[o.Key] {
			newest[o.Key] = max(newest[o.Key], o.Revision)
		}
	}
	var out []platform.Item
	for key := range newest {
		i, err := f.Store.Get(ctx, key)
		if err != nil {
			return nil, fmt.Errorf("read omitted item: %w", err)
		}
		out = append(out, i)
	}
	for _, i := range out {
		f.readRevisions[i.Key] = i.Revision
	}
	return out, nil
}
