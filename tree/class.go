package tree

import "github.com/magnolialever/magnolialever/units"

// ClassName is the configured name of a deadline class; empty selects the default class.
type ClassName string

// resolveClass returns the class of the first name that names a class, or Normal if none does.
func resolveClass(names ...ClassName) units.Class {
	for _, n := range names {
		if c, ok := units.ParseClass(string(n)); ok {
			return c
		}
	}
	return units.Normal
}

// known reports whether the name is empty (the default) or names a class.
func (n ClassName) known() bool {
	_, ok := units.ParseClass(string(n))
	return ok || n == ""
}
