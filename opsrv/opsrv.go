// Package opsrv implements the HTTP server of the operator API: it authenticates operators,
// validates changes against the configurations of all teams and writes them to the platform's
// store.
package opsrv

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/magnolialever/magnolialever/opsapi"
	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

// maxBodyBytes is the maximum size of a request body. It is larger than a stored configuration,
// since operators may send comments, whitespace and escapes.
const maxBodyBytes = 4 * tree.MaxValueBytes

// Config provides the configuration in use on this node. syncer.Syncer implements it.
type Config interface {
	// Snapshot returns the configuration of all teams.
	Snapshot() *tree.Snapshot
	// MergeWritten merges a team configuration that was written to the store.
	MergeWritten(e syncer.Entry)
	// AwaitMajority waits until more than half of the gateways use the revision of the team, or until
	// the context is done.
	AwaitMajority(ctx context.Context, team units.TeamID, revision units.Revision) syncer.Reach
	// Nodes returns the configuration versions in use on this node and its known peers.
	Nodes(ctx context.Context) ([]syncer.Node, error)
}

// Options configure the handler. Store, Config and Now are required.
type Options struct {
	Store  Store
	Config Config
	// BootstrapSecret authenticates a fleet administrator without a stored credential, for the
	// initial setup. If empty, only credentials in the configuration are accepted.
	BootstrapSecret string
	// Now returns the wall-clock time for the change history.
	Now func() time.Time
}

// server implements opsapi.Handler and opsapi.SecurityHandler.
type server struct {
	store  Store
	config Config
	// bootstrapHash is the hash of the bootstrap secret, or zero if there is none.
	bootstrapHash tree.Hash
	now           func() time.Time
}

// New returns the handler for the paths below /ops/v1/.
func New(o Options) (http.Handler, error) {
	s := &server{store: o.Store, config: o.Config, now: o.Now}
	if o.BootstrapSecret != "" {
		s.bootstrapHash = tree.HashSecret(o.BootstrapSecret)
	}
	h, err := opsapi.NewServer(s, s, opsapi.WithErrorHandler(writeError))
	if err != nil {
		return nil, fmt.Errorf("create the operator API server: %w", err)
	}
	return http.MaxBytesHandler(h, maxBodyBytes), nil
}
