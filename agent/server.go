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

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	headerTimeout   = 5 * time.Second
	adminTimeout    = 10 * time.Second
	adminHeaderSize = 8 << 10
	// closeTimeout lets gateways read the last frames before sessions are closed.
	closeTimeout = 500 * time.Millisecond
	// acceptPause keeps a lack of file descriptors from causing a busy loop.
	acceptPause = 50 * time.Millisecond
)

// Server is the agent of one upstream.
type Server struct {
	options Options
	clock   clock.Clock
	peer    net.Listener
	admin   net.Listener
	forward *forwarder
	engine  *engine
	owner   *owner
	state   *state
	// config relays the configuration between gateways.
	config *syncer.Syncer
	// sessions waits for the end of open sessions; open counts them.
	sessions sync.WaitGroup
	open     atomic.Int64
	// orders counts orders in progress.
	orders sync.WaitGroup
	// lifetime ends when the graceful stop is over.
	lifetime context.Context
	end      context.CancelFunc
}

// New opens the listeners of the agent.
func New(o Options) (*Server, error) {
	o.Limits.complete()
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	ctx := context.Background() // the addresses are numeric, so nothing waits
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
		options: o,
		clock:   o.Clock,
		peer:    peer,
		admin:   admin,
		forward: newForwarder(o.Upstream.Address),
		engine:  newEngine(o.Upstream.Address),
		owner:   newOwner(),
		state:   newState(o),
		config:  syncer.New(syncer.Options{Self: units.VMID(o.Node.ID), Clock: o.Clock}),
	}
	s.lifetime, s.end = context.WithCancel(ctx)
	return s, nil
}

// Addr returns the address for sessions of gateways.
func (s *Server) Addr() net.Addr { return s.peer.Addr() }

// AdminAddr returns the address of the health checks and counters.
func (s *Server) AdminAddr() net.Addr { return s.admin.Addr() }

// Snapshot returns the configuration that the agent has and relays.
func (s *Server) Snapshot() *tree.Snapshot { return s.config.Snapshot() }

// Run serves until ctx is done and then stops gracefully: it announces that it
// leaves, refuses new work and finishes what runs, at most for Limits.Stop.
func (s *Server) Run(ctx context.Context) error {
	klog.Infof("agent: serving upstream %s at %s for gateways at %s", s.options.Node.ID, s.options.Upstream.Address, s.peer.Addr())
	defer s.end()
	work := s.lifetime
	g := &errgroup.Group{}
	g.Go(func() error { s.owner.run(work); return nil })
	g.Go(func() error { return s.accept(work) })
	g.Go(func() error { return s.serveAdmin(work) })
	g.Go(func() error { s.watch(work); return nil })
	g.Go(func() error { return ignoreCancel(s.config.Run(work)) })
	if s.options.ReadSlotTable != nil {
		g.Go(func() error { s.readOwners(work); return nil })
	}
	if s.options.Upstream.Kind == Engine {
		g.Go(func() error { s.poll(work); return nil })
	}
	<-ctx.Done()
	s.drain()
	s.end()
	_ = s.peer.Close()
	err := g.Wait()
	s.sessions.Wait()
	s.orders.Wait()
	s.forward.close()
	s.engine.close()
	klog.Infof("agent: stopped")
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// ignoreCancel drops the error of a part that ended because it was told to.
func ignoreCancel(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// drain refuses new work and waits for the requests in progress.
func (s *Server) drain() {
	s.owner.do(s.state.leave)
	select {
	case <-s.state.idle:
		time.Sleep(closeTimeout)
	case <-time.After(s.options.Limits.StopTimeout.Duration()):
		var left int
		s.owner.do(func() { left = s.state.serving })
		klog.Warningf("agent: time limit of the stop reached with %d requests in progress", left)
	}
}

// accept serves sessions until the listener is closed.
func (s *Server) accept(ctx context.Context) error {
	for {
		c, err := s.peer.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			klog.Warningf("agent: accept connection: %v", err)
			time.Sleep(acceptPause)
			continue
		}
		if s.open.Add(1) > int64(s.options.Limits.Sessions) {
			s.open.Add(-1)
			stats.Event("sessions_refused")
			_ = c.Close()
			continue
		}
		s.sessions.Add(1)
		go func() {
			defer s.sessions.Done()
			defer s.open.Add(-1)
			s.session(ctx, c)
		}()
	}
}

func (s *Server) session(ctx context.Context, c net.Conn) {
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
			s.stream(ctx, ss.Peer(), st)
		})
	}
}

// stream serves a stream by its first frame: a call, or control messages.
func (s *Server) stream(ctx context.Context, peer wire.Identity, st *wire.Stream) {
	f, err := st.Recv()
	if err != nil {
		return
	}
	switch b := f.Body.(type) {
	case *wire.Frame_Call:
		s.call(ctx, b.Call, st)
	default:
		s.control(ctx, peer, st, f)
	}
}

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
		MaxHeaderBytes:    adminHeaderSize,
	}
	stop := context.AfterFunc(ctx, func() { _ = h.Close() })
	defer stop()
	if err := h.Serve(s.admin); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve administration: %w", err)
	}
	return nil
}

// readyz answers 200 when the agent admits work.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	ready := false
	s.owner.do(func() { ready = s.state.ready() })
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
