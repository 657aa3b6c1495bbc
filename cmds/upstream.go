package cmds

import (
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

type upstreamCommand struct{ exclusionCommand }

func init() {
	register("upstream", "Exclude an upstream from new work, or restore it",
		"After out, the upstream receives no new requests and loads until back.", &upstreamCommand{})
}

// Execute changes the list of excluded upstreams.
func (u *upstreamCommand) Execute([]string) error {
	return updateExclusions(&u.exclusionCommand, func(v *tree.Team) *[]units.UpstreamID { return &v.ExcludedUpstreams })
}
