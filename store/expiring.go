package store

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// leaseReusePeriod is how long new keys are bound to the same lease.
const leaseReusePeriod = clock.Hour

// ExpiringKeys writes keys that the store deletes some time after their last write. All keys
// that a process writes within an hour share a lease, which is never renewed. A lease for each
// key would double the requests to the store, and deleting old keys from a process would need
// listing them.
type ExpiringKeys struct {
	kv     KV
	clock  clock.Clock
	minTTL clock.Span

	mu         sync.Mutex
	leaseID    LeaseID
	reuseUntil clock.Time
}

// NewExpiringKeys returns an ExpiringKeys whose keys expire no earlier than minTTL after their
// last write and at most an hour later.
func NewExpiringKeys(kv KV, c clock.Clock, minTTL clock.Span) *ExpiringKeys {
	return &ExpiringKeys{kv: kv, clock: c, minTTL: minTTL}
}

// CompareAndSwap writes the value like KV.CompareAndSwap and binds the key to the shared lease.
// It replaces a lease that has expired.
func (e *ExpiringKeys) CompareAndSwap(ctx context.Context, key string, old units.Revision,
	value []byte) (units.Revision, error) {
	for {
		id, created, err := e.currentLease(ctx)
		if err != nil {
			return 0, err
		}
		revision, err := e.kv.CompareAndSwap(ctx, key, old, value, id)
		if created || !errors.Is(err, ErrNotFound) {
			return revision, err
		}
		// The lease expired earlier than expected, as after a pause of the process.
		e.forgetLease(id)
	}
}

// currentLease returns the lease for new keys and whether it was granted just now.
func (e *ExpiringKeys) currentLease(ctx context.Context) (id LeaseID, created bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	if e.leaseID != 0 && now.Before(e.reuseUntil) {
		return e.leaseID, false, nil
	}
	if id, err = e.kv.GrantLease(ctx, e.minTTL+leaseReusePeriod); err != nil {
		return 0, false, fmt.Errorf("grant lease for expiring keys: %w", err)
	}
	e.leaseID, e.reuseUntil = id, now.Add(leaseReusePeriod)
	return id, true, nil
}

// forgetLease makes the next write request a new lease, unless another call already has.
func (e *ExpiringKeys) forgetLease(id LeaseID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaseID == id {
		e.leaseID = 0
	}
}
