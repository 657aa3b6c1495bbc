// Package devel runs a development fleet in one process on loopback addresses: gateways, agents, and
// fakes of the platform and the upstreams.
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

// fleetSecret authenticates the members of the fleet to each other. It may be public, because they
// listen on loopback addresses only.
const fleetSecret = "only-for-development"

// BootstrapCredential is the operator credential of the fleet administrator. The gateways accept it
// without a stored configuration.
const BootstrapCredential = "development-administrator"

// loopbackAnyPort lets the system choose a free port.
const loopbackAnyPort = "127.0.0.1:0"

// Options configure a Fleet.
type Options struct {
	// Zones are the availability zones. The members of each kind are assigned to them in turn.
	Zones []units.Zone
	// GatewayCount, EngineCount and ServiceCount are the numbers of gateways, engines and plain
	// services. Each engine and service has an agent.
	GatewayCount int
	EngineCount  int
	ServiceCount int
	// ServiceID is the service that all plain services offer.
	ServiceID units.ServiceID
	// EngineOptions configures all engines; the addresses in it are replaced.
	EngineOptions engine.Options
	// WeightOptions configures the weight store; the address in it is replaced.
	WeightOptions weight.Options
	// GateSettings configures all gateways; the public address in it is replaced.
	GateSettings gate.Settings
	// PublicAddress is the address of the first gateway for requests, as IP:port. If it is empty,
	// a free port is used.
	PublicAddress string
	// OperatorAddress is the address of the first gateway for operators, as IP:port. If it is empty,
	// a free port is used.
	OperatorAddress string
}

// Fleet is a fleet whose members run in goroutines of this process.
type Fleet struct {
	Store    *keyval.Server
	Weights  *weight.Server
	VMs      *vms.Server
	Engines  []*engine.Server
	Services []*plain.Server
	Agents   []*agent.Server
	Gateways []*coord.Gateway

	options   Options
	kv        *store.Client
	processes []*process
}

// process is one member of the fleet, which would be an operating system process in production.
type process struct {
	name     string
	run      func(context.Context) error
	cancel   context.CancelFunc
	result   chan error
	stopOnce sync.Once
	err      error
}

// stop stops the member gracefully, waits for its end and returns its error. Repeated calls return
// the same error.
func (p *process) stop() error {
	p.stopOnce.Do(func() {
		p.cancel()
		if err := <-p.result; err != nil && !errors.Is(err, context.Canceled) {
			p.err = fmt.Errorf("stop %s: %w", p.name, err)
		}
	})
	return p.err
}

// New creates all members of the fleet and opens their listeners. It fails if an address can't be
// listened on.
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

// addProcess adds a member. Start runs the members in this order and Stop stops them in reverse.
func (f *Fleet) addProcess(name string, run func(context.Context) error) {
	f.processes = append(f.processes, &process{name: name, run: run, result: make(chan error, 1)})
}

// openPlatform creates the fakes of the store, the weight store and the VM list.
func (f *Fleet) openPlatform() (err error) {
	if f.Store, err = keyval.New(keyval.Options{}); err != nil {
		return fmt.Errorf("open store: %w", err)
	}
	w := f.options.WeightOptions
	w.Address = ""
	if f.Weights, err = weight.New(w); err != nil {
		return fmt.Errorf("open weight store: %w", err)
	}
	if f.VMs, err = vms.New(vms.Options{}); err != nil {
		return fmt.Errorf("open VM list: %w", err)
	}
	f.kv = store.New(store.Options{Address: f.Store.Addr()})
	f.addProcess("store", f.Store.Run)
	f.addProcess("weight store", f.Weights.Run)
	f.addProcess("VM list", f.VMs.Run)
	return nil
}

// zoneOf returns the zone of the member with the index i among those of its kind.
func (f *Fleet) zoneOf(i int) units.Zone { return f.options.Zones[i%len(f.options.Zones)] }

func (f *Fleet) fleetSettings() config.Fleet {
	return config.Fleet{StoreAddress: f.Store.Addr(), VMListAddress: f.VMs.Addr(), Secret: fleetSecret}
}

// openUpstreams creates the engines and the plain services, each with its agent.
func (f *Fleet) openUpstreams() error {
	for i := range f.options.EngineCount {
		o := f.options.EngineOptions
		o.Address, o.WeightStore = loopbackAnyPort, f.Weights.Addr()
		e, err := engine.New(o)
		if err != nil {
			return fmt.Errorf("open engine: %w", err)
		}
		f.Engines = append(f.Engines, e)
		f.addProcess(fmt.Sprint("engine ", i), e.Run)
		u := agent.Upstream{Kind: agent.Engine, Address: e.Addr(), Capacity: o.Capacity, ChecksFence: o.CheckFence}
		if err := f.openAgent(fmt.Sprint("engine", i), i, u); err != nil {
			return err
		}
	}
	for i := range f.options.ServiceCount {
		p, err := plain.New(plain.Options{})
		if err != nil {
			return fmt.Errorf("open service: %w", err)
		}
		f.Services = append(f.Services, p)
		f.addProcess(fmt.Sprint("service ", i), p.Run)
		u := agent.Upstream{Kind: agent.Service, Address: p.Addr(), Services: []units.ServiceID{f.options.ServiceID}}
		if err := f.openAgent(fmt.Sprint("service", i), i, u); err != nil {
			return err
		}
	}
	return nil
}

// openAgent creates the agent of the upstream with the index i among those of its kind and adds the
// agent to the VM list.
func (f *Fleet) openAgent(id string, i int, u agent.Upstream) error {
	a, err := agent.New(agent.Options{
		Node:          config.Node{ID: id, Zone: string(f.zoneOf(i)), PeerAddress: loopbackAnyPort, AdminAddress: loopbackAnyPort},
		Secret:        []byte(fleetSecret),
		Upstream:      u,
		ReadSlotTable: agent.StoredSlotTable(f.kv),
	})
	if err != nil {
		return fmt.Errorf("open agent: %w", err)
	}
	f.Agents = append(f.Agents, a)
	f.addProcess("agent "+id, a.Run)
	f.VMs.Set(vms.VM{ID: id, Role: vms.RoleUpstream, Address: a.Addr().String(), Zone: string(f.zoneOf(i)), State: vms.StateLive})
	return nil
}

// openGateways creates the gateways and adds them to the VM list.
func (f *Fleet) openGateways() error {
	for i := range f.options.GatewayCount {
		s := coord.Settings{
			Node:  config.Node{ID: fmt.Sprint("gateway", i), Zone: string(f.zoneOf(i)), PeerAddress: loopbackAnyPort, AdminAddress: loopbackAnyPort},
			Fleet: f.fleetSettings(),
			Gate:  f.options.GateSettings,
		}
		s.Gate.PublicAddress, s.Ops = loopbackAnyPort, coord.OpsSettings{Address: loopbackAnyPort, Bootstrap: BootstrapCredential}
		if i == 0 {
			s.Gate.PublicAddress = cmp.Or(f.options.PublicAddress, loopbackAnyPort)
			s.Ops.Address = cmp.Or(f.options.OperatorAddress, loopbackAnyPort)
		}
		g, err := coord.NewGateway(s)
		if err != nil {
			return fmt.Errorf("open gateway: %w", err)
		}
		f.Gateways = append(f.Gateways, g)
		f.addProcess("gateway "+s.Node.ID, g.Run)
		f.VMs.Set(vms.VM{
			ID: s.Node.ID, Role: vms.RoleEntry, Address: g.Gate().PeerAddr().String(), Zone: s.Node.Zone, State: vms.StateLive,
		})
	}
	return nil
}

// Start runs all members in the background. It must be called once.
func (f *Fleet) Start() {
	for _, p := range f.processes {
		ctx, cancel := context.WithCancel(context.Background())
		p.cancel = cancel
		go func() { p.result <- p.run(ctx) }()
	}
}

// Stop stops all members gracefully, the gateways first and the platform last. It joins their errors.
func (f *Fleet) Stop() error {
	var err error
	for i := len(f.processes) - 1; i >= 0; i-- {
		err = errors.Join(err, f.processes[i].stop())
	}
	f.kv.Close()
	return err
}

// StopProcess stops the named member gracefully, such as "gateway gateway1", and returns its error.
// An unknown name is ignored.
func (f *Fleet) StopProcess(name string) error {
	for _, p := range f.processes {
		if p.name == name {
			return p.stop()
		}
	}
	return nil
}

// Ready reports whether each gateway has a confirmed configuration and is connected to all agents.
func (f *Fleet) Ready() bool {
	for _, g := range f.Gateways {
		if !g.Ready() || len(g.Gate().ConnectedAgents()) < len(f.Agents) {
			return false
		}
	}
	return true
}

// drainDelay is short, because no load balancer has to notice the stop of a gateway.
const drainDelay = 10 * clock.Millisecond

// Default returns the options that "magnolialever dev" starts with.
func Default() Options {
	o := Options{
		Zones:        []units.Zone{"zone-a", "zone-b", "zone-c"},
		GatewayCount: 2, EngineCount: 3, ServiceCount: 1, ServiceID: "booking",
		EngineOptions: engine.Options{Capacity: 80 << 30, StepTime: 5, LoadTime: 500},
	}
	o.GateSettings.Limits.DrainDelay = drainDelay
	return o
}
