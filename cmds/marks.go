package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/magnolialever/magnolialever/opsapi"
	"github.com/magnolialever/magnolialever/tree"
)

// markTries bounds the tries against other writers; setting a mark does not depend
// on what they changed.
const markTries = 5

// markCommand takes something out of service or back.
type markCommand struct {
	Client clientOptions `group:"Client options"`
	Args   struct {
		Action string `positional-arg-name:"out|back"`
		Name   string `positional-arg-name:"name"`
	} `positional-args:"yes" required:"yes"`
}

// run changes the list that the function returns.
func run[N ~string](m *markCommand, list func(*tree.Team) *[]N) error {
	out := m.Args.Action == "out"
	if !out && m.Args.Action != "back" {
		return usage(fmt.Errorf(`action is %q, must be "out" or "back"`, m.Args.Action))
	}
	c, err := m.Client.client()
	if err != nil {
		return err
	}
	ctx := context.Background()
	var r opsapi.PutTeamRes
	for range markTries {
		r, err = m.try(ctx, c, func(v *tree.Team) { setMark(list(v), N(m.Args.Name), out) })
		if err != nil {
			return err
		}
		if _, conflict := r.(*opsapi.Conflict); !conflict {
			break
		}
	}
	return m.Client.finish(r)
}

func setMark[N ~string](l *[]N, n N, out bool) {
	*l = slices.DeleteFunc(*l, func(o N) bool { return o == n })
	if out {
		*l = append(*l, n)
	}
}

func (m *markCommand) try(ctx context.Context, c *opsapi.Client, edit func(*tree.Team)) (opsapi.PutTeamRes, error) {
	fleet := string(tree.FleetTeam)
	v, err := c.GetTeam(ctx, opsapi.GetTeamParams{Team: fleet})
	if err != nil {
		return nil, explain(err)
	}
	value := &tree.Team{}
	if err := json.Unmarshal(v.Value, value); err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	edit(value)
	data, err := tree.Encode(value)
	if err != nil {
		return nil, fmt.Errorf("set mark: %w", err)
	}
	q := &opsapi.PutTeam{Revision: v.Revision, Attempt: newAttempt(), Value: data}
	r, err := send(ctx, func(ctx context.Context) (opsapi.PutTeamRes, error) {
		return c.PutTeam(ctx, q, opsapi.PutTeamParams{Team: fleet})
	})
	if err != nil {
		return nil, fmt.Errorf("set mark: %w", err)
	}
	return r, nil
}
