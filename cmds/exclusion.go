package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/magnolialever/magnolialever/opsapi"
	"github.com/magnolialever/magnolialever/tree"
)

// maxUpdateAttempts limits the attempts when other writers change the configuration at the same
// time. An exclusion does not depend on their changes, so it is applied to the new revision.
const maxUpdateAttempts = 5

// exclusionCommand holds the arguments of commands that exclude a zone or an upstream from new work,
// or restore it.
type exclusionCommand struct {
	Client clientOptions `group:"Client options"`
	Args   struct {
		Action string `positional-arg-name:"out|back"`
		Name   string `positional-arg-name:"name"`
	} `positional-args:"yes" required:"yes"`
}

// updateExclusions adds the name to the list of exclusions in the fleet's configuration, or removes
// it. The function list returns the list to change. An invalid action is a usage error.
func updateExclusions[N ~string](e *exclusionCommand, list func(*tree.Team) *[]N) error {
	exclude := e.Args.Action == "out"
	if !exclude && e.Args.Action != "back" {
		return usageError(fmt.Errorf(`action is %q, must be "out" or "back"`, e.Args.Action))
	}
	c, err := e.Client.newClient()
	if err != nil {
		return err
	}
	ctx := context.Background()
	var r opsapi.PutTeamRes
	for range maxUpdateAttempts {
		r, err = e.replaceList(ctx, c, func(v *tree.Team) { setExcluded(list(v), N(e.Args.Name), exclude) })
		if err != nil {
			return err
		}
		if _, conflict := r.(*opsapi.Conflict); !conflict {
			break
		}
	}
	return e.Client.printChange(r)
}

// setExcluded adds the name to the list or removes it. Repeating it has no effect.
func setExcluded[N ~string](list *[]N, name N, exclude bool) {
	*list = slices.DeleteFunc(*list, func(listed N) bool { return listed == name })
	if exclude {
		*list = append(*list, name)
	}
}

// replaceList reads the fleet's configuration, applies the edit and writes the result. A response
// of type *opsapi.Conflict means that another writer was faster.
func (e *exclusionCommand) replaceList(ctx context.Context, c *opsapi.Client, edit func(*tree.Team)) (opsapi.PutTeamRes, error) {
	fleet := string(tree.FleetTeam)
	v, err := c.GetTeam(ctx, opsapi.GetTeamParams{Team: fleet})
	if err != nil {
		return nil, responseError(err)
	}
	value := &tree.Team{}
	if err := json.Unmarshal(v.Value, value); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	edit(value)
	data, err := tree.Encode(value)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	q := &opsapi.PutTeam{Revision: v.Revision, Attempt: newAttempt(), Value: data}
	r, err := sendChange(ctx, func(ctx context.Context) (opsapi.PutTeamRes, error) {
		return c.PutTeam(ctx, q, opsapi.PutTeamParams{Team: fleet})
	})
	if err != nil {
		return nil, fmt.Errorf("write exclusion: %w", err)
	}
	return r, nil
}
