package coord

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/config"
	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/once"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/vmlist"
	"github.com/magnolialever/magnolialever/work"
)

// isolatedRetryAfter is the retry delay in refusals of an isolated gateway. It can be short: the
// load balancer uses other gateways as soon as the readiness check has failed.
const isolatedRetryAfter = clock.Second

// Settings holds the sections of a gateway's settings.
type Settings struct {
	Node  config.Node
	Fleet config.Fleet
	Gate  gate.Settings
	Ops   OpsSettings
}

// Gateway is a gateway process: the server for callers and agents, the control loop, the operators'
// interface, and the clients of the platform's services.
type Gateway struct {
	settings Settings
	clock    clock.Clock
	store    *store.Client
	vms      *vmlist.Client
	syncer   *syncer.Syncer
	coord    *Coord
	picker   *Picker
	once     *once.Keeper
	work     *work.Queue
	gate     *gate.Server
	ops      *operatorServer
}

// NewGateway returns a gateway with open listeners; it fails if one can't be opened.
func NewGateway(s Settings) (*Gateway, error) {
	c := clock.System{}
	g := &Gateway{settings: s, clock: c}
	g.store = store.New(store.Options{Address: s.Fleet.StoreAddress, Clock: c})
	g.vms = vmlist.New(vmlist.Options{Address: s.Fleet.VMListAddress, Clock: c})
	self := units.VMID(s.Node.ID)
	g.syncer = syncer.New(syncer.Options{Self: self, Clock: c, Store: ConfigStore{g.store}})
	g.coord = New(Options{
		Self: self, Zone: units.Zone(s.Node.Zone), Store: g.store, Syncer: g.syncer, Clock: c,
		Reports: func() []gate.LoadReport { return g.gate.LoadReports() },
	})
	g.work = work.New(work.Options{
		Store: g.store, Clock: c,
		Execute: func(ctx context.Context, j gate.Job) (*gate.StoredResponse, error) { return g.gate.Execute(ctx, j) },
		Ready:   func() bool { return !g.gate.Draining() && g.checkAdmission() == nil },
	})
	g.once = once.New(once.Options{Store: g.store, Agents: g.coord.Outcomes(), Clock: c})
	g.picker = NewPicker(units.Zone(s.Node.Zone), rand.Uint64())
	var err error
	g.gate, err = gate.New(gate.Options{
		Node:           s.Node,
		Secret:         []byte(s.Fleet.Secret),
		Settings:       s.Gate,
		Directory:      NewDirectory(g.syncer.Snapshot()),
		Picker:         g.picker,
		Limiter:        NewLimiter(g.coord),
		Retrier:        NewRetrier(rand.Uint64()),
		Suspects:       g.coord.Suspects(),
		Parts:          g.coord.Parts(),
		Peers:          g.coord,
		AdmissionCheck: g.checkAdmission,
		Demand:         g.coord.Demand(),
		Once:           g.once,
		Jobs:           g.work,
		Clock:          c,
	})
	if err != nil {
		return nil, fmt.Errorf("open gateway: %w", err)
	}
	g.ops, err = newOperatorServer(s.Ops, g.store, g.syncer)
	return g, err
}

// Gate returns the server for callers and agents.
func (g *Gateway) Gate() *gate.Server { return g.gate }

// OperatorAddr returns the listen address of the operators' interface.
func (g *Gateway) OperatorAddr() net.Addr { return g.ops.listener.Addr() }

// Store returns the client of the platform's key-value store.
func (g *Gateway) Store() store.KV { return g.store }

// Syncer returns the replicator of the configuration.
func (g *Gateway) Syncer() *syncer.Syncer { return g.syncer }

// Run serves until the context is done and then stops gracefully: the control loop and the other
// components stop after the last request has ended. Their errors are joined.
func (g *Gateway) Run(ctx context.Context) error {
	controlCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	components := []func(context.Context) error{
		g.coord.Run, g.vms.Run, g.syncer.Run, g.watchUpdates, g.once.Run, g.work.Run, g.ops.run,
	}
	componentErrs := make(chan error, len(components))
	for _, run := range components {
		go func() { componentErrs <- run(controlCtx) }()
	}
	cancelDraining := context.AfterFunc(ctx, g.coord.SetDraining)
	defer cancelDraining()
	err := g.gate.Run(ctx)
	cancel()
	for range components {
		if componentErr := <-componentErrs; !errors.Is(componentErr, context.Canceled) {
			err = errors.Join(err, componentErr)
		}
	}
	g.store.Close()
	return err
}

// checkAdmission implements gate.Options.AdmissionCheck. It refuses requests while the gateway has
// no configuration or is isolated.
func (g *Gateway) checkAdmission() *gate.Problem {
	if !g.syncer.Ready() {
		// Without a configuration, every API key would be refused as invalid.
		return &gate.Problem{
			Code:       units.Isolated,
			Message:    "the gateway has no configuration yet",
			RetryAfter: isolatedRetryAfter,
		}
	}
	if g.syncer.Isolated(g.clock.Now()) {
		return &gate.Problem{
			Code:       units.Isolated,
			Message:    "the gateway can reach neither the store nor most other gateways",
			RetryAfter: isolatedRetryAfter,
		}
	}
	return nil
}

// watchUpdates applies new configurations and VM lists until the context is done.
func (g *Gateway) watchUpdates(ctx context.Context) error {
	updates := g.syncer.Subscribe()
	g.applySnapshot(g.syncer.Snapshot())
	for {
		select {
		case <-ctx.Done():
			return nil
		case u := <-updates:
			for _, w := range u.InvalidatedKeys {
				klog.Infof("gate: API key %s is no longer valid", w.Key)
			}
			g.applySnapshot(u.Snapshot)
		case l := <-g.vms.Updates():
			g.applyFleet(l)
		}
	}
}

func (g *Gateway) applySnapshot(s *tree.Snapshot) {
	g.picker.SetSnapshot(s)
	g.coord.SetSnapshot(s)
	g.gate.SetDirectory(NewDirectory(s))
}

func (g *Gateway) applyFleet(l *vmlist.List) {
	var agentAddresses, gatewayAddresses []string
	var gatewayIDs []units.VMID
	leaving := map[units.UpstreamID]bool{}
	for _, v := range l.VMs {
		switch v.Role {
		case vmlist.Upstream:
			agentAddresses = append(agentAddresses, v.Address)
			leaving[units.UpstreamID(v.ID)] = v.State == vmlist.Leaving
		case vmlist.Entry:
			gatewayIDs = append(gatewayIDs, v.ID)
			if v.ID != units.VMID(g.settings.Node.ID) {
				gatewayAddresses = append(gatewayAddresses, v.Address)
			}
		}
	}
	g.picker.SetLeaving(leaving)
	g.coord.SetFleet(l)
	g.syncer.SetGateways(gatewayIDs)
	g.gate.SetAgents(agentAddresses)
	g.gate.SetGateways(gatewayAddresses)
}

// Ready reports whether the gateway has received a configuration that the store has confirmed, and
// a slot table.
func (g *Gateway) Ready() bool { return g.syncer.Ready() && g.coord.SlotTableVersion() > 0 }
