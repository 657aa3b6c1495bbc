package tree

import "github.com/magnolialever/magnolialever/units"

// ClassName is the name of a deadline class, or empty for the default.
type ClassName string

// resolve returns the class of the first name that is set and known, else Normal.
func resolve(names ...ClassName) units.Class {
	for _, n := range names {
		if c, ok := units.ParseClass(string(n)); ok {
			return c
		}
	}
	return units.Normal
}

// known reports whether the name is empty or that of a class.
func (n ClassName) known() bool {
	_, ok := units.ParseClass(string(n))
	return ok || n == ""
}
