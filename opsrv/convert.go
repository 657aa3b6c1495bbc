package opsrv

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/magnolialever/magnolialever/config"
	"github.com/magnolialever/magnolialever/opsapi"
	"github.com/magnolialever/magnolialever/tree"
)

// document is a value that is only decoded; Validate checks it later.
type document tree.Team

// Check is part of config.Section.
func (*document) Check(func(path, problem string)) {}

// decode reads a value from an operator, who may not use unknown fields.
func decode(v opsapi.Value) (*tree.Team, []tree.Problem) {
	if !bytes.HasPrefix(bytes.TrimSpace(v), []byte("{")) {
		return nil, []tree.Problem{{Path: "", Text: "the value must be an object"}}
	}
	d := &document{}
	err := config.Parse("value", v, d)
	if err == nil {
		return bare((*tree.Team)(d)), nil
	}
	var e *config.Error
	if errors.As(err, &e) {
		return nil, []tree.Problem{{Path: e.Path, Text: e.Problem}}
	}
	return nil, []tree.Problem{{Path: "", Text: err.Error()}}
}

func encode(v *tree.Team) (opsapi.Value, error) {
	if v == nil {
		return opsapi.Value("null"), nil
	}
	data, err := tree.Encode(bare(v))
	if err != nil {
		return nil, fmt.Errorf("answer: %w", err)
	}
	return data, nil
}

func problemsOf(l []tree.Problem) []opsapi.Problem {
	out := make([]opsapi.Problem, 0, len(l))
	for _, p := range l {
		out = append(out, opsapi.Problem{Path: p.Path, Text: p.Text})
	}
	return out
}

func differencesOf(l []tree.Difference) []opsapi.Difference {
	out := make([]opsapi.Difference, 0, len(l))
	for _, d := range l {
		e := opsapi.Difference{Op: opsapi.DifferenceOp(d.Op), List: d.List, ID: d.ID}
		if d.Old != "" {
			e.Old = opsapi.NewOptString(d.Old)
		}
		if d.New != "" {
			e.New = opsapi.NewOptString(d.New)
		}
		out = append(out, e)
	}
	return out
}

func conflictOf(c change, o outcome) (*opsapi.Conflict, error) {
	value, err := encode(o.current.value)
	if err != nil {
		return nil, err
	}
	submitted, err := encode(o.submitted)
	if err != nil {
		return nil, err
	}
	return &opsapi.Conflict{
		Expected:    opsapi.Revision(c.expected),
		Revision:    opsapi.Revision(o.current.revision),
		Value:       value,
		Submitted:   submitted,
		Differences: differencesOf(o.differences),
	}, nil
}

func refusedOf(l []tree.Problem) *opsapi.Refused { return &opsapi.Refused{Problems: problemsOf(l)} }

func unknownOf() *opsapi.Unknown {
	return &opsapi.Unknown{Message: "the answer of the platform service was lost; the change may be in force or not"}
}
