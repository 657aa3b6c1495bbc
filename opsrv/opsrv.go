// Package opsrv serves the operator interface: it checks credentials, validates
// changes against the whole tree and writes them to the platform service.
package opsrv

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/magnolialever/magnolialever/opsapi"
	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/tree"
)

// maxBodyBytes leaves room for a value with the escapes and comments of its sender.
const maxBodyBytes = 4 * tree.MaxValueBytes

// Config is the configuration in force on this node; Syncer implements it.
type Config interface {
	Snapshot() *tree.Snapshot
	// MergeWritten takes a value that has been written to the store.
	MergeWritten(e syncer.Entry)
	Nodes(ctx context.Context) ([]syncer.Node, error)
}

// Options configure the handler.
type Options struct {
	Store  Store
	Config Config
	// BootstrapSecret is the credential of a fleet administrator that needs no value in the
	// store. It is off when it is empty.
	BootstrapSecret string
	// Now returns the time for the history.
	Now func() time.Time
}

// server implements opsapi.Handler and opsapi.SecurityHandler.
type server struct {
	store     Store
	config    Config
	bootstrap tree.Hash
	now       func() time.Time
}

// New returns the handler of the paths below /ops/v1/.
func New(o Options) (http.Handler, error) {
	s := &server{store: o.Store, config: o.Config, now: o.Now}
	if o.BootstrapSecret != "" {
		s.bootstrap = tree.HashSecret(o.BootstrapSecret)
	}
	h, err := opsapi.NewServer(s, s, opsapi.WithErrorHandler(writeError))
	if err != nil {
		return nil, fmt.Errorf("set up operator interface: %w", err)
	}
	return http.MaxBytesHandler(h, maxBodyBytes), nil
}
