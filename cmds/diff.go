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
		"Prints the entries that apply would change, without writing them.", &diffCommand{})
}

// Execute prints the differences between the file and the current configuration.
func (d *diffCommand) Execute([]string) error {
	s, err := readSourceFile(d.Args.File)
	if err != nil {
		return err
	}
	c, err := d.Client.newClient()
	if err != nil {
		return err
	}
	value, err := s.encodeValue()
	if err != nil {
		return err
	}
	r, err := c.DiffTeam(context.Background(), &opsapi.DiffTeam{Value: value},
		opsapi.DiffTeamParams{Team: s.teamOr(d.Scope.TeamID)})
	if err != nil {
		return responseError(err)
	}
	switch a := r.(type) {
	case *opsapi.Diff:
		return d.Client.print(a, newDifferenceTable(a.Differences))
	case *opsapi.Refused:
		return d.Client.printRefused(a, s.locate)
	}
	return errUnexpectedResponse
}
