package tree

import (
	"strings"

	"github.com/magnolialever/magnolialever/units"
)

// maxNameBytes keeps names usable in keys of the store, paths and tables.
const maxNameBytes = 128

const (
	nameChars = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-:"
	// modelChars has the slash because published models are named "owner/model".
	modelChars = nameChars + "/"
)

// ValidTeam reports whether the id can name a team.
func ValidTeam(id units.TeamID) bool { return nameProblem(string(id), nameChars) == "" }

func nameProblem(name, chars string) string {
	switch {
	case name == "":
		return "must not be empty"
	case len(name) > maxNameBytes:
		return "must have at most 128 bytes"
	case strings.Trim(name, chars) != "":
		return "may only have the characters " + chars
	case strings.HasPrefix(name, ".") || strings.HasPrefix(name, "/"):
		return "must start with a letter or digit"
	}
	return ""
}
