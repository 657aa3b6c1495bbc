package store

import (
	"context"
	"fmt"
	"slices"

	"github.com/magnolialever/magnolialever/units"
)

// pageEntries bounds the answer to one call of List.
const pageEntries = 256

// Get implements KV.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	e, err := c.getAt(ctx, key, 0)
	if err != nil {
		return Entry{}, fmt.Errorf("get %s: %w", key, err)
	}
	return e.Entry, nil
}

// getAt reads the key as of the revision; 0 means now.
func (c *Client) getAt(ctx context.Context, key string, at units.Revision) (stored, error) {
	var out rangeResponse
	if err := c.call(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key), Revision: at}, &out); err != nil {
		return stored{}, err
	}
	if len(out.Kvs) == 0 {
		return stored{}, ErrNotFound
	}
	return open(out.Kvs[0]), nil
}

// List implements KV.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, units.Revision, error) {
	return c.list(ctx, prefix, 0, false)
}

// list is List as of a revision; 0 means now.
func (c *Client) list(ctx context.Context, prefix string, at units.Revision, keysOnly bool) ([]Entry, units.Revision, error) {
	q := rangeRequest{Key: rangeStart(prefix), RangeEnd: rangeEnd(prefix), Limit: pageEntries, Revision: at, KeysOnly: keysOnly}
	var entries []Entry
	for {
		var out rangeResponse
		if err := c.call(ctx, "/v3/kv/range", q, &out); err != nil {
			return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		// All pages are read as of the first one.
		if q.Revision == 0 {
			q.Revision = out.Header.Revision
		}
		entries = slices.Grow(entries, len(out.Kvs))
		for _, kv := range out.Kvs {
			entries = append(entries, open(kv).Entry)
		}
		if !out.More || len(out.Kvs) == 0 {
			return entries, q.Revision, nil
		}
		q.Key = append(slices.Clone(out.Kvs[len(out.Kvs)-1].Key), 0)
	}
}
