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

var errOut = errors.New("store is out")

// memory is a store in memory.
type memory struct {
	mu       sync.Mutex
	revision units.Revision
	entries  map[units.TeamID]syncer.Entry
	watch    chan syncer.Entry
	out      bool
}

func newMemory() *memory { return &memory{entries: map[units.TeamID]syncer.Entry{}} }

func (m *memory) put(t *testing.T, team units.TeamID, v *tree.Team) {
	t.Helper()
	data, err := tree.Encode(v)
	assert.NilError(t, err)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	e := syncer.Entry{Team: team, Revision: m.revision, Value: data}
	m.entries[team] = e
	if m.watch != nil {
		m.watch <- e
	}
}

// breakOff ends the watch and has calls fail or work again.
func (m *memory) breakOff(out bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.out = out
	if m.watch != nil {
		close(m.watch)
		m.watch = nil
	}
}

func (m *memory) List(context.Context) ([]syncer.Entry, units.Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.out {
		return nil, 0, errOut
	}
	l := make([]syncer.Entry, 0, len(m.entries))
	for _, e := range m.entries {
		l = append(l, e)
	}
	return l, m.revision, nil
}

func (m *memory) Watch(_ context.Context, from units.Revision) <-chan syncer.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := make(chan syncer.Entry, 100)
	for _, e := range m.entries {
		if e.Revision >= from {
			c <- e
		}
	}
	m.watch = c
	return c
}

func (m *memory) Ping(context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.out {
		return errOut
	}
	return nil
}

// pipe delivers to another syncer.
type pipe struct {
	from units.VMID
	to   *syncer.Syncer
}

func (p *pipe) Push(f *wire.Frame) error {
	p.to.HandleFrame(p.from, f)
	return nil
}

func start(t *testing.T, id units.VMID, s syncer.Store) *syncer.Syncer {
	t.Helper()
	y := syncer.New(syncer.Options{Self: id, Clock: clock.System{}, Store: s})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- y.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.Assert(t, errors.Is(<-done, context.Canceled))
	})
	return y
}

func connect(a, b units.VMID, from, to *syncer.Syncer) {
	from.AddPeer(syncer.Peer{ID: b, Gateway: true, Link: &pipe{a, to}})
	to.AddPeer(syncer.Peer{ID: a, Gateway: true, Link: &pipe{b, from}})
}

func within(t *testing.T, what string, f func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}

func customer(keys ...tree.Key) *tree.Team {
	return &tree.Team{Customers: []tree.Customer{{ID: "c", Rate: 1, Burst: 1}}, Keys: keys}
}

// Guards against a node without the store that misses changes, against a lost
// withdrawal, and against goroutines that outlive Run.
func TestChangeReachesPeer(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	m := newMemory()
	key := tree.Key{ID: "k", Hash: tree.HashSecret("s"), Customer: "c"}
	m.put(t, "a", customer(key))
	first, second := start(t, "n0", m), start(t, "n1", nil)
	connect("n0", "n1", first, second)
	within(t, "key on the second node", func() bool {
		_, ok := second.Snapshot().Caller(key.Hash)
		return ok
	})
	within(t, "ready through a peer", second.Ready)
	updates := second.Subscribe()
	key.Withdrawn = true
	m.put(t, "a", customer(key))
	u := <-updates
	assert.Equal(t, len(u.InvalidatedKeys), 1)
	assert.Equal(t, u.InvalidatedKeys[0].Key, units.KeyID("k"))

	within(t, "version of the peer", func() bool {
		l, err := first.Nodes(t.Context())
		return err == nil && len(l) == 2 && len(l[1].Versions) == 1 && l[1].Versions[0].Revision == 2
	})
}

// Guards against changes that are missed after an outage, and against a cut off
// gateway that stays in service.
func TestStoreOutage(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	m := newMemory()
	y := start(t, "n0", m)
	y.SetGateways([]units.VMID{"n0", "n1"})
	now := func() bool { return y.Isolated(clock.System{}.Now()) }
	within(t, "in service", func() bool { return y.Ready() && !now() })
	m.breakOff(true)
	within(t, "isolated", now)
	m.put(t, "a", customer())
	m.breakOff(false)
	within(t, "change and service", func() bool { return y.Snapshot().Revision("a") == 1 && !now() })
}
