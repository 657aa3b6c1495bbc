// Package coord runs the control loop of a gateway. It connects the rate, route, retry and place
// packages, which do no I/O, with the gateway's traffic, its agents and peer gateways, and the
// platform's key-value store and VM list. One goroutine owns the state of the control loop.
package coord

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/rate"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/vmlist"
	"github.com/magnolialever/magnolialever/wire"
)

// errStopped is the reason of refusals after the control loop has ended.
var errStopped = errors.New("control loop has stopped")

const (
	// tickInterval is the interval at which the owner of rate slots expires grants.
	tickInterval = 50 * time.Millisecond
	// eventQueueLength is the number of events that can be queued before post blocks.
	eventQueueLength = 1024
	// maxWakeDelay bounds the delay of the rate client's next tick. For an idle client that
	// time is so far in the future that the delay overflows a time.Duration.
	maxWakeDelay = clock.Minute
)

// Options configure a Coord.
type Options struct {
	// Self is the id of this gateway, in the zone Zone.
	Self   units.VMID
	Zone   units.Zone
	Store  store.KV
	Syncer *syncer.Syncer
	Clock  clock.Clock
	// LeaderTasks run while this gateway holds the control lease, in addition to the
	// assignment of rate slots.
	LeaderTasks []LeaderTask
	// Reports returns the load reports of the connected agents. If nil, this gateway does not
	// load or unload models.
	Reports func() []gate.LoadReport
}

// Coord is the control loop of one gateway.
type Coord struct {
	options  Options
	clock    clock.Clock
	events   chan event
	done     chan struct{}
	outboxes *outboxes
	elector  *elector
	suspects *Suspects
	// parts decides by the parts of prompts; partExchange shares its decisions with other gateways.
	parts            *parts.Guard
	partExchange     *parts.Exchange
	partTransport    *partTransport
	verdicts         *parts.Keeper
	placer           *placer
	demand           *demand
	outcomeQueries   *outcomeQueries
	slotTableVersion atomic.Int64
}

// event is a message to the control loop. Only the loop's goroutine calls apply.
type event interface {
	apply(s *state)
}

// New returns a Coord that starts with Run. A nil Clock means clock.System.
func New(o Options) *Coord {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	c := &Coord{
		options:        o,
		clock:          o.Clock,
		events:         make(chan event, eventQueueLength),
		done:           make(chan struct{}),
		outboxes:       newOutboxes(),
		demand:         newDemand(),
		outcomeQueries: newOutcomeQueries(),
	}
	c.placer = newPlacer(c)
	c.elector = newElector(c)
	c.suspects = NewSuspects(c.clock, func(f *wire.Frame) { c.post(broadcastFrame{f}) })
	c.parts = parts.NewGuard(c.clock)
	c.verdicts = parts.NewKeeper(c.parts, verdictStore{o.Store})
	c.partTransport = newPartTransport(c)
	c.partExchange = parts.NewExchange(parts.ExchangeOptions{
		Clock: c.clock, VM: o.Self, Life: rand.Uint64(), Guard: c.parts, Transport: c.partTransport,
		DigestInterval: func(int) clock.Span { return partsInterval },
	})
	return c
}

// Parts returns the decisions by the parts of prompts, shared with the other gateways.
func (c *Coord) Parts() *parts.Guard { return c.parts }

// Done returns a channel that is closed when Run returns.
func (c *Coord) Done() <-chan struct{} { return c.done }

// Suspects returns the requests that were running when upstreams crashed, as known to the fleet.
func (c *Coord) Suspects() *Suspects { return c.suspects }

// broadcastFrame sends a frame to all connected agents and gateways.
type broadcastFrame struct{ frame *wire.Frame }

func (e broadcastFrame) apply(s *state) { s.coord.outboxes.broadcast(e.frame) }

// SetDraining records that this gateway has begun a graceful stop. If it holds the control lease,
// it then assigns its own rate slots to other gateways.
func (c *Coord) SetDraining() { c.elector.setDraining(c.options.Self) }

// SlotTableVersion returns the version of the current slot table, or 0 before the first one.
func (c *Coord) SlotTableVersion() int64 { return c.slotTableVersion.Load() }

// Run runs the control loop until the context is done, then sends the pending reports and releases
// the control lease. It returns the error of the lease, if any.
func (c *Coord) Run(ctx context.Context) error {
	defer close(c.done)
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var watches sync.WaitGroup
	watches.Go(func() { c.watchSlotTable(runCtx) })
	watches.Go(func() { c.watchVerdicts(runCtx) })
	keeperDone := make(chan error, 1)
	go func() { keeperDone <- c.verdicts.Run(runCtx) }()
	electorDone := make(chan error, 1)
	go func() { electorDone <- c.elector.run(runCtx) }()
	c.loop(runCtx)
	cancel()
	c.outboxes.stop()
	watches.Wait()
	return errors.Join(<-keeperDone, <-electorDone)
}

func (c *Coord) loop(ctx context.Context) {
	s := newState(c)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	wakeTimer := time.NewTimer(time.Hour)
	defer wakeTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			s.client.Flush()
			s.flush()
			return
		case e := <-c.events:
			e.apply(s)
		case <-ticker.C:
			s.tick()
		case <-wakeTimer.C:
			s.client.Tick(c.clock.Now())
		}
		s.flush()
		wakeTimer.Reset(wakeDelay(c.clock.Now(), s.client.NextTick()))
	}
}

// wakeDelay returns the delay until next, at least 1 ms and at most maxWakeDelay.
func wakeDelay(now, next clock.Time) time.Duration {
	return min(max(next.Sub(now), 1), maxWakeDelay).Duration()
}

// post queues an event for the loop and reports whether it did. It blocks while the queue is full;
// after Run has returned it may report false.
func (c *Coord) post(e event) bool {
	select {
	case c.events <- e:
		return true
	case <-c.done:
		return false
	}
}

// state is the state of the control loop, used by its goroutine only.
type state struct {
	coord     *Coord
	owner     *rate.Owner
	client    *rate.Client
	slotTable *rate.SlotTable
	// pending holds the requests that wait for a decision on their tokens.
	pending map[rate.RequestID]chan<- rate.Decision
	limits  map[units.CustomerID]rate.Limit
	// isAgent has an entry for each connected process: true for an agent, false for a gateway.
	isAgent      map[string]bool
	controller   controller
	demandSentAt clock.Time
}

func newState(c *Coord) *state {
	return &state{
		coord:   c,
		owner:   rate.NewOwner(c.options.Self),
		client:  rate.NewClient(rate.GrantID(rand.Uint64())),
		pending: map[rate.RequestID]chan<- rate.Decision{},
		limits:  map[units.CustomerID]rate.Limit{},
		isAgent: map[string]bool{},
	}
}

func (s *state) now() clock.Time { return s.coord.clock.Now() }

func (s *state) tick() {
	s.owner.Tick(s.now())
	s.coord.partExchange.OnTick()
	s.coord.parts.Tick()
	s.sendDemand()
}

// flush sends the queued messages of the rate client and delivers its decisions to the requests.
func (s *state) flush() {
	for messages := s.client.TakeMessages(); len(messages) > 0; messages = s.client.TakeMessages() {
		for _, m := range messages {
			s.send(m)
		}
	}
	for _, d := range s.client.TakeDecisions() {
		if reply, ok := s.pending[d.ID]; ok {
			delete(s.pending, d.ID)
			reply <- d
		}
	}
}

// send sends a message of the rate client to an owner, which may be this gateway.
func (s *state) send(m rate.Envelope) {
	if m.To != s.coord.options.Self {
		s.push(string(m.To), m.Message.Frame())
		return
	}
	switch b := m.Message.(type) {
	case rate.Acquire:
		s.client.HandleGrant(s.now(), s.owner.Acquire(s.now(), m.To, b))
	case rate.Settle:
		s.owner.Settle(s.now(), m.To, b)
	default:
		stats.Event("control_message_unknown")
	}
}

func (s *state) push(to string, f *wire.Frame) {
	s.coord.outboxes.push(to, f)
}

// updateTable replaces the slot table by a newer one, transfers the buckets of slots that this
// gateway no longer owns, and sends the table to all agents and gateways.
func (s *state) updateTable(t *rate.SlotTable) {
	if s.slotTable != nil && t.Version <= s.slotTable.Version {
		return
	}
	s.slotTable = t
	s.coord.slotTableVersion.Store(t.Version)
	for _, b := range s.owner.UpdateTable(s.now(), t) {
		s.push(string(t.Rows[b.Slot].Owner), b.Frame())
	}
	s.client.UpdateTable(s.now(), t)
	s.coord.outboxes.broadcast(t.Frame())
	klog.Infof("coord: using slot table version %d", t.Version)
}

// SetFleet replaces the VM list.
func (c *Coord) SetFleet(l *vmlist.List) {
	c.elector.setFleet(l)
	c.post(fleetChanged{l})
}

// fleetChanged applies a new VM list to the owner of rate slots.
type fleetChanged struct{ list *vmlist.List }

func (e fleetChanged) apply(s *state) {
	var agents []units.UpstreamID
	var gateways []units.VMID
	for _, v := range e.list.VMs {
		switch v.Role {
		case vmlist.Upstream:
			agents = append(agents, units.UpstreamID(v.ID))
		case vmlist.Entry:
			gateways = append(gateways, v.ID)
		}
	}
	s.owner.SetFleet(s.now(), e.list.RequestedAt, agents, gateways)
	s.coord.partExchange.SetGateways(len(gateways))
}

// SetSnapshot replaces the configuration.
func (c *Coord) SetSnapshot(sn *tree.Snapshot) {
	c.placer.setSnapshot(sn)
	c.post(snapshotChanged{sn})
}

// Demand returns the counter of requests per target, which the gateway reports to the controller.
func (c *Coord) Demand() gate.Demand { return c.demand }

// snapshotChanged applies the customers' limits of a new configuration.
type snapshotChanged struct{ snapshot *tree.Snapshot }

func (e snapshotChanged) apply(s *state) {
	limits := map[units.CustomerID]rate.Limit{}
	for _, v := range e.snapshot.Versions() {
		for _, c := range e.snapshot.Team(v.Team).Customers {
			limits[c.ID] = rate.Limit{Rate: c.Rate, Burst: c.Burst}
		}
	}
	for id := range s.limits {
		if _, ok := limits[id]; !ok {
			s.setLimit(id, rate.Limit{})
		}
	}
	for id, l := range limits {
		if s.limits[id] != l {
			s.setLimit(id, l)
		}
	}
	s.limits = limits
}

func (s *state) setLimit(id units.CustomerID, l rate.Limit) {
	s.owner.SetLimit(s.now(), id, l)
	s.client.SetLimit(s.now(), id, l)
}
