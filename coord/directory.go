package coord

import (
	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

// Directory implements gate.Directory with one snapshot of the configuration.
type Directory struct {
	snapshot *tree.Snapshot
}

// NewDirectory returns the directory of a snapshot.
func NewDirectory(s *tree.Snapshot) *Directory { return &Directory{s} }

// Caller implements gate.Directory. Withdrawn keys are not found.
func (d *Directory) Caller(h gate.KeyHash) (gate.Caller, bool) {
	c, ok := d.snapshot.Caller(tree.Hash(h))
	if !ok || c.Withdrawn {
		return gate.Caller{}, false
	}
	return gate.Caller{Customer: c.Customer, Key: c.Key, Class: c.Class, Weight: c.Weight}, true
}

// Model implements gate.Directory. Every customer may use every model.
func (d *Directory) Model(_ units.CustomerID, m units.ModelID) bool {
	_, ok := d.snapshot.Target(m)
	return ok
}

// Models implements gate.Directory. It returns all models, for every customer.
func (d *Directory) Models(units.CustomerID) []units.ModelID {
	targets := d.snapshot.Targets()
	ids := make([]units.ModelID, len(targets))
	for i, t := range targets {
		ids[i] = t.ID
	}
	return ids
}

// Route implements gate.Directory.
func (d *Directory) Route(id units.ServiceID, method, path string) (gate.Route, bool) {
	s, ok := d.snapshot.Service(id)
	if !ok {
		return gate.Route{}, false
	}
	return gate.Route{Unauthenticated: s.IsOpen(method, path), Idempotent: s.IsIdempotent(method, path)}, true
}
