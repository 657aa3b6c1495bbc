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

// storeCall is the time of calls to the store; a watch waits up to a second.
var storeCall = stats.NewHistogram("entry_store_call_ms")

// mailbox is the number of messages that may wait for the control loop.
const mailbox = 256

// Gateway is one gateway process.
type Gateway struct {
	boot *platform.Settings
	// bounds are those of the newest settings.
	bounds atomic.Pointer[platform.Bounds]
	clock  clock.Clock
	store  *platform.Store
	relay  *relay.Server
	limits *limiter
	peers  *peers.Transport
	feed   *feed.Feed
	trust  trust
	meter  meter
	inbox  chan message
	life   uint64
	// work is done when the parts of the gateway have to end; calls counts calls that
	// are under way.
	work  context.Context
	calls sync.WaitGroup
}

// New returns a Gateway for the settings.
func New(b *platform.Settings) (*Gateway, error) {
	g := &Gateway{
		boot: b, clock: clock.Boot{}, store: platform.NewStore(b.StoreAddress),
		limits: &limiter{quota: quota.New(b.FirstStart, b.Bounds.QuotaOvershoot)}, inbox: make(chan message, mailbox), life: rand.Uint64(),
		meter: meter{meter: reside.NewMeter()}, work: context.Background(),
	}
	g.relay = relay.New(relay.Options{
		Clock:     g.clock,
		Scheduler: sched.New(b.Zone, sched.ColdTolerance{Factor: b.Bounds.ColdFactor, Slack: b.Bounds.ColdSlack}),
		Limiter:   g.limits,
		Retries: retry.WindowLimit{
			Ratio: b.Bounds.RetryRatio, Slack: b.Bounds.RetrySlack, Span: b.Bounds.RetryWindow,
		},
		KeysUsable: g.trust.usable,
		OnModelMissing: func(s units.ServiceID, m units.ModelID, adapter string) {
			g.meter.missed(g.clock.Now(), reside.Target{Service: s, Model: m, Adapter: adapter})
			g.post(missed{})
		},
		OnModelUse: func(s units.ServiceID, m units.ModelID, adapter string, work float64) {
			g.meter.used(g.clock.Now(), reside.Target{Service: s, Model: m, Adapter: adapter}, work)
		},
	})
	g.bounds.Store(&b.Bounds)
	g.store.OnCall = func(_ string, took clock.Span, _ error) { storeCall.Record(took.Duration()) }
	p, err := peers.Listen(peers.Options{
		Clock: g.clock, VM: b.VM, Address: net.JoinHostPort(b.IP, strconv.Itoa(b.FirstPort)),
		OnDigest: func(d peers.Digest) { g.post(digestReceived{d}) },
	})
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	g.peers = p
	g.feed = feed.New(feed.Options{
		Clock: g.clock, Store: g.store,
		OnChange:    func(s *view.Snapshot) { g.post(viewChanged{s}) },
		OnConfirm:   func(at clock.Time) { g.post(storeConfirmed{at}) },
		OnOtherItem: func(i platform.Item) { g.post(keyChanged{i}) },
		OnFullRead:  func(keys map[string]bool) { g.post(keysRead{keys}) },
	})
	return g, nil
}

// Reload takes over settings that changed while the process runs: the platform's bounds
// on keys and on a planned stop. The others hold until the next start.
func (g *Gateway) Reload(b *platform.Settings) {
	g.bounds.Store(&b.Bounds)
	klog.InfoS("entry: reload", "revoke", b.Bounds.RevocationDelay, "grace", b.Bounds.GracePeriod, "restart", restartNeeded(g.boot, b))
}

// restartNeeded reports whether settings differ that hold until the next start.
func restartNeeded(old, now *platform.Settings) bool {
	a, b := *old, *now
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
	// keyChanged brings an item of the system's own.
	keyChanged struct{ item platform.Item }
	// keysRead names all keys after a full read.
	keysRead struct{ keys map[string]bool }
	// digestReceived brings a digest of another gateway.
	digestReceived struct{ digest peers.Digest }
)

// post hands a message to the control loop. Messages after its end are dropped.
func (g *Gateway) post(m message) {
	select {
	case g.inbox <- m:
	case <-g.work.Done():
	}
}

// start runs a call beside the control loop, to which it posts its result.
func (g *Gateway) start(call func(ctx context.Context)) {
	g.calls.Go(func() { call(g.work) })
}

// meter makes a reside.Meter safe for concurrent use.
type meter struct {
	mu    sync.Mutex
	meter *reside.Meter
}

func (m *meter) used(now clock.Time, t reside.Target, work float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meter.RecordWork(now, t, work)
}

func (m *meter) missed(now clock.Time, t reside.Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meter.RecordMiss(now, t)
}

func (m *meter) needs(now clock.Time) map[reside.Target]reside.Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.meter.Demand(now)
}

// limiter makes a Quota safe for concurrent use.
type limiter struct {
	mu    sync.Mutex
	quota *quota.Limiter
}

// Take implements relay.Limiter.
func (l *limiter) Take(now clock.Time, c *fleet.Customer, tokens float64) (bool, clock.Span) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.quota.Take(now, c, tokens)
}

// Run serves until the context is done and then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	klog.InfoS("entry: start", "vm", g.boot.VM, "zone", g.boot.Zone, "first", g.boot.FirstStart, "life", g.life)
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g.work = work
	c := newControl(g)
	parts := []func(context.Context) error{
		c.run,
		func(ctx context.Context) error { g.feed.Run(ctx); return nil },
		g.peers.Run,
		newPresence(g).run,
	}
	ends := make(chan error, len(parts))
	for _, part := range parts {
		go func() { ends <- part(work) }()
	}
	err := g.serve(ctx, c)
	cancel()
	for range parts {
		err = errors.Join(err, <-ends)
	}
	g.calls.Wait()
	klog.InfoS("entry: stop", "vm", g.boot.VM, "err", err)
	if err != nil {
		return fmt.Errorf("entry: %w", err)
	}
	return nil
}

func (g *Gateway) address() string {
	return net.JoinHostPort(g.boot.IP, strconv.Itoa(g.boot.FirstPort))
}

// self describes this gateway for the others.
func (g *Gateway) self() member.Gateway {
	return member.Gateway{VM: g.boot.VM, Address: g.address(), Zone: g.boot.Zone}
}

// none is a lease that was not granted.
const none = platform.LeaseID(0)
