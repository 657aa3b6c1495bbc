package cmds

import (
	"fmt"
	"os"

	"github.com/magnolialever/magnolialever/config"
	"github.com/magnolialever/magnolialever/opsapi"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

// teamFile is the file of a team's value, as "get -o json" prints it.
type teamFile struct {
	// Team may be left out when the option --team names it.
	Team units.TeamID `json:"team,omitempty"`
	// Revision, when given, is the only one that the file may replace.
	Revision *units.Revision `json:"revision,omitempty"`
	Value    *tree.Team      `json:"value"`
}

const valuePath = "value."

// Check reports what is wrong without knowledge of the other teams.
func (d *teamFile) Check(report func(path, problem string)) {
	if d.Team != "" && !tree.ValidTeam(d.Team) {
		report("team", "can't name a team")
	}
	if d.Value == nil {
		report("value", "is missing")
		return
	}
	d.Value.Check(func(path, problem string) { report(valuePath+path, problem) })
}

// sourceFile is a file that has been read.
type sourceFile struct {
	name string
	data []byte
	teamFile
}

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

// locate tells where in the file a problem is that the gateway found.
func (s *sourceFile) locate(p opsapi.Problem) error {
	return config.ErrorAt(s.name, s.data, valuePath+p.Path, p.Text)
}

// teamOr returns the team of the file, or that of the option.
func (s *sourceFile) teamOr(option string) string {
	if s.Team != "" {
		return string(s.Team)
	}
	return option
}

func (s *sourceFile) encodeValue() (opsapi.Value, error) {
	data, err := tree.Encode(s.Value)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	return data, nil
}
