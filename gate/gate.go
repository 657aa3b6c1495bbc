// Package gate is the gateway process on an entry VM: it checks callers, chooses
// upstreams and relays answers from their agents.
package gate

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/config"
	"github.com/magnolialever/magnolialever/wire"
)

// ErrLeft is the result of Run when requests were still running at the time
// limit of the graceful stop.
var ErrLeft = errors.New("requests were still running at the time limit of the stop")

// Options configure a Server.
type Options struct {
	Node   config.Node
	Secret []byte
	Gate   Settings
	// The decisions; each has a simple default.
	Directory Directory
	Picker    Picker
	Limiter   Limiter
	Retrier   Retrier
	// Clock is clock.System when nil.
	Clock clock.Clock
}

func (o *Options) setDefaults() {
	o.Gate.setDefaults()
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Directory == nil {
		o.Directory = &Static{}
	}
	if o.Picker == nil {
		o.Picker = LeastOutstanding{}
	}
	if o.Limiter == nil {
		o.Limiter = Unlimited{Clock: o.Clock}
	}
	if o.Retrier == nil {
		o.Retrier = RetryOnce{}
	}
}

// Server is a gateway.
type Server struct {
	options   Options
	clock     clock.Clock
	directory atomic.Pointer[Directory]
	links     *links
	running   *running
	public    *listener
	admin     *listener
	peers     net.Listener
	leaving   atomic.Bool
	draining  atomic.Bool
}

// New opens the listeners. Run has to be called to serve and to close them.
func New(o Options) (*Server, error) {
	o.setDefaults()
	s := &Server{options: o, clock: o.Clock, running: newRunning()}
	s.SetDirectory(o.Directory)
	self := wire.Identity{ID: o.Node.ID, Role: wire.Gateway, Zone: o.Node.Zone}
	s.links = newLinks(wire.Options{Self: self, Secret: o.Secret}, o.Clock)
	if err := s.listen(); err != nil {
		s.closeListeners()
		return nil, err
	}
	return s, nil
}

func (s *Server) listen() error {
	handler, err := s.publicHandler()
	if err != nil {
		return err
	}
	if s.public, err = newListener("public", s.options.Gate.Public, handler, &s.options.Gate.Limits); err != nil {
		return err
	}
	if s.admin, err = newListener("admin", s.options.Node.Admin, s.adminHandler(), &s.options.Gate.Limits); err != nil {
		return err
	}
	if s.peers, err = net.Listen("tcp", s.options.Node.Peer); err != nil { //nolint:noctx // no context at start
		return fmt.Errorf("listen on peer address: %w", err)
	}
	return nil
}

func (s *Server) closeListeners() {
	for _, l := range []*listener{s.public, s.admin} {
		if l != nil {
			_ = l.net.Close()
		}
	}
	if s.peers != nil {
		_ = s.peers.Close()
	}
}

// Addr returns the address for callers.
func (s *Server) Addr() net.Addr { return s.public.net.Addr() }

// AdminAddr returns the address of /healthz, /readyz and /debug/vars.
func (s *Server) AdminAddr() net.Addr { return s.admin.net.Addr() }

// PeerAddr returns the address for sessions from other gateways.
func (s *Server) PeerAddr() net.Addr { return s.peers.Addr() }

// SetDirectory replaces the snapshot of who may call what.
func (s *Server) SetDirectory(d Directory) { s.directory.Store(&d) }

// SetAgents replaces the addresses of the agents.
func (s *Server) SetAgents(addresses []string) { s.links.set(addresses) }

// Run serves until the context is done, and then stops gracefully. It returns
// ErrLeft when requests were cut off at the time limit.
func (s *Server) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	parts := &group{}
	parts.start(func() { s.links.run(work, s.options.Gate.Agents) })
	parts.start(func() { s.public.serve() })
	parts.start(func() { s.admin.serve() })
	klog.Infof("gate: serves callers on %s, peers on %s, admin on %s", s.Addr(), s.PeerAddr(), s.AdminAddr())
	<-ctx.Done()
	err := s.stop()
	cancel()
	s.public.close()
	s.admin.close()
	_ = s.peers.Close()
	parts.wait()
	return err
}

func (s *Server) stop() error {
	s.leaving.Store(true)
	s.draining.Store(true)
	limit := s.options.Gate.Limits.Stop.Duration()
	klog.Infof("gate: stops, %d requests are running, the limit is %v", s.running.count(), limit)
	select {
	case <-s.running.idle():
		return nil
	case <-time.After(limit):
		return fmt.Errorf("stop: %d left: %w", s.running.count(), ErrLeft)
	}
}

func (s *Server) adminHandler() http.Handler {
	return newAdmin(s)
}

// Connected returns the number of connected agents.
func (s *Server) Connected() int { return len(*s.links.up.Load()) }
