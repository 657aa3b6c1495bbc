package entry

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/listen"
	"github.com/magnolialever/magnolialever/socket"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// callerIdleTimeout is longer than callers reuse an idle connection, so that the caller closes
	// the connection first. The configuration may state a longer one.
	callerIdleTimeout = 75 * time.Second
	// headerTimeout and maxHeaderBytes are the time within which a request's header has to arrive, and its size, if the
	// configuration states none.
	headerTimeout  = 10 * clock.Second
	maxHeaderBytes = 64 << 10
	// longestHeaderTimeout and largestHeaderBytes are what net/http allows; package listen has the limits that hold.
	longestHeaderTimeout = 5 * time.Minute
	largestHeaderBytes   = 1 << 20
	// writeTimeout is the time in which a caller has to take 64 KiB of an answer.
	writeTimeout = clock.Minute
	// defaultMemory is the memory of a process whose settings don't say.
	defaultMemory = 284 << 20
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
	name string
	// tcp is the listener of the system, listener the one that serves it.
	tcp         net.Listener
	listener    *listen.Listener
	connections *listen.Limiter
	server      *http.Server
	// served is closed when no more connections are accepted.
	served chan struct{}
}

// listen opens a listener on the host:port address for a server with the handler. It does not serve
// yet.
func (g *Gateway) listen(name, address string, most int, h http.Handler) (*httpServer, error) {
	l, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	s := &httpServer{name: name, tcp: l, served: make(chan struct{})}
	s.listener = listen.New(l, listen.Options{
		Heads: g.heads, HeadBytes: g.headBytes, HeadTimeout: g.headTimeout, IdleTimeout: g.idleTimeout, WriteTimeout: writeTimeout,
		UnreadBytes: g.shares.Unread, Busy: busyAnswer, TooLarge: tooLargeAnswer,
	})
	s.connections = listen.NewLimiter("entry", name, most)
	s.server = &http.Server{
		Handler: h, ReadHeaderTimeout: longestHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: largestHeaderBytes,
		DisableGeneralOptionsHandler: true, ErrorLog: klog.NewStandardLogger("WARNING"),
	}
	s.listener.Attach(s.server, s.connections)
	return s, nil
}

// Names of the servers.
const (
	publicName  = "caller"
	readyName   = "ready"
	metricsName = "metrics"
)

// Answers to heads that are not parsed: for lack of room, and beyond the limit. The request has not run.
var (
	busyAnswer     = listen.Answer(http.StatusServiceUnavailable, "Retry-After: 1.000\r\n", `{"code":"`+string(units.QueueFull)+`"}`)
	tooLargeAnswer = listen.Answer(http.StatusRequestHeaderFieldsTooLarge, "", `{"code":"`+string(units.InvalidRequest)+`"}`)
)

// memory returns the size of the process's memory.
func (g *Gateway) memory() units.Bytes {
	if g.settings.MemoryMegabytes <= 0 {
		return defaultMemory
	}
	return units.Bytes(g.settings.MemoryMegabytes) << 20
}

// headBytes returns the limit on the size of a request's header.
func (g *Gateway) headBytes() int {
	if c := g.relay.Config(); c != nil && c.MaxHeaderBytes > 0 {
		return c.MaxHeaderBytes
	}
	return maxHeaderBytes
}

// headTimeout returns the limit on the time within which a request's header has to arrive.
func (g *Gateway) headTimeout() clock.Span {
	if c := g.relay.Config(); c != nil && c.HeaderTimeout > 0 {
		return c.HeaderTimeout
	}
	return headerTimeout
}

// idleTimeout returns how long callers may reuse an idle connection; 0 is unknown.
func (g *Gateway) idleTimeout() clock.Span {
	if c := g.relay.Config(); c != nil {
		return c.IdleTimeout
	}
	return 0
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
	public, err := g.listen(publicName, g.settings.PublicAddress, g.shares.Connections, g.relay)
	if err != nil {
		return err
	}
	admin := []*httpServer{}
	for name, endpoint := range map[string]struct {
		address string
		most    int
		handler http.Handler
	}{
		readyName:   {g.settings.ReadyAddress, g.shares.ReadyConnections, ready},
		metricsName: {net.JoinHostPort(g.settings.IP, strconv.Itoa(g.settings.FirstPort+MetricsPortOffset)), g.shares.MetricsConnections, metrics},
	} {
		s, err := g.listen(name, endpoint.address, endpoint.most, endpoint.handler)
		if err != nil {
			return err
		}
		s.server.ReadTimeout, s.server.WriteTimeout = adminTimeout, adminTimeout
		admin = append(admin, s)
	}
	errs := make(chan error, len(admin)+1)
	checks, endChecks := context.WithCancel(context.WithoutCancel(ctx))
	var checksDone sync.WaitGroup
	defer checksDone.Wait()
	defer endChecks()
	for _, s := range append(admin, public) {
		checksDone.Go(func() { s.listener.Run(checks) })
		go func() { errs <- s.run() }()
	}
	select {
	case <-ctx.Done():
	case err := <-errs:
		return err
	}
	stopping.Store(true)
	err = g.drain(c, public, public.connections)
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
func (g *Gateway) drain(c *controller, public *httpServer, connections *listen.Limiter) error {
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
	for end := g.clock.Now().Add(backlogTimeout); socket.Waiting(public.tcp) && g.clock.Now().Before(min(end, endAt)); {
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
func (g *Gateway) closeConnections(connections *listen.Limiter, end clock.Time) bool {
	for connections.Open() > 0 {
		if !g.clock.Now().Before(end) {
			return false
		}
		connections.CloseIdle()
		time.Sleep(drainPollInterval)
	}
	return true
}
