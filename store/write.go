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
	// maxResends is how often a write is sent again after its response was lost.
	maxResends = 2
	// maxPriorValues bounds how many overwritten values are read to find the own write.
	maxPriorValues = 4
	// resendDelay is the delay before each resend, in which a short disturbance may end.
	resendDelay = 20 * clock.Millisecond
)

// CompareAndSwap implements KV.
//
// After a lost response the same transaction is sent again. Its result is definite even if the
// first request is still on its way: both expect the same revision and change it, so at most
// one takes effect.
func (c *Client) CompareAndSwap(ctx context.Context, key string, old units.Revision, value []byte,
	lease LeaseID) (units.Revision, error) {
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("swap %s: %w", key, ErrTooLarge)
	}
	attempt := newAttemptID()
	put := putRequest{Key: []byte(key), Value: encodeValue(attempt, value), Lease: lease}
	response, responseLost, err := c.runTxn(ctx, conditionalTxn(key, old, operation{Put: &put}))
	if err != nil {
		return 0, fmt.Errorf("swap %s: %w", key, err)
	}
	if response.Succeeded {
		return response.Header.Revision, nil
	}
	if !responseLost {
		return 0, fmt.Errorf("swap %s: %w", key, ErrConflict)
	}
	revision, err := c.findWrite(ctx, key, old, attempt, response)
	if err != nil {
		return 0, fmt.Errorf("swap %s: %w", key, err)
	}
	return revision, nil
}

// Delete implements KV.
func (c *Client) Delete(ctx context.Context, key string, old units.Revision) error {
	if old == 0 {
		return c.deleteAny(ctx, key)
	}
	response, responseLost, err := c.runTxn(ctx, conditionalTxn(key, old,
		operation{Delete: &deleteRequest{Key: []byte(key)}}))
	switch {
	case err != nil:
		return fmt.Errorf("delete %s: %w", key, err)
	case response.Succeeded:
		return nil
	case currentKeyValue(response) != nil:
		return fmt.Errorf("delete %s: %w", key, ErrConflict)
	case responseLost:
		return nil
	}
	return fmt.Errorf("delete %s: %w", key, ErrNotFound)
}

// deleteAny deletes the key at any revision.
func (c *Client) deleteAny(ctx context.Context, key string) error {
	var response deleteResponse
	responseLost, err := c.sendWrite(ctx, "/v3/kv/deleterange", deleteRequest{Key: []byte(key)}, &response)
	if err != nil {
		return fmt.Errorf("delete %s: %w", key, err)
	}
	if response.Deleted == 0 && !responseLost {
		return fmt.Errorf("delete %s: %w", key, ErrNotFound)
	}
	return nil
}

// conditionalTxn returns a transaction that runs the operation if the key's revision is old,
// and otherwise reads the key.
func conditionalTxn(key string, old units.Revision, op operation) txnRequest {
	return txnRequest{
		Compare: []compare{{Key: []byte(key), Result: compareEqual, Target: compareMod, ModRevision: old}},
		Success: []operation{op},
		Failure: []operation{{Range: &rangeRequest{Key: []byte(key)}}},
	}
}

// runTxn runs the transaction and reports whether a response was lost.
func (c *Client) runTxn(ctx context.Context, request txnRequest) (txnResponse, bool, error) {
	var response txnResponse
	responseLost, err := c.sendWrite(ctx, "/v3/kv/txn", request, &response)
	return response, responseLost, err
}

// sendWrite sends a request that changes the store, and resends it while its response is lost.
// It reports whether a response was lost; after the last attempt it returns ErrUnknownResult.
func (c *Client) sendWrite(ctx context.Context, path string, request, response any) (bool, error) {
	err := c.call(ctx, path, request, response)
	if err == nil || !mayHaveRun(err) {
		return false, err
	}
	c.counters.retriedWrites.Add(1)
	stats.Event("store_readback")
	for range maxResends {
		if !clock.Sleep(ctx, resendDelay.Duration()) {
			break
		}
		if err = c.call(ctx, path, request, response); err == nil {
			return true, nil
		}
	}
	return true, c.unknownResult(err)
}

// unknownResult counts a write with an unknown result. The returned error matches
// ErrUnknownResult but not the cause, which may be ErrUnavailable or ErrConflict.
func (c *Client) unknownResult(err error) error {
	c.counters.unknownResults.Add(1)
	stats.Event("store_unknown")
	return fmt.Errorf("%w: %s", ErrUnknownResult, err.Error())
}

// currentKeyValue returns the key as read by a transaction whose comparison failed, or nil when
// it does not exist.
func currentKeyValue(response txnResponse) *keyValue {
	if len(response.Responses) == 0 || response.Responses[0].Range == nil ||
		len(response.Responses[0].Range.Kvs) == 0 {
		return nil
	}
	return &response.Responses[0].Range.Kvs[0]
}

// findWrite determines, after a lost response and a failed comparison, whether the write of the
// attempt took effect, and returns its revision. If other writes have followed, it reads the
// values that they replaced.
func (c *Client) findWrite(ctx context.Context, key string, old units.Revision,
	attempt units.AttemptID, response txnResponse) (units.Revision, error) {
	kv := currentKeyValue(response)
	if kv == nil {
		// The key was deleted, perhaps after this write took effect.
		return 0, c.unknownResult(ErrNotFound)
	}
	entry := decodeValue(*kv)
	for range maxPriorValues {
		if entry.attempt == attempt {
			return entry.Revision, nil
		}
		prior, err := c.getAt(ctx, key, entry.Revision-1)
		switch {
		case errors.Is(err, ErrNotFound) && old == 0 || err == nil && prior.Revision == old:
			return 0, ErrConflict
		case err != nil:
			return 0, c.unknownResult(err)
		}
		entry = prior
	}
	return 0, c.unknownResult(ErrConflict)
}
