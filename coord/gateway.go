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

// isolatedWait is what callers of an isolated gateway are told to wait; the balancer
// sends them to another one as soon as the readiness check has failed.
const isolatedWait = clock.Second

// Settings are the sections of a gateway's settings.
type Settings struct {
	Node  config.Node
	Fleet config.Fleet
	Gate  gate.Settings
	Ops   OpsSettings
}

// Gateway is a gateway process: its traffic, its control loop, and the clients of
// the platform.
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
	ops      *operators
}

// NewGateway opens the listeners of a gateway.
func NewGateway(s Settings) (*Gateway, error) {
	c := clock.System{}
	g := &Gateway{settings: s, clock: c}
	g.store = store.New(store.Options{Address: s.Fleet.Store, Clock: c})
	g.vms = vmlist.New(vmlist.Options{Address: s.Fleet.Vms, Clock: c})
	self := units.VMID(s.Node.ID)
	g.syncer = syncer.New(syncer.Options{Self: self, Clock: c, Store: ConfigStore{g.store}})
	g.coord = New(Options{
		Self: self, Zone: units.Zone(s.Node.Zone), Store: g.store, Syncer: g.syncer, Clock: c,
		Reports: func() []gate.LoadReport { return g.gate.LoadReports() },
	})
	g.work = work.New(work.Options{
		Store: g.store, Clock: c,
		Execute: func(ctx context.Context, j gate.Job) (*gate.StoredResponse, error) { return g.gate.Execute(ctx, j) },
		Ready:   func() bool { return !g.gate.Draining() && g.refuse() == nil },
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
		Peers:          g.coord,
		AdmissionCheck: g.refuse,
		Demand:         g.coord.Demand(),
		Once:           g.once,
		Jobs:           g.work,
		Clock:          c,
	})
	if err != nil {
		return nil, fmt.Errorf("open gateway: %w", err)
	}
	g.ops, err = newOperators(s.Ops, g.store, g.syncer)
	return g, err
}

// Gate returns the traffic part, for its addresses.
func (g *Gateway) Gate() *gate.Server { return g.gate }

// OperatorAddr returns the address of the operators' interface.
func (g *Gateway) OperatorAddr() net.Addr { return g.ops.net.Addr() }

// Store returns the client of the platform's key-value service.
func (g *Gateway) Store() store.KV { return g.store }

// Syncer returns the part that keeps the configuration current.
func (g *Gateway) Syncer() *syncer.Syncer { return g.syncer }

// Run serves until the context is done and then stops gracefully: control goes on
// until the last request has ended.
func (g *Gateway) Run(ctx context.Context) error {
	control, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	parts := []func(context.Context) error{
		g.coord.Run, g.vms.Run, g.syncer.Run, g.follow, g.once.Run, g.work.Run, g.ops.run,
	}
	ends := make(chan error, len(parts))
	for _, run := range parts {
		go func() { ends <- run(control) }()
	}
	stop := context.AfterFunc(ctx, g.coord.SetDraining)
	defer stop()
	err := g.gate.Run(ctx)
	cancel()
	for range parts {
		if end := <-ends; !errors.Is(end, context.Canceled) {
			err = errors.Join(err, end)
		}
	}
	g.store.Close()
	return err
}

// refuse implements gate.Options.Refuse.
func (g *Gateway) refuse() *gate.Problem {
	if !g.syncer.Ready() {
		// Without a configuration, every key would count as wrong.
		return &gate.Problem{Code: units.Isolated, Message: "the gateway has no configuration yet", RetryAfter: isolatedWait}
	}
	if g.syncer.Isolated(g.clock.Now()) {
		return &gate.Problem{
			Code: units.Isolated, Message: "the gateway reaches neither the store nor most other gateways", RetryAfter: isolatedWait,
		}
	}
	return nil
}

// follow applies new configuration and VM lists.
func (g *Gateway) follow(ctx context.Context) error {
	updates := g.syncer.Subscribe()
	g.apply(g.syncer.Snapshot())
	for {
		select {
		case <-ctx.Done():
			return nil
		case u := <-updates:
			for _, w := range u.Withdrawn {
				klog.Infof("gate: key %s is withdrawn", w.Key)
			}
			g.apply(u.Snapshot)
		case l := <-g.vms.Updates():
			g.applyFleet(l)
		}
	}
}

func (g *Gateway) apply(s *tree.Snapshot) {
	g.picker.SetSnapshot(s)
	g.coord.SetSnapshot(s)
	g.gate.SetDirectory(NewDirectory(s))
}

func (g *Gateway) applyFleet(l *vmlist.List) {
	var agents, gateways []string
	var ids []units.VMID
	leaving := map[units.UpstreamID]bool{}
	for _, v := range l.VMs {
		switch v.Role {
		case vmlist.Upstream:
			agents = append(agents, v.Address)
			leaving[units.UpstreamID(v.ID)] = v.State == vmlist.Leaving
		case vmlist.Entry:
			ids = append(ids, v.ID)
			if v.ID != units.VMID(g.settings.Node.ID) {
				gateways = append(gateways, v.Address)
			}
		}
	}
	g.picker.SetLeaving(leaving)
	g.coord.SetFleet(l)
	g.syncer.SetGateways(ids)
	g.gate.SetAgents(agents)
	g.gate.SetGateways(gateways)
}

// Ready reports whether the gateway has had a configuration that the store
// confirmed, and knows the owners of the customers' rate.
func (g *Gateway) Ready() bool { return g.syncer.Ready() && g.coord.SlotTableVersion() > 0 }
