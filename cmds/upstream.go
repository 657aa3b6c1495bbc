package cmds

import (
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

type upstreamCommand struct{ markCommand }

func init() {
	register("upstream", "Take an upstream out of service or back",
		"An upstream that is out receives no new work.", &upstreamCommand{})
}

// Execute runs the command.
func (u *upstreamCommand) Execute([]string) error {
	return run(&u.markCommand, func(v *tree.Team) *[]units.UpstreamID { return &v.ExcludedUpstreams })
}
