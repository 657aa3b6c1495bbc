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

var errConnectionRefused = errors.New("connection refused")

// fault is an error that memoryStore injects into one call.
type fault int

const (
	faultNone         fault = iota
	faultUnavailable        // the call fails and has no effect
	faultResponseLost       // the write succeeds, its response is lost
	faultRequestLost        // the write is lost, its result unknown
	faultDelayedWrite       // the write is executed after the next call, its result unknown
)

// memoryStore is a store in memory. Get and CompareAndSwap take one element of faults per call; calls
// after the last element have no fault.
type memoryStore struct {
	mu            sync.Mutex
	revision      units.Revision
	entries       map[units.TeamID]syncer.Entry
	faults        []fault
	delayedWrites []func()
	swapCalls     int
}

func newMemoryStore() *memoryStore { return &memoryStore{entries: map[units.TeamID]syncer.Entry{}} }

// nextFault removes and returns the first of the faults.
func (m *memoryStore) nextFault() fault {
	if len(m.faults) == 0 {
		return faultNone
	}
	f := m.faults[0]
	m.faults = m.faults[1:]
	return f
}

// applyDelayedWrites executes the delayed writes.
func (m *memoryStore) applyDelayedWrites() {
	for _, f := range m.delayedWrites {
		f()
	}
	m.delayedWrites = nil
}

func (m *memoryStore) Get(_ context.Context, team units.TeamID) (syncer.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.applyDelayedWrites()
	if m.nextFault() == faultUnavailable {
		return syncer.Entry{}, errConnectionRefused
	}
	e, ok := m.entries[team]
	if !ok {
		return e, opsrv.ErrNotFound
	}
	return e, nil
}

func (m *memoryStore) List(context.Context) ([]syncer.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := make([]syncer.Entry, 0, len(m.entries))
	for _, e := range m.entries {
		l = append(l, e)
	}
	return l, nil
}

func (m *memoryStore) CompareAndSwap(_ context.Context, team units.TeamID, old units.Revision, v []byte) (units.Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.applyDelayedWrites()
	m.swapCalls++
	switch f := m.nextFault(); f {
	case faultUnavailable:
		return 0, errConnectionRefused
	case faultRequestLost:
		return 0, opsrv.ErrUnknownResult
	case faultResponseLost:
		_, _ = m.compareAndSwap(team, old, v)
		return 0, opsrv.ErrUnknownResult
	case faultDelayedWrite:
		defer func() { m.delayedWrites = append(m.delayedWrites, func() { _, _ = m.compareAndSwap(team, old, v) }) }()
		return 0, opsrv.ErrUnknownResult
	case faultNone:
	}
	return m.compareAndSwap(team, old, v)
}

func (m *memoryStore) compareAndSwap(team units.TeamID, old units.Revision, v []byte) (units.Revision, error) {
	if m.entries[team].Revision != old {
		return 0, opsrv.ErrConflict
	}
	m.revision++
	m.entries[team] = syncer.Entry{Team: team, Revision: m.revision, Value: v}
	return m.revision, nil
}

// attemptCounts returns the number of changes by each attempt in the team's history.
func (m *memoryStore) attemptCounts(team units.TeamID) map[units.AttemptID]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyDelayedWrites()
	n := map[units.AttemptID]int{}
	if e, ok := m.entries[team]; ok {
		v, _ := tree.Decode(e.Value)
		for _, change := range v.History {
			n[change.Attempt]++
		}
	}
	return n
}

// mergedConfig is the configuration of a node that merges each write at once.
type mergedConfig struct {
	// reach is what AwaitMajority returns.
	reach    syncer.Reach
	mu       sync.Mutex
	snapshot *tree.Snapshot
}

func (c *mergedConfig) Snapshot() *tree.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot
}

func (c *mergedConfig) AwaitMajority(context.Context, units.TeamID, units.Revision) syncer.Reach {
	return c.reach
}

func (c *mergedConfig) MergeWritten(e syncer.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if next, _, err := c.snapshot.Merge(e.Team, e.Revision, e.Value); err == nil {
		c.snapshot = next
	}
}

func (c *mergedConfig) Nodes(context.Context) ([]syncer.Node, error) {
	n := syncer.Node{ID: "n0", Gateway: true}
	for _, v := range c.Snapshot().Versions() {
		n.Versions = append(n.Versions, syncer.NodeVersion{Version: v})
	}
	return []syncer.Node{n}, nil
}

// putTeam writes a team's configuration without faults, merges it and returns its revision.
func putTeam(t *testing.T, m *memoryStore, c *mergedConfig, team units.TeamID, v *tree.Team) units.Revision {
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
	c.MergeWritten(e)
	return m.revision
}
