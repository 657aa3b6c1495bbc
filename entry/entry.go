// Package entry implements the gateway process for a platform that itself lists the upstreams and
// stores the configuration. A Gateway runs on an entry VM and calls upstreams directly, without
// agents beside them.
package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/assign"
	"github.com/magnolialever/magnolialever/budget"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/epoch"
	"github.com/magnolialever/magnolialever/feed"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/peers"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/quota"
	"github.com/magnolialever/magnolialever/relay"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/start"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/usage"
	"github.com/magnolialever/magnolialever/view"
	"github.com/magnolialever/magnolialever/wire"
)

// storeCallTime is the duration of calls to the store. A watch without a change takes a second.
var storeCallTime = stats.NewHistogram("entry_store_call_ms")

// sendTimeoutShare is the part of the delay within which upstreams that leave get no more requests for which a request may
// be on its way.
const sendTimeoutShare = 0.75

// inboxSize is the number of messages that are buffered for the control loop.
const inboxSize = 256

// Gateway is a gateway process.
type Gateway struct {
	settings *platform.Settings
	// bounds are the bounds of the settings that were loaded last.
	bounds atomic.Pointer[platform.Bounds]
	clock  clock.Clock
	store  *platform.Store
	relay  *relay.Server
	// shares are the parts of the machine that callers may use.
	shares budget.Shares
	// heads is the budget for heads of requests at all listeners.
	heads   *budget.Pool
	limiter *rateLimiter
	parts   *parts.Guard
	// partExchange shares the decisions about parts of prompts with the other gateways.
	partExchange  *parts.Exchange
	partTransport *partTransport
	verdicts      *parts.Keeper
	// requestVerdicts keeps those on whole requests.
	requestVerdicts *parts.Keeper
	peers           *peers.Transport
	feed            *feed.Feed
	keyValidity     keyValidity
	demand          demandMeter
	inbox           chan message
	// prompted receives a value when a prompt was assigned to an engine.
	prompted chan struct{}
	// leaderUntil is the clock.Time until which this gateway is the leader; 0 if it is not.
	leaderUntil atomic.Int64
	// leaderEpoch is the units.Epoch of that.
	leaderEpoch atomic.Int64
	// peersEra is the latest epoch.Era in a message of another gateway; 0 if there was none.
	peersEra atomic.Int64
	// gateways is the number of gateways.
	gateways atomic.Int64
	// register receives a value when the registration has to be written again.
	register chan struct{}
	// usage counts the requests of customers; nil if the gateways don't report them.
	usage *usage.Counter
	// storeWatch is nil until the gateways are known.
	storeWatch atomic.Pointer[storeWatch]
	// incarnation is a random number that identifies this run of the process.
	incarnation uint64
	// background is canceled when the gateway's goroutines have to end. backgroundCalls counts the
	// calls that startCall has started and that have not returned.
	background      context.Context
	backgroundCalls sync.WaitGroup
}

// New returns a Gateway for the settings. It opens the port for digests and fails if it can't; Run
// does everything else.
func New(settings *platform.Settings) (*Gateway, error) {
	g := &Gateway{
		settings: settings, clock: clock.Boot{}, store: platform.NewStore(settings.StoreAddress),
		inbox: make(chan message, inboxSize), register: make(chan struct{}, 1), prompted: make(chan struct{}, 1), incarnation: rand.Uint64(),
		demand: demandMeter{meter: assign.NewMeter()}, background: context.Background(),
	}
	g.shares = budget.Share(budget.Machine{Memory: g.memory(), Descriptors: settings.Descriptors})
	g.heads = budget.NewPool(g.shares.Heads)
	tolerance := quota.Tolerance{Rate: settings.Bounds.QuotaOvershoot, Tokens: settings.Bounds.QuotaSlack}
	g.limiter = newRateLimiter(settings.VM, g.clock, quota.New(settings.VM, settings.FirstStart, tolerance), g.incarnation)
	g.parts = parts.NewGuard(g.clock)
	g.verdicts = parts.NewKeeper(g.parts, verdictStore{g.store})
	g.partTransport = &partTransport{vm: settings.VM}
	g.partExchange = parts.NewExchange(parts.ExchangeOptions{
		Clock: g.clock, VM: settings.VM, Life: g.incarnation, Guard: g.parts, Transport: g.partTransport,
		DigestInterval: peers.DigestInterval, AwaitStore: true,
	})
	if settings.Cloud.ReportsUsage {
		g.usage = usage.NewCounter(settings.Bounds.UsageWindow, settings.Bounds.UsageDelay)
	}
	began := start.Start{At: g.clock.Now(), First: settings.FirstStart}
	g.relay = g.newRelay(began)
	if g.usage != nil {
		g.relay.OnBegin = func(c units.CustomerID, at clock.Time) { g.usage.Record(g.clock.Now(), at, c) }
	}
	g.requestVerdicts = parts.NewVerdictKeeper(g.clock, g.relay.Verdicts(), verdictStore{g.store})
	g.bounds.Store(&settings.Bounds)
	g.store.OnEra = g.beginEra
	g.store.OnCall = func(_ string, elapsed clock.Span, _ error) { storeCallTime.Record(elapsed.Duration()) }
	transport, err := peers.Listen(peers.Options{
		Clock: g.clock, VM: settings.VM, Address: net.JoinHostPort(settings.IP, strconv.Itoa(settings.FirstPort)),
		Life: g.incarnation,
		OnDigest: func(d peers.Digest) {
			g.receiveEra(d.GetEra())
			g.post(digestReceived{d})
		},
		OnMessage: g.handleMessage,
	})
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	g.peers, g.limiter.peers, g.partTransport.peers = transport, transport, transport
	g.feed = g.newFeed()
	return g, nil
}

// newRelay returns the server for callers' requests. It needs the limiter and the parts, which it uses, and the settings.
func (g *Gateway) newRelay(began start.Start) *relay.Server {
	return relay.New(relay.Options{
		Start:       began,
		Parts:       g.parts,
		Clock:       g.clock,
		Scheduler:   sched.New(g.settings.Zone, sched.ColdTolerance{Factor: g.settings.Bounds.ColdFactor, Slack: g.settings.Bounds.ColdSlack}, began),
		Limiter:     g.limiter,
		SendTimeout: clock.Span(float64(g.settings.Bounds.DrainDelay) * sendTimeoutShare),
		BodyBudget:  int64(g.shares.Bodies),
		Retries: retry.WindowLimit{
			Ratio: g.settings.Bounds.RetryRatio, Slack: g.settings.Bounds.RetrySlack, Span: g.settings.Bounds.RetryWindow,
		},
		KeysUsable: g.keyValidity.valid,
		OnVerdict:  func(v parts.Verdict) { g.requestVerdicts.Add(v, true) },
		OnModelMissing: func(s units.ServiceID, m units.ModelID, adapter string) {
			g.demand.recordMiss(g.clock.Now(), assign.Target{Service: s, Model: m, Adapter: adapter})
			g.post(targetMissed{})
		},
		OnModelUse: func(s units.ServiceID, m units.ModelID, adapter string, work float64) {
			g.demand.recordWork(g.clock.Now(), assign.Target{Service: s, Model: m, Adapter: adapter}, work)
		},
		OnModelShort: func(s units.ServiceID, m units.ModelID, adapter string, work float64) {
			g.demand.recordRefused(g.clock.Now(), assign.Target{Service: s, Model: m, Adapter: adapter}, work)
		},
		OnPrompt: g.promptSent,
	})
}

// newFeed returns the feed of the store, which posts changes to the control loop and batches to other gateways.
func (g *Gateway) newFeed() *feed.Feed {
	return feed.New(feed.Options{
		Clock: g.clock, Store: g.store,
		OnChange:    func(s *view.Snapshot) { g.post(viewChanged{s}) },
		OnConfirm:   func(at clock.Time) { g.post(storeConfirmed{at}) },
		OnOtherItem: func(i platform.Item, restored bool) { g.post(itemReceived{i, restored}) },
		OnFullRead:  func(r feed.FullRead) { g.post(fullReadDone{r}) },
		Pause:       g.watchPause,
		OnBatch:     g.sendChanges,

		ConfirmInterval:   g.confirmInterval,
		OthersConfirmedAt: g.othersConfirmedAt,
	})
}

// Reload applies changed settings while the gateway runs. Only RevocationDelay and GracePeriod take
// effect; other settings need a restart of the process.
func (g *Gateway) Reload(settings *platform.Settings) {
	g.bounds.Store(&settings.Bounds)
	klog.InfoS("entry: reload", "revoke", settings.Bounds.RevocationDelay, "grace", settings.Bounds.GracePeriod,
		"restart", needsRestart(g.settings, settings))
}

// needsRestart reports whether settings outside of Bounds differ, which take effect after a
// restart.
func needsRestart(current, updated *platform.Settings) bool {
	a, b := *current, *updated
	a.Bounds, b.Bounds = platform.Bounds{}, platform.Bounds{}
	return a != b
}

// message is a message to the control loop, one of the types that controller.handle handles.
type message interface{}

// Messages about the store and from other gateways.
type (
	// viewChanged has the new view of the store after a change.
	viewChanged struct{ snapshot *view.Snapshot }
	// storeConfirmed means that the view was current at the time.
	storeConfirmed struct{ at clock.Time }
	// itemReceived has an item of the store that is not part of the view.
	itemReceived struct {
		item platform.Item
		// restored is set if the store may have brought it back from an older copy.
		restored bool
	}
	// fullReadDone means that all items of the store were read.
	fullReadDone struct{ read feed.FullRead }
	// eraBegan means that the store came back from an older copy, or that its first era is known, since the time.
	eraBegan struct {
		era epoch.Era
		at  clock.Time
	}
	// digestReceived has a digest from another gateway.
	digestReceived struct{ digest peers.Digest }
	// eraReceived means that a message of another gateway named a later era.
	eraReceived struct{ era epoch.Era }
	// digestAsked means that a gateway that has just started wants a digest.
	digestAsked struct{ from netip.AddrPort }
	// residencyChanged has loads and unloads that the leader has ordered.
	residencyChanged struct{ changes []*wire.Residency }
	// loadsAnnounced has loads that the leader has ordered and that go on.
	loadsAnnounced struct{ loads []*wire.PendingLoad }
	// promptsReceived has prompts that another gateway has sent to engines.
	promptsReceived struct{ prompts *wire.Prompts }
)

// post sends a message to the control loop and blocks while its inbox is full. Messages are dropped
// once background is canceled.
func (g *Gateway) post(m message) {
	select {
	case g.inbox <- m:
	case <-g.background.Done():
	}
}

// handleMessage handles a message from another gateway other than a digest. Messages about tokens are
// handled at once, since a request waits for them.
func (g *Gateway) handleMessage(m *wire.Datagram, from netip.AddrPort) {
	if changes := m.GetResidencyChanges(); changes != nil {
		g.post(residencyChanged{changes.GetChanges()})
		return
	}
	if loads := m.GetPendingLoads(); loads != nil {
		g.post(loadsAnnounced{loads.GetLoads()})
		return
	}
	if prompts := m.GetPrompts(); prompts != nil {
		g.post(promptsReceived{prompts})
		return
	}
	if changes := m.GetStoreChanges(); changes != nil {
		g.feed.Deliver(g.receiveChanges(changes, from))
		return
	}
	if m.GetEraNotice() != nil {
		g.receiveEra(m.GetEraNotice().GetEra())
		if m.GetEraNotice().GetAsks() {
			g.post(digestAsked{from})
		}
		return
	}
	if m.GetPart() != nil {
		g.partExchange.Handle(m.GetPart(), parts.Sender{Address: from.String()})
		return
	}
	if m.GetUsageTotals() != nil || m.GetUsageReports() != nil || m.GetUsageQuestion() != nil {
		if g.usage != nil {
			g.post(usageReceived{m.GetUsageTotals(), m.GetUsageReports(), m.GetUsageQuestion(), from})
		}
		return
	}
	g.limiter.handleMessage(m, from)
}

// isLeader reports whether this gateway is the leader. It may be called from any goroutine.
func (g *Gateway) isLeader() bool { return g.clock.Now().Before(clock.Time(g.leaderUntil.Load())) }

// startCall runs a call in its own goroutine, so that the control loop doesn't block. The call
// posts its result as a message.
func (g *Gateway) startCall(call func(ctx context.Context)) {
	g.backgroundCalls.Go(func() { call(g.background) })
}

// Run serves callers until the context is done and then drains. It returns the errors of all its
// goroutines, or nil after a graceful stop. It must be called only once.
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
		g.verdicts.Run,
		g.requestVerdicts.Run,
	}
	errs := make(chan error, len(tasks))
	for _, task := range tasks {
		go func() { errs <- task(background) }()
	}
	err := g.serve(ctx, c)
	g.endUsage()
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

// digestAddress is the host:port address that receives the other gateways' digests.
func (g *Gateway) digestAddress() string {
	return net.JoinHostPort(g.settings.IP, strconv.Itoa(g.settings.FirstPort))
}

// self returns this gateway's entry in the list of gateways.
func (g *Gateway) self() member.Gateway {
	return member.Gateway{
		VM: g.settings.VM, Address: g.digestAddress(), Zone: g.settings.Zone, Cores: min(g.settings.Cores, member.MaxCores),
	}
}

// noLease stands for no lease.
var noLease platform.LeaseID
