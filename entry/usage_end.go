package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/peers"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/usage"
)

const (
	// finalTimeout bounds the wait for the last totals to be sent or written at a stop, leaveTries the attempts to write
	// them: other gateways that stop write too.
	finalTimeout = 300 * time.Millisecond
	leaveTries   = 5
	leavePause   = 30 * time.Millisecond
)

// endUsage sends the last totals when no request runs any longer.
func (g *Gateway) endUsage() {
	if g.usage == nil {
		return
	}
	m, timeout := usageEnds{make(chan struct{})}, time.After(finalTimeout)
	select {
	case g.inbox <- m:
	case <-timeout:
		return
	}
	select {
	case <-m.done:
	case <-timeout:
	}
}

// handleEnd sends the last totals. If no other gateway goes on, they are written into the store.
func (u *usageManager) handleEnd(now clock.Time, m usageEnds) {
	if !u.offsetKnown {
		close(m.done)
		return
	}
	u.final = true
	u.counter.End(now, u.offset)
	for range 2 {
		u.sendAll(now)
	}
	othersGoOn := slices.ContainsFunc(u.gateway.peers.FreshDigests(), func(d peers.Digest) bool { return !d.GetLeaving() })
	if othersGoOn {
		close(m.done)
		return
	}
	all := u.aggregate.Totals()
	u.gateway.startCall(func(ctx context.Context) {
		defer close(m.done)
		u.gateway.retryLeaveTotals(ctx, all)
	})
}

// retryLeaveTotals calls leaveTotals until it succeeds, leaveTries times at the most.
func (g *Gateway) retryLeaveTotals(ctx context.Context, all []usage.Totals) {
	for range leaveTries {
		err := g.leaveTotals(ctx, all)
		if err == nil {
			return
		}
		klog.InfoS("entry: last usage not written", "err", err)
		clock.Sleep(ctx, rand.N(leavePause))
	}
}

// leaveTotals adds totals to those in the store, for the leader of gateways that are started later.
func (g *Gateway) leaveTotals(ctx context.Context, all []usage.Totals) error {
	item, err := g.store.Get(ctx, usageKey)
	if errors.Is(err, platform.ErrKeyNotFound) {
		// Nobody has led yet.
		return nil
	}
	if err != nil {
		return err
	}
	state, err := usage.DecodeState(item.Value)
	if err != nil {
		return err
	}
	state, changed := state.Merge(all)
	if !changed {
		return nil
	}
	value, err := state.Encode()
	if err != nil {
		return err
	}
	if len(value) > maxStateBytes {
		stats.Event("usage_state_too_large")
		return nil
	}
	_, err = g.store.Commit(ctx, platform.Txn{
		If:  []platform.Condition{{Key: usageKey, Revision: item.Revision}},
		Put: []platform.Write{{Key: usageKey, Value: value}},
	})
	return err
}
