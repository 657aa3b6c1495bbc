package cmds

import (
	"fmt"
	"os"

	"github.com/magnolialever/magnolialever/config"
	"github.com/magnolialever/magnolialever/opsapi"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

// teamFile is a team's configuration in the format that apply reads and "get -o json" prints.
type teamFile struct {
	// Team may be omitted; the flag --team is used instead.
	Team units.TeamID `json:"team,omitempty"`
	// Revision is the revision that the file replaces. If it is omitted, the file replaces the
	// current one.
	Revision *units.Revision `json:"revision,omitempty"`
	Value    *tree.Team      `json:"value"`
}

// valuePath is the prefix of paths within Value.
const valuePath = "value."

// Check reports the problems that can be found without the configuration of other teams.
func (d *teamFile) Check(report func(path, problem string)) {
	if d.Team != "" && !tree.ValidTeam(d.Team) {
		report("team", "is not a valid team name")
	}
	if d.Value == nil {
		report("value", "is missing")
		return
	}
	d.Value.Check(func(path, problem string) { report(valuePath+path, problem) })
}

// sourceFile is a decoded and validated team file, with its contents for locating problems.
type sourceFile struct {
	name string
	data []byte
	teamFile
}

// readSourceFile reads and validates the file. All its errors are usage errors.
func readSourceFile(name string) (*sourceFile, error) {
	s := &sourceFile{name: name}
	var err error
	if s.data, err = os.ReadFile(name); err != nil {
		return nil, usageError(fmt.Errorf("read configuration: %w", err))
	}
	if err := config.Parse(name, s.data, &s.teamFile); err != nil {
		return nil, usageError(err)
	}
	return s, nil
}

// locate returns the error for a problem that the gateway has found, with its line in the file.
func (s *sourceFile) locate(p opsapi.Problem) error {
	return config.ErrorAt(s.name, s.data, valuePath+p.Path, p.Text)
}

// teamOr returns the team that the file states, or the value of the flag --team.
func (s *sourceFile) teamOr(option string) string {
	if s.Team != "" {
		return string(s.Team)
	}
	return option
}

func (s *sourceFile) encodeValue() (opsapi.Value, error) {
	data, err := tree.Encode(s.Value)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return data, nil
}
