package entry

import (
	"context"
	"errors"
	"maps"
	"slices"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/usage"
)

// usageRetryDelay is the time after a failed call to the store before the next one.
const usageRetryDelay = 300 * clock.Millisecond

// lead decides and reports usage while this gateway is the leader.
func (u *usageManager) lead(now clock.Time) {
	proof, ok := u.holder.Prove(now, usageSubject)
	if !ok {
		u.reporter.Unload()
		return
	}
	if u.epoch != proof.Epoch {
		u.epoch = proof.Epoch
		u.reporter.TakeOver(u.instant(now))
		u.startOver()
	}
	u.decide(now)
	u.report(now)
}

// startOver asks others for what they know, and ignores the results of calls to the store that are in flight.
func (u *usageManager) startOver() {
	u.storePending, u.storeAfter = false, 0
	u.storeCall++
	u.collect()
}

// handleEra starts over after the store may have lost its newest writes.
func (u *usageManager) handleEra(now clock.Time, m storeEra) {
	u.reporter.SetEra(u.instant(now), m.era)
	if _, ok := u.holder.Prove(now, usageSubject); ok && u.offsetKnown {
		u.startOver()
	}
}

// decide reads the store, if its state isn't known, and writes what is decided next. A gateway that does not hear most
// of the others decides nothing: its time of day may be wrong.
func (u *usageManager) decide(now clock.Time) {
	if u.storePending || now.Before(u.storeAfter) || !u.wall.HasMajority(len(u.controller.members.Registered())) {
		return
	}
	if !u.reporter.Loaded() {
		u.readState()
		return
	}
	u.aggregate.Merge(u.own(u.counter.Totals(u.aggregate.Next())))
	gateways := u.gatewayVMs()
	u.ask(now, gateways)
	if state, ok := u.reporter.Decide(u.instant(now), gateways, u.customers()); ok {
		u.writeState(state)
	}
}

// readState reads the state from the store. The result is a usageLoaded message.
func (u *usageManager) readState() {
	call := u.startStoreCall()
	u.gateway.startCall(func(ctx context.Context) {
		item, err := u.gateway.store.Get(ctx, usageKey)
		u.gateway.post(usageLoaded{call, item, err})
	})
}

// writeState writes the state into the store and removes the stored totals that were merged. The result is a
// usageWritten message.
func (u *usageManager) writeState(state usage.State) {
	value, err := state.Encode()
	if err != nil {
		klog.ErrorS(err, "entry: usage not written")
		return
	}
	call, revision := u.startStoreCall(), u.reporter.Revision()
	removed := maps.Clone(u.storedTotals)
	u.gateway.startCall(func(ctx context.Context) {
		m := usageWritten{call: call, state: state, removed: removed}
		m.revision, m.err = u.gateway.store.Commit(ctx, platform.Txn{
			If:  []platform.Condition{{Key: usageKey, Revision: revision}},
			Put: []platform.Write{{Key: usageKey, Value: value}}, Delete: slices.Sorted(maps.Keys(removed)),
		})
		u.gateway.post(m)
	})
}

// startStoreCall records that a call to the store begins and returns its number.
func (u *usageManager) startStoreCall() uint64 {
	u.storePending = true
	u.storeCall++
	return u.storeCall
}

// gatewayVMs returns the machines of all gateways that may have counted.
func (u *usageManager) gatewayVMs() []units.VMID {
	all := u.controller.members.All()
	out := make([]units.VMID, 0, len(all))
	for _, g := range all {
		if _, registered := u.controller.members.Get(g.VM); registered || !u.aggregate.Ended(g.VM) {
			out = append(out, g.VM)
		}
	}
	return out
}

// customers returns the customers of the configuration.
func (u *usageManager) customers() []units.CustomerID {
	all := u.controller.snapshot.Config.Customers()
	out := make([]units.CustomerID, 0, len(all))
	for _, c := range all {
		out = append(out, c.ID)
	}
	return out
}

// handleLoaded takes over the state that was read from the store.
func (u *usageManager) handleLoaded(now clock.Time, m usageLoaded) {
	if m.call != u.storeCall {
		return
	}
	u.storePending = false
	state, revision := usage.State{}, units.Revision(0)
	switch {
	case errors.Is(m.err, platform.ErrKeyNotFound):
	case m.err != nil:
		u.recordStoreFailure(now, m.err)
		return
	default:
		state, revision = decodeStored(m.item), m.item.Revision
	}
	u.reporter.Load(u.instant(now), state, revision)
	u.counter.Forget(u.aggregate.Next())
	if u.reporter.Ahead(u.instant(now)) {
		stats.Event("usage_ahead")
		klog.InfoS("entry: usage was decided for windows of the future", "next", state.Next, "current", usage.WindowOf(u.instant(now), u.reporter.Length))
	}
	klog.InfoS("entry: usage read", "epoch", u.epoch, "next", state.Next, "reports", len(state.Reports), "revision", revision)
}

// decodeStored decodes the state in the store; it is empty if another writer has put a value there, which is replaced.
func decodeStored(i platform.Item) usage.State {
	state, err := usage.DecodeState(i.Value)
	if err != nil {
		klog.InfoS("entry: usage in the store can't be read and is replaced", "revision", i.Revision, "err", err)
		return usage.State{}
	}
	return state
}

// handleWritten sends the other gateways what was decided, before it is reported: the store may lose its newest writes.
func (u *usageManager) handleWritten(now clock.Time, m usageWritten) {
	if m.call != u.storeCall {
		return
	}
	u.storePending = false
	if m.err != nil {
		u.recordStoreFailure(now, m.err)
		return
	}
	// Totals that were stored again during the write are removed with the next one.
	maps.DeleteFunc(u.storedTotals, func(key string, r units.Revision) bool { return m.removed[key] == r })
	decided := u.reporter.Written(m.state, m.revision)
	u.counter.Forget(u.aggregate.Next())
	u.decidedAt = now
	for _, r := range decided {
		klog.InfoS("entry: usage decided", "window", r.Window, "requests", r.Counts.Total(), "epoch", u.epoch, "revision", m.revision,
			"late", u.instant(now)-r.Window.End(u.reporter.Length))
	}
	u.sendReports(decided, u.controller.otherGateways()...)
	u.lead(now)
}

// recordStoreFailure delays the next call to the store, and has the state read again: a write may have taken effect.
func (u *usageManager) recordStoreFailure(now clock.Time, err error) {
	stats.Event("usage_store_failed")
	klog.InfoS("entry: usage not read or written", "err", err)
	u.reporter.Recheck()
	u.storeAfter = now.Add(usageRetryDelay)
}
