// Package devel runs a whole fleet in one process on loopback: gateways, agents and
// stand-ins for the platform.
package devel

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/magnolialever/magnolialever/agent"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/config"
	"github.com/magnolialever/magnolialever/coord"
	"github.com/magnolialever/magnolialever/fakes/engine"
	"github.com/magnolialever/magnolialever/fakes/keyval"
	"github.com/magnolialever/magnolialever/fakes/plain"
	"github.com/magnolialever/magnolialever/fakes/vms"
	"github.com/magnolialever/magnolialever/fakes/weight"
	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/units"
)

// secret authenticates the processes of the fleet, which listen on loopback only.
const secret = "only-for-development"

// Bootstrap is the credential of the fleet administrator.
const Bootstrap = "development-administrator"

const anyPort = "127.0.0.1:0"

// Options configure a Fleet.
type Options struct {
	Zones    []units.Zone
	Gateways int
	Engines  int
	Services int
	// Service is what the plain services offer.
	Service units.ServiceID
	// Engine is the model of all engines; its address is ignored.
	Engine engine.Options
	// Weights is the weight store; its address is ignored.
	Weights weight.Options
	// Gate holds the limits of the gateways; its addresses are ignored.
	Gate gate.Settings
	// Public is the address of the first gateway for callers; empty: any port.
	Public string
	// Operators is the address of the operators' interface; empty: any port.
	Operators string
}

// Fleet is a running fleet.
type Fleet struct {
	Store    *keyval.Server
	Weights  *weight.Server
	VMs      *vms.Server
	Engines  []*engine.Server
	Services []*plain.Server
	Agents   []*agent.Server
	Gateways []*coord.Gateway

	options Options
	kv      *store.Client
	parts   []*part
}

// part is one process of the fleet.
type part struct {
	name   string
	run    func(context.Context) error
	cancel context.CancelFunc
	end    chan error
	once   sync.Once
	err    error
}

// stop ends the part gracefully and returns its result.
func (p *part) stop() error {
	p.once.Do(func() {
		p.cancel()
		if err := <-p.end; err != nil && !errors.Is(err, context.Canceled) {
			p.err = fmt.Errorf("stop %s: %w", p.name, err)
		}
	})
	return p.err
}

// New opens all listeners.
func New(o Options) (*Fleet, error) {
	f := &Fleet{options: o}
	steps := []func() error{f.openPlatform, f.openUpstreams, f.openGateways}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) add(name string, run func(context.Context) error) {
	f.parts = append(f.parts, &part{name: name, run: run, end: make(chan error, 1)})
}

func (f *Fleet) openPlatform() (err error) {
	if f.Store, err = keyval.New(keyval.Options{}); err != nil {
		return fmt.Errorf("open store: %w", err)
	}
	w := f.options.Weights
	w.Address = ""
	if f.Weights, err = weight.New(w); err != nil {
		return fmt.Errorf("open weight store: %w", err)
	}
	if f.VMs, err = vms.New(vms.Options{}); err != nil {
		return fmt.Errorf("open VM list: %w", err)
	}
	f.kv = store.New(store.Options{Address: f.Store.Addr()})
	f.add("store", f.Store.Run)
	f.add("weight store", f.Weights.Run)
	f.add("VM list", f.VMs.Run)
	return nil
}

func (f *Fleet) zone(i int) units.Zone { return f.options.Zones[i%len(f.options.Zones)] }

func (f *Fleet) fleet() config.Fleet {
	return config.Fleet{Store: f.Store.Addr(), Vms: f.VMs.Addr(), Secret: secret}
}

func (f *Fleet) openUpstreams() error {
	for i := range f.options.Engines {
		o := f.options.Engine
		o.Address, o.WeightStore = anyPort, f.Weights.Addr()
		e, err := engine.New(o)
		if err != nil {
			return fmt.Errorf("open engine: %w", err)
		}
		f.Engines = append(f.Engines, e)
		f.add(fmt.Sprint("engine ", i), e.Run)
		u := agent.Upstream{Kind: agent.Engine, Address: e.Addr(), Capacity: o.Capacity, Fences: o.CheckFence}
		if err := f.openAgent(fmt.Sprint("engine", i), i, u); err != nil {
			return err
		}
	}
	for i := range f.options.Services {
		p, err := plain.New(plain.Options{})
		if err != nil {
			return fmt.Errorf("open service: %w", err)
		}
		f.Services = append(f.Services, p)
		f.add(fmt.Sprint("service ", i), p.Run)
		u := agent.Upstream{Kind: agent.Service, Address: p.Addr(), Services: []units.ServiceID{f.options.Service}}
		if err := f.openAgent(fmt.Sprint("service", i), i, u); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) openAgent(id string, i int, u agent.Upstream) error {
	a, err := agent.New(agent.Options{
		Node:     config.Node{ID: id, Zone: string(f.zone(i)), Peer: anyPort, Admin: anyPort},
		Secret:   []byte(secret),
		Upstream: u,
		Owners:   agent.StoredOwners(f.kv),
	})
	if err != nil {
		return fmt.Errorf("open agent: %w", err)
	}
	f.Agents = append(f.Agents, a)
	f.add("agent "+id, a.Run)
	f.VMs.Set(vms.VM{ID: id, Role: vms.RoleUpstream, Address: a.Addr().String(), Zone: string(f.zone(i)), State: vms.StateLive})
	return nil
}

func (f *Fleet) openGateways() error {
	for i := range f.options.Gateways {
		s := coord.Settings{
			Node:  config.Node{ID: fmt.Sprint("gateway", i), Zone: string(f.zone(i)), Peer: anyPort, Admin: anyPort},
			Fleet: f.fleet(),
			Gate:  f.options.Gate,
		}
		s.Gate.PublicAddress, s.Ops = anyPort, coord.OpsSettings{Address: anyPort, Bootstrap: Bootstrap}
		if i == 0 {
			s.Gate.PublicAddress = cmp.Or(f.options.Public, anyPort)
			s.Ops.Address = cmp.Or(f.options.Operators, anyPort)
		}
		g, err := coord.NewGateway(s)
		if err != nil {
			return fmt.Errorf("open gateway: %w", err)
		}
		f.Gateways = append(f.Gateways, g)
		f.add("gateway "+s.Node.ID, g.Run)
		f.VMs.Set(vms.VM{
			ID: s.Node.ID, Role: vms.RoleEntry, Address: g.Gate().PeerAddr().String(), Zone: s.Node.Zone, State: vms.StateLive,
		})
	}
	return nil
}

// Start runs all parts.
func (f *Fleet) Start() {
	for _, p := range f.parts {
		ctx, cancel := context.WithCancel(context.Background())
		p.cancel = cancel
		go func() { p.end <- p.run(ctx) }()
	}
}

// Stop ends all parts, the gateways first, and returns their errors.
func (f *Fleet) Stop() error {
	var err error
	for i := len(f.parts) - 1; i >= 0; i-- {
		err = errors.Join(err, f.parts[i].stop())
	}
	f.kv.Close()
	return err
}

// StopPart ends one part gracefully, such as "gateway gateway1".
func (f *Fleet) StopPart(name string) error {
	for _, p := range f.parts {
		if p.name == name {
			return p.stop()
		}
	}
	return nil
}

// Ready reports whether each gateway has a confirmed configuration and is connected to
// all agents.
func (f *Fleet) Ready() bool {
	for _, g := range f.Gateways {
		if !g.Ready() || len(g.Gate().ConnectedAgents()) < len(f.Agents) {
			return false
		}
	}
	return true
}

// notice shortens the graceful stop, which on a platform waits for the balancer.
const notice = 10 * clock.Millisecond

// Default returns the options of "magnolialever dev".
func Default() Options {
	o := Options{
		Zones:    []units.Zone{"zone-a", "zone-b", "zone-c"},
		Gateways: 2, Engines: 3, Services: 1, Service: "booking",
		Engine: engine.Options{Capacity: 80 << 30, StepTime: 5, LoadTime: 500},
	}
	o.Gate.Limits.DrainDelay = notice
	return o
}
