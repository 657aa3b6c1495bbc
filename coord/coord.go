// Package coord runs the control loop of a gateway: it carries the decisions of the
// rate, route and retry packages between the gateway's traffic, its peers and the
// platform's services. One goroutine owns all control state.
package coord

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/rate"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/vmlist"
	"github.com/magnolialever/magnolialever/wire"
)

// errStopped is returned to requests after the control loop has ended.
var errStopped = errors.New("control loop has stopped")

const (
	// tickInterval is how often owners of rate slots end expired grants.
	tickInterval = 50 * time.Millisecond
	// eventQueue lets traffic hand over events while the loop is busy.
	eventQueue = 1024
	// maxWake is the longest wait for the next tick of the client. The time of a client
	// without requests is so far away that it does not fit a time.Duration.
	maxWake = clock.Minute
)

// Options configure a Coord.
type Options struct {
	Self   units.VMID
	Zone   units.Zone
	Store  store.KV
	Syncer *syncer.Syncer
	Clock  clock.Clock
	// LeaderTasks are performed while this gateway holds the control lease, besides the
	// assignment of rate slots.
	LeaderTasks []LeaderTask
	// Reports returns the load reports of the connected agents. Without it this
	// gateway does not place models.
	Reports func() []gate.LoadReport
}

// Coord is the control loop of one gateway.
type Coord struct {
	options  Options
	clock    clock.Clock
	events   chan event
	done     chan struct{}
	outboxes *outboxes
	leader   *leader
	suspects *Suspects
	placer   *placer
	demand   *demand
	queries  *queries
	version  atomic.Int64
}

// event is a message to the control loop.
type event interface {
	apply(s *state)
}

// New returns a Coord; Run starts it.
func New(o Options) *Coord {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	c := &Coord{
		options:  o,
		clock:    o.Clock,
		events:   make(chan event, eventQueue),
		done:     make(chan struct{}),
		outboxes: newOutboxes(),
		demand:   newDemand(),
		queries:  newQueries(),
	}
	c.placer = newPlacer(c)
	c.leader = newLeader(c)
	c.suspects = NewSuspects(c.clock, func(f *wire.Frame) { c.post(spread{f}) })
	return c
}

// Done is closed when Run has returned.
func (c *Coord) Done() <-chan struct{} { return c.done }

// Suspects returns what the fleet knows of requests that crashed upstreams.
func (c *Coord) Suspects() *Suspects { return c.suspects }

// spread is a frame for all agents and gateways.
type spread struct{ frame *wire.Frame }

func (e spread) apply(s *state) { s.coord.outboxes.broadcast(e.frame) }

// SetDraining tells that this gateway has begun a planned stop, for the case that it is the
// controller.
func (c *Coord) SetDraining() { c.leader.setLeaving(c.options.Self) }

// SlotTableVersion returns the version of the table of rate slot owners in force, or 0.
func (c *Coord) SlotTableVersion() int64 { return c.version.Load() }

// Run serves the control loop until the context is done.
func (c *Coord) Run(ctx context.Context) error {
	defer close(c.done)
	work, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := make(chan struct{})
	go func() {
		defer close(watch)
		c.watchOwners(work)
	}()
	lead := make(chan error, 1)
	go func() { lead <- c.leader.run(work) }()
	c.loop(work)
	cancel()
	c.outboxes.stop()
	<-watch
	return <-lead
}

func (c *Coord) loop(ctx context.Context) {
	s := newState(c)
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			s.client.Flush()
			s.flush()
			return
		case e := <-c.events:
			e.apply(s)
		case <-t.C:
			s.tick()
		case <-wake.C:
			s.client.Tick(c.clock.Now())
		}
		s.flush()
		wake.Reset(wakeAfter(c.clock.Now(), s.client.NextTick()))
	}
}

func wakeAfter(now, next clock.Time) time.Duration {
	return min(max(next.Sub(now), 1), maxWake).Duration()
}

// post hands an event to the loop; it reports false after the loop has ended.
func (c *Coord) post(e event) bool {
	select {
	case c.events <- e:
		return true
	case <-c.done:
		return false
	}
}

// state is owned by the control loop.
type state struct {
	coord   *Coord
	owner   *rate.Owner
	client  *rate.Client
	table   *rate.SlotTable
	waiting map[rate.RequestID]chan<- rate.Decision
	limits  map[units.CustomerID]rate.Limit
	// agents tells agents from gateways among the connected processes.
	agents     map[string]bool
	controller controller
	demandSent clock.Time
}

func newState(c *Coord) *state {
	return &state{
		coord:   c,
		owner:   rate.NewOwner(c.options.Self),
		client:  rate.NewClient(rate.GrantID(rand.Uint64())),
		waiting: map[rate.RequestID]chan<- rate.Decision{},
		limits:  map[units.CustomerID]rate.Limit{},
		agents:  map[string]bool{},
	}
}

func (s *state) now() clock.Time { return s.coord.clock.Now() }

func (s *state) tick() {
	s.owner.Tick(s.now())
	s.sendDemand()
}

// flush sends what the decisions have produced and answers waiting requests.
func (s *state) flush() {
	for sends := s.client.TakeMessages(); len(sends) > 0; sends = s.client.TakeMessages() {
		for _, m := range sends {
			s.send(m)
		}
	}
	for _, v := range s.client.TakeDecisions() {
		if reply, ok := s.waiting[v.ID]; ok {
			delete(s.waiting, v.ID)
			reply <- v
		}
	}
}

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

// learn takes over a newer table of owners and tells agents of it.
func (s *state) learn(t *rate.SlotTable) {
	if s.table != nil && t.Version <= s.table.Version {
		return
	}
	s.table = t
	s.coord.version.Store(t.Version)
	for _, l := range s.owner.UpdateTable(s.now(), t) {
		s.push(string(t.Rows[l.Slot].Owner), l.Frame())
	}
	s.client.UpdateTable(s.now(), t)
	s.coord.outboxes.broadcast(t.Frame())
	klog.Infof("coord: rate slot owners version %d are in force", t.Version)
}

// SetFleet tells the loop the newest VM list.
func (c *Coord) SetFleet(l *vmlist.List) {
	c.leader.setFleet(l)
	c.post(fleetChanged{l})
}

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
}

// SetSnapshot tells the loop the configuration in force.
func (c *Coord) SetSnapshot(sn *tree.Snapshot) {
	c.placer.setSnapshot(sn)
	c.post(snapshotChanged{sn})
}

// Demand returns the part that counts what callers ask for.
func (c *Coord) Demand() gate.Demand { return c.demand }

type snapshotChanged struct{ snapshot *tree.Snapshot }

func (e snapshotChanged) apply(s *state) {
	next := map[units.CustomerID]rate.Limit{}
	for _, v := range e.snapshot.Versions() {
		for _, c := range e.snapshot.Team(v.Team).Customers {
			next[c.ID] = rate.Limit{Rate: c.Rate, Burst: c.Burst}
		}
	}
	for id := range s.limits {
		if _, ok := next[id]; !ok {
			s.setLimit(id, rate.Limit{})
		}
	}
	for id, l := range next {
		if s.limits[id] != l {
			s.setLimit(id, l)
		}
	}
	s.limits = next
}

func (s *state) setLimit(id units.CustomerID, l rate.Limit) {
	s.owner.SetLimit(s.now(), id, l)
	s.client.SetLimit(s.now(), id, l)
}
