package cmds

import (
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

type zoneCommand struct{ exclusionCommand }

func init() {
	register("zone", "Exclude an availability zone from new work, or restore it",
		"After out, the upstreams of the zone receive no new requests and loads until back.", &zoneCommand{})
}

// Execute changes the list of excluded zones.
func (z *zoneCommand) Execute([]string) error {
	return updateExclusions(&z.exclusionCommand, func(v *tree.Team) *[]units.Zone { return &v.ExcludedZones })
}
