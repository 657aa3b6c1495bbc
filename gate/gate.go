// Package gate is the gateway process on an entry VM: it checks callers, chooses
// upstreams and relays answers from their agents.
package gate

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/config"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// ErrStopTimeout is the result of Run when requests were cut off at the time limit of the
// graceful stop.
var ErrStopTimeout = errors.New("requests were cut off at the time limit of the stop")

// Options configure a Server.
type Options struct {
	Node     config.Node
	Secret   []byte
	Settings Settings
	// The decisions; each has a simple default.
	Directory Directory
	Picker    Picker
	Limiter   Limiter
	Retrier   Retrier
	Suspects  Suspects
	// Once is needed for calls with an Idempotency-Key; without it they are refused.
	Once Once
	// Jobs is needed for deferred work; without it such requests are refused.
	Jobs JobStore
	// Demand is told what callers ask for. Without it nothing would load a target, so a
	// request for one that is resident nowhere is refused at once.
	Demand Demand
	// Peers takes part in the control traffic.
	Peers Peers
	// Refuse, if set, returns why the gateway takes no new request, such as isolated,
	// or nil. It is called for each request by many goroutines.
	AdmissionCheck func() *Problem
	// Clock is clock.System when nil.
	Clock clock.Clock
}

func (o *Options) setDefaults() {
	o.Settings.setDefaults()
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Directory == nil {
		o.Directory = &StaticDirectory{}
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
	if o.Suspects == nil {
		o.Suspects = noSuspects{}
	}
	if o.Peers == nil {
		o.Peers = noPeers{}
	}
}

// Server is a gateway.
type Server struct {
	options   Options
	wire      wire.Options
	clock     clock.Clock
	directory atomic.Pointer[Directory]
	agents    *links
	gateways  *links
	running   *running
	budget    budget
	public    *listener
	admin     *listener
	peers     *peers
	leaving   atomic.Bool
	// changed is announced when an upstream may offer more than before.
	changed notice
}

// New opens the listeners. Run has to be called to serve and to close them.
func New(o Options) (*Server, error) {
	o.setDefaults()
	s := &Server{options: o, clock: o.Clock, running: newRunning(&o.Settings.Limits)}
	s.budget.limit = o.Settings.Limits.MaxBufferBytes
	s.wire = wire.Options{
		Self:   wire.Identity{ID: o.Node.ID, Role: wire.Gateway, Zone: o.Node.Zone},
		Secret: o.Secret,
	}
	s.directory.Store(&o.Directory)
	s.agents = newLinks(s, wire.Agent)
	s.agents.set(o.Settings.AgentAddresses)
	s.gateways = newLinks(s, wire.Gateway)
	s.gateways.set(o.Settings.GatewayAddresses)
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
	l := &s.options.Settings.Limits
	if s.public, err = newListener(publicName, s.options.Settings.PublicAddress, handler, l); err != nil {
		return err
	}
	if s.admin, err = newListener(adminName, s.options.Node.Admin, s.adminHandler(), l); err != nil {
		return err
	}
	n, err := net.Listen("tcp", s.options.Node.Peer) //nolint:noctx // no context at start
	if err != nil {
		return fmt.Errorf("listen on peer address: %w", err)
	}
	s.peers = &peers{server: s, net: n}
	return nil
}

func (s *Server) closeListeners() {
	for _, l := range []*listener{s.public, s.admin} {
		if l != nil {
			_ = l.net.Close()
		}
	}
}

// Addr returns the address for callers.
func (s *Server) Addr() net.Addr { return s.public.net.Addr() }

// AdminAddr returns the address of /healthz, /readyz and /debug/vars.
func (s *Server) AdminAddr() net.Addr { return s.admin.net.Addr() }

// PeerAddr returns the address for sessions from other gateways.
func (s *Server) PeerAddr() net.Addr { return s.peers.net.Addr() }

// SetAgents replaces the addresses of the agents.
func (s *Server) SetAgents(addresses []string) { s.agents.set(addresses) }

// SetGateways replaces the addresses of the other gateways.
func (s *Server) SetGateways(addresses []string) { s.gateways.set(addresses) }

// ConnectedAgents returns the identifiers of the connected agents.
func (s *Server) ConnectedAgents() []units.UpstreamID {
	up := *s.agents.up.Load()
	ids := make([]units.UpstreamID, 0, len(up))
	for _, u := range up {
		ids = append(ids, u.id)
	}
	return ids
}

// Draining reports whether the graceful stop has begun.
func (s *Server) Draining() bool { return s.leaving.Load() }

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int { return s.running.count() }

// Run serves until the context is done, and then stops gracefully. It returns
// ErrLeft when requests were cut off at the time limit.
func (s *Server) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	parts := &group{}
	parts.start(func() { s.agents.run(work) })
	parts.start(func() { s.gateways.run(work) })
	parts.start(func() { s.peers.run(work) })
	parts.start(s.public.serve)
	parts.start(s.admin.serve)
	klog.Infof("gate: serves callers on %s, gateways on %s, admin on %s", s.Addr(), s.PeerAddr(), s.AdminAddr())
	<-ctx.Done()
	err := s.stop()
	s.public.shutdown()
	cancel()
	s.admin.shutdown()
	parts.wait()
	klog.Infof("gate: has stopped")
	return err
}
