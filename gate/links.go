package gate

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/magnolialever/magnolialever/wire"
)

// links keeps one session for each listed agent or gateway.
type links struct {
	server *Server
	role   wire.Role
	group  group
	// up holds the connected processes, for the traffic goroutines.
	up atomic.Pointer[[]*upstream]

	mu        sync.Mutex
	ctx       context.Context // nil until run
	addresses []string
	stops     map[string]context.CancelFunc
}

func newLinks(s *Server, r wire.Role) *links {
	l := &links{server: s, role: r, stops: map[string]context.CancelFunc{}}
	l.up.Store(&[]*upstream{})
	return l
}

// run keeps the sessions and returns after the context is done and all are closed.
func (l *links) run(ctx context.Context) {
	l.mu.Lock()
	l.ctx = ctx
	l.update()
	l.mu.Unlock()
	<-ctx.Done()
	l.group.wait()
}

// set replaces the addresses.
func (l *links) set(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addresses = slices.Clone(addresses)
	l.update()
}

// update starts and stops links as the addresses say. The lock is held.
func (l *links) update() {
	if l.ctx == nil || l.ctx.Err() != nil {
		return
	}
	for a, stop := range l.stops {
		if !slices.Contains(l.addresses, a) {
			stop()
			delete(l.stops, a)
		}
	}
	for _, a := range l.addresses {
		if l.stops[a] != nil {
			continue
		}
		ctx, stop := context.WithCancel(l.ctx)
		l.stops[a] = stop
		k := &link{address: a, links: l}
		l.group.start(func() { k.run(ctx) })
	}
}

// connected adds u to the snapshot.
func (l *links) connected(u *upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := append(slices.Clone(*l.up.Load()), u)
	l.up.Store(&next)
	l.server.changed.announce()
}

// disconnected removes u from the snapshot.
func (l *links) disconnected(u *upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := slices.DeleteFunc(slices.Clone(*l.up.Load()), func(v *upstream) bool { return v == u })
	l.up.Store(&next)
}

// broadcast sends a control frame to the connected processes that keep, if given,
// wants. Sending may wait for a slow process, so each has a goroutine.
func (l *links) broadcast(f *wire.Frame, keep func(id string) bool) {
	for _, u := range *l.up.Load() {
		if keep == nil || keep(string(u.id)) {
			l.group.start(func() { _ = u.control.Send(f) }) // the session ends by itself
		}
	}
}
