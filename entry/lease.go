package entry

import (
	"context"
	"errors"
	"slices"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/elect"
	"github.com/magnolialever/magnolialever/epoch"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/units"
)

// unknownLeader stands for a leader whose key can't be read. No VM has this name.
const unknownLeader units.VMID = "?"

// handleItem handles a change of the leader's key.
func (o *orderManager) handleItem(i platform.Item) {
	vm := units.VMID(i.Value)
	switch {
	case i.Deleted:
		vm = ""
	case i.Unreadable:
		vm = unknownLeader
	}
	o.elector.RecordHolder(o.gateway.clock.Now(), i.Revision, vm)
}

// setGateways sets the registered gateways, from which acquireDelay follows.
func (o *orderManager) setGateways(registered []member.Gateway) {
	ranked := member.RankStrongest(registered, leaderKey)
	place := slices.IndexFunc(ranked, func(g member.Gateway) bool { return g.VM == o.gateway.settings.VM })
	o.acquireDelay = acquireDelayStep * clock.Span(min(max(place, 0), maxAcquireDelaySteps))
}

// acquireLease tries to create the leader's key with a new lease. The result is a leaseAcquired
// message.
func (o *orderManager) acquireLease(now clock.Time) {
	o.callPending, o.acquireTriedAt = true, now
	o.gateway.startCall(func(ctx context.Context) {
		m := leaseAcquired{startedAt: o.gateway.clock.Now()}
		m.lease, m.ttl, m.err = o.gateway.store.GrantLease(ctx, max(elect.LeaseTTL, o.gateway.settings.MinLeaseTTL))
		if m.err == nil {
			var rev units.Revision
			rev, m.err = o.gateway.store.Commit(ctx, platform.Txn{
				If:  []platform.Condition{{Key: leaderKey}},
				Put: []platform.Write{{Key: leaderKey, Value: []byte(o.gateway.settings.VM), Lease: m.lease}},
			})
			m.epoch = units.Epoch(rev)
		}
		o.gateway.post(m)
	})
}

// handleAcquired records the result of an attempt to become the leader. After a conflict it records
// the current leader.
func (o *orderManager) handleAcquired(now clock.Time, m leaseAcquired) {
	o.callPending = false
	if m.err != nil {
		var c *platform.Conflict
		if errors.As(m.err, &c) && len(c.Items) == 1 {
			o.handleItem(c.Items[0])
			return
		}
		klog.InfoS("entry: duty not taken", "err", m.err)
		return
	}
	if !o.elector.Acquired(now, m.startedAt, m.epoch, m.ttl) {
		klog.InfoS("entry: duty not taken", "epoch", m.epoch, "err", platform.ErrNewEra)
		return
	}
	o.lease, o.ttl, o.renewedAt = m.lease, m.ttl, m.startedAt
	klog.InfoS("entry: duty taken", "epoch", m.epoch, "era", epoch.OfEpoch(m.epoch))
}

// giveUpForEra gives up leadership when the store has come back from an older copy.
func (o *orderManager) giveUpForEra(now clock.Time, era epoch.Era) {
	if o.elector.Holds(now) {
		klog.InfoS("entry: duty lost", "err", platform.ErrNewEra)
	}
	o.elector.BeginEra(now, era)
}

// removeStrayKey removes the leader's key if it names this gateway although it can't be the leader.
func (o *orderManager) removeStrayKey(now clock.Time) {
	revision, ok := o.elector.StrayKey(now, max(elect.LeaseTTL, o.gateway.settings.MinLeaseTTL))
	if !ok || now.Sub(o.strayRemovedAt) < acquireRetryDelay {
		return
	}
	o.strayRemovedAt = now
	klog.InfoS("entry: removing a leader's key without a leader", "revision", revision)
	o.gateway.startCall(func(ctx context.Context) {
		txn := platform.Txn{If: []platform.Condition{{Key: leaderKey, Revision: revision}}, Delete: []string{leaderKey}}
		if _, err := o.gateway.store.Commit(ctx, txn); err != nil {
			klog.InfoS("entry: leader's key not removed", "err", err)
		}
	})
}

// renewLease renews the leader's lease. The result is a leaseRenewed message.
func (o *orderManager) renewLease(now clock.Time) {
	o.callPending, o.renewedAt = true, now
	lease := o.lease
	o.gateway.startCall(func(ctx context.Context) {
		startedAt := o.gateway.clock.Now()
		o.gateway.post(leaseRenewed{startedAt, o.gateway.store.RenewLease(ctx, lease)})
	})
}

func (o *orderManager) handleRenewed(m leaseRenewed) {
	o.callPending = false
	switch {
	case m.err == nil:
		o.elector.Renewed(m.startedAt, o.ttl)
	case errors.Is(m.err, platform.ErrLeaseNotFound):
		klog.InfoS("entry: duty lost", "err", m.err)
		o.elector.Lost(o.gateway.clock.Now())
	default:
		klog.InfoS("entry: duty not renewed", "err", m.err)
	}
}

// resign gives up leadership at a planned stop and revokes the lease, so that another gateway can
// become the leader at once.
func (o *orderManager) resign(ctx context.Context) {
	o.draining = true
	if !o.elector.Holds(o.gateway.clock.Now()) {
		return
	}
	o.elector.Lost(o.gateway.clock.Now())
	lease := o.lease
	o.gateway.startCall(func(context.Context) {
		revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
		defer cancel()
		if err := o.gateway.store.RevokeLease(revokeCtx, lease); err != nil {
			klog.InfoS("entry: duty stays until its lease ends", "err", err)
		}
	})
}
