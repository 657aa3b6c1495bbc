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
	// presenceTTL is the lifetime of the lease of a gateway's key.
	presenceTTL = 5 * clock.Second
	// presenceKeep is the interval at which it is renewed.
	presenceKeep = 1600 * time.Millisecond
	// presenceRetry is the delay after a failed call.
	presenceRetry = 500 * time.Millisecond
	// leaveTimeout bounds the call that ends the lease at a planned stop.
	leaveTimeout = 500 * time.Millisecond
)

// presence keeps the key of this gateway in the store.
type presence struct {
	g     *Gateway
	lease platform.LeaseID
}

func newPresence(g *Gateway) *presence { return &presence{g: g} }

func (p *presence) run(ctx context.Context) error {
	for ctx.Err() == nil {
		delay := presenceKeep
		if err := p.step(ctx); err != nil && ctx.Err() == nil {
			klog.InfoS("entry: own key is not renewed", "err", err)
			delay = presenceRetry + rand.N(presenceRetry)
		}
		clock.Sleep(ctx, delay)
	}
	if p.lease == none {
		return nil
	}
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	if err := p.g.store.RevokeLease(end, p.lease); err != nil {
		klog.InfoS("entry: own key stays until its lease ends", "err", err)
	}
	return nil
}

// step renews the lease, or writes the key with a new one.
func (p *presence) step(ctx context.Context) error {
	if p.lease != none {
		err := p.g.store.RenewLease(ctx, p.lease)
		if err == nil || !errors.Is(err, platform.ErrLeaseNotFound) {
			return err
		}
		p.lease = none
	}
	lease, _, err := p.g.store.GrantLease(ctx, max(presenceTTL, p.g.boot.MinLeaseTTL))
	if err != nil {
		return err
	}
	self := p.g.self()
	value, err := self.Encode()
	if err != nil {
		return err
	}
	_, err = p.g.store.Commit(ctx, platform.Txn{
		Put: []platform.Write{{Key: member.Key(self.VM), Value: value, Lease: lease}},
	})
	if err != nil {
		return err
	}
	p.lease = lease
	return nil
}
