package opsrv

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/units"
)

// Errors of a Store. Any other error means that nothing was written.
var (
	ErrNotFound      = errors.New("team has no configuration")
	ErrConflict      = errors.New("configuration has another revision")
	ErrUnknownResult = errors.New("outcome of the write is unknown")
)

// Store stores the configurations of teams in the platform's key-value store.
type Store interface {
	// Get returns the configuration of a team, or ErrNotFound.
	Get(ctx context.Context, team units.TeamID) (syncer.Entry, error)
	// List returns the configurations of all teams.
	List(ctx context.Context) ([]syncer.Entry, error)
	// CompareAndSwap writes the configuration if the team is at the old revision, where 0 means
	// that it has none, and returns the new revision. It fails with ErrConflict if the team is
	// at another revision, and with ErrUnknownResult if the write may have succeeded.
	CompareAndSwap(ctx context.Context, team units.TeamID, old units.Revision, value []byte) (units.Revision, error)
}

// storeCallTimeout is the timeout of each call to the store.
const storeCallTimeout = 2 * time.Second
