// Package store is the client of the platform's key-value service, which speaks
// the JSON mapping of the etcd v3 interface over HTTP.
package store

import (
	"context"

	"github.com/pkg/errors"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// Errors of the calls of KV.
var (
	// ErrNotFound is returned when the key or the lease does not exist.
	ErrNotFound = errors.New("key or lease not found in the store")
	// ErrConflict is returned when the key has another revision than expected. The write did
	// not take effect.
	ErrConflict = errors.New("key has another revision in the store")
	// ErrUnknownResult is returned when a write may have taken effect or may still do so.
	ErrUnknownResult = errors.New("result of the write to the store is unknown")
	// ErrUnavailable is returned when the store did not respond or rejected the request. A
	// write with this error did not take effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrTooLarge is returned when a value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("value is too large for the store")
)

// MaxValueBytes is the largest value that can be written: the store's limit of 1 MiB less the
// attempt ID stored with each value.
const MaxValueBytes = 1<<20 - attemptPrefixBytes

// LeaseID identifies a lease in the store; 0 means no lease.
type LeaseID int64

// Entry is a key with its current value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the revision of the last write to the key.
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

// KV is a key-value store with revisions, leases and watches. Each call that returns an
// error may return ErrUnavailable.
type KV interface {
	// Get returns the entry of the key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys have the prefix, sorted by key, and the revision of
	// the store at which they were read.
	List(ctx context.Context, prefix string) ([]Entry, units.Revision, error)
	// ListKeys is like List, without the values.
	ListKeys(ctx context.Context, prefix string) ([]Entry, units.Revision, error)
	// CompareAndSwap writes the value if the key's revision is old, and returns the new
	// revision; old 0 creates the key. Other results are ErrConflict, ErrUnknownResult,
	// ErrUnavailable and ErrTooLarge. A lease other than 0 binds the key to the lease; if there
	// is no such lease, it returns ErrNotFound.
	CompareAndSwap(ctx context.Context, key string, old units.Revision, value []byte,
		lease LeaseID) (units.Revision, error)
	// Delete deletes the key if its revision is old; old 0 means any revision. It returns
	// ErrNotFound when the key does not exist. If a response was lost, a key that is missing at
	// the retry counts as deleted by this call.
	Delete(ctx context.Context, key string, old units.Revision) error
	// GrantLease creates a lease. The store counts in whole seconds; ttl is rounded up.
	GrantLease(ctx context.Context, ttl clock.Span) (LeaseID, error)
	// RenewLease extends the lease and returns its new time to live, or ErrNotFound.
	RenewLease(ctx context.Context, id LeaseID) (clock.Span, error)
	// RevokeLease ends the lease and deletes the keys bound to it, or returns ErrNotFound.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch sends the changes of keys with the prefix that were made at the revision from or
	// later; 0 means all changes after the call. It reconnects until the context is done, and
	// then closes the channel. Revisions never decrease.
	Watch(ctx context.Context, prefix string, from units.Revision) <-chan Event
}
