package store

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// sharedUse is how long new keys are bound to the same lease.
const sharedUse = clock.Hour

// ExpiringKeys writes keys that the store removes some time after their last write. The
// keys that a process writes within an hour share a lease, which is never renewed:
// a lease for each key would double the calls to the store, and a process that
// removes old keys would have to list them.
type ExpiringKeys struct {
	kv    KV
	clock clock.Clock
	keep  clock.Span

	mu  sync.Mutex
	id  LeaseID
	end clock.Time
}

// NewExpiringKeys returns a Shared for keys that are kept at least for the span and at
// most an hour longer.
func NewExpiringKeys(kv KV, c clock.Clock, keep clock.Span) *ExpiringKeys {
	return &ExpiringKeys{kv: kv, clock: c, keep: keep}
}

// CompareAndSwap writes the value like KV.Swap and binds the key to the lease.
func (s *ExpiringKeys) CompareAndSwap(ctx context.Context, key string, old units.Revision, value []byte) (units.Revision, error) {
	for {
		id, fresh, err := s.lease(ctx)
		if err != nil {
			return 0, err
		}
		at, err := s.kv.CompareAndSwap(ctx, key, old, value, id)
		if fresh || !errors.Is(err, ErrNotFound) {
			return at, err
		}
		// The lease has lapsed early, as after a pause of the process.
		s.drop(id)
	}
}

func (s *ExpiringKeys) lease(ctx context.Context) (id LeaseID, fresh bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.id != 0 && now.Before(s.end) {
		return s.id, false, nil
	}
	if id, err = s.kv.GrantLease(ctx, s.keep+sharedUse); err != nil {
		return 0, false, fmt.Errorf("shared lease: %w", err)
	}
	s.id, s.end = id, now.Add(sharedUse)
	return id, true, nil
}

func (s *ExpiringKeys) drop(id LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == id {
		s.id = 0
	}
}
