package entry

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/socket"
)

const (
	// callerIdleTimeout is longer than callers reuse an idle connection, so that the caller closes
	// the connection first.
	callerIdleTimeout = 75 * time.Second
	// headerTimeout is the time within which a request's header has to arrive.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes is the limit on the size of a request's header.
	maxHeaderBytes = 64 << 10
	// readinessDelay is how long new connections are accepted after a stop was requested: the
	// platform stops routing to the gateway after two failed readiness checks, a second apart.
	readinessDelay = 2800 * clock.Millisecond
	// routingDelay is the time after which the platform routes no more connections here: two failed readiness checks and
	// what the second takes. Connections that it has routed by then may still arrive until readinessDelay.
	routingDelay = 2500 * clock.Millisecond
	// endMargin is the time before the end of the grace period at which the requests that still run are ended, so that
	// their callers get an answer before the process is killed. It is for the scheduling of goroutines on a busy machine;
	// what is written to a connection arrives even after that. endFraction of the grace period bounds it.
	endMargin   = 400 * clock.Millisecond
	endFraction = 0.1
	// closeFraction is the part of that time after which connections are closed, answered or not.
	closeFraction = 0.5
	// backlogTimeout bounds the time for which a stopping gateway still accepts the connections that wait, as new ones may come.
	backlogTimeout = 200 * clock.Millisecond
	// drainPollInterval is the interval at which a draining gateway checks whether readinessDelay
	// is over.
	drainPollInterval = 20 * time.Millisecond
	// adminTimeout is the read and write timeout of the readiness and metrics servers.
	adminTimeout = 5 * time.Second
)

// MetricsPortOffset is the metrics port, relative to platform.Settings.FirstPort.
const MetricsPortOffset = 1

// httpServer is an HTTP server with its listener.
type httpServer struct {
	// name identifies the server in errors.
	name     string
	listener net.Listener
	server   *http.Server
	// served is closed when no more connections are accepted.
	served chan struct{}
}

// listen opens a listener on the host:port address for a server with the handler. It does not serve
// yet.
func (g *Gateway) listen(name, address string, h http.Handler) (*httpServer, error) {
	l, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return &httpServer{name, l, &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: klog.NewStandardLogger("WARNING"),
	}, make(chan struct{})}, nil
}

// serve serves callers, readiness checks and metrics until the context is done and then drains. It
// returns early with an error if an address can't be opened or a server fails.
func (g *Gateway) serve(ctx context.Context, c *controller) error {
	var stopping atomic.Bool
	ready := http.NewServeMux()
	ready.HandleFunc("GET /readiness", func(w http.ResponseWriter, _ *http.Request) {
		if stopping.Load() || !g.keyValidity.valid(g.clock.Now()) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	metrics := http.NewServeMux()
	metrics.Handle("GET /debug/vars", expvar.Handler())
	public, err := g.listen("public", g.settings.PublicAddress, g.relay)
	if err != nil {
		return err
	}
	public.listener = socket.Listener{Listener: public.listener}
	connections := newConnLimiter(maxConnections)
	public.server.ConnState, public.server.ConnContext = connections.onStateChange, connections.connContext
	public.server.Handler = connections.handler(g.relay)
	admin := []*httpServer{}
	for name, endpoint := range map[string]struct {
		address string
		handler http.Handler
	}{
		"ready":   {g.settings.ReadyAddress, ready},
		"metrics": {net.JoinHostPort(g.settings.IP, strconv.Itoa(g.settings.FirstPort+MetricsPortOffset)), metrics},
	} {
		s, err := g.listen(name, endpoint.address, endpoint.handler)
		if err != nil {
			return err
		}
		s.server.ReadTimeout, s.server.WriteTimeout = adminTimeout, adminTimeout
		admin = append(admin, s)
	}
	errs := make(chan error, len(admin)+1)
	for _, s := range append(admin, public) {
		go func() { errs <- s.run() }()
	}
	select {
	case <-ctx.Done():
	case err := <-errs:
		return err
	}
	stopping.Store(true)
	err = g.drain(c, public, connections)
	for _, s := range admin {
		err = errors.Join(err, s.server.Close())
	}
	return err
}

// run serves until the server is closed or fails.
func (s *httpServer) run() error {
	defer close(s.served)
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("%s: %w", s.name, err)
	}
	return nil
}

// drain stops the public server gracefully. Requests in flight are completed as far as the grace period allows, and
// ended right before it is over.
func (g *Gateway) drain(c *controller, public *httpServer, connections *connLimiter) error {
	startedAt := g.clock.Now()
	klog.InfoS("entry: stopping", "active", g.relay.Active())
	gracePeriod := g.bounds.Load().GracePeriod
	if gracePeriod <= 0 {
		// The settings don't say.
		gracePeriod = readinessDelay
	}
	margin := min(endMargin, clock.Span(float64(gracePeriod)*endFraction))
	endAt := startedAt.Add(gracePeriod - margin)
	g.relay.Drain(startedAt.Add(routingDelay), endAt)
	c.drainRequested <- struct{}{}
	for g.clock.Now().Before(min(startedAt.Add(readinessDelay), endAt)) {
		time.Sleep(drainPollInterval)
	}
	// What a busy process has not accepted yet would be reset.
	for end := g.clock.Now().Add(backlogTimeout); socket.Waiting(public.listener) && g.clock.Now().Before(min(end, endAt)); {
		time.Sleep(drainPollInterval)
	}
	// http.Server.Shutdown would drop requests that it reads from now on, on connections that were accepted before.
	err := public.listener.Close()
	// The connection that was accepted last counts as open from then on.
	<-public.served
	if !g.closeConnections(connections, endAt) {
		klog.InfoS("entry: grace period nearly over; requests in flight are cut off", "active", g.relay.Active())
		g.relay.End()
		g.closeConnections(connections, endAt.Add(clock.Span(float64(margin)*closeFraction)))
	}
	if closeErr := public.server.Close(); !errors.Is(closeErr, net.ErrClosed) {
		err = errors.Join(err, closeErr)
	}
	if err != nil {
		return fmt.Errorf("stop public server: %w", err)
	}
	return nil
}

// closeConnections closes the connections that are idle, and others after their next answer, until none is open or the
// time has come. It reports whether none is open.
func (g *Gateway) closeConnections(connections *connLimiter, end clock.Time) bool {
	for connections.open() > 0 {
		if !g.clock.Now().Before(end) {
			return false
		}
		connections.closeIdle()
		time.Sleep(drainPollInterval)
	}
	return true
}
