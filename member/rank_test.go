package member_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/units"
)

func gateways(n int) []member.Gateway {
	var out []member.Gateway
	for i := range n {
		g := member.Gateway{VM: units.VMID(fmt.Sprint("gate-", i)), Zone: units.Zone(fmt.Sprint("zone-", i%3)), Cores: 0.144}
		if i%10 == 0 {
			g.Cores = 0.8
		}
		out = append(out, g)
	}
	return out
}

// Guards against a gateway that joins or leaves and moves the order of all others, which would move the
// tokens of every customer.
func TestRankIsStable(t *testing.T) {
	all := gateways(40)
	ranked := member.Rank(all, "court")
	var fewer []member.Gateway
	for _, g := range ranked {
		if g.VM != "gate-7" {
			fewer = append(fewer, g)
		}
	}
	without := append(append([]member.Gateway{}, all[:7]...), all[8:]...)
	assert.DeepEqual(t, member.Rank(without, "court"), fewer)
	for i, g := range ranked {
		assert.Equal(t, member.Place(all, g.VM, "court"), i)
	}
}

// Guards against duties on small VMs, whose processors they would fill.
func TestStrongGatewaysComeFirst(t *testing.T) {
	ranked := member.RankStrongest(gateways(40), "duty")
	for i, g := range ranked {
		assert.Equal(t, g.Cores == 0.8, i < 4)
	}
	assert.Equal(t, len(member.Strongest(gateways(40), 4)), 4)
	assert.Equal(t, len(member.Strongest(gateways(40), 5)), 40, "too few strong ones")
}

// Guards against two pools in the same zone, which would be lost together.
func TestFirstGatewaysAreInDifferentZones(t *testing.T) {
	for i := range 20 {
		spread := member.SpreadOverZones(member.Rank(gateways(12), fmt.Sprint("customer-", i)))
		assert.Assert(t, spread[0].Zone != spread[1].Zone && spread[1].Zone != spread[2].Zone && spread[0].Zone != spread[2].Zone)
	}
}
