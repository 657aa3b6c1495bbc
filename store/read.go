package store

import (
	"context"
	"fmt"
	"slices"

	"github.com/magnolialever/magnolialever/units"
)

// maxPageEntries bounds the entries that one request of List asks for.
const maxPageEntries = 256

// Get implements KV.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	e, err := c.getAt(ctx, key, 0)
	if err != nil {
		return Entry{}, fmt.Errorf("get %s: %w", key, err)
	}
	return e.Entry, nil
}

// getAt reads the key as of the revision; 0 means the current one. It returns ErrNotFound when
// the key did not exist then.
func (c *Client) getAt(ctx context.Context, key string, revision units.Revision) (storedEntry, error) {
	var response rangeResponse
	if err := c.call(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key), Revision: revision},
		&response); err != nil {
		return storedEntry{}, err
	}
	if len(response.Kvs) == 0 {
		return storedEntry{}, ErrNotFound
	}
	return decodeValue(response.Kvs[0]), nil
}

// List implements KV.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, units.Revision, error) {
	return c.list(ctx, prefix, 0, false)
}

// ListKeys implements KV.
func (c *Client) ListKeys(ctx context.Context, prefix string) ([]Entry, units.Revision, error) {
	return c.list(ctx, prefix, 0, true)
}

// list returns the entries as of the revision, and that revision; 0 means the current one. With
// keysOnly the values are empty.
func (c *Client) list(ctx context.Context, prefix string, revision units.Revision,
	keysOnly bool) ([]Entry, units.Revision, error) {
	request := rangeRequest{Key: rangeStart(prefix), RangeEnd: rangeEnd(prefix),
		Limit: maxPageEntries, Revision: revision, KeysOnly: keysOnly}
	var entries []Entry
	for {
		var response rangeResponse
		if err := c.call(ctx, "/v3/kv/range", request, &response); err != nil {
			return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		// Later pages are read at the revision of the first one.
		if request.Revision == 0 {
			request.Revision = response.Header.Revision
		}
		entries = slices.Grow(entries, len(response.Kvs))
		for _, kv := range response.Kvs {
			entries = append(entries, decodeValue(kv).Entry)
		}
		if !response.More || len(response.Kvs) == 0 {
			return entries, request.Revision, nil
		}
		request.Key = append(slices.Clone(response.Kvs[len(response.Kvs)-1].Key), 0)
	}
}
