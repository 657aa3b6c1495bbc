package cmds

import (
	"errors"
	"fmt"

	"github.com/magnolialever/magnolialever/opsapi"
)

var errUnexpectedResponse = errors.New("unexpected response of the gateway")

// changeResult is the JSON output for a change.
type changeResult struct {
	Result   string `json:"result"`
	Response any    `json:"answer"`
}

// printChange prints the gateway's response to a change. It returns an error unless the change was
// accepted; conflicts and unknown outcomes have their own exit codes.
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
			"conflict: the change expects revision %d, but the current revision is %d; the table shows both versions",
			a.Expected, a.Revision)}
	case *opsapi.Unknown:
		if err := o.printIfJSON(changeResult{"unknown", a}); err != nil {
			return err
		}
		return &exitError{code: exitUnknown, err: fmt.Errorf("outcome of the change is unknown: %s", a.Message)}
	}
	return fmt.Errorf("%w: %T", errUnexpectedResponse, response)
}

// printAccepted prints the differences, the warnings and the new revision. In a dry run the revision
// is the current one.
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

// printRefused returns an error that joins all problems, each formatted by locate. It prints the
// response only as JSON.
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

// printIfJSON prints v if the output format is JSON.
func (o *clientOptions) printIfJSON(v changeResult) error {
	if o.Output != outputJSON {
		return nil
	}
	return o.print(v, nil)
}

// newProblemError returns the problem as an error, with its path in the configuration.
func newProblemError(p opsapi.Problem) error {
	if p.Path == "" {
		return errors.New(p.Text)
	}
	return fmt.Errorf("%s: %s", p.Path, p.Text)
}

// newDifferenceTable returns a table with one row for each changed entry.
func newDifferenceTable(l []opsapi.Difference) *table {
	t := &table{header: []string{"CHANGE", "LIST", "ID", "OLD", "NEW"}}
	for _, d := range l {
		t.addRow(d.Op, d.List, d.ID, d.Old.Or("-"), d.New.Or("-"))
	}
	return t
}
