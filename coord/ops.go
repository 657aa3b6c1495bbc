package coord

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/config"
	"github.com/magnolialever/magnolialever/opsrv"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/units"
)

// Limits of the operators' listener.
const (
	opsHeaderTimeout = 5 * time.Second
	// opsTimeout covers a write with its retries.
	opsTimeout     = 30 * time.Second
	opsIdleTimeout = 2 * time.Minute
	opsHeaderBytes = 16 << 10
	opsStopTimeout = 10 * time.Second
)

// minBootstrapBytes keeps the bootstrap credential from being guessed.
const minBootstrapBytes = 16

// OpsSettings is the section ops.json.
type OpsSettings struct {
	// Address of the operators' interface, as IP:port.
	Address string `json:"address"`
	// Bootstrap is the credential of a fleet administrator for the first set-up;
	// empty: only credentials in the configuration count.
	Bootstrap string `json:"bootstrap"`
}

// Check implements config.Section.
func (s *OpsSettings) Check(report func(path, problem string)) {
	config.CheckAddress("address", s.Address, report)
	if s.Bootstrap != "" && len(s.Bootstrap) < minBootstrapBytes {
		report("bootstrap", "must have at least 16 bytes")
	}
}

// operators serves the operators' interface.
type operators struct {
	net  net.Listener
	http *http.Server
}

func newOperators(s OpsSettings, kv store.KV, c *syncer.Syncer) (*operators, error) {
	h, err := opsrv.New(opsrv.Options{Store: teams{kv}, Config: c, Bootstrap: s.Bootstrap, Now: time.Now})
	if err != nil {
		return nil, fmt.Errorf("open operators' interface: %w", err)
	}
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	return &operators{net: l, http: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: opsHeaderTimeout,
		ReadTimeout:       opsTimeout,
		WriteTimeout:      opsTimeout,
		IdleTimeout:       opsIdleTimeout,
		MaxHeaderBytes:    opsHeaderBytes,
		ErrorLog:          klog.NewStandardLogger("WARNING"),
	}}, nil
}

// run serves until the context is done; calls in progress finish.
func (o *operators) run(ctx context.Context) error {
	end := make(chan error, 1)
	go func() { end <- o.http.Serve(o.net) }()
	<-ctx.Done()
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), opsStopTimeout)
	defer cancel()
	err := o.http.Shutdown(stop)
	if served := <-end; !errors.Is(served, http.ErrServerClosed) {
		err = errors.Join(err, served)
	}
	if err != nil {
		return fmt.Errorf("operators' interface: %w", err)
	}
	return nil
}

// teams implements opsrv.Store with the platform's key-value service.
type teams struct{ kv store.KV }

// Get implements opsrv.Store.
func (t teams) Get(ctx context.Context, team units.TeamID) (syncer.Entry, error) {
	e, err := t.kv.Get(ctx, syncer.Key(team))
	if err != nil {
		return syncer.Entry{}, opsError(err)
	}
	return syncer.Entry{Team: team, Revision: e.Revision, Value: e.Value}, nil
}

// List implements opsrv.Store.
func (t teams) List(ctx context.Context) ([]syncer.Entry, error) {
	l, _, err := ConfigStore{t.kv}.List(ctx)
	return l, err
}

// Swap implements opsrv.Store.
func (t teams) Swap(ctx context.Context, team units.TeamID, old units.Revision, value []byte) (units.Revision, error) {
	r, err := t.kv.Swap(ctx, syncer.Key(team), old, value, 0)
	return r, opsError(err)
}

// opsError translates the errors that the operators' interface tells apart.
func opsError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, store.ErrMissing):
		return opsrv.ErrMissing
	case errors.Is(err, store.ErrConflict):
		return opsrv.ErrConflict
	case errors.Is(err, store.ErrUnknown):
		return opsrv.ErrUnknown
	default:
		return fmt.Errorf("call the store: %w", err)
	}
}
