// Package syncer keeps a node's snapshot of the operators' configuration current, from the
// platform's key-value service on nodes that watch it, and from peers.
//
// Nodes send each other values only on request. A node announces new versions to all peers when
// the change came from the store, and to its agents when it came from a peer. At intervals it
// also compares all versions with one peer. A node that is behind requests the value from one
// of the peers that have it, so that it receives each value once.
package syncer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// inboxCapacity is the number of functions waiting for the event loop.
	inboxCapacity = 256
	// stopTimeout bounds the wait for outboxes at the end of Run.
	stopTimeout = time.Second
	// compareInterval is the mean time between two comparisons of all versions with a peer. It
	// bounds the traffic in a fleet of 320 nodes and repairs lost announcements.
	compareInterval = 500 * clock.Millisecond
	// reachInterval is the interval at which AwaitMajority looks.
	reachInterval = 10 * time.Millisecond
)

// Link sends messages to one peer. Push may block until the session ends.
type Link interface {
	Push(f *wire.Frame) error
}

// Peer is a gateway or agent with an open session.
type Peer struct {
	ID      units.VMID
	Gateway bool
	Link    Link
}

// Update is a new snapshot for a subscriber.
type Update struct {
	Snapshot *tree.Snapshot
	// InvalidatedKeys lists the API keys that became invalid since the last update.
	InvalidatedKeys []tree.InvalidatedKey
}

// Options configure a Syncer. Clock is required.
type Options struct {
	Self  units.VMID
	Clock clock.Clock
	// Store is nil on nodes that do not watch the store.
	Store Store
}

// Syncer runs a State in an event loop and sends its messages. All methods are safe for
// concurrent use.
type Syncer struct {
	clock    clock.Clock
	store    Store
	state    *State
	outboxes map[units.VMID]*outbox
	inbox    chan func(now clock.Time) []Message
	done     chan struct{}
	// relist receives a value when the watch of the store has missed changes.
	relist chan struct{}

	mu          sync.Mutex // guards subscribers, and that each of them gets all snapshots from then on
	subscribers []chan Update

	snapshot          atomic.Pointer[tree.Snapshot]
	reachableDeadline atomic.Int64
	ready             atomic.Bool
	versionsHash      atomic.Uint64
}

// New returns a Syncer; Run starts it.
func New(o Options) *Syncer {
	s := &Syncer{
		clock:    o.Clock,
		store:    o.Store,
		state:    NewState(o.Self),
		outboxes: map[units.VMID]*outbox{},
		inbox:    make(chan func(clock.Time) []Message, inboxCapacity),
		done:     make(chan struct{}),
		relist:   make(chan struct{}, 1),
	}
	s.publish()
	return s
}

// Snapshot returns the current snapshot.
func (s *Syncer) Snapshot() *tree.Snapshot { return s.snapshot.Load() }

// Isolated reports whether the node must reject new requests, because neither the store nor
// more than half of the gateways have responded for 2 s.
func (s *Syncer) Isolated(now clock.Time) bool {
	return now.After(clock.Time(s.reachableDeadline.Load()))
}

// Ready reports whether the snapshot has ever been as new as the store.
func (s *Syncer) Ready() bool { return s.ready.Load() }

// Run runs the event loop until the context is done, and returns the cause. It may be called
// once.
func (s *Syncer) Run(ctx context.Context) error {
	followerDone := s.startStoreFollower(ctx)
	timer := time.NewTimer(compareDelay())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			close(s.done)
			<-followerDone
			s.closeOutboxes()
			return context.Cause(ctx)
		case f := <-s.inbox:
			s.sendAndPublish(f(s.clock.Now()))
		case <-timer.C:
			s.sendAndPublish(s.state.Tick(s.clock.Now()))
			timer.Reset(compareDelay())
		}
	}
}

// compareDelay returns a random delay, so that nodes that started together don't compare at the
// same time.
func compareDelay() time.Duration {
	return compareInterval.Duration()/2 + rand.N(compareInterval.Duration())
}

// closeOutboxes closes the outboxes and waits for them, for stopTimeout in total. One that is
// still blocked ends with its session.
func (s *Syncer) closeOutboxes() {
	for _, o := range s.outboxes {
		o.close()
	}
	timeout := time.After(stopTimeout)
	for id, o := range s.outboxes {
		select {
		case <-o.done:
		case <-timeout:
			klog.Warningf("syncer: message to peer %s is still being sent at the stop", id)
			return
		}
	}
}

// sendAndPublish sends the messages and publishes changes of the state.
func (s *Syncer) sendAndPublish(messages []Message) {
	for _, m := range messages {
		if o, ok := s.outboxes[m.To]; ok {
			o.send(m.Frame)
		}
	}
	s.publish()
}

// publish copies the results of the state to where other goroutines can read them, and sends a
// changed snapshot to the subscribers.
func (s *Syncer) publish() {
	s.reachableDeadline.Store(int64(s.state.ReachableDeadline()))
	s.ready.Store(s.state.Ready())
	if s.snapshot.Load() == s.state.Snapshot() {
		return
	}
	s.versionsHash.Store(s.state.VersionsHash())
	update := Update{Snapshot: s.state.Snapshot(), InvalidatedKeys: s.state.TakeInvalidatedKeys()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot.Store(update.Snapshot)
	for _, c := range s.subscribers {
		replaceUpdate(c, update)
	}
}

// replaceUpdate replaces an update that the subscriber has not received yet. The event loop is
// the only sender, so the channel has capacity once the old update is removed.
func replaceUpdate(updates chan Update, update Update) {
	select {
	case pending := <-updates:
		update.InvalidatedKeys = append(pending.InvalidatedKeys, update.InvalidatedKeys...)
	default:
	}
	updates <- update
}

// enqueue makes the event loop run f; it does nothing after Run has ended.
func (s *Syncer) enqueue(f func(now clock.Time) []Message) {
	select {
	case s.inbox <- f:
	case <-s.done:
	}
}

// Subscribe returns a channel that receives the update for each change of the snapshot from now on. An
// update that was not received yet is merged into the next one.
func (s *Syncer) Subscribe() <-chan Update {
	updates := make(chan Update, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, updates)
	return updates
}

// AddPeer starts the exchange with a peer. A second session of the same peer replaces the
// first.
func (s *Syncer) AddPeer(p Peer) {
	s.enqueue(func(now clock.Time) []Message {
		if o, ok := s.outboxes[p.ID]; ok {
			o.close()
		}
		s.outboxes[p.ID] = newOutbox(p.Link)
		return s.state.AddPeer(now, p.ID, p.Gateway)
	})
}

// RemovePeer ends the exchange with a peer, unless another session has replaced the link.
func (s *Syncer) RemovePeer(id units.VMID, link Link) {
	s.enqueue(func(clock.Time) []Message {
		if o, ok := s.outboxes[id]; ok && o.link == link {
			o.close()
			delete(s.outboxes, id)
			s.state.RemovePeer(id)
		}
		return nil
	})
}

// HandleFrame handles a Versions or Config message from a peer and ignores others.
func (s *Syncer) HandleFrame(from units.VMID, f *wire.Frame) {
	s.enqueue(func(now clock.Time) []Message {
		if v := f.GetVersions(); v != nil {
			return s.state.HandleVersions(now, from, v)
		}
		if c := f.GetConfig(); c != nil {
			return s.state.HandleConfig(now, from, c)
		}
		return nil
	})
}

// GatewayResponded records that a gateway responded to a message, such as a Ping, that was sent
// to it at the time sent, with the hash of the versions that it uses.
func (s *Syncer) GatewayResponded(from units.VMID, sent clock.Time, versions uint64) {
	s.enqueue(func(now clock.Time) []Message { return s.state.GatewayResponded(now, sent, from, versions) })
}

// VersionsHash returns a hash of the versions in use on this node.
func (s *Syncer) VersionsHash() uint64 { return s.versionsHash.Load() }

// AwaitMajority waits until more than half of the gateways use the revision of the team, or a later one,
// or until the context is done, and returns which do.
func (s *Syncer) AwaitMajority(ctx context.Context, team units.TeamID, revision units.Revision) Reach {
	ticker := time.NewTicker(reachInterval)
	defer ticker.Stop()
	var reach Reach
	for {
		result := make(chan Reach, 1)
		s.enqueue(func(clock.Time) []Message {
			result <- s.state.Reach(team, revision)
			return nil
		})
		select {
		case reach = <-result:
		case <-s.done:
			return reach
		case <-ctx.Done():
			return reach
		}
		if reach.Majority() {
			return reach
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return reach
		}
	}
}

// SetGateways sets the gateways on the VM list, which includes this node if it is a gateway.
func (s *Syncer) SetGateways(gateways []units.VMID) {
	s.enqueue(func(clock.Time) []Message {
		s.state.SetGateways(gateways)
		return nil
	})
}

// MergeWritten merges a value that this node has just written to the store.
func (s *Syncer) MergeWritten(e Entry) {
	s.enqueue(func(now clock.Time) []Message { return s.state.MergeStored(now, e) })
}

// Nodes returns the versions in use on this node and last reported by its peers. It fails with
// ErrStopped after Run has ended.
func (s *Syncer) Nodes(ctx context.Context) ([]Node, error) {
	result := make(chan []Node, 1)
	s.enqueue(func(now clock.Time) []Message {
		result <- s.state.Nodes(now)
		return nil
	})
	select {
	case l := <-result:
		return l, nil
	case <-s.done:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

func logRejectedValue(err error) {
	klog.Warningf("syncer: invalid configuration, kept the previous one: %v", err)
}
