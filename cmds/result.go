package cmds

import (
	"errors"
	"fmt"

	"github.com/magnolialever/magnolialever/opsapi"
)

var errUnexpected = errors.New("unexpected answer")

// outcome is the result of a change in JSON.
type outcome struct {
	Result string `json:"result"`
	Answer any    `json:"answer"`
}

// finish prints the answer to a change and returns the error for the exit code.
func (o *clientOptions) finish(answer any) error {
	switch a := answer.(type) {
	case *opsapi.Accepted:
		return o.accepted(a)
	case *opsapi.IssuedKey:
		t := &table{head: []string{"KEY", "SECRET", headRevision}}
		t.add(a.ID, a.Secret, a.Revision)
		return o.show(outcome{"accepted", a}, t)
	case *opsapi.Refused:
		return o.refused(a, problemError)
	case *opsapi.Conflict:
		if err := o.show(outcome{"conflict", a}, differenceTable(a.Differences)); err != nil {
			return err
		}
		return &exitError{code: exitConflict, err: fmt.Errorf(
			"conflict: the change is for revision %d, the team has revision %d; the table shows both versions",
			a.Expected, a.Revision)}
	case *opsapi.Unknown:
		if err := o.jsonOnly(outcome{"unknown", a}); err != nil {
			return err
		}
		return &exitError{code: exitUnknown, err: fmt.Errorf("outcome unknown: %s", a.Message)}
	}
	return fmt.Errorf("%w: %T", errUnexpected, answer)
}

func (o *clientOptions) accepted(a *opsapi.Accepted) error {
	result := "accepted"
	if a.DryRun {
		result = "dry run"
	}
	if err := o.show(outcome{result, a}, differenceTable(a.Differences)); err != nil {
		return err
	}
	if o.Output == outputJSON {
		return nil
	}
	for _, p := range a.Warnings {
		_, _ = fmt.Fprintln(stdout, "warning:", problemError(p))
	}
	_, err := fmt.Fprintf(stdout, "%s, revision %d\n", result, a.Revision)
	return err
}

// refused returns all problems, each in the form that place gives it.
func (o *clientOptions) refused(a *opsapi.Refused, place func(opsapi.Problem) error) error {
	if err := o.jsonOnly(outcome{"refused", a}); err != nil {
		return err
	}
	l := make([]error, 0, len(a.Problems))
	for _, p := range a.Problems {
		l = append(l, place(p))
	}
	return fmt.Errorf("refused:\n%w", errors.Join(l...))
}

func (o *clientOptions) jsonOnly(v outcome) error {
	if o.Output != outputJSON {
		return nil
	}
	return o.show(v, nil)
}

func problemError(p opsapi.Problem) error {
	if p.Path == "" {
		return errors.New(p.Text)
	}
	return fmt.Errorf("%s: %s", p.Path, p.Text)
}

func differenceTable(l []opsapi.Difference) *table {
	t := &table{head: []string{"CHANGE", "LIST", "ID", "OLD", "NEW"}}
	for _, d := range l {
		t.add(d.Op, d.List, d.ID, d.Old.Or("-"), d.New.Or("-"))
	}
	return t
}
