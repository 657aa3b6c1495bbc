package once

import (
	"context"
	"sync"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/store"
)

// lease is the lease that new records are bound to. It is never renewed, so that the
// records go with it, whatever happens to this gateway.
type lease struct {
	store store.KV
	clock clock.Clock

	mu  sync.Mutex
	id  store.LeaseID
	end clock.Time
}

// get returns a lease that outlasts the retention time.
func (l *lease) get(ctx context.Context) (store.LeaseID, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if l.id != 0 && now.Before(l.end) {
		return l.id, nil
	}
	id, err := l.store.Grant(ctx, Retention+leaseUse)
	if err != nil {
		return 0, err
	}
	l.id, l.end = id, now.Add(leaseUse)
	return id, nil
}

// drop forgets a lease that has lapsed.
func (l *lease) drop(id store.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id = 0
	}
}
