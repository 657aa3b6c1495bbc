package gate

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/magnolialever/magnolialever/wire"
)

// linkSet keeps one session for each listed agent or gateway.
type linkSet struct {
	server *Server
	role   wire.Role
	group  group
	// upstreams holds the connected processes, for the traffic goroutines.
	upstreams atomic.Pointer[[]*upstream]

	mu        sync.Mutex
	ctx       context.Context // nil until run
	addresses []string
	cancels   map[string]context.CancelFunc
}

func newLinkSet(s *Server, r wire.Role) *linkSet {
	l := &linkSet{server: s, role: r, cancels: map[string]context.CancelFunc{}}
	l.upstreams.Store(&[]*upstream{})
	return l
}

// run keeps the sessions and returns after the context is done and all are closed.
func (l *linkSet) run(ctx context.Context) {
	l.mu.Lock()
	l.ctx = ctx
	l.reconcile()
	l.mu.Unlock()
	<-ctx.Done()
	l.group.wait()
}

// setAddresses replaces the addresses.
func (l *linkSet) setAddresses(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addresses = slices.Clone(addresses)
	l.reconcile()
}

// reconcile starts and stops links as the addresses say. The lock is held.
func (l *linkSet) reconcile() {
	if l.ctx == nil || l.ctx.Err() != nil {
		return
	}
	for a, cancel := range l.cancels {
		if !slices.Contains(l.addresses, a) {
			cancel()
			delete(l.cancels, a)
		}
	}
	for _, a := range l.addresses {
		if l.cancels[a] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(l.ctx)
		l.cancels[a] = cancel
		k := &link{address: a, links: l}
		l.group.start(func() { k.run(ctx) })
	}
}

// addUpstream adds u to the snapshot.
func (l *linkSet) addUpstream(u *upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := append(slices.Clone(*l.upstreams.Load()), u)
	l.upstreams.Store(&next)
	l.server.capacityChanged.notify()
}

// removeUpstream removes u from the snapshot.
func (l *linkSet) removeUpstream(u *upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := slices.DeleteFunc(slices.Clone(*l.upstreams.Load()), func(v *upstream) bool { return v == u })
	l.upstreams.Store(&next)
}

// broadcast sends a control frame to the connected processes that keep, if given,
// wants. Sending may wait for a slow process, so each has a goroutine.
func (l *linkSet) broadcast(f *wire.Frame, filter func(id string) bool) {
	for _, u := range *l.upstreams.Load() {
		if filter == nil || filter(string(u.id)) {
			l.group.start(func() { _ = u.control.Send(f) }) // the session ends by itself
		}
	}
}
