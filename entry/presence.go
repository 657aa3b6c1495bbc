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
	// registrationTTL is the lifetime of the lease of a gateway's key.
	registrationTTL = 5 * clock.Second
	// registrationRenewInterval is the interval at which it is renewed.
	registrationRenewInterval = 1600 * time.Millisecond
	// registrationRetryDelay is the delay after a failed call.
	registrationRetryDelay = 500 * time.Millisecond
	// revokeTimeout bounds the call that ends the lease at a planned stop.
	revokeTimeout = 500 * time.Millisecond
)

// registration keeps the key of this gateway in the store.
type registration struct {
	gateway *Gateway
	lease   platform.LeaseID
}

func newRegistration(g *Gateway) *registration { return &registration{gateway: g} }

func (r *registration) run(ctx context.Context) error {
	for ctx.Err() == nil {
		delay := registrationRenewInterval
		if err := r.renew(ctx); err != nil && ctx.Err() == nil {
			klog.InfoS("entry: own key is not renewed", "err", err)
			delay = registrationRetryDelay + rand.N(registrationRetryDelay)
		}
		clock.Sleep(ctx, delay)
	}
	if r.lease == noLease {
		return nil
	}
	revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := r.gateway.store.RevokeLease(revokeCtx, r.lease); err != nil {
		klog.InfoS("entry: own key stays until its lease ends", "err", err)
	}
	return nil
}

// renew renews the lease, or writes the key with a new one.
func (r *registration) renew(ctx context.Context) error {
	if r.lease != noLease {
		err := r.gateway.store.RenewLease(ctx, r.lease)
		if err == nil || !errors.Is(err, platform.ErrLeaseNotFound) {
			return err
		}
		r.lease = noLease
	}
	lease, _, err := r.gateway.store.GrantLease(ctx, max(registrationTTL, r.gateway.settings.MinLeaseTTL))
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
	r.lease = lease
	return nil
}
