package cmds

import (
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

type zoneCommand struct{ exclusionCommand }

func init() {
	register("zone", "Take an availability zone out of service or back",
		"An availability zone that is out receives no new work.", &zoneCommand{})
}

// Execute runs the command.
func (z *zoneCommand) Execute([]string) error {
	return updateExclusions(&z.exclusionCommand, func(v *tree.Team) *[]units.Zone { return &v.ExcludedZones })
}
