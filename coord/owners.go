package coord

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/magnolialever/magnolialever/rate"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// ownersKey holds the table of rate slot owners.
const ownersKey = "/control/owners"

// encodeTable returns the table as it is stored.
func encodeTable(t *rate.Table) ([]byte, error) {
	b, err := proto.Marshal(t.Frame().GetOwners())
	if err != nil {
		return nil, fmt.Errorf("encode owners: %w", err)
	}
	return b, nil
}

func decodeTable(b []byte) (*rate.Table, error) {
	o := &wire.Owners{}
	if err := proto.Unmarshal(b, o); err != nil {
		return nil, fmt.Errorf("decode owners: %w", err)
	}
	return rate.TableOf(o), nil
}

// readOwners returns the table in the store with its revision; a nil table and 0
// when there is none yet.
func readOwners(ctx context.Context, kv store.KV) (*rate.Table, units.Revision, error) {
	e, err := kv.Get(ctx, ownersKey)
	if isMissing(err) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, wrapStore("read owners", err)
	}
	t, err := decodeTable(e.Value)
	return t, e.Revision, err
}

// watchOwners hands each new table of the store to the loop.
func (c *Coord) watchOwners(ctx context.Context) {
	if t, _, err := readOwners(ctx, c.options.Store); err == nil && t != nil {
		c.post(tableStored{t})
	}
	for e := range c.options.Store.Watch(ctx, ownersKey, 0) {
		if e.Deleted {
			continue
		}
		t, err := decodeTable(e.Value)
		if err != nil {
			stats.Event("owners_unreadable")
			continue
		}
		c.post(tableStored{t})
	}
}

type tableStored struct{ table *rate.Table }

func (e tableStored) apply(s *state) { s.learn(e.table) }
