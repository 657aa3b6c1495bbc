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
	// marginShare of the time to live is the default margin. It covers the drift of
	// two clocks and the time between a check and the action that it allows.
	marginShare = 5
	// renewShare of the time to live is the time between two renewals, so that three
	// may fail in a row.
	renewShare = 5
	retryShare = 20
	// revokeTimeout bounds the shutdown when the store is out.
	revokeTimeout = clock.Second
)

// LockOptions configure a Holder.
type LockOptions struct {
	// KV is the store.
	KV KV
	// Key exists while the lease is held.
	Key string
	// Value is stored under the key, such as the id of the holder.
	Value []byte
	// TTL is the time to live of the lease, 5 s by default. The store counts in whole
	// seconds.
	TTL clock.Span
	// Margin is how long before the earliest possible expiry the lease is regarded as
	// lost, a fifth of TTL by default.
	Margin clock.Span
	// Clock is clock.System by default.
	Clock clock.Clock
}

// Lock contends for a lease and keeps it renewed. The lease is bound to a key,
// whose creation revision is the fencing number.
//
// The time that counts is that of the sending of the last successful renewal, so
// the holder regards the lease as lost before the store can let it lapse. A machine
// whose monotonic clock stands still while it is suspended is not covered: there
// the fencing number protects.
type Lock struct {
	options LockOptions
	state   atomic.Pointer[tenure]
	changes chan struct{}
}

// tenure is one time of holding the lease.
type tenure struct {
	fence units.Fence
	lease LeaseID
	until clock.Time
}

var errLost = errors.New("lease lost")

// NewLock returns a holder; Run contends for the lease.
func NewLock(o LockOptions) *Lock {
	if o.TTL == 0 {
		o.TTL = defaultLeaseTTL
	}
	if o.Margin == 0 {
		o.Margin = o.TTL / marginShare
	}
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	return &Lock{options: o, changes: make(chan struct{}, 1)}
}

// Held returns the fencing number and true while the lease is certainly held. It is
// safe for concurrent use and cheap; call it before each action that needs the
// lease.
func (h *Lock) Held() (units.Fence, bool) {
	t := h.state.Load()
	if t == nil || !h.options.Clock.Now().Before(t.until) {
		return 0, false
	}
	return t.fence, true
}

// Remaining returns how long the lease is held without another renewal, or 0.
func (h *Lock) Remaining() clock.Span {
	t := h.state.Load()
	if t == nil {
		return 0
	}
	return max(t.until.Sub(h.options.Clock.Now()), 0)
}

// Changes has a value after the lease was gained or lost.
func (h *Lock) Changes() <-chan struct{} { return h.changes }

func (h *Lock) set(t *tenure) {
	h.state.Store(t)
	select {
	case h.changes <- struct{}{}:
	default:
	}
}

// Run contends for the lease and keeps it until the context is done, and then gives
// it up.
func (h *Lock) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		t, err := h.acquire(ctx)
		if err != nil {
			klog.V(1).Infof("store: contend for %s: %v", h.options.Key, err)
			clock.Sleep(ctx, (h.options.TTL/renewShare + rand.N(h.options.TTL/renewShare)).Duration())
			continue
		}
		h.set(t)
		klog.Infof("store: hold %s with fencing number %d", h.options.Key, t.fence)
		err = h.keep(ctx, t)
		h.set(nil)
		stats.Event("lease_lost")
		klog.Infof("store: no longer hold %s: %v", h.options.Key, err)
		h.revoke(ctx, t.lease)
	}
	return nil
}

// acquire waits until the key is free and creates it.
func (h *Lock) acquire(ctx context.Context) (*tenure, error) {
	if err := h.waitFree(ctx); err != nil {
		return nil, err
	}
	sent := h.options.Clock.Now()
	id, err := h.options.KV.GrantLease(ctx, h.options.TTL)
	if err != nil {
		return nil, err
	}
	r, err := h.options.KV.CompareAndSwap(ctx, h.options.Key, 0, h.options.Value, id)
	if err != nil {
		// This also removes the key if an unknown write took effect.
		h.revoke(ctx, id)
		return nil, err
	}
	return &tenure{fence: units.Fence(r), lease: id, until: h.expiry(sent, h.options.TTL)}, nil
}

func (h *Lock) expiry(sent clock.Time, ttl clock.Span) clock.Time {
	return sent.Add(ttl - h.options.Margin)
}

// waitFree returns when the key does not exist. It watches the key, which costs
// the store less than asking again.
func (h *Lock) waitFree(ctx context.Context) error {
	e, err := h.options.KV.Get(ctx, h.options.Key)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for v := range h.options.KV.Watch(ctx, h.options.Key, e.Revision+1) {
		if v.Key == h.options.Key && v.Deleted {
			return nil
		}
	}
	return fmt.Errorf("wait for %s: %w", h.options.Key, ctx.Err())
}

// keep renews the lease until it is lost or the context is done.
func (h *Lock) keep(ctx context.Context, t *tenure) error {
	wait := h.options.TTL / renewShare
	for {
		now := h.options.Clock.Now()
		if !now.Before(t.until) {
			return errLost
		}
		if !clock.Sleep(ctx, min(wait, t.until.Sub(now)).Duration()) {
			return ctx.Err()
		}
		renewed, err := h.renew(ctx, t)
		switch {
		case err == nil:
			t = renewed
			h.state.Store(t)
			wait = h.options.TTL / renewShare
		case errors.Is(err, errLost):
			return err
		default:
			wait = h.options.TTL / retryShare
		}
	}
}

// renew prolongs the lease and checks that the key is still the own one.
func (h *Lock) renew(ctx context.Context, t *tenure) (*tenure, error) {
	sent := h.options.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, max(t.until.Sub(sent), 0).Duration())
	defer cancel()
	ttl, err := h.options.KV.RenewLease(ctx, t.lease)
	if errors.Is(err, ErrNotFound) {
		return nil, errLost
	}
	if err != nil {
		return nil, err
	}
	e, err := h.options.KV.Get(ctx, h.options.Key)
	if errors.Is(err, ErrNotFound) || err == nil && units.Fence(e.CreateRevision) != t.fence {
		return nil, errLost
	}
	if err != nil {
		return nil, err
	}
	return &tenure{fence: t.fence, lease: t.lease, until: h.expiry(sent, ttl)}, nil
}

// revoke frees the key early; otherwise it lapses with the lease.
func (h *Lock) revoke(ctx context.Context, id LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout.Duration())
	defer cancel()
	if err := h.options.KV.RevokeLease(ctx, id); err != nil {
		klog.V(1).Infof("store: lease lapses by itself: %v", err)
	}
}
