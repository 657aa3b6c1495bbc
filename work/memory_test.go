package work

import (
	"context"
	"fmt"
	"strings"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/units"
)

type fault uint8

const (
	noFault fault = iota
	// unavailable fails a call before it takes effect.
	unavailable
	// lost loses the answer to a write that has taken effect.
	lost
	// late loses the answer to a write that takes effect when told to.
	late
)

type value struct {
	data     []byte
	revision units.Revision
	lease    store.LeaseID
	written  clock.Time
}

// memory is a store in memory with switchable faults. It is used by one goroutine.
type memory struct {
	clock  *clock.Manual
	outage bool
	next   fault
	calls  int

	revision units.Revision
	values   map[string]value
	leases   map[store.LeaseID]clock.Time
	events   []store.Event
	pending  []func()
	// check is called before each write of an entry or its removal.
	check func(key string, old *value, data []byte)
}

func newMemory(c *clock.Manual) *memory {
	return &memory{clock: c, values: map[string]value{}, leases: map[store.LeaseID]clock.Time{}}
}

func (m *memory) begin() fault {
	m.calls++
	f := m.next
	m.next = noFault
	if m.outage {
		return unavailable
	}
	return f
}

func (m *memory) Get(_ context.Context, key string) (store.Entry, error) {
	if m.begin() != noFault {
		return store.Entry{}, store.ErrUnavailable
	}
	v, ok := m.values[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return store.Entry{Key: key, Value: v.data, Revision: v.revision, Lease: v.lease}, nil
}

func (m *memory) CompareAndSwap(_ context.Context, key string, old units.Revision, data []byte, l store.LeaseID) (units.Revision, error) {
	f := m.begin()
	if _, ok := m.leases[l]; l != 0 && !ok && f == noFault {
		return 0, store.ErrNotFound
	}
	var at units.Revision
	apply := func() { at = m.write(key, old, data, l) }
	switch f {
	case unavailable:
		return 0, store.ErrUnavailable
	case late:
		m.pending = append(m.pending, apply)
		return 0, store.ErrUnknownResult
	}
	if apply(); f == lost {
		return 0, store.ErrUnknownResult
	}
	if at == 0 {
		return 0, store.ErrConflict
	}
	return at, nil
}

// write returns 0 when the key has another revision or the lease is gone.
func (m *memory) write(key string, old units.Revision, data []byte, l store.LeaseID) units.Revision {
	v, ok := m.values[key]
	_, held := m.leases[l]
	if v.revision != old || l != 0 && !held {
		return 0
	}
	if ok {
		m.check(key, &v, data)
	} else {
		m.check(key, nil, data)
	}
	m.revision++
	m.values[key] = value{data, m.revision, l, m.clock.Now()}
	m.events = append(m.events, store.Event{Key: key, Value: data, Revision: m.revision})
	return m.revision
}

func (m *memory) GrantLease(_ context.Context, ttl clock.Span) (store.LeaseID, error) {
	if m.begin() != noFault {
		return 0, store.ErrUnavailable
	}
	id := store.LeaseID(len(m.leases) + int(m.revision) + 1)
	for m.leases[id] != 0 {
		id++
	}
	m.leases[id] = m.clock.Now().Add(ttl)
	return id, nil
}

// advance moves the clock and removes the keys of leases that have lapsed.
func (m *memory) advance(s clock.Span) {
	now := m.clock.Advance(s)
	for key, v := range m.values {
		if v.lease != 0 && !now.Before(m.leases[v.lease]) {
			m.check(key, &v, nil)
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

// settle performs the late writes.
func (m *memory) settle() {
	for _, apply := range m.pending {
		apply()
	}
	m.pending = nil
}

func (m *memory) List(context.Context, string) ([]store.Entry, units.Revision, error) {
	return nil, 0, fmt.Errorf("list: %w", store.ErrUnavailable)
}

func (*memory) Delete(context.Context, string, units.Revision) error { return store.ErrUnavailable }

func (*memory) RenewLease(context.Context, store.LeaseID) (clock.Span, error) {
	return 0, store.ErrUnavailable
}

func (*memory) RevokeLease(context.Context, store.LeaseID) error { return store.ErrUnavailable }

func (*memory) Watch(context.Context, string, units.Revision) <-chan store.Event { return nil }

func isClaim(key string) bool { return strings.HasPrefix(key, claimPrefix) }
