package rate

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnolialever/magnolialever/units"
)

func gatewaysOf(n, zones int) []Gateway {
	out := make([]Gateway, n)
	for i := range out {
		out[i] = Gateway{ID: units.VMID(fmt.Sprintf("gw-%d", i)), Zone: units.Zone(rune('a' + i%zones))}
	}
	return out
}

// Guards against tables that place both slots of a shard in one zone or on one
// gateway, load one gateway with too many slots, move slots of live owners without
// need, or change an owner without a new epoch.
func TestAssign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(2, 5).Draw(t, "zones")
		all := gatewaysOf(rapid.IntRange(zones, 40).Draw(t, "gateways"), zones)
		x := (&SlotTable{}).Assign(all)
		assert.Assert(t, x.Assign(all) == x, "a table that fits must not change")
		gone := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		live := append(append([]Gateway(nil), all[:gone]...), all[gone+1:]...)
		y := x.Assign(live)
		spread := make(map[units.Zone]int)
		for _, g := range live {
			spread[g.Zone]++
		}
		zone := make(map[units.VMID]units.Zone)
		for _, g := range all {
			zone[g.ID] = g.Zone
		}
		moved, lost := 0, 0
		for s, r := range y.Rows {
			other := y.Rows[s^1]
			assert.Assert(t, r.Owner != all[gone].ID)
			assert.Assert(t, len(live) == 1 || r.Owner != other.Owner)
			assert.Assert(t, len(spread) == 1 || zone[r.Owner] != zone[other.Owner])
			assert.Equal(t, r.Epoch-x.Rows[s].Epoch == 1, r.Owner != x.Rows[s].Owner)
			if r.Owner != x.Rows[s].Owner {
				moved++
			}
			if x.Rows[s].Owner == all[gone].ID {
				lost++
			}
		}
		assert.Assert(t, moved <= 2*lost, "moved %d for %d lost", moved, lost)
		assert.Assert(t, y == x || y.Version == x.Version+1)
	})
}

// Guards against fields that are lost on the wire.
func TestFrames(t *testing.T) {
	a := Acquire{ID: 7, Slot: 3, Epoch: 2, Customer: "c", Tokens: 9}
	assert.Equal(t, AcquireFromWire(a.Frame().GetAcquire()), a)
	g := Grant{ID: 7, Tokens: 9, Wait: 5, Level: -4, Code: units.RateExceeded}
	assert.Equal(t, GrantFromWire(g.Frame().GetGrant()), g)
	s := Settle{Reports: []GrantReport{{Grant: 7, Started: 5, Returned: 4, Unused: 3, Final: true}}}
	assert.DeepEqual(t, SettleFromWire(s.Frame().GetSettle()), s)
	l := BucketTransfer{Slot: 3, Epoch: 2, Customer: "c", Level: -1, Reserved: 8}
	assert.Equal(t, BucketTransferFromWire(l.Frame().GetLevel()), l)
	p := Permit{Expires: 70, Parts: []GrantPart{{Slot: 3, Epoch: 2, Grant: 7, Tokens: 9}}}
	assert.DeepEqual(t, PermitFromWire(p.Wire()), p)
	x := (&SlotTable{}).Assign(gatewaysOf(4, 3))
	assert.DeepEqual(t, TableFromWire(x.Frame().GetOwners()), x)
}
