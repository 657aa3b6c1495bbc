package cmds

import (
	"errors"
	"fmt"

	"github.com/magnolialever/magnolialever/opsapi"
)

var errUnexpectedResponse = errors.New("unexpected answer")

// changeResult is the result of a change in JSON.
type changeResult struct {
	Result   string `json:"result"`
	Response any    `json:"answer"`
}

// printChange prints the answer to a change and returns the error for the exit code.
func (o *clientOptions) printChange(response any) error {
	switch a := response.(type) {
	case *opsapi.Accepted:
		return o.printAccepted(a)
	case *opsapi.IssuedKey:
		t := &table{header: []string{"KEY", "SECRET", revisionHeader}}
		t.addRow(a.ID, a.Secret, a.Revision)
		return o.print(changeResult{"accepted", a}, t)
	case *opsapi.Refused:
		return o.printRefused(a, newProblemError)
	case *opsapi.Conflict:
		if err := o.print(changeResult{"conflict", a}, newDifferenceTable(a.Differences)); err != nil {
			return err
		}
		return &exitError{code: exitConflict, err: fmt.Errorf(
			"conflict: the change is for revision %d, the team has revision %d; the table shows both versions",
			a.Expected, a.Revision)}
	case *opsapi.Unknown:
		if err := o.printIfJSON(changeResult{"unknown", a}); err != nil {
			return err
		}
		return &exitError{code: exitUnknown, err: fmt.Errorf("outcome unknown: %s", a.Message)}
	}
	return fmt.Errorf("%w: %T", errUnexpectedResponse, response)
}

func (o *clientOptions) printAccepted(a *opsapi.Accepted) error {
	result := "accepted"
	if a.DryRun {
		result = "dry run"
	}
	if err := o.print(changeResult{result, a}, newDifferenceTable(a.Differences)); err != nil {
		return err
	}
	if o.Output == outputJSON {
		return nil
	}
	for _, p := range a.Warnings {
		_, _ = fmt.Fprintln(stdout, "warning:", newProblemError(p))
	}
	_, err := fmt.Fprintf(stdout, "%s, revision %d\n", result, a.Revision)
	return err
}

// printRefused returns all problems, each in the form that place gives it.
func (o *clientOptions) printRefused(a *opsapi.Refused, locate func(opsapi.Problem) error) error {
	if err := o.printIfJSON(changeResult{"refused", a}); err != nil {
		return err
	}
	problems := make([]error, 0, len(a.Problems))
	for _, p := range a.Problems {
		problems = append(problems, locate(p))
	}
	return fmt.Errorf("refused:\n%w", errors.Join(problems...))
}

func (o *clientOptions) printIfJSON(v changeResult) error {
	if o.Output != outputJSON {
		return nil
	}
	return o.print(v, nil)
}

func newProblemError(p opsapi.Problem) error {
	if p.Path == "" {
		return errors.New(p.Text)
	}
	return fmt.Errorf("%s: %s", p.Path, p.Text)
}

func newDifferenceTable(l []opsapi.Difference) *table {
	t := &table{header: []string{"CHANGE", "LIST", "ID", "OLD", "NEW"}}
	for _, d := range l {
		t.addRow(d.Op, d.List, d.ID, d.Old.Or("-"), d.New.Or("-"))
	}
	return t
}
