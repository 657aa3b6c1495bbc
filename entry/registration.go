package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/platform"
)

const (
	// registrationTTL is the TTL of the lease on the gateway's key in the store. Each renewal is
	// billed; other gateways notice sooner that this one does not answer.
	registrationTTL = 8 * clock.Second
	// registrationRenewals is the number of renewals of that lease within its TTL.
	registrationRenewals = 3
	// registrationRetryDelay is the least delay after a failed call; the jitter is at most as long.
	registrationRetryDelay = 500 * time.Millisecond
	// registerDelayPerGateway, times the number of gateways, bounds the random delay before the registration is written again
	// because the store has lost it: all gateways write then, twice each, and the store takes several hundred writes a second.
	registerDelayPerGateway = 6 * time.Millisecond
	// revokeTimeout limits the call that revokes a lease at a planned stop.
	revokeTimeout = 500 * time.Millisecond
)

// registration keeps the gateway's key in the store, through which other gateways find it. One
// goroutine uses it.
type registration struct {
	gateway *Gateway
	// lease is the lease on the key; noLease if the key is not in the store.
	lease platform.LeaseID
	// ttl is the TTL of the lease.
	ttl clock.Span
}

func newRegistration(g *Gateway) *registration {
	return &registration{gateway: g, ttl: registrationTTL}
}

// run renews the registration until the context is done and then removes it from the store. It
// returns no error.
func (r *registration) run(ctx context.Context) error {
	for ctx.Err() == nil {
		delay := (r.ttl / registrationRenewals).Duration()
		if err := r.renew(ctx); err != nil && ctx.Err() == nil {
			klog.InfoS("entry: gateway registration not renewed", "err", err)
			delay = registrationRetryDelay + rand.N(registrationRetryDelay)
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		case <-r.gateway.register:
			clock.Sleep(ctx, rand.N(registerDelayPerGateway*time.Duration(r.gateway.gateways.Load()+1)))
		}
	}
	if r.lease == noLease {
		return nil
	}
	revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := r.gateway.store.RevokeLease(revokeCtx, r.lease); err != nil {
		klog.InfoS("entry: gateway registration not removed; it expires with its lease", "err", err)
	}
	return nil
}

// renew renews the lease. If there is none or it has ended, it writes the key with a new lease.
func (r *registration) renew(ctx context.Context) error {
	if r.lease != noLease {
		err := r.gateway.store.RenewLease(ctx, r.lease)
		if err == nil || !errors.Is(err, platform.ErrLeaseNotFound) {
			return err
		}
		r.lease = noLease
	}
	lease, ttl, err := r.gateway.store.GrantLease(ctx, max(registrationTTL, r.gateway.settings.MinLeaseTTL))
	if err != nil {
		return err
	}
	self := r.gateway.self()
	value, err := self.Encode()
	if err != nil {
		return err
	}
	_, err = r.gateway.store.Commit(ctx, platform.Txn{
		Put: []platform.Write{{Key: member.Key(self.VM), Value: value, Lease: lease}},
	})
	if err != nil {
		return err
	}
	r.lease, r.ttl = lease, ttl
	return nil
}
