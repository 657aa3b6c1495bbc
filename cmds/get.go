package cmds

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/magnolialever/magnolialever/opsapi"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

type getCommand struct {
	Client clientOptions `group:"Client options"`
	Args   struct {
		Team string `positional-arg-name:"team"`
	} `positional-args:"yes"`
}

func init() {
	register("get", "Print a team's configuration",
		"Prints the configuration of a team, or the list of teams if none is given. "+
			"The JSON output can be edited and passed to apply.", &getCommand{})
}

// Execute prints the configuration of the team, or the list of teams.
func (g *getCommand) Execute([]string) error {
	c, err := g.Client.newClient()
	if err != nil {
		return err
	}
	ctx := context.Background()
	if g.Args.Team == "" {
		return g.printTeams(ctx, c)
	}
	v, err := c.GetTeam(ctx, opsapi.GetTeamParams{Team: g.Args.Team})
	if err != nil {
		return responseError(err)
	}
	value := &tree.Team{}
	if err := json.Unmarshal(v.Value, value); err != nil {
		return fmt.Errorf("decode configuration: %w", err)
	}
	t := &table{header: []string{"LIST", "ID", "ENTRY"}}
	for _, d := range tree.Diff(nil, value) {
		t.addRow(d.List, d.ID, d.New)
	}
	r := units.Revision(v.Revision)
	return g.Client.print(teamFile{Team: units.TeamID(v.Team), Revision: &r, Value: value}, t)
}

func (g *getCommand) printTeams(ctx context.Context, c *opsapi.Client) error {
	l, err := c.ListTeams(ctx)
	if err != nil {
		return responseError(err)
	}
	t := &table{header: []string{"TEAM", revisionHeader}}
	for _, v := range l.Teams {
		t.addRow(v.Team, v.Revision)
	}
	return g.Client.print(l, t)
}
