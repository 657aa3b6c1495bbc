package coord

import (
	"context"
	"fmt"

	"github.com/magnolialever/magnolialever/rate"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/units"
)

// readSlotTable returns the slot table in the store and its revision, or nil and 0 if there is none
// yet.
func readSlotTable(ctx context.Context, kv store.KV) (*rate.SlotTable, units.Revision, error) {
	e, err := kv.Get(ctx, rate.OwnersKey)
	if isMissing(err) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("read slot table: %w", err)
	}
	t, err := rate.DecodeTable(e.Value)
	return t, e.Revision, err
}

// watchSlotTable posts the slot table in the store and each later one until the context is done.
func (c *Coord) watchSlotTable(ctx context.Context) {
	if t, _, err := readSlotTable(ctx, c.options.Store); err == nil && t != nil {
		c.post(slotTableStored{t})
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
		c.post(slotTableStored{t})
	}
}

// slotTableStored applies a slot table that was read from or written to the store.
type slotTableStored struct{ table *rate.SlotTable }

func (e slotTableStored) apply(s *state) { s.updateTable(e.table) }
