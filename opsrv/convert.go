package opsrv

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/magnolialever/magnolialever/config"
	"github.com/magnolialever/magnolialever/opsapi"
	"github.com/magnolialever/magnolialever/tree"
)

// parsedTeam decodes a team configuration as a config.Section without checks; tree.Validate checks
// it later.
type parsedTeam tree.Team

// Check implements config.Section.
func (*parsedTeam) Check(func(path, problem string)) {}

// decode decodes a configuration sent by an operator. Unknown fields are problems. Metadata that
// only the server sets is dropped.
func decode(v opsapi.Value) (*tree.Team, []tree.Problem) {
	if !bytes.HasPrefix(bytes.TrimSpace(v), []byte("{")) {
		return nil, []tree.Problem{{Path: "", Text: "the value must be an object"}}
	}
	d := &parsedTeam{}
	err := config.Parse("value", v, d)
	if err == nil {
		return withoutMetadata((*tree.Team)(d)), nil
	}
	var e *config.Error
	if errors.As(err, &e) {
		return nil, []tree.Problem{{Path: e.Path, Text: e.Problem}}
	}
	return nil, []tree.Problem{{Path: "", Text: err.Error()}}
}

// encode returns the JSON of a configuration without metadata, or null if it is nil.
func encode(v *tree.Team) (opsapi.Value, error) {
	if v == nil {
		return opsapi.Value("null"), nil
	}
	data, err := tree.Encode(withoutMetadata(v))
	if err != nil {
		return nil, fmt.Errorf("encode team configuration: %w", err)
	}
	return data, nil
}

// apiProblems converts problems to their form in the API.
func apiProblems(l []tree.Problem) []opsapi.Problem {
	out := make([]opsapi.Problem, 0, len(l))
	for _, p := range l {
		out = append(out, opsapi.Problem{Path: p.Path, Text: p.Text})
	}
	return out
}

// apiDifferences converts differences to their form in the API.
func apiDifferences(l []tree.Difference) []opsapi.Difference {
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

// changeResponse is a response to any change.
type changeResponse interface {
	opsapi.IssueKeyRes
	opsapi.PutTeamRes
	opsapi.WithdrawKeyRes
}

// failureResponse returns the response to a change that was not made, or may not have been; nil if it was accepted.
func failureResponse(c change, o outcome) (changeResponse, error) {
	switch o.result {
	case refused:
		return refusedResponse(o.problems), nil
	case conflict:
		return conflictResponse(c, o)
	case unknown:
		return unknownResponse(), nil
	}
	return nil, nil
}

// conflictResponse returns the response to a change whose expected revision is not the stored one,
// or that lost against concurrent writes in each try.
func conflictResponse(c change, o outcome) (*opsapi.Conflict, error) {
	value, err := encode(o.current.config)
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
		Differences: apiDifferences(o.differences),
	}, nil
}

func refusedResponse(l []tree.Problem) *opsapi.Refused {
	return &opsapi.Refused{Problems: apiProblems(l)}
}

// unknownResponse returns the response to a change that may have been written.
func unknownResponse() *opsapi.Unknown {
	return &opsapi.Unknown{Message: "the response of the platform's store was lost; the change may or may not have been written"}
}
