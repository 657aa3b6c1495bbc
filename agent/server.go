package agent

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/budget"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/listen"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	headerTimeout       = 5 * time.Second
	adminTimeout        = 10 * time.Second
	maxAdminHeaderBytes = 8 << 10
	// maxAdminConnections bounds the connections to the listener for administration, adminHeadBytes what the heads of requests
	// there take beyond 4 KiB and 64 lines and commas each, adminUnreadBytes what the system has received and nobody has read.
	maxAdminConnections = 64
	adminHeadBytes      = 4 << 20
	adminUnreadBytes    = 4 << 20
	// closeTimeout is the time for gateways to read the last frames before sessions close.
	closeTimeout = 500 * time.Millisecond
	// leaveTimeout is the time for gateways to hear that the agent leaves. One that has not read Leave has no Pong since then
	// either, as both come in order on the control stream, and sends no call later than 1.5 s after the last Ping of which
	// it has the Pong (gate.maxAnsweredPingAge). The rest is for calls on their way.
	leaveTimeout = 2 * time.Second
	// sessionPollInterval is the interval at which a stop looks for open sessions.
	sessionPollInterval = 10 * time.Millisecond
	// acceptRetryDelay prevents a busy loop when Accept fails, as without file descriptors.
	acceptRetryDelay = 50 * time.Millisecond
)

// Server is the agent of one upstream.
type Server struct {
	options       Options
	clock         clock.Clock
	peerListener  net.Listener
	adminListener net.Listener
	forwarder     *forwarder
	// engineInstance is the instance in the engine's last load report; nil before the first one.
	engineInstance atomic.Pointer[string]
	engine         *engineClient
	loop           *eventLoop
	state          *state
	// configSync relays the configuration between gateways.
	configSync *syncer.Syncer
	// sessions tracks open sessions so that Run can wait for them; openSessions counts them.
	sessions     sync.WaitGroup
	openSessions atomic.Int64
	// runningOrders tracks orders in progress so that Run can wait for them.
	runningOrders sync.WaitGroup
	// lifetime is canceled when the graceful stop is complete.
	lifetime    context.Context
	endLifetime context.CancelFunc
}

// New returns an agent with open listeners. It fails when an address is in use or invalid.
// Run serves them and closes them.
func New(o Options) (*Server, error) {
	o.Limits.setDefaults()
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	ctx := context.Background() // listening on a numeric address does not block
	peer, err := (&net.ListenConfig{}).Listen(ctx, "tcp", o.Node.PeerAddress)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	admin, err := (&net.ListenConfig{}).Listen(ctx, "tcp", o.Node.AdminAddress)
	if err != nil {
		_ = peer.Close()
		return nil, fmt.Errorf("listen for administration: %w", err)
	}
	s := &Server{
		options:       o,
		clock:         o.Clock,
		peerListener:  peer,
		adminListener: admin,
		engine:        newEngineClient(o.Upstream.Address),
		loop:          newEventLoop(),
		state:         newState(o),
		configSync:    syncer.New(syncer.Options{Self: units.VMID(o.Node.ID), Clock: o.Clock}),
	}
	s.forwarder = &forwarder{
		address: o.Upstream.Address, transport: newTransport(), pause: s.checkPause, onNotice: s.recordNotice, instance: s.currentInstance, runsOn: s.engineRuns,
	}
	s.lifetime, s.endLifetime = context.WithCancel(ctx)
	return s, nil
}

// Addr returns the address that accepts sessions of gateways.
func (s *Server) Addr() net.Addr { return s.peerListener.Addr() }

// AdminAddr returns the address of the health checks and metrics.
func (s *Server) AdminAddr() net.Addr { return s.adminListener.Addr() }

// Snapshot returns the configuration that the agent relays between gateways.
func (s *Server) Snapshot() *tree.Snapshot { return s.configSync.Snapshot() }

// Run serves until ctx is done and then stops gracefully: it announces the drain, refuses
// new requests and waits up to Limits.StopTimeout for those in flight. It returns an error
// when a listener fails.
func (s *Server) Run(ctx context.Context) error {
	klog.Infof("agent: serving upstream %s at %s for gateways at %s", s.options.Node.ID, s.options.Upstream.Address, s.peerListener.Addr())
	defer s.endLifetime()
	lifetime := s.lifetime
	g := &errgroup.Group{}
	g.Go(func() error { s.loop.run(lifetime); return nil })
	g.Go(func() error { return s.acceptSessions(lifetime) })
	g.Go(func() error { return s.serveAdmin(lifetime) })
	g.Go(func() error { s.pushLoadChanges(lifetime); return nil })
	g.Go(func() error { return ignoreCanceled(s.configSync.Run(lifetime)) })
	if s.options.ReadSlotTable != nil {
		g.Go(func() error { s.readSlotTable(lifetime); return nil })
	}
	if s.options.Upstream.Kind == Engine {
		g.Go(func() error { s.pollEngine(lifetime); return nil })
	}
	<-ctx.Done()
	s.drain()
	s.endLifetime()
	_ = s.peerListener.Close()
	err := g.Wait()
	s.sessions.Wait()
	s.runningOrders.Wait()
	klog.Infof("agent: stopped")
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// ignoreCanceled returns nil for context.Canceled, the error of a regular stop.
func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// drain refuses new requests and waits for those in flight, up to StopTimeout, and until no gateway sends calls any more.
func (s *Server) drain() {
	s.loop.do(s.state.beginDrain)
	leaveEnd := time.Now().Add(leaveTimeout)
	select {
	case <-s.state.idle:
		closeEnd := time.Now().Add(closeTimeout)
		s.awaitSessionEnds(later(leaveEnd, closeEnd))
	case <-time.After(s.options.Limits.StopTimeout.Duration()):
		var unfinished int
		s.loop.do(func() { unfinished = s.state.openCalls })
		klog.Warningf("agent: stop timeout reached with %d requests in flight", unfinished)
	}
}

// awaitSessionEnds waits until gateways have closed all sessions, at most until the time given.
func (s *Server) awaitSessionEnds(end time.Time) {
	for s.openSessions.Load() > 0 && time.Now().Before(end) {
		time.Sleep(sessionPollInterval)
	}
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// acceptSessions accepts and serves sessions until the listener is closed.
func (s *Server) acceptSessions(ctx context.Context) error {
	for {
		c, err := s.peerListener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			klog.Warningf("agent: accept connection: %v", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if s.openSessions.Add(1) > int64(s.options.Limits.Sessions) {
			s.openSessions.Add(-1)
			stats.Event("sessions_refused")
			_ = c.Close()
			continue
		}
		s.sessions.Add(1)
		go func() {
			defer s.sessions.Done()
			defer s.openSessions.Add(-1)
			s.serveSession(ctx, c)
		}()
	}
}

// serveSession authenticates a gateway and serves its streams until the session ends.
func (s *Server) serveSession(ctx context.Context, c net.Conn) {
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	ss, err := wire.Accept(c, wire.Options{
		Self:   wire.Identity{ID: s.options.Node.ID, Role: wire.Agent, Zone: s.options.Node.Zone},
		Secret: s.options.Secret,
		TLS:    s.options.TLS,
	})
	if err != nil {
		klog.Warningf("agent: session from %s: %v", c.RemoteAddr(), err)
		return
	}
	defer ss.Close()
	if ss.Peer().Role != wire.Gateway {
		klog.Warningf("agent: refused a session of %s, which is a %s", ss.Peer().ID, ss.Peer().Role)
		return
	}
	var streams sync.WaitGroup
	defer streams.Wait()
	for {
		st, err := ss.Accept()
		if err != nil {
			return
		}
		streams.Go(func() {
			defer st.Close()
			s.serveStream(ctx, ss.Peer(), st)
		})
	}
}

// serveStream serves a call when the first frame is one, and else control messages.
func (s *Server) serveStream(ctx context.Context, peer wire.Identity, st *wire.Stream) {
	f, err := st.Recv()
	if err != nil {
		return
	}
	switch b := f.Body.(type) {
	case *wire.Frame_Call:
		s.serveCall(ctx, b.Call, st)
	default:
		s.serveControl(ctx, peer, st, f)
	}
}

// serveAdmin serves health checks and metrics until ctx is done.
func (s *Server) serveAdmin(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.Handle("GET /debug/vars", expvar.Handler())
	h := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       adminTimeout,
		WriteTimeout:      adminTimeout,
		MaxHeaderBytes:    maxAdminHeaderBytes,

		DisableGeneralOptionsHandler: true,
	}
	l := listen.New(s.adminListener, listen.Options{
		Heads: budget.NewPool(adminHeadBytes), HeadBytes: func() int { return maxAdminHeaderBytes },
		HeadTimeout: func() clock.Span { return clock.Span(headerTimeout.Milliseconds()) },
		IdleTimeout: func() clock.Span { return 0 }, UnreadBytes: adminUnreadBytes,
		Busy: listen.Answer(http.StatusServiceUnavailable, "", ""), TooLarge: listen.Answer(http.StatusRequestHeaderFieldsTooLarge, "", ""),
	})
	l.Attach(h, listen.NewLimiter("agent", "admin", maxAdminConnections))
	checked := make(chan struct{})
	checks, endChecks := context.WithCancel(ctx)
	go func() { l.Run(checks); close(checked) }()
	defer func() { endChecks(); <-checked }()
	stop := context.AfterFunc(ctx, func() { _ = h.Close() })
	defer stop()
	if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve administration: %w", err)
	}
	return nil
}

// readyz returns status 200 when the agent admits requests, and else 503.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	ready := false
	s.loop.do(func() { ready = s.state.ready() })
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
