package cmds

import (
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

type upstreamCommand struct{ exclusionCommand }

func init() {
	register("upstream", "Take an upstream out of service or back",
		"An upstream that is out receives no new work.", &upstreamCommand{})
}

// Execute runs the command.
func (u *upstreamCommand) Execute([]string) error {
	return updateExclusions(&u.exclusionCommand, func(v *tree.Team) *[]units.UpstreamID { return &v.ExcludedUpstreams })
}
