package entry

import (
	"net/netip"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/feed"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// leaderWatchPause is the leader's delay between two watches of the store. Orders depend on fresh
	// descriptions.
	leaderWatchPause = 300 * clock.Millisecond
	// watchPauseShare is the part of the shortest delay within which changes have to be in force that
	// a gateway may spend between two watches.
	watchPauseShare = 1.0 / 3
	maxWatchPause   = 1500 * clock.Millisecond
	// confirmShare is the part of the delay of revocation after which the store is asked again whether
	// the view is current.
	confirmShare = 0.2
	// watchersPerZone is the number of gateways of an availability zone that watch the store and send
	// its changes to the others there.
	watchersPerZone = 2
	// followerPauses is the number of pauses without changes from a watcher after which another
	// gateway watches the store itself.
	followerPauses = 2
	// maxChangesBytes is the size of the items in a message about changes, in bytes. A longer one
	// might not fit a datagram.
	maxChangesBytes = 40 << 10
	// noConfirmationMs is the age, in milliseconds, that stands for no confirmation.
	noConfirmationMs = 1 << 40
)

// storeWatch says which part a gateway has in watching the store. It is replaced as a whole.
type storeWatch struct {
	// watches is set if this gateway is one of the watchers of its zone.
	watches bool
	// followers are the addresses of the gateways of the zone that rely on the watchers.
	followers []string
}

// newStoreWatch determines the part of the gateway on a VM. The strongest gateways of each zone are the
// watchers.
func newStoreWatch(vm units.VMID, zone units.Zone, registered []member.Gateway) *storeWatch {
	inZone := slices.DeleteFunc(slices.Clone(registered), func(g member.Gateway) bool { return g.Zone != zone })
	ranked := member.RankStrongest(inZone, "store watch")
	w := &storeWatch{}
	for i, g := range ranked {
		switch {
		case i >= watchersPerZone:
			w.followers = append(w.followers, g.Address)
		case g.VM == vm:
			w.watches = true
		}
	}
	return w
}

// watchPause returns the delay between two watches of the store. Each call is billed, so the delay is
// as long as the bounds on changes allow.
func (g *Gateway) watchPause() clock.Span {
	if g.isLeader() {
		return leaderWatchPause
	}
	bounds := g.bounds.Load()
	shortest := min(bounds.DrainDelay, bounds.ConfigDelay)
	pause := min(max(clock.Span(float64(shortest)*watchPauseShare), leaderWatchPause), maxWatchPause)
	if w := g.storeWatch.Load(); w != nil && !w.watches {
		return followerPauses * pause
	}
	return pause
}

// confirmInterval returns the age of a confirmation by the store from which on it is renewed.
func (g *Gateway) confirmInterval() clock.Span {
	return clock.Span(float64(g.bounds.Load().RevocationDelay) * confirmShare)
}

// othersConfirmedAt returns the latest time at which the store is known to have answered another gateway; 0 if none is
// known. It may be called from any goroutine.
func (g *Gateway) othersConfirmedAt() clock.Time {
	var latest clock.Time
	for _, d := range g.peers.FreshDigests() {
		sentAt, ok := g.peers.SentAt(d.From, d.GetLife(), clock.Time(d.GetSentMs()))
		if ok && d.GetConfirmedMs() >= 0 && d.GetConfirmedMs() < noConfirmationMs {
			latest = max(latest, sentAt.Add(-clock.Span(d.GetConfirmedMs())))
		}
	}
	return latest
}

// sendChanges sends the changes that a watch has returned to the gateways of the zone that rely on it.
func (g *Gateway) sendChanges(b feed.Batch) {
	w := g.storeWatch.Load()
	if w == nil || !w.watches || len(w.followers) == 0 {
		return
	}
	if g.usage != nil {
		// Leaders send their decisions themselves, in fewer bytes.
		b.Items = slices.DeleteFunc(slices.Clone(b.Items), func(i platform.Item) bool { return i.Key == usageKey })
	}
	for _, m := range splitChanges(b, g.clock.Now()) {
		m.Life = g.incarnation
		g.peers.Send(&wire.Datagram{Body: &wire.Datagram_StoreChanges{StoreChanges: m}}, w.followers...)
	}
}

// splitChanges encodes a batch as messages that continue each other. Only the last one confirms a view,
// as the others lack changes. The values of items that are too long for a message are omitted.
func splitChanges(b feed.Batch, now clock.Time) []*wire.StoreChanges {
	var out []*wire.StoreChanges
	m, size := newChanges(int64(b.After), now), 0
	for _, i := range b.Items {
		item := encodeItem(i)
		n := proto.Size(item)
		if n > maxChangesBytes || i.Unreadable {
			// An item that can't be read is read by each gateway itself.
			item.Value, item.Omitted = nil, true
			n = proto.Size(item)
		}
		if size > 0 && size+n > maxChangesBytes {
			// A transaction's changes have one revision, which is not reached before the last of them.
			m.Revision = min(m.Items[len(m.Items)-1].Revision, item.Revision-1)
			out = append(out, m)
			m, size = newChanges(m.Revision, now), 0
		}
		if n > maxChangesBytes {
			// The key alone is too long. The next message follows this change, so that followers see that it is missing
			// and read it from the store.
			m = newChanges(item.Revision, now)
			continue
		}
		m.Items = append(m.Items, item)
		size += n
	}
	m.Revision, m.AgeMs = int64(b.Revision), confirmationAge(now, b.ConfirmedAt)
	return append(out, m)
}

// confirmationAge returns the age in milliseconds of a confirmation at a time, noConfirmationMs if the
// time is 0.
func confirmationAge(now, confirmedAt clock.Time) int64 {
	if confirmedAt == 0 {
		return noConfirmationMs
	}
	return int64(now.Sub(confirmedAt))
}

// newChanges returns a message without items that confirms nothing.
func newChanges(after int64, now clock.Time) *wire.StoreChanges {
	return &wire.StoreChanges{After: after, AgeMs: noConfirmationMs, SentMs: int64(now)}
}

func encodeItem(i platform.Item) *wire.StoreItem {
	return &wire.StoreItem{
		Key: i.Key, Value: i.Value, Revision: int64(i.Revision), CreateRevision: int64(i.CreateRevision), Deleted: i.Deleted,
	}
}

// receiveChanges decodes changes from a watcher of the zone and dates what they confirm.
func (g *Gateway) receiveChanges(m *wire.StoreChanges, from netip.AddrPort) feed.Batch {
	sentAt, ok := g.peers.SentAt(from, m.GetLife(), clock.Time(m.GetSentMs()))
	if !ok {
		sentAt = 0
	}
	return decodeChanges(m, sentAt)
}

// decodeChanges decodes changes that another gateway has read from the store. sentAt is a time that is
// not later than when it sent them, 0 if none is known; they confirm nothing then.
func decodeChanges(m *wire.StoreChanges, sentAt clock.Time) feed.Batch {
	b := feed.Batch{
		After: units.Revision(m.GetAfter()), Revision: units.Revision(m.GetRevision()),
	}
	if sentAt != 0 && m.GetAgeMs() >= 0 && m.GetAgeMs() < noConfirmationMs {
		b.ConfirmedAt = sentAt.Add(-clock.Span(m.GetAgeMs()))
	}
	for _, i := range m.GetItems() {
		if i.GetOmitted() {
			b.Omitted = append(b.Omitted, feed.OmittedItem{Key: i.GetKey(), Revision: units.Revision(i.GetRevision())})
			continue
		}
		b.Items = append(b.Items, platform.Item{
			Key: i.GetKey(), Value: i.GetValue(), Revision: units.Revision(i.GetRevision()),
			CreateRevision: units.Revision(i.GetCreateRevision()), Deleted: i.GetDeleted(),
		})
	}
	return b
}
