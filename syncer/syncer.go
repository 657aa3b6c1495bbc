// Package syncer keeps the snapshot of the operators' configuration current on a
// node: from the platform service where the node watches it, and from peers.
//
// Values travel between nodes only on request. A node announces its versions to all
// peers when the store brings a change, to its agents when a peer brings it, and to
// one peer at a time at intervals. A node that is behind requests the value from
// one of the peers that have it, so that it receives each value once.
package syncer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	inboxLength = 256
	stopTimeout = time.Second
	// compareInterval is the mean time between two comparisons of all versions with
	// one peer. It bounds the traffic of 320 nodes and repairs lost announcements.
	compareInterval = 500 * clock.Millisecond
)

// Link carries messages to one peer. Push may block until the session ends.
type Link interface {
	Push(f *wire.Frame) error
}

// Peer is a gateway or agent with an open session.
type Peer struct {
	ID      units.VMID
	Gateway bool
	Link    Link
}

// Update tells a subscriber of a new snapshot.
type Update struct {
	Snapshot *tree.Snapshot
	// InvalidatedKeys lists the keys that became invalid since the last update.
	InvalidatedKeys []tree.InvalidatedKey
}

// Options configure a Syncer.
type Options struct {
	Self  units.VMID
	Clock clock.Clock
	// Store is nil on nodes that do not watch the store.
	Store Store
}

// Syncer runs the decisions of State. All methods are safe for concurrent use.
type Syncer struct {
	clock    clock.Clock
	store    Store
	state    *State
	links    map[units.VMID]*outbox
	inbox    chan func(now clock.Time) []Message
	done     chan struct{}
	watchers []chan Update

	snapshot  atomic.Pointer[tree.Snapshot]
	reachable atomic.Int64
	ready     atomic.Bool
}

// New returns a Syncer, which works while Run does.
func New(o Options) *Syncer {
	s := &Syncer{
		clock: o.Clock,
		store: o.Store,
		state: NewState(o.Self),
		links: map[units.VMID]*outbox{},
		inbox: make(chan func(clock.Time) []Message, inboxLength),
		done:  make(chan struct{}),
	}
	s.publish()
	return s
}

// Snapshot returns the snapshot in force.
func (s *Syncer) Snapshot() *tree.Snapshot { return s.snapshot.Load() }

// Isolated reports whether the node must take no new request, because it has
// reached neither the store nor more than half of the gateways for 2 s.
func (s *Syncer) Isolated(now clock.Time) bool { return now.After(clock.Time(s.reachable.Load())) }

// Ready reports whether the snapshot has ever been as new as the store's values.
func (s *Syncer) Ready() bool { return s.ready.Load() }

// Run keeps the snapshot current until the context ends. It may be called once.
func (s *Syncer) Run(ctx context.Context) error {
	feed := s.startFeed(ctx)
	timer := time.NewTimer(nextCompare())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			close(s.done)
			<-feed
			s.stop()
			return context.Cause(ctx)
		case f := <-s.inbox:
			s.apply(f(s.clock.Now()))
		case <-timer.C:
			s.apply(s.state.Tick(s.clock.Now()))
			timer.Reset(nextCompare())
		}
	}
}

// nextCompare spreads the comparisons of nodes that started together.
func nextCompare() time.Duration {
	return compareInterval.Duration()/2 + rand.N(compareInterval.Duration())
}

// stop ends the outboxes. One that is still blocked ends with its session.
func (s *Syncer) stop() {
	for _, o := range s.links {
		o.close()
	}
	limit := time.After(stopTimeout)
	for id, o := range s.links {
		select {
		case <-o.done:
		case <-limit:
			klog.Warningf("syncer: peer %s is still taking a message", id)
			return
		}
	}
}

// apply sends messages and publishes what the decision changed.
func (s *Syncer) apply(l []Message) {
	for _, m := range l {
		if o, ok := s.links[m.To]; ok {
			o.send(m.Frame)
		}
	}
	s.publish()
}

func (s *Syncer) publish() {
	s.reachable.Store(int64(s.state.ReachableDeadline()))
	s.ready.Store(s.state.Ready())
	if s.snapshot.Load() == s.state.Snapshot() {
		return
	}
	u := Update{Snapshot: s.state.Snapshot(), InvalidatedKeys: s.state.TakeInvalidatedKeys()}
	s.snapshot.Store(u.Snapshot)
	for _, c := range s.watchers {
		offer(c, u)
	}
}

// offer replaces an update that the subscriber has not taken yet. The loop is the
// only sender, so that the channel has room after the old update left it.
func offer(c chan Update, u Update) {
	select {
	case old := <-c:
		u.InvalidatedKeys = append(old.InvalidatedKeys, u.InvalidatedKeys...)
	default:
	}
	c <- u
}

// do has the loop run f, unless Run has ended.
func (s *Syncer) do(f func(now clock.Time) []Message) {
	select {
	case s.inbox <- f:
	case <-s.done:
	}
}

// Subscribe returns a channel with the newest update that has not been taken. The
// first one follows the next change.
func (s *Syncer) Subscribe() <-chan Update {
	c := make(chan Update, 1)
	s.do(func(clock.Time) []Message {
		s.watchers = append(s.watchers, c)
		return nil
	})
	return c
}

// AddPeer starts the exchange with a peer. A second session of the same peer
// replaces the first.
func (s *Syncer) AddPeer(p Peer) {
	s.do(func(now clock.Time) []Message {
		if o, ok := s.links[p.ID]; ok {
			o.close()
		}
		s.links[p.ID] = newOutbox(p.Link)
		return s.state.AddPeer(now, p.ID, p.Gateway)
	})
}

// RemovePeer ends the exchange with a peer, unless another session replaced the link.
func (s *Syncer) RemovePeer(id units.VMID, l Link) {
	s.do(func(clock.Time) []Message {
		if o, ok := s.links[id]; ok && o.link == l {
			o.close()
			delete(s.links, id)
			s.state.RemovePeer(id)
		}
		return nil
	})
}

// HandleFrame takes a Versions or Config message from a peer and ignores others.
func (s *Syncer) HandleFrame(from units.VMID, f *wire.Frame) {
	s.do(func(now clock.Time) []Message {
		if v := f.GetVersions(); v != nil {
			return s.state.HandleVersions(now, from, v)
		}
		if c := f.GetConfig(); c != nil {
			return s.state.HandleConfig(now, from, c)
		}
		return nil
	})
}

// GatewayResponded notes that a gateway answered a message, such as a Ping, that was sent to
// it at the time.
func (s *Syncer) GatewayResponded(from units.VMID, sent clock.Time) {
	s.do(func(clock.Time) []Message {
		s.state.GatewayResponded(sent, from)
		return nil
	})
}

// SetGateways sets the gateways on the VM list.
func (s *Syncer) SetGateways(l []units.VMID) {
	s.do(func(clock.Time) []Message {
		s.state.SetGateways(l)
		return nil
	})
}

// MergeWritten takes a value that this node has just written to the store.
func (s *Syncer) MergeWritten(e Entry) {
	s.do(func(now clock.Time) []Message { return s.state.MergeStored(now, e) })
}

// Nodes returns the versions in force on this node and its peers, as far as known.
func (s *Syncer) Nodes(ctx context.Context) ([]Node, error) {
	c := make(chan []Node, 1)
	s.do(func(now clock.Time) []Message {
		c <- s.state.Nodes(now)
		return nil
	})
	select {
	case l := <-c:
		return l, nil
	case <-s.done:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

func logRejected(err error) { klog.Warningf("syncer: kept the last good configuration: %v", err) }
