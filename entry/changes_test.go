package entry

import (
	"bytes"
	"math"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/feed"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/platform/fakes"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// Guards against changes that don't fit a datagram, against messages between which changes are missing,
// and against a message that confirms a view which lacks the changes of later ones.
func TestChangesAreSplit(t *testing.T) {
	b := feed.Batch{After: 100, Revision: 140, ConfirmedAt: 900}
	for i := range 30 {
		b.Items = append(b.Items, platform.Item{Key: "servers/x", Value: bytes.Repeat([]byte("v"), 4000), Revision: units.Revision(101 + i)})
	}
	b.Items = append(b.Items, platform.Item{Key: fakes.ConfigKey, Value: bytes.Repeat([]byte("v"), 200_000), Revision: 139})
	after, items, omitted := b.After, 0, 0
	messages := splitChanges(b, 1000)
	assert.Assert(t, len(messages) > 2)
	for _, m := range messages {
		decoded := decodeChanges(m, 5000)
		assert.Equal(t, decoded.After, after)
		if decoded.Revision == b.Revision {
			assert.Equal(t, decoded.ConfirmedAt, clock.Time(4900))
		} else {
			assert.Equal(t, decoded.ConfirmedAt, clock.Time(0), "a part confirms nothing")
		}
		after = decoded.Revision
		items += len(decoded.Items)
		omitted += len(decoded.Omitted)
		size := 0
		for _, i := range decoded.Items {
			size += len(i.Value)
		}
		assert.Assert(t, size < 60<<10)
	}
	assert.Equal(t, after, b.Revision)
	assert.Equal(t, items, 30)
	assert.Equal(t, omitted, 1)
}

// Guards against a watcher that ends at a key that fits no message, against followers that take such a change, or one
// of a value that can't be read, for none, and against a confirmation from the future.
func TestOddChangesAreNotLost(t *testing.T) {
	long := platform.Item{Key: fakes.UpstreamKeyPrefix + strings.Repeat("k", 50<<10), Revision: 102}
	sound := platform.Item{Key: fakes.UpstreamKeyPrefix + "x", Value: []byte("v"), Revision: 101}
	later := platform.Item{Key: fakes.UpstreamKeyPrefix + "y", Unreadable: true, Revision: 103}
	for _, items := range [][]platform.Item{{long}, {sound, long}, {long, later}, {sound, long, later}} {
		reached, missed := units.Revision(100), false
		for _, m := range splitChanges(feed.Batch{After: 100, Revision: 103, ConfirmedAt: 900, Items: items}, 1000) {
			assert.Assert(t, proto.Size(m) < 60<<10)
			b := decodeChanges(m, 5000)
			missed = missed || b.After > reached
			reached = b.Revision
			for _, o := range b.Omitted {
				assert.Equal(t, o.Key, later.Key)
			}
			assert.Assert(t, !slices.ContainsFunc(b.Items, func(i platform.Item) bool { return i.Key == later.Key }))
		}
		assert.Assert(t, missed, "a follower doesn't notice that a change is missing")
	}
	for _, age := range []int64{-1, math.MinInt64} {
		assert.Equal(t, decodeChanges(&wire.StoreChanges{AgeMs: age}, 5000).ConfirmedAt, clock.Time(0))
	}
}

// Guards against followers that lose a change of a transaction whose changes are in two messages: all have its
// revision.
func TestTransactionInTwoMessages(t *testing.T) {
	b := feed.Batch{After: 100, Revision: 101}
	for range 3 {
		b.Items = append(b.Items, platform.Item{Key: fakes.UpstreamKeyPrefix + "x", Value: bytes.Repeat([]byte("v"), 30<<10), Revision: 101})
	}
	reached, applied := b.After, 0
	for _, m := range splitChanges(b, 1000) {
		decoded := decodeChanges(m, 0)
		assert.Assert(t, decoded.After <= reached)
		for _, i := range decoded.Items {
			// A follower skips changes up to the revision that it has reached.
			if i.Revision > reached {
				applied++
			}
		}
		reached = decoded.Revision
	}
	assert.Equal(t, applied, 3)
	assert.Equal(t, reached, b.Revision)
}

// Guards against zones without a watcher and against watches by all gateways.
func TestWatchersOfZone(t *testing.T) {
	gateways := []member.Gateway{
		{VM: "a", Address: "a", Zone: "one", Cores: 0.1}, {VM: "b", Address: "b", Zone: "one", Cores: 0.8},
		{VM: "c", Address: "c", Zone: "one", Cores: 0.8}, {VM: "d", Address: "d", Zone: "one", Cores: 0.1},
		{VM: "e", Address: "e", Zone: "two", Cores: 0.1},
	}
	watchers := 0
	for _, g := range gateways {
		if w := newStoreWatch(g.VM, g.Zone, gateways); w.watches {
			watchers++
			assert.Equal(t, len(w.followers), map[units.Zone]int{"one": 2, "two": 0}[g.Zone])
		}
	}
	assert.Equal(t, watchers, 3)
}
