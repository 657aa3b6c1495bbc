package entry

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/rawjson"
)

// verdictStore implements parts.VerdictStore with the platform's store.
type verdictStore struct{ store *platform.Store }

// Put implements parts.VerdictStore.
func (s verdictStore) Put(ctx context.Context, v parts.Verdict) error {
	value, err := v.Encode()
	if err != nil {
		return err
	}
	lease, _, err := s.store.GrantLease(ctx, parts.VerdictTTL)
	if err != nil {
		return err
	}
	_, err = s.store.Commit(ctx, platform.Txn{Put: []platform.Write{{Key: v.Key(), Value: value, Lease: lease}}})
	return err
}

// Remove implements parts.VerdictStore.
func (s verdictStore) Remove(ctx context.Context, v parts.Verdict) error {
	_, err := s.store.Commit(ctx, platform.Txn{Delete: []string{v.Key()}})
	return err
}

// handleVerdict handles a change of a verdict in the store, by any gateway. about has the part or request of its key.
func (c *controller) handleVerdict(k *parts.Keeper, about parts.Verdict, m itemReceived) {
	item := m.item
	if item.Deleted {
		k.Removed(about.Part, item.Revision)
		return
	}
	v, err := parts.DecodeVerdict(about.Part, item.Value)
	if err != nil {
		klog.InfoS("entry: invalid verdict ignored", "key", rawjson.Shorten(item.Key), "revision", item.Revision, "err", err)
		return
	}
	v.Request = about.Request
	if m.restored {
		k.Returned(v, item.Revision)
		return
	}
	k.Stored(v)
}
