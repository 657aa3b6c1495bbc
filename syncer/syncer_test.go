package syncer_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

var errStoreUnavailable = errors.New("store is unreachable")

// memoryStore is a syncer.Store in memory.
type memoryStore struct {
	mu          sync.Mutex
	revision    units.Revision
	entries     map[units.TeamID]syncer.Entry
	watch       chan syncer.Entry
	unavailable bool
}

func newMemoryStore() *memoryStore { return &memoryStore{entries: map[units.TeamID]syncer.Entry{}} }

// put stores the configuration and sends it to the watch.
func (m *memoryStore) put(t *testing.T, team units.TeamID, config *tree.Team) {
	t.Helper()
	data, err := tree.Encode(config)
	assert.NilError(t, err)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	entry := syncer.Entry{Team: team, Revision: m.revision, Value: data}
	m.entries[team] = entry
	if m.watch != nil {
		m.watch <- entry
	}
}

// setUnavailable ends the watch and makes later calls fail or succeed.
func (m *memoryStore) setUnavailable(unavailable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unavailable = unavailable
	if m.watch != nil {
		close(m.watch)
		m.watch = nil
	}
}

func (m *memoryStore) List(context.Context) ([]syncer.Entry, units.Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return nil, 0, errStoreUnavailable
	}
	entries := make([]syncer.Entry, 0, len(m.entries))
	for _, e := range m.entries {
		entries = append(entries, e)
	}
	return entries, m.revision, nil
}

func (m *memoryStore) Watch(_ context.Context, from units.Revision) <-chan syncer.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	events := make(chan syncer.Entry, 100)
	for _, e := range m.entries {
		if e.Revision >= from {
			events <- e
		}
	}
	m.watch = events
	return events
}

func (m *memoryStore) Versions(context.Context) ([]tree.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return nil, errStoreUnavailable
	}
	var versions []tree.Version
	for _, e := range m.entries {
		versions = append(versions, tree.Version{Team: e.Team, Revision: e.Revision})
	}
	return versions, nil
}

// stallWatch makes the current watch return nothing more, without an end.
func (m *memoryStore) stallWatch() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watch = nil
}

// directLink delivers frames to another Syncer in the same process.
type directLink struct {
	from units.VMID
	to   *syncer.Syncer
}

func (l *directLink) Push(frame *wire.Frame) error {
	l.to.HandleFrame(l.from, frame)
	return nil
}

// startSyncer runs a Syncer until the end of the test; configStore may be nil.
func startSyncer(t *testing.T, id units.VMID, configStore syncer.Store) *syncer.Syncer {
	t.Helper()
	s := syncer.New(syncer.Options{Self: id, Clock: clock.System{}, Store: configStore})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.Assert(t, errors.Is(<-done, context.Canceled))
	})
	return s
}

// connect opens a session between the nodes a and b, both gateways.
func connect(a, b units.VMID, from, to *syncer.Syncer) {
	from.AddPeer(syncer.Peer{ID: b, Gateway: true, Link: &directLink{a, to}})
	to.AddPeer(syncer.Peer{ID: a, Gateway: true, Link: &directLink{b, from}})
}

// waitUntil polls until done returns true and fails the test after 10 s.
func waitUntil(t *testing.T, condition string, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s", condition)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}

// teamWithKeys returns a configuration with one customer and the keys.
func teamWithKeys(keys ...tree.Key) *tree.Team {
	return &tree.Team{Customers: []tree.Customer{{ID: "c", Rate: 1, Burst: 1}}, Keys: keys}
}

// Guards against a node without store access that misses changes, a withdrawn key that is not
// reported to subscribers, and goroutines that outlive Run.
func TestChangeReachesPeer(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	memory := newMemoryStore()
	key := tree.Key{ID: "k", Hash: tree.HashSecret("s"), Customer: "c"}
	memory.put(t, "a", teamWithKeys(key))
	first, second := startSyncer(t, "n0", memory), startSyncer(t, "n1", nil)
	connect("n0", "n1", first, second)
	waitUntil(t, "second node has the key", func() bool {
		_, ok := second.Snapshot().Caller(key.Hash)
		return ok
	})
	waitUntil(t, "second node is ready", second.Ready)
	updates := second.Subscribe()
	key.Withdrawn = true
	memory.put(t, "a", teamWithKeys(key))
	update := <-updates
	assert.Equal(t, len(update.InvalidatedKeys), 1)
	assert.Equal(t, update.InvalidatedKeys[0].Key, units.KeyID("k"))

	waitUntil(t, "first node shows the version of its peer", func() bool {
		nodes, err := first.Nodes(t.Context())
		return err == nil && len(nodes) == 2 && len(nodes[1].Versions) == 1 && nodes[1].Versions[0].Revision == 2
	})
}

// Guards against changes that are missed after an outage of the store, and against an isolated
// gateway that stays in service.
func TestStoreOutage(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	memory := newMemoryStore()
	s := startSyncer(t, "n0", memory)
	s.SetGateways([]units.VMID{"n0", "n1"})
	isolated := func() bool { return s.Isolated(clock.System{}.Now()) }
	waitUntil(t, "node is ready and not isolated", func() bool { return s.Ready() && !isolated() })
	memory.setUnavailable(true)
	waitUntil(t, "isolated", isolated)
	memory.put(t, "a", teamWithKeys())
	memory.setUnavailable(false)
	waitUntil(t, "change is merged and node is not isolated",
		func() bool { return s.Snapshot().Revision("a") == 1 && !isolated() })
}

// Guards against a withdrawn key that is accepted because the store answers, although the watch of it has
// stalled.
func TestStalledWatchIsNoContact(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	memory := newMemoryStore()
	s := startSyncer(t, "n0", memory)
	s.SetGateways([]units.VMID{"n0", "n1"})
	isolated := func() bool { return s.Isolated(clock.System{}.Now()) }
	waitUntil(t, "node is ready and not isolated", func() bool { return s.Ready() && !isolated() })
	memory.stallWatch()
	memory.put(t, "a", teamWithKeys())
	time.Sleep(3 * time.Second)
	assert.Assert(t, isolated() || s.Snapshot().Revision("a") == 1, "the node takes requests without a change of 3 s ago")
	waitUntil(t, "all values are read again", func() bool { return s.Snapshot().Revision("a") == 1 && !isolated() })
}

// Guards against a change that is merged between a look at the snapshot and the subscription: nobody learns of
// it until the next change.
func TestSubscriberMissesNoChange(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	s := syncer.New(syncer.Options{Self: "n1", Clock: clock.System{}})
	data, err := tree.Encode(teamWithKeys())
	assert.NilError(t, err)
	s.HandleFrame("n0", &wire.Frame{Body: &wire.Frame_Config{Config: &wire.Config{Team: "a", Revision: 1, Value: data}}})
	updates := s.Subscribe()
	assert.Equal(t, s.Snapshot().Revision("a"), units.Revision(0))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	select {
	case u := <-updates:
		assert.Equal(t, u.Snapshot.Revision("a"), units.Revision(1))
	case <-time.After(2 * time.Second):
		t.Error("the change is not reported")
	}
	cancel()
	assert.Assert(t, errors.Is(<-done, context.Canceled))
}
