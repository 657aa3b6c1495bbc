// Package gate implements the gateway server on an entry VM: it authenticates callers, chooses
// upstreams and relays the responses of their agents.
package gate

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/budget"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/config"
	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// ErrStopTimeout is returned by Run when requests were canceled because the graceful stop exceeded
// its time limit.
var ErrStopTimeout = errors.New("requests were canceled at the time limit of the graceful stop")

// Options configure a Server.
type Options struct {
	// Node is the identity of the gateway, with its admin and peer addresses.
	Node config.Node
	// Secret authenticates sessions with agents and other gateways.
	Secret   []byte
	Settings Settings
	// Policies; each has a simple default.
	Directory Directory
	Picker    Picker
	Limiter   Limiter
	Retrier   Retrier
	Suspects  Suspects
	// Parts decides which requests may be sent by the parts of their prompts; a Guard without other
	// gateways if nil.
	Parts *parts.Guard
	// Once records calls with an Idempotency-Key; without it they are refused.
	Once Once
	// Jobs stores deferred jobs; without it such requests are refused.
	Jobs JobStore
	// Demand records requested targets. Without it nothing would load a target, so a request for
	// one that is resident nowhere is refused at once.
	Demand Demand
	// Peers handles control frames; optional.
	Peers Peers
	// AdmissionCheck, if set, returns why the gateway accepts no new requests, for example because
	// it is isolated, or nil. It is called for each request and must be safe for concurrent use.
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
	if o.Parts == nil {
		o.Parts = parts.NewGuard(o.Clock)
	}
	if o.Peers == nil {
		o.Peers = noPeers{}
	}
}

// Server is a gateway.
type Server struct {
	options     Options
	wireOptions wire.Options
	clock       clock.Clock
	directory   atomic.Pointer[Directory]
	agents      *linkSet
	gateways    *linkSet
	inFlight    *inFlightRequests
	// bodies bounds the total size of request body buffers.
	bodies   *budget.Pool
	public   *listener
	admin    *listener
	peers    *peerServer
	draining atomic.Bool
	// startsEnded is set when a stop lets no more requests start.
	startsEnded atomic.Bool
	// capacityChanged is notified when an upstream may accept requests that it did not accept
	// before.
	capacityChanged notifier
}

// New opens the listeners. Run has to be called to serve requests and to close them. It fails when
// a listener can't be opened.
func New(o Options) (*Server, error) {
	o.setDefaults()
	s := &Server{options: o, clock: o.Clock, inFlight: newInFlightRequests(&o.Settings.Limits)}
	s.bodies = budget.NewPool(units.Bytes(o.Settings.Limits.MaxBufferBytes))
	s.wireOptions = wire.Options{
		Self:   wire.Identity{ID: o.Node.ID, Role: wire.Gateway, Zone: o.Node.Zone},
		Secret: o.Secret,
	}
	s.directory.Store(&o.Directory)
	s.agents = newLinkSet(s, wire.Agent)
	s.agents.setAddresses(o.Settings.AgentAddresses)
	s.gateways = newLinkSet(s, wire.Gateway)
	s.gateways.setAddresses(o.Settings.GatewayAddresses)
	if err := s.listen(); err != nil {
		s.closeListeners()
		return nil, err
	}
	return s, nil
}

// listen opens the listeners for callers, administration and peers.
func (s *Server) listen() error {
	handler, err := s.publicHandler()
	if err != nil {
		return err
	}
	l := &s.options.Settings.Limits
	heads := budget.NewPool(units.Bytes(l.MaxHeadBuffers))
	if s.public, err = newListener(publicName, s.options.Settings.PublicAddress, handler, l, heads); err != nil {
		return err
	}
	if s.admin, err = newListener(adminName, s.options.Node.AdminAddress, s.adminHandler(), l, heads); err != nil {
		return err
	}
	n, err := net.Listen("tcp", s.options.Node.PeerAddress) //nolint:noctx // no context at start
	if err != nil {
		return fmt.Errorf("listen on peer address: %w", err)
	}
	s.peers = &peerServer{server: s, tcp: n}
	return nil
}

// closeListeners closes the listeners that are open, after a failure of New.
func (s *Server) closeListeners() {
	for _, l := range []*listener{s.public, s.admin} {
		if l != nil {
			_ = l.tcp.Close()
		}
	}
}

// Addr returns the address of the listener for callers.
func (s *Server) Addr() net.Addr { return s.public.tcp.Addr() }

// AdminAddr returns the address of /healthz, /readyz and /debug/vars.
func (s *Server) AdminAddr() net.Addr { return s.admin.tcp.Addr() }

// PeerAddr returns the address of the listener for other gateways.
func (s *Server) PeerAddr() net.Addr { return s.peers.tcp.Addr() }

// SetAgents replaces the addresses (IP:port) of the agents.
func (s *Server) SetAgents(addresses []string) { s.agents.setAddresses(addresses) }

// SetGateways replaces the peer addresses (IP:port) of the other gateways.
func (s *Server) SetGateways(addresses []string) { s.gateways.setAddresses(addresses) }

// ConnectedAgents returns the upstream IDs of the connected agents.
func (s *Server) ConnectedAgents() []units.UpstreamID {
	up := *s.agents.upstreams.Load()
	ids := make([]units.UpstreamID, 0, len(up))
	for _, u := range up {
		ids = append(ids, u.id)
	}
	return ids
}

// Draining reports whether the graceful stop has begun.
func (s *Server) Draining() bool { return s.draining.Load() }

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int { return s.inFlight.count() }

// Run serves until the context is done and then stops gracefully. It returns ErrStopTimeout when
// requests were canceled at the time limit of the stop.
func (s *Server) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	tasks := &group{}
	tasks.start(func() { s.agents.run(work) })
	tasks.start(func() { s.gateways.run(work) })
	tasks.start(func() { s.peers.run(work) })
	tasks.start(func() { s.public.tcp.heads.Run(work) })
	tasks.start(func() { s.admin.tcp.heads.Run(work) })
	tasks.start(s.public.serve)
	tasks.start(s.admin.serve)
	klog.Infof("gate: serving callers on %s, gateways on %s, admin on %s", s.Addr(), s.PeerAddr(), s.AdminAddr())
	<-ctx.Done()
	err := s.stop()
	s.public.shutdown()
	cancel()
	s.admin.shutdown()
	tasks.wait()
	klog.Infof("gate: stopped")
	return err
}
