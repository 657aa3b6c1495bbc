// Package store is the client of the platform's key-value service, which speaks
// the JSON mapping of the etcd v3 interface over HTTP.
package store

import (
	"context"

	"github.com/pkg/errors"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// Results of a call other than success.
var (
	// ErrNotFound says that the key or the lease does not exist.
	ErrNotFound = errors.New("not found in the store")
	// ErrConflict says that the key has another revision than expected. The write
	// did not take effect.
	ErrConflict = errors.New("store has another revision")
	// ErrUnknownResult says that a write may have taken effect or may yet do so.
	ErrUnknownResult = errors.New("result of store write unknown")
	// ErrUnavailable says that the store did not answer. A write with this result
	// did not take effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrTooLarge says that a value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("value too large for the store")
)

// MaxValueBytes is the largest value that the store holds, less the attempt id.
const MaxValueBytes = 1<<20 - attemptBytes

// LeaseID names a lease.
type LeaseID int64

// Entry is a key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is that of the last write.
	Revision units.Revision
	// CreateRevision is the revision of the write that created the key.
	CreateRevision units.Revision
	// Lease is the lease that the key is bound to, or 0.
	Lease LeaseID
}

// Event is one change of a key. Value is nil when the key was deleted.
type Event struct {
	Key      string
	Value    []byte
	Revision units.Revision
	Deleted  bool
	Lease    LeaseID
}

// KV is the interface to the store.
type KV interface {
	// Get returns the entry of the key, or ErrMissing.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys have the prefix, by key, and the revision
	// of the store at which they were read.
	List(ctx context.Context, prefix string) ([]Entry, units.Revision, error)
	// CompareAndSwap writes the value if the key has the revision old; 0 creates the key. It
	// returns the new revision, ErrConflict, ErrUnknown or ErrUnavailable. A lease
	// other than 0 binds the key to the lease; without that lease the result is
	// ErrMissing.
	CompareAndSwap(ctx context.Context, key string, old units.Revision, value []byte, lease LeaseID) (units.Revision, error)
	// Delete removes the key if it has the revision old; 0 means any revision. It
	// returns ErrMissing when there is no such key. After a lost answer a missing key
	// counts as deleted.
	Delete(ctx context.Context, key string, old units.Revision) error
	// GrantLease creates a lease. The store counts in whole seconds; ttl is rounded up.
	GrantLease(ctx context.Context, ttl clock.Span) (LeaseID, error)
	// RenewLease prolongs the lease and returns its time to live, or ErrMissing.
	RenewLease(ctx context.Context, id LeaseID) (clock.Span, error)
	// RevokeLease ends the lease and deletes its keys, or returns ErrMissing.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch delivers the changes of keys with the prefix from the revision on; 0 means
	// from now on. It reconnects until the context is done and then closes the
	// channel. Revisions never decrease.
	Watch(ctx context.Context, prefix string, from units.Revision) <-chan Event
}
