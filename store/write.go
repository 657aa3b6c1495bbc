package store

import (
	"context"
	"errors"
	"fmt"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// resends is how often a write is sent again after its answer was lost.
	resends = 2
	// maxHistory is how many overwritten values are read to find an own write.
	maxHistory = 4
	// resendPause lets a short disturbance pass.
	resendPause = 20 * clock.Millisecond
)

// CompareAndSwap implements KV.
//
// After a lost answer the same transaction is sent again. That settles the
// result even when the first copy is still on its way: either copy changes the
// revision, so at most one takes effect.
func (c *Client) CompareAndSwap(ctx context.Context, key string, old units.Revision, value []byte, lease LeaseID) (units.Revision, error) {
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("swap %s: %w", key, ErrTooLarge)
	}
	a := newAttempt()
	put := putRequest{Key: []byte(key), Value: seal(a, value), Lease: lease}
	out, lost, err := c.transact(ctx, conditional(key, old, operation{Put: &put}))
	if err != nil {
		return 0, fmt.Errorf("swap %s: %w", key, err)
	}
	if out.Succeeded {
		return out.Header.Revision, nil
	}
	if !lost {
		return 0, fmt.Errorf("swap %s: %w", key, ErrConflict)
	}
	r, err := c.findOwn(ctx, key, old, a, out)
	if err != nil {
		return 0, fmt.Errorf("swap %s: %w", key, err)
	}
	return r, nil
}

// Delete implements KV.
func (c *Client) Delete(ctx context.Context, key string, old units.Revision) error {
	if old == 0 {
		return c.deleteAny(ctx, key)
	}
	out, lost, err := c.transact(ctx, conditional(key, old, operation{Delete: &deleteRequest{Key: []byte(key)}}))
	switch {
	case err != nil:
		return fmt.Errorf("delete %s: %w", key, err)
	case out.Succeeded:
		return nil
	case found(out) != nil:
		return fmt.Errorf("delete %s: %w", key, ErrConflict)
	case lost:
		return nil
	}
	return fmt.Errorf("delete %s: %w", key, ErrNotFound)
}

func (c *Client) deleteAny(ctx context.Context, key string) error {
	var out deleteResponse
	lost, err := c.write(ctx, "/v3/kv/deleterange", deleteRequest{Key: []byte(key)}, &out)
	if err != nil {
		return fmt.Errorf("delete %s: %w", key, err)
	}
	if out.Deleted == 0 && !lost {
		return fmt.Errorf("delete %s: %w", key, ErrNotFound)
	}
	return nil
}

// conditional returns the transaction that runs the operation if the key has the
// revision and reads the key otherwise.
func conditional(key string, old units.Revision, o operation) txnRequest {
	return txnRequest{
		Compare: []compare{{Key: []byte(key), Result: compareEqual, Target: compareMod, ModRevision: old}},
		Success: []operation{o},
		Failure: []operation{{Range: &rangeRequest{Key: []byte(key)}}},
	}
}

func (c *Client) transact(ctx context.Context, q txnRequest) (txnResponse, bool, error) {
	var out txnResponse
	lost, err := c.write(ctx, "/v3/kv/txn", q, &out)
	return out, lost, err
}

// write sends a call that changes the store and sends it again when the answer was
// lost. It reports whether an answer was lost.
func (c *Client) write(ctx context.Context, path string, in, out any) (bool, error) {
	err := c.call(ctx, path, in, out)
	if err == nil || !mayHaveRun(err) {
		return false, err
	}
	c.count.readbacks.Add(1)
	stats.Event("store_readback")
	for range resends {
		if !clock.Sleep(ctx, resendPause.Duration()) {
			break
		}
		if err = c.call(ctx, path, in, out); err == nil {
			return true, nil
		}
	}
	return true, c.unknown(err)
}

func (c *Client) unknown(err error) error {
	c.count.unknown.Add(1)
	stats.Event("store_unknown")
	return fmt.Errorf("%w: %s", ErrUnknownResult, err.Error())
}

func found(out txnResponse) *keyValue {
	if len(out.Responses) == 0 || out.Responses[0].Range == nil || len(out.Responses[0].Range.Kvs) == 0 {
		return nil
	}
	return &out.Responses[0].Range.Kvs[0]
}

// findOwn decides, after a lost answer, whether an own write took effect. When
// another write has followed, it reads the values before that one.
func (c *Client) findOwn(ctx context.Context, key string, old units.Revision, a units.AttemptID, out txnResponse) (units.Revision, error) {
	kv := found(out)
	if kv == nil {
		// The key was deleted, which may have followed the own write.
		return 0, c.unknown(ErrNotFound)
	}
	s := open(*kv)
	for range maxHistory {
		if s.attempt == a {
			return s.Revision, nil
		}
		before, err := c.getAt(ctx, key, s.Revision-1)
		switch {
		case errors.Is(err, ErrNotFound) && old == 0 || err == nil && before.Revision == old:
			return 0, ErrConflict
		case err != nil:
			return 0, c.unknown(err)
		}
		s = before
	}
	return 0, c.unknown(ErrConflict)
}
