package entry

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/peers"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/rawjson"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/wire"
)

// maxStateBytes bounds the value in the store. Beyond it, the last totals are not left there.
const maxStateBytes = 256 << 10

// storeTotals writes the totals of undecided windows into the store, where the leader finds them.
func (u *usageManager) storeTotals() {
	t := u.own(u.counter.Totals(u.aggregate.Next()))
	if len(t.Windows) == 0 {
		return
	}
	m := encodeTotals(t)
	for _, part := range splitWindows(t.Windows) {
		m.Windows = append(m.Windows, part...)
	}
	value, err := proto.Marshal(m)
	if err != nil || len(value) > maxStateBytes {
		stats.Event("usage_state_too_large")
		return
	}
	stats.Event("usage_totals_stored")
	key := usageTotalsPrefix + string(t.VM)
	u.gateway.startCall(func(ctx context.Context) {
		if _, err := u.gateway.store.Commit(ctx, platform.Txn{Put: []platform.Write{{Key: key, Value: value}}}); err != nil {
			klog.InfoS("entry: usage totals not stored", "err", err)
		}
	})
}

// isCutOff reports whether this gateway is neither the leader nor hears from one of the gateways that get its totals.
func (u *usageManager) isCutOff() bool {
	if u.leader == u.gateway.settings.VM || len(u.recipients) == 0 {
		return false
	}
	return !slices.ContainsFunc(u.gateway.peers.FreshDigests(), func(d peers.Digest) bool {
		return slices.Contains(u.recipients, d.From.String())
	})
}

// handleStoredTotals merges totals that a gateway has left in the store. The next decision of this gateway removes
// their key.
func (u *usageManager) handleStoredTotals(i platform.Item) {
	m := &wire.UsageTotals{}
	if err := proto.Unmarshal(i.Value, m); err != nil {
		klog.InfoS("entry: stored usage totals can't be read", "key", rawjson.Shorten(i.Key), "err", err)
		return
	}
	u.aggregate.Merge(decodeTotals(m))
	u.storedTotals[i.Key] = i.Revision
}
