package work

import (
	"context"
	"fmt"
	"strings"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/units"
)

// fault is an error that memoryStore injects into one call.
type fault uint8

const (
	faultNone fault = iota
	// faultUnavailable fails a call, which has no effect.
	faultUnavailable
	// faultResponseLost drops the response to a write that succeeds.
	faultResponseLost
	// faultDelayedWrite drops the response to a write that is executed by applyDelayedWrites.
	faultDelayedWrite
)

type value struct {
	data     []byte
	revision units.Revision
	lease    store.LeaseID
	written  clock.Time
}

// memoryStore is a store in memory with fault injection. It is not safe for concurrent use.
type memoryStore struct {
	clock     *clock.Manual
	outage    bool
	nextFault fault
	calls     int

	revision      units.Revision
	values        map[string]value
	leases        map[store.LeaseID]clock.Time
	events        []store.Event
	delayedWrites []func()
	// checkChange is called before each change of a key; data is nil if the key is removed, old
	// is nil if it is created.
	checkChange func(key string, old *value, data []byte)
}

func newMemoryStore(c *clock.Manual) *memoryStore {
	return &memoryStore{clock: c, values: map[string]value{}, leases: map[store.LeaseID]clock.Time{}}
}

func (m *memoryStore) beginCall() fault {
	m.calls++
	f := m.nextFault
	m.nextFault = faultNone
	if m.outage {
		return faultUnavailable
	}
	return f
}

func (m *memoryStore) Get(_ context.Context, key string) (store.Entry, error) {
	if m.beginCall() != faultNone {
		return store.Entry{}, store.ErrUnavailable
	}
	v, ok := m.values[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return store.Entry{Key: key, Value: v.data, Revision: v.revision, Lease: v.lease}, nil
}

func (m *memoryStore) CompareAndSwap(_ context.Context, key string, old units.Revision, data []byte, l store.LeaseID) (units.Revision, error) {
	f := m.beginCall()
	if _, ok := m.leases[l]; l != 0 && !ok && f == faultNone {
		return 0, store.ErrNotFound
	}
	var revision units.Revision
	write := func() { revision = m.write(key, old, data, l) }
	switch f {
	case faultUnavailable:
		return 0, store.ErrUnavailable
	case faultDelayedWrite:
		m.delayedWrites = append(m.delayedWrites, write)
		return 0, store.ErrUnknownResult
	}
	if write(); f == faultResponseLost {
		return 0, store.ErrUnknownResult
	}
	if revision == 0 {
		return 0, store.ErrConflict
	}
	return revision, nil
}

// write writes the key and returns its revision. It returns 0 if the key is not at the old revision
// or the lease has expired.
func (m *memoryStore) write(key string, old units.Revision, data []byte, l store.LeaseID) units.Revision {
	v, ok := m.values[key]
	_, leased := m.leases[l]
	if v.revision != old || l != 0 && !leased {
		return 0
	}
	if ok {
		m.checkChange(key, &v, data)
	} else {
		m.checkChange(key, nil, data)
	}
	m.revision++
	m.values[key] = value{data, m.revision, l, m.clock.Now()}
	m.events = append(m.events, store.Event{Key: key, Value: data, Revision: m.revision})
	return m.revision
}

func (m *memoryStore) GrantLease(_ context.Context, ttl clock.Span) (store.LeaseID, error) {
	if m.beginCall() != faultNone {
		return 0, store.ErrUnavailable
	}
	id := store.LeaseID(len(m.leases) + int(m.revision) + 1)
	for m.leases[id] != 0 {
		id++
	}
	m.leases[id] = m.clock.Now().Add(ttl)
	return id, nil
}

// advance advances the clock and removes the keys of leases that have expired.
func (m *memoryStore) advance(s clock.Span) {
	now := m.clock.Advance(s)
	for key, v := range m.values {
		if v.lease != 0 && !now.Before(m.leases[v.lease]) {
			m.checkChange(key, &v, nil)
			m.revision++
			delete(m.values, key)
			m.events = append(m.events, store.Event{Key: key, Revision: m.revision, Deleted: true})
		}
	}
	for id, end := range m.leases {
		if !now.Before(end) {
			delete(m.leases, id)
		}
	}
}

// applyDelayedWrites executes the writes delayed by faultDelayedWrite.
func (m *memoryStore) applyDelayedWrites() {
	for _, apply := range m.delayedWrites {
		apply()
	}
	m.delayedWrites = nil
}

func (m *memoryStore) ListKeys(ctx context.Context, prefix string) ([]store.Entry, units.Revision, error) {
	return m.List(ctx, prefix)
}

func (m *memoryStore) List(context.Context, string) ([]store.Entry, units.Revision, error) {
	return nil, 0, fmt.Errorf("list: %w", store.ErrUnavailable)
}

func (*memoryStore) Delete(context.Context, string, units.Revision) error {
	return store.ErrUnavailable
}

func (*memoryStore) RenewLease(context.Context, store.LeaseID) (clock.Span, error) {
	return 0, store.ErrUnavailable
}

func (*memoryStore) RevokeLease(context.Context, store.LeaseID) error { return store.ErrUnavailable }

func (*memoryStore) Watch(context.Context, string, units.Revision) <-chan store.Event { return nil }

func isHeartbeatKey(key string) bool { return strings.HasPrefix(key, heartbeatPrefix) }
