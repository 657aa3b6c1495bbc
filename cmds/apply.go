package cmds

import (
	"context"
	"fmt"

	"github.com/magnolialever/magnolialever/opsapi"
)

type applyCommand struct {
	Client clientOptions `group:"Client options"`
	Scope  teamOptions   `group:"Team"`
	DryRun bool          `long:"dry-run" description:"Validate and compare without writing"`
	Args   struct {
		File string `positional-arg-name:"file"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	register("apply", "Replace a team's configuration with a file",
		"Validates the file in a dry run and then writes it. The file is JSON with comments: "+
			"{team, revision, value}. If it has a revision, the change conflicts with any other current revision.", &applyCommand{})
}

// Execute validates the file at the gateway and, except in a dry run, writes it. It fails if the
// gateway refuses the change, if it conflicts, or if its outcome is unknown.
func (a *applyCommand) Execute([]string) error {
	s, err := readSourceFile(a.Args.File)
	if err != nil {
		return err
	}
	c, err := a.Client.newClient()
	if err != nil {
		return err
	}
	ctx := context.Background()
	q, p, err := a.buildRequest(ctx, c, s)
	if err != nil {
		return err
	}
	q.DryRun = opsapi.NewOptBool(true)
	r, err := c.PutTeam(ctx, q, p)
	if err != nil {
		return responseError(err)
	}
	if _, ok := r.(*opsapi.Accepted); !ok || a.DryRun {
		return a.printChange(s, r)
	}
	q.DryRun = opsapi.NewOptBool(false)
	r, err = sendChange(ctx, func(ctx context.Context) (opsapi.PutTeamRes, error) { return c.PutTeam(ctx, q, p) })
	if err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	return a.printChange(s, r)
}

// buildRequest returns the change and its parameters. The change replaces the revision that the
// file states, or the current one if it states none.
func (a *applyCommand) buildRequest(
	ctx context.Context, c *opsapi.Client, s *sourceFile,
) (*opsapi.PutTeam, opsapi.PutTeamParams, error) {
	p := opsapi.PutTeamParams{Team: s.teamOr(a.Scope.TeamID)}
	value, err := s.encodeValue()
	if err != nil {
		return nil, p, err
	}
	q := &opsapi.PutTeam{Attempt: newAttempt(), Value: value}
	if s.Revision != nil {
		q.Revision = opsapi.Revision(*s.Revision)
		return q, p, nil
	}
	v, err := c.GetTeam(ctx, opsapi.GetTeamParams(p))
	if err != nil {
		return nil, p, responseError(err)
	}
	q.Revision = v.Revision
	return q, p, nil
}

// printChange prints the response to the change. Problems get their line in the file.
func (a *applyCommand) printChange(s *sourceFile, r opsapi.PutTeamRes) error {
	if f, ok := r.(*opsapi.Refused); ok {
		return a.Client.printRefused(f, s.locate)
	}
	return a.Client.printChange(r)
}
