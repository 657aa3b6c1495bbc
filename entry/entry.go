// Package entry is the gateway process on an entry VM of a platform that lists the
// upstreams and keeps the configuration itself. It calls upstreams directly, without
// agents beside them.
package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/feed"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/peers"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/quota"
	"github.com/magnolialever/magnolialever/relay"
	"github.com/magnolialever/magnolialever/reside"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

// storeCallTime is the time of calls to the store; a watch waits up to a second.
var storeCallTime = stats.NewHistogram("entry_store_call_ms")

// inboxSize is the number of messages that may wait for the control loop.
const inboxSize = 256

// Gateway is one gateway process.
type Gateway struct {
	settings *platform.Settings
	// bounds are those of the newest settings.
	bounds      atomic.Pointer[platform.Bounds]
	clock       clock.Clock
	store       *platform.Store
	relay       *relay.Server
	limiter     *rateLimiter
	peers       *peers.Transport
	feed        *feed.Feed
	keyValidity keyValidity
	demand      demandMeter
	inbox       chan message
	incarnation uint64
	// background is done when the parts of the gateway have to end; calls counts calls that
	// are under way.
	background      context.Context
	backgroundCalls sync.WaitGroup
}

// New returns a Gateway for the settings.
func New(settings *platform.Settings) (*Gateway, error) {
	g := &Gateway{
		settings: settings, clock: clock.Boot{}, store: platform.NewStore(settings.StoreAddress),
		limiter: &rateLimiter{quota: quota.New(settings.FirstStart, settings.Bounds.QuotaOvershoot)}, inbox: make(chan message, inboxSize), incarnation: rand.Uint64(),
		demand: demandMeter{meter: reside.NewMeter()}, background: context.Background(),
	}
	g.relay = relay.New(relay.Options{
		Clock:     g.clock,
		Scheduler: sched.New(settings.Zone, sched.ColdTolerance{Factor: settings.Bounds.ColdFactor, Slack: settings.Bounds.ColdSlack}),
		Limiter:   g.limiter,
		Retries: retry.WindowLimit{
			Ratio: settings.Bounds.RetryRatio, Slack: settings.Bounds.RetrySlack, Span: settings.Bounds.RetryWindow,
		},
		KeysUsable: g.keyValidity.valid,
		OnModelMissing: func(s units.ServiceID, m units.ModelID, adapter string) {
			g.demand.recordMiss(g.clock.Now(), reside.Target{Service: s, Model: m, Adapter: adapter})
			g.post(targetMissed{})
		},
		OnModelUse: func(s units.ServiceID, m units.ModelID, adapter string, work float64) {
			g.demand.recordWork(g.clock.Now(), reside.Target{Service: s, Model: m, Adapter: adapter}, work)
		},
	})
	g.bounds.Store(&settings.Bounds)
	g.store.OnCall = func(_ string, elapsed clock.Span, _ error) { storeCallTime.Record(elapsed.Duration()) }
	transport, err := peers.Listen(peers.Options{
		Clock: g.clock, VM: settings.VM, Address: net.JoinHostPort(settings.IP, strconv.Itoa(settings.FirstPort)),
		OnDigest: func(d peers.Digest) { g.post(digestReceived{d}) },
	})
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	g.peers = transport
	g.feed = feed.New(feed.Options{
		Clock: g.clock, Store: g.store,
		OnChange:    func(s *view.Snapshot) { g.post(viewChanged{s}) },
		OnConfirm:   func(at clock.Time) { g.post(storeConfirmed{at}) },
		OnOtherItem: func(i platform.Item) { g.post(itemReceived{i}) },
		OnFullRead:  func(keys map[string]bool) { g.post(fullReadDone{keys}) },
	})
	return g, nil
}

// Reload takes over settings that changed while the process runs: the platform's bounds
// on keys and on a planned stop. The others hold until the next start.
func (g *Gateway) Reload(settings *platform.Settings) {
	g.bounds.Store(&settings.Bounds)
	klog.InfoS("entry: reload", "revoke", settings.Bounds.RevocationDelay, "grace", settings.Bounds.GracePeriod, "restart", needsRestart(g.settings, settings))
}

// needsRestart reports whether settings differ that hold until the next start.
func needsRestart(current, updated *platform.Settings) bool {
	a, b := *current, *updated
	a.Bounds, b.Bounds = platform.Bounds{}, platform.Bounds{}
	return a != b
}

// message is a message to the control loop.
type message interface{}

// Messages to the control loop.
type (
	// viewChanged brings a new belief.
	viewChanged struct{ snapshot *view.Snapshot }
	// storeConfirmed says that the belief held at the time.
	storeConfirmed struct{ at clock.Time }
	// itemReceived brings an item of the system's own.
	itemReceived struct{ item platform.Item }
	// fullReadDone names all keys after a full read.
	fullReadDone struct{ keys map[string]bool }
	// digestReceived brings a digest of another gateway.
	digestReceived struct{ digest peers.Digest }
)

// post hands a message to the control loop. Messages after its end are dropped.
func (g *Gateway) post(m message) {
	select {
	case g.inbox <- m:
	case <-g.background.Done():
	}
}

// startCall runs a call beside the control loop, to which it posts its result.
func (g *Gateway) startCall(call func(ctx context.Context)) {
	g.backgroundCalls.Go(func() { call(g.background) })
}

// demandMeter makes a reside.Meter safe for concurrent use.
type demandMeter struct {
	mu    sync.Mutex
	meter *reside.Meter
}

func (m *demandMeter) recordWork(now clock.Time, t reside.Target, work float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meter.RecordWork(now, t, work)
}

func (m *demandMeter) recordMiss(now clock.Time, t reside.Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meter.RecordMiss(now, t)
}

func (m *demandMeter) current(now clock.Time) map[reside.Target]reside.Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.meter.Demand(now)
}

// rateLimiter makes a Quota safe for concurrent use.
type rateLimiter struct {
	mu    sync.Mutex
	quota *quota.Limiter
}

// Take implements relay.Limiter.
func (l *rateLimiter) Take(now clock.Time, c *fleet.Customer, tokens float64) (bool, clock.Span) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.quota.Take(now, c, tokens)
}

// Run serves until the context is done and then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	klog.InfoS("entry: start", "vm", g.settings.VM, "zone", g.settings.Zone, "first", g.settings.FirstStart, "life", g.incarnation)
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g.background = background
	c := newController(g)
	tasks := []func(context.Context) error{
		c.run,
		func(ctx context.Context) error { g.feed.Run(ctx); return nil },
		g.peers.Run,
		newRegistration(g).run,
	}
	errs := make(chan error, len(tasks))
	for _, task := range tasks {
		go func() { errs <- task(background) }()
	}
	err := g.serve(ctx, c)
	cancel()
	for range tasks {
		err = errors.Join(err, <-errs)
	}
	g.backgroundCalls.Wait()
	klog.InfoS("entry: stop", "vm", g.settings.VM, "err", err)
	if err != nil {
		return fmt.Errorf("entry: %w", err)
	}
	return nil
}

func (g *Gateway) digestAddress() string {
	return net.JoinHostPort(g.settings.IP, strconv.Itoa(g.settings.FirstPort))
}

// self describes this gateway for the others.
func (g *Gateway) self() member.Gateway {
	return member.Gateway{VM: g.settings.VM, Address: g.digestAddress(), Zone: g.settings.Zone}
}

// noLease is a lease that was not granted.
const noLease = platform.LeaseID(0)
