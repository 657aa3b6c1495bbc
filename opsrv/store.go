package opsrv

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/units"
)

// Errors that a Store returns. Any other error means that nothing was written.
var (
	ErrNotFound      = errors.New("team has no value")
	ErrConflict      = errors.New("value has another revision")
	ErrUnknownResult = errors.New("outcome of the write is unknown")
)

// Store is what the operator interface needs of the platform service.
type Store interface {
	// Get returns the value of a team, or ErrMissing.
	Get(ctx context.Context, team units.TeamID) (syncer.Entry, error)
	// List returns the values of all teams.
	List(ctx context.Context) ([]syncer.Entry, error)
	// CompareAndSwap writes the value when the team has the old revision; 0 means no value. It
	// returns ErrConflict, or ErrUnknown when the answer was lost.
	CompareAndSwap(ctx context.Context, team units.TeamID, old units.Revision, value []byte) (units.Revision, error)
}

// callTimeout bounds each call of the store.
const callTimeout = 2 * time.Second
