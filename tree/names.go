package tree

import (
	"strings"

	"github.com/magnolialever/magnolialever/units"
)

// maxNameBytes keeps names short enough for store keys, URL paths and table columns.
const maxNameBytes = 128

const (
	nameChars = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-:"
	// modelChars allows the slash because published models are named "owner/model".
	modelChars = nameChars + "/"
)

// ValidTeam reports whether id is a well-formed team name.
func ValidTeam(id units.TeamID) bool { return nameProblem(string(id), nameChars) == "" }

// nameProblem returns what is wrong with a name of the given characters, or "" if it is valid.
func nameProblem(name, chars string) string {
	switch {
	case name == "":
		return "must not be empty"
	case len(name) > maxNameBytes:
		return "must be at most 128 bytes long"
	case strings.Trim(name, chars) != "":
		return "may only contain the characters " + chars
	case strings.HasPrefix(name, ".") || strings.HasPrefix(name, "/"):
		return "must start with a letter or digit"
	}
	return ""
}
