package opsrv_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"

	"github.com/magnolialever/magnolialever/opsrv"
	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

var errDown = errors.New("connection refused")

// fault is what happens to one call of the store.
type fault int

const (
	none       fault = iota
	down             // the call fails without effect
	lostAnswer       // the write takes effect, the answer is lost
	lostCall         // the write never takes effect
	late             // the write takes effect after the next call
)

// memory is a store in memory that follows a script of faults, one for each call;
// calls after its end have no fault.
type memory struct {
	mu       sync.Mutex
	revision units.Revision
	entries  map[units.TeamID]syncer.Entry
	script   []fault
	pending  []func()
	swaps    int
}

func newMemory() *memory { return &memory{entries: map[units.TeamID]syncer.Entry{}} }

func (m *memory) next() fault {
	if len(m.script) == 0 {
		return none
	}
	f := m.script[0]
	m.script = m.script[1:]
	return f
}

// flush has late writes take effect.
func (m *memory) flush() {
	for _, f := range m.pending {
		f()
	}
	m.pending = nil
}

func (m *memory) Get(_ context.Context, team units.TeamID) (syncer.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.flush()
	if m.next() == down {
		return syncer.Entry{}, errDown
	}
	e, ok := m.entries[team]
	if !ok {
		return e, opsrv.ErrNotFound
	}
	return e, nil
}

func (m *memory) List(context.Context) ([]syncer.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := make([]syncer.Entry, 0, len(m.entries))
	for _, e := range m.entries {
		l = append(l, e)
	}
	return l, nil
}

func (m *memory) CompareAndSwap(_ context.Context, team units.TeamID, old units.Revision, v []byte) (units.Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.flush()
	m.swaps++
	switch f := m.next(); f {
	case down:
		return 0, errDown
	case lostCall:
		return 0, opsrv.ErrUnknownResult
	case lostAnswer:
		_, _ = m.swap(team, old, v)
		return 0, opsrv.ErrUnknownResult
	case late:
		defer func() { m.pending = append(m.pending, func() { _, _ = m.swap(team, old, v) }) }()
		return 0, opsrv.ErrUnknownResult
	case none:
	}
	return m.swap(team, old, v)
}

func (m *memory) swap(team units.TeamID, old units.Revision, v []byte) (units.Revision, error) {
	if m.entries[team].Revision != old {
		return 0, opsrv.ErrConflict
	}
	m.revision++
	m.entries[team] = syncer.Entry{Team: team, Revision: m.revision, Value: v}
	return m.revision, nil
}

// attempts returns how often each attempt is in the history of the team.
func (m *memory) attempts(team units.TeamID) map[units.AttemptID]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.flush()
	n := map[units.AttemptID]int{}
	if e, ok := m.entries[team]; ok {
		v, _ := tree.Decode(e.Value)
		for _, c := range v.History {
			n[c.Attempt]++
		}
	}
	return n
}

// inForce is the configuration of a node that merges at once what it is told.
type inForce struct {
	mu sync.Mutex
	s  *tree.Snapshot
}

func (f *inForce) Snapshot() *tree.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.s
}

func (f *inForce) MergeWritten(e syncer.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if next, _, err := f.s.Merge(e.Team, e.Revision, e.Value); err == nil {
		f.s = next
	}
}

func (f *inForce) Nodes(context.Context) ([]syncer.Node, error) {
	n := syncer.Node{ID: "n0", Gateway: true}
	for _, v := range f.Snapshot().Versions() {
		n.Versions = append(n.Versions, syncer.NodeVersion{Version: v})
	}
	return []syncer.Node{n}, nil
}

func put(t *testing.T, m *memory, f *inForce, team units.TeamID, v *tree.Team) units.Revision {
	t.Helper()
	data, err := tree.Encode(v)
	if err != nil {
		t.Fatal(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	e := syncer.Entry{Team: team, Revision: m.revision, Value: slices.Clone(data)}
	m.entries[team] = e
	f.MergeWritten(e)
	return m.revision
}
