package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

const (
	defaultLeaseTTL = 5 * clock.Second
	// The default margin is the TTL divided by marginDivisor. It covers the drift between the
	// two clocks and the time from a check of Held to the action that it allows.
	marginDivisor = 5
	// The lease is renewed every TTL/renewDivisor, so that three renewals in a row may fail.
	renewDivisor = 5
	// A failed renewal is repeated after TTL/retryDivisor.
	retryDivisor = 20
	// revokeTimeout bounds the shutdown while the store is unreachable.
	revokeTimeout = clock.Second
)

// LockOptions configure a Lock.
type LockOptions struct {
	// KV is the store that holds the lock.
	KV KV
	// Key is the key that exists while a process holds the lock.
	Key string
	// Value is stored under the key, such as the ID of the process.
	Value []byte
	// TTL is the time to live of the lease; 0 means 5 s. It is rounded up to whole
	// seconds.
	TTL clock.Span
	// Margin is how long before the earliest possible expiry of the lease the lock counts as
	// lost; 0 means a fifth of TTL.
	Margin clock.Span
	// Clock measures the lease; nil means clock.System.
	Clock clock.Clock
}

// Lock is a distributed lock: a key in the store that is bound to a lease. Run acquires it and
// renews the lease. The key's creation revision is the fencing number.
//
// The validity of the lease is counted from the time at which the last successful renewal was
// sent, so the lock counts as lost here before the lease can expire in the store. This does not
// cover a machine whose monotonic clock stops during suspension; there, the receivers of
// commands must check the fencing number.
type Lock struct {
	options LockOptions
	current atomic.Pointer[term]
	changes chan struct{}
}

// term is one period of holding the lock.
type term struct {
	fence     units.Fence
	lease     LeaseID
	heldUntil clock.Time
}

var errLeaseLost = errors.New("lease or key is gone, or was not renewed in time")

// NewLock returns a Lock that is not held; Run acquires it.
func NewLock(o LockOptions) *Lock {
	if o.TTL == 0 {
		o.TTL = defaultLeaseTTL
	}
	if o.Margin == 0 {
		o.Margin = o.TTL / marginDivisor
	}
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	return &Lock{options: o, changes: make(chan struct{}, 1)}
}

// Held returns the fencing number and true while the lease can't have expired in the store,
// less the margin. It makes no call to the store and is safe for concurrent use; call it before
// each action that needs the lock.
func (l *Lock) Held() (units.Fence, bool) {
	t := l.current.Load()
	if t == nil || !l.options.Clock.Now().Before(t.heldUntil) {
		return 0, false
	}
	return t.fence, true
}

// Remaining returns how long the lock stays held without another renewal, or 0 when it is not
// held.
func (l *Lock) Remaining() clock.Span {
	t := l.current.Load()
	if t == nil {
		return 0
	}
	return max(t.heldUntil.Sub(l.options.Clock.Now()), 0)
}

// Changes receives a value after the lock was acquired or lost. Changes that nobody has
// received yet are merged into one value.
func (l *Lock) Changes() <-chan struct{} { return l.changes }

// setTerm starts a term, or ends the current one with nil, and signals the change.
func (l *Lock) setTerm(t *term) {
	l.current.Store(t)
	select {
	case l.changes <- struct{}{}:
	default:
	}
}

// Run acquires the lock and renews its lease until the context is done; when the lock is lost
// it tries again. On return it has released the lock, unless the store was unreachable. The
// result is always nil.
func (l *Lock) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		t, err := l.acquire(ctx)
		if err != nil {
			klog.V(1).Infof("store: acquire lock %s: %v", l.options.Key, err)
			clock.Sleep(ctx, (l.options.TTL/renewDivisor + rand.N(l.options.TTL/renewDivisor)).Duration())
			continue
		}
		l.setTerm(t)
		klog.Infof("store: acquired lock %s with fencing number %d", l.options.Key, t.fence)
		err = l.renewUntilLost(ctx, t)
		l.setTerm(nil)
		stats.Event("lease_lost")
		klog.Infof("store: lost lock %s: %v", l.options.Key, err)
		l.revoke(ctx, t.lease)
	}
	return nil
}

// acquire waits until the key does not exist and creates it under a new lease.
func (l *Lock) acquire(ctx context.Context) (*term, error) {
	if err := l.waitForRelease(ctx); err != nil {
		return nil, err
	}
	sent := l.options.Clock.Now()
	id, err := l.options.KV.GrantLease(ctx, l.options.TTL)
	if err != nil {
		return nil, err
	}
	revision, err := l.options.KV.CompareAndSwap(ctx, l.options.Key, 0, l.options.Value, id)
	if err != nil {
		// If a write with an unknown result took effect, this removes the key too.
		l.revoke(ctx, id)
		return nil, err
	}
	return &term{fence: units.Fence(revision), lease: id, heldUntil: l.expiry(sent, l.options.TTL)}, nil
}

// expiry returns the time until which the lock counts as held, for a lease that was granted or
// renewed by a request sent at the given time.
func (l *Lock) expiry(sent clock.Time, ttl clock.Span) clock.Time {
	return sent.Add(ttl - l.options.Margin)
}

// waitForRelease returns nil once the key does not exist. It watches the key, which loads the
// store less than polling.
func (l *Lock) waitForRelease(ctx context.Context) error {
	entry, err := l.options.KV.Get(ctx, l.options.Key)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for event := range l.options.KV.Watch(ctx, l.options.Key, entry.Revision+1) {
		if event.Key == l.options.Key && event.Deleted {
			return nil
		}
	}
	return fmt.Errorf("wait until %s is deleted: %w", l.options.Key, ctx.Err())
}

// renewUntilLost renews the lease until the lock is lost or the context is done, and returns
// the reason.
func (l *Lock) renewUntilLost(ctx context.Context, t *term) error {
	delay := l.options.TTL / renewDivisor
	for {
		now := l.options.Clock.Now()
		if !now.Before(t.heldUntil) {
			return errLeaseLost
		}
		if !clock.Sleep(ctx, min(delay, t.heldUntil.Sub(now)).Duration()) {
			return ctx.Err()
		}
		renewed, err := l.renew(ctx, t)
		switch {
		case err == nil:
			t = renewed
			l.current.Store(t)
			delay = l.options.TTL / renewDivisor
		case errors.Is(err, errLeaseLost):
			return err
		default:
			delay = l.options.TTL / retryDivisor
		}
	}
}

// renew extends the lease and checks that the key is still the one that this Lock created. It
// returns errLeaseLost when the lease or the key is gone; other errors may be retried.
func (l *Lock) renew(ctx context.Context, t *term) (*term, error) {
	sent := l.options.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, max(t.heldUntil.Sub(sent), 0).Duration())
	defer cancel()
	ttl, err := l.options.KV.RenewLease(ctx, t.lease)
	if errors.Is(err, ErrNotFound) {
		return nil, errLeaseLost
	}
	if err != nil {
		return nil, err
	}
	entry, err := l.options.KV.Get(ctx, l.options.Key)
	if errors.Is(err, ErrNotFound) || err == nil && units.Fence(entry.CreateRevision) != t.fence {
		return nil, errLeaseLost
	}
	if err != nil {
		return nil, err
	}
	return &term{fence: t.fence, lease: t.lease, heldUntil: l.expiry(sent, ttl)}, nil
}

// revoke deletes the key at once by ending the lease; if that fails, the key is deleted when
// the lease expires.
func (l *Lock) revoke(ctx context.Context, id LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout.Duration())
	defer cancel()
	if err := l.options.KV.RevokeLease(ctx, id); err != nil {
		klog.V(1).Infof("store: revoke lease, which now ends at its expiry: %v", err)
	}
}
