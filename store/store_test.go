package store_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/keyval"
	"github.com/magnolialever/magnolialever/store"
)

// Guards against writes and deletions that ignore the expected revision, or a lease that does
// not exist.
func TestCompareAndSwap(t *testing.T) {
	_, c := startStore(t, keyval.Options{})
	ctx := context.Background()
	_, err := c.Get(ctx, "/a")
	assert.ErrorIs(t, err, store.ErrNotFound)
	r, err := c.CompareAndSwap(ctx, "/a", 0, []byte("1"), 0)
	assert.NilError(t, err)
	_, err = c.CompareAndSwap(ctx, "/a", 0, []byte("2"), 0)
	assert.ErrorIs(t, err, store.ErrConflict)
	r2, err := c.CompareAndSwap(ctx, "/a", r, []byte("2"), 0)
	assert.NilError(t, err)
	assert.Assert(t, r2 > r)
	e, err := c.Get(ctx, "/a")
	assert.NilError(t, err)
	assert.DeepEqual(t, e, store.Entry{Key: "/a", Value: []byte("2"), Revision: r2, CreateRevision: r})
	assert.ErrorIs(t, c.Delete(ctx, "/a", r), store.ErrConflict)
	assert.NilError(t, c.Delete(ctx, "/a", r2))
	assert.ErrorIs(t, c.Delete(ctx, "/a", r2), store.ErrNotFound)
	assert.ErrorIs(t, c.Delete(ctx, "/a", 0), store.ErrNotFound)
	_, err = c.CompareAndSwap(ctx, "/a", 0, nil, 99)
	assert.ErrorIs(t, err, store.ErrNotFound)
	assert.ErrorIs(t, c.RevokeLease(ctx, 99), store.ErrNotFound)
}

// Guards against entries that are lost between two pages, and against entries with other
// prefixes.
func TestList(t *testing.T) {
	_, c := startStore(t, keyval.Options{})
	ctx := context.Background()
	const keys = 600
	for i := range keys {
		_, err := c.CompareAndSwap(ctx, fmt.Sprintf("/p/%04d", i), 0, []byte("v"), 0)
		assert.NilError(t, err)
	}
	_, err := c.CompareAndSwap(ctx, "/q", 0, []byte("v"), 0)
	assert.NilError(t, err)
	list, at, err := c.List(ctx, "/p/")
	assert.NilError(t, err)
	assert.Equal(t, len(list), keys)
	for i, e := range list {
		assert.Equal(t, e.Key, fmt.Sprintf("/p/%04d", i))
	}
	assert.Assert(t, at > list[keys-1].Revision)
}

// Guards against a wrong result of a write whose request or response was lost.
func TestLostResponse(t *testing.T) {
	s, c := startStore(t, keyval.Options{})
	ctx := context.Background()
	s.LoseResponses(1)
	r, err := c.CompareAndSwap(ctx, "/a", 0, []byte("1"), 0)
	assert.NilError(t, err)
	e, err := c.Get(ctx, "/a")
	assert.NilError(t, err)
	assert.Equal(t, e.Revision, r)
	s.Update(func(f *keyval.Faults) { f.LoseWrites = 1 })
	r2, err := c.CompareAndSwap(ctx, "/a", r, []byte("2"), 0)
	assert.NilError(t, err)
	assert.Assert(t, r2 > r)
	s.LoseResponses(1)
	_, err = c.CompareAndSwap(ctx, "/a", r, []byte("3"), 0)
	assert.ErrorIs(t, err, store.ErrConflict)
	s.LoseResponses(1)
	assert.NilError(t, c.Delete(ctx, "/a", r2))
	assert.Equal(t, c.Counters().RetriedWrites, int64(4))
}

// Guards against a definite result when all retries of a write fail too, and against
// ErrUnknownResult for a write that certainly did not take effect.
func TestUnknownAndUnavailable(t *testing.T) {
	s, c := startStore(t, keyval.Options{})
	ctx := context.Background()
	s.SetOutage(true)
	_, err := c.CompareAndSwap(ctx, "/a", 0, []byte("1"), 0)
	assert.ErrorIs(t, err, store.ErrUnknownResult)
	_, err = c.Get(ctx, "/a")
	assert.ErrorIs(t, err, store.ErrUnavailable)
	s.SetOutage(false)
	_, err = c.Get(ctx, "/a")
	assert.ErrorIs(t, err, store.ErrNotFound)
	n := c.Counters()
	assert.Equal(t, n.Outages, int64(1))
	assert.Equal(t, n.UnknownResults, int64(1))
	assert.Equal(t, n.Errors, int64(4))

	// Nothing listens at this port, so the request can't have been sent.
	closedPort := store.New(store.Options{Address: "127.0.0.1:1", Timeout: testTimeout})
	_, err = closedPort.CompareAndSwap(ctx, "/a", 0, []byte("1"), 0)
	assert.ErrorIs(t, err, store.ErrUnavailable)
}

// Guards against a definite result for a write that the store executes only after the timeout.
func TestDelayedWrite(t *testing.T) {
	s, c := startStore(t, keyval.Options{})
	ctx := context.Background()
	s.SetDelay(2 * testTimeout)
	_, err := c.CompareAndSwap(ctx, "/a", 0, []byte("1"), 0)
	assert.ErrorIs(t, err, store.ErrUnknownResult)
	s.SetDelay(0)
	waitUntil(t, "delayed write takes effect", func() bool {
		e, err := c.Get(ctx, "/a")
		return err == nil && string(e.Value) == "1"
	})
}

// Guards against a request rejected by the store's rate limit that counts as a write with an
// unknown result or as an outage.
func TestRateLimit(t *testing.T) {
	s, c := startStore(t, keyval.Options{WritesPerSecond: 1})
	ctx := context.Background()
	r, err := c.CompareAndSwap(ctx, "/a", 0, []byte("1"), 0)
	assert.NilError(t, err)
	_, err = c.CompareAndSwap(ctx, "/a", r, []byte("2"), 0)
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.Equal(t, s.Calls().Limited, int64(1))
	assert.Equal(t, c.Counters().Outages, int64(0))
}

// Guards against sending values that the store would reject as too large, and against a limit
// lower than the store's.
func TestMaxValueBytes(t *testing.T) {
	s, _ := startStore(t, keyval.Options{})
	ctx := context.Background()
	// The race detector slows the encoding of a megabyte, so testTimeout would be too short.
	c := store.New(store.Options{Address: s.Addr(), Timeout: 10 * clock.Second})
	defer c.Close()
	_, err := c.CompareAndSwap(ctx, "/a", 0, make([]byte, store.MaxValueBytes), 0)
	assert.NilError(t, err)
	_, err = c.CompareAndSwap(ctx, "/b", 0, make([]byte, store.MaxValueBytes+1), 0)
	assert.ErrorIs(t, err, store.ErrTooLarge)
}

// Guards against faults of the fake store that can't be set over HTTP, as needed when it runs
// in a separate process.
func TestFaultsOverHTTP(t *testing.T) {
	s, c := startStore(t, keyval.Options{})
	r, err := http.Post("http://"+s.Addr()+"/fault", "application/json", strings.NewReader(`{"outage":true}`))
	assert.NilError(t, err)
	r.Body.Close()
	_, err = c.Get(context.Background(), "/a")
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.Assert(t, s.Faults().Outage)
}
