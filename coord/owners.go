package coord

import (
	"context"
	"fmt"

	"github.com/magnolialever/magnolialever/rate"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/units"
)

// readOwners returns the table in the store with its revision; a nil table and 0
// when there is none yet.
func readOwners(ctx context.Context, kv store.KV) (*rate.SlotTable, units.Revision, error) {
	e, err := kv.Get(ctx, rate.OwnersKey)
	if isMissing(err) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("read owners: %w", err)
	}
	t, err := rate.DecodeTable(e.Value)
	return t, e.Revision, err
}

// watchOwners hands each new table of the store to the loop.
func (c *Coord) watchOwners(ctx context.Context) {
	if t, _, err := readOwners(ctx, c.options.Store); err == nil && t != nil {
		c.post(tableStored{t})
	}
	for e := range c.options.Store.Watch(ctx, rate.OwnersKey, 0) {
		if e.Deleted {
			continue
		}
		t, err := rate.DecodeTable(e.Value)
		if err != nil {
			stats.Event("owners_unreadable")
			continue
		}
		c.post(tableStored{t})
	}
}

type tableStored struct{ table *rate.SlotTable }

func (e tableStored) apply(s *state) { s.learn(e.table) }
