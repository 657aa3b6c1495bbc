package cmds

import (
	"context"

	"github.com/magnolialever/magnolialever/opsapi"
)

type diffCommand struct {
	Client clientOptions `group:"Client options"`
	Scope  teamOptions   `group:"Team"`
	Args   struct {
		File string `positional-arg-name:"file"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	register("diff", "Compare a file with a team's configuration",
		"Print what apply would change.", &diffCommand{})
}

// Execute runs the command.
func (d *diffCommand) Execute([]string) error {
	s, err := readSource(d.Args.File)
	if err != nil {
		return err
	}
	c, err := d.Client.client()
	if err != nil {
		return err
	}
	value, err := s.value()
	if err != nil {
		return err
	}
	r, err := c.DiffTeam(context.Background(), &opsapi.DiffTeam{Value: value},
		opsapi.DiffTeamParams{Team: s.team(d.Scope.Team)})
	if err != nil {
		return explain(err)
	}
	switch a := r.(type) {
	case *opsapi.Diff:
		return d.Client.show(a, differenceTable(a.Differences))
	case *opsapi.Refused:
		return d.Client.refused(a, s.place)
	}
	return errUnexpected
}
