package coord

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/budget"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/config"
	"github.com/magnolialever/magnolialever/listen"
	"github.com/magnolialever/magnolialever/opsrv"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/units"
)

// Limits of the operators' listener.
const (
	opsHeaderTimeout = 5 * time.Second
	// opsTimeout is long enough for a write to the store with its retries.
	opsTimeout     = 30 * time.Second
	opsIdleTimeout = 2 * time.Minute
	opsHeaderBytes = 16 << 10
	opsStopTimeout = 10 * time.Second
	// opsConnections bounds the connections to the operators' listener, opsHeadBytes what the heads of requests there take
	// beyond 4 KiB and 64 lines and commas each, opsUnreadBytes what the system has received and nobody has read.
	opsConnections = 64
	opsHeadBytes   = 8 << 20
	opsUnreadBytes = 8 << 20
)

// minBootstrapBytes is the minimum length of a bootstrap credential, against guessing.
const minBootstrapBytes = 16

// OpsSettings is the section ops.json of the settings.
type OpsSettings struct {
	// Address of the operators' interface, as IP:port.
	Address string `json:"address"`
	// Bootstrap is a fleet administrator's credential for the initial setup. If empty, only
	// credentials in the configuration are accepted.
	Bootstrap string `json:"bootstrap"`
}

// Check implements config.Section.
func (s *OpsSettings) Check(report func(path, problem string)) {
	config.CheckAddress("address", s.Address, report)
	if s.Bootstrap != "" && len(s.Bootstrap) < minBootstrapBytes {
		report("bootstrap", "must have at least 16 bytes")
	}
}

// operatorServer is the HTTP server of the operators' interface.
type operatorServer struct {
	listener *listen.Listener
	server   *http.Server
}

func newOperatorServer(s OpsSettings, kv store.KV, c *syncer.Syncer) (*operatorServer, error) {
	h, err := opsrv.New(opsrv.Options{Store: teamStore{kv}, Config: c, BootstrapSecret: s.Bootstrap, Now: time.Now})
	if err != nil {
		return nil, fmt.Errorf("open operators' interface: %w", err)
	}
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	o := &operatorServer{server: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: opsHeaderTimeout,
		ReadTimeout:       opsTimeout,
		WriteTimeout:      opsTimeout,
		IdleTimeout:       opsIdleTimeout,
		MaxHeaderBytes:    opsHeaderBytes,
		ErrorLog:          klog.NewStandardLogger("WARNING"),

		DisableGeneralOptionsHandler: true,
	}}
	o.listener = listen.New(l, listen.Options{
		Heads: budget.NewPool(opsHeadBytes), HeadBytes: func() int { return opsHeaderBytes },
		HeadTimeout: func() clock.Span { return clock.Span(opsHeaderTimeout.Milliseconds()) },
		IdleTimeout: func() clock.Span { return 0 }, UnreadBytes: opsUnreadBytes,
		Busy:     listen.Answer(http.StatusServiceUnavailable, "Retry-After: 1\r\n", ""),
		TooLarge: listen.Answer(http.StatusRequestHeaderFieldsTooLarge, "", ""),
	})
	o.listener.Attach(o.server, listen.NewLimiter("ops", "operator", opsConnections))
	return o, nil
}

// run serves until the context is done, then waits up to opsStopTimeout for the calls in progress.
// It fails if some have not ended by then, or if the server stopped for another reason.
func (o *operatorServer) run(ctx context.Context) error {
	serveErr := make(chan error, 1)
	go func() { serveErr <- o.server.Serve(o.listener) }()
	checks, endChecks := context.WithCancel(context.WithoutCancel(ctx))
	checked := make(chan struct{})
	go func() { o.listener.Run(checks); close(checked) }()
	defer func() { endChecks(); <-checked }()
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), opsStopTimeout)
	defer cancel()
	err := o.server.Shutdown(stopCtx)
	if served := <-serveErr; !errors.Is(served, http.ErrServerClosed) {
		err = errors.Join(err, served)
	}
	if err != nil {
		return fmt.Errorf("serve operators' interface: %w", err)
	}
	return nil
}

// teamStore implements opsrv.Store with the platform's key-value store.
type teamStore struct{ kv store.KV }

// Get implements opsrv.Store.
func (t teamStore) Get(ctx context.Context, team units.TeamID) (syncer.Entry, error) {
	e, err := t.kv.Get(ctx, syncer.TeamKey(team))
	if err != nil {
		return syncer.Entry{}, opsError(err)
	}
	return syncer.Entry{Team: team, Revision: e.Revision, Value: e.Value}, nil
}

// List implements opsrv.Store.
func (t teamStore) List(ctx context.Context) ([]syncer.Entry, error) {
	l, _, err := ConfigStore{t.kv}.List(ctx)
	return l, err
}

// CompareAndSwap implements opsrv.Store.
func (t teamStore) CompareAndSwap(ctx context.Context, team units.TeamID, old units.Revision, value []byte) (units.Revision, error) {
	r, err := t.kv.CompareAndSwap(ctx, syncer.TeamKey(team), old, value, 0)
	return r, opsError(err)
}

// opsError converts an error of the store to the one that the operators' interface expects.
func opsError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, store.ErrNotFound):
		return opsrv.ErrNotFound
	case errors.Is(err, store.ErrConflict):
		return opsrv.ErrConflict
	case errors.Is(err, store.ErrUnknownResult):
		return opsrv.ErrUnknownResult
	default:
		return fmt.Errorf("call the store: %w", err)
	}
}
