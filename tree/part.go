package tree

import (
	"slices"

	"github.com/magnolialever/magnolialever/units"
)

// part is the value of one team with the indexes of its entries. It is immutable.
type part struct {
	team      units.TeamID
	revision  units.Revision
	data      []byte
	value     *Team
	customers map[units.CustomerID]customerEntry
	keys      map[Hash]keyEntry
	targets   map[units.ModelID]Target
	services  map[units.ServiceID]serviceEntry
}

type customerEntry struct {
	Customer
	team units.TeamID
}

type keyEntry struct {
	Key
	team units.TeamID
}

type serviceEntry struct {
	*Service
	team units.TeamID
}

func (e serviceEntry) equal(o serviceEntry) bool {
	return e.team == o.team && slices.Equal(e.Idempotent, o.Idempotent) && slices.Equal(e.Open, o.Open)
}

// Target is what callers name in the field "model": a base model or an adapter.
type Target struct {
	ID units.ModelID
	// Base is the base model of an adapter; empty for a base model.
	Base    units.ModelID
	Bytes   units.Bytes
	Version string
	Team    units.TeamID
}

// IsAdapter reports whether the target is an adapter.
func (t Target) IsAdapter() bool { return t.Base != "" }

// BaseModel returns the base model that must be resident for the target.
func (t Target) BaseModel() units.ModelID {
	if t.IsAdapter() {
		return t.Base
	}
	return t.ID
}

func newPart(team units.TeamID, revision units.Revision, data []byte, v *Team) *part {
	p := &part{
		team:      team,
		revision:  revision,
		data:      data,
		value:     v,
		customers: make(map[units.CustomerID]customerEntry, len(v.Customers)),
		keys:      make(map[Hash]keyEntry, len(v.Keys)),
		targets:   make(map[units.ModelID]Target, len(v.Models)+len(v.Adapters)),
		services:  make(map[units.ServiceID]serviceEntry, len(v.Services)),
	}
	for _, c := range v.Customers {
		p.customers[c.ID] = customerEntry{c, team}
	}
	for _, k := range v.Keys {
		p.keys[k.Hash] = keyEntry{k, team}
	}
	for _, m := range v.Models {
		p.targets[m.ID] = Target{ID: m.ID, Bytes: m.Bytes, Version: m.Version, Team: team}
	}
	for _, a := range v.Adapters {
		p.targets[a.ID] = Target{ID: a.ID, Base: a.Base, Bytes: a.Bytes, Version: a.Version, Team: team}
	}
	for i := range v.Services {
		p.services[v.Services[i].ID] = serviceEntry{&v.Services[i], team}
	}
	return p
}
