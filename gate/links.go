package gate

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/magnolialever/magnolialever/wire"
)

// linkSet keeps one session with each listed agent or gateway.
type linkSet struct {
	server *Server
	role   wire.Role
	group  group
	// upstreams is a snapshot of the connected processes, read without a lock.
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

// run maintains the sessions. It returns when the context is done and all sessions are closed.
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

// reconcile starts and stops links to match the addresses. The caller holds mu.
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

// addUpstream adds u to the snapshot and wakes up waiting requests.
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

// broadcast sends a control frame to the connected processes that match the filter; nil matches
// all. Each send has its own goroutine, because it may block on a slow process.
func (l *linkSet) broadcast(f *wire.Frame, filter func(id string) bool) {
	for _, u := range *l.upstreams.Load() {
		if filter == nil || filter(string(u.id)) {
			l.group.start(func() { _ = u.control.Send(f) }) // a failed Send also ends the session
		}
	}
}
