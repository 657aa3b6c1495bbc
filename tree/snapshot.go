package tree

import (
	"cmp"
	"slices"
	"sync"

	"github.com/magnolialever/magnolialever/units"
)

// Snapshot is the newest readable value of each team. It is immutable and safe for
// concurrent use; Merge returns a changed copy.
type Snapshot struct {
	parts     []*part // by team
	customers table[units.CustomerID, customerEntry]
	keys      table[Hash, keyEntry]
	targets   table[units.ModelID, Target]
	services  table[units.ServiceID, serviceEntry]
	zones     map[units.Zone]struct{}
	upstreams map[units.UpstreamID]struct{}
	limits    Limits
	sorted    func() []Target
}

// Empty returns the snapshot without any team.
func Empty() *Snapshot {
	s := &Snapshot{}
	s.sorted = sync.OnceValue(s.sortTargets)
	return s
}

// Version is the revision of one team's value that is in force.
type Version struct {
	Team     units.TeamID
	Revision units.Revision
}

// Versions returns the versions in force, by team.
func (s *Snapshot) Versions() []Version {
	l := make([]Version, 0, len(s.parts))
	for _, p := range s.parts {
		l = append(l, Version{p.team, p.revision})
	}
	return l
}

// Revision returns the revision of the team's value in force; 0 when there is none.
func (s *Snapshot) Revision(team units.TeamID) units.Revision {
	if p := s.part(team); p != nil {
		return p.revision
	}
	return 0
}

// Team returns the team's value in force, which the caller must not change, or nil.
func (s *Snapshot) Team(team units.TeamID) *Team {
	if p := s.part(team); p != nil {
		return p.value
	}
	return nil
}

// Data returns the team's value in force as it was merged, or nil.
func (s *Snapshot) Data(team units.TeamID) []byte {
	if p := s.part(team); p != nil {
		return p.data
	}
	return nil
}

func (s *Snapshot) part(team units.TeamID) *part {
	if i, ok := s.find(team); ok {
		return s.parts[i]
	}
	return nil
}

func (s *Snapshot) find(team units.TeamID) (int, bool) {
	return slices.BinarySearchFunc(s.parts, team, func(p *part, t units.TeamID) int { return cmp.Compare(p.team, t) })
}

// Caller is what a key stands for.
type Caller struct {
	Key      units.KeyID
	Team     units.TeamID
	Customer units.CustomerID
	// Class is the default class of requests with this key.
	Class  units.Class
	Weight uint32
	Rate   units.Tokens
	Burst  units.Tokens
	// Withdrawn keys must be refused.
	Withdrawn bool
}

// Caller returns what the key with the hash stands for; false when there is no such
// key, or its customer does not exist.
func (s *Snapshot) Caller(h Hash) (Caller, bool) {
	k, ok := s.keys.get(h)
	if !ok {
		return Caller{}, false
	}
	c, ok := s.customers.get(k.Customer)
	if !ok || c.team != k.team {
		return Caller{}, false
	}
	return Caller{
		Key:       k.ID,
		Team:      k.team,
		Customer:  c.ID,
		Class:     resolve(k.Class, c.Class),
		Weight:    max(c.Weight, 1),
		Rate:      c.Rate,
		Burst:     c.Burst,
		Withdrawn: k.Withdrawn,
	}, true
}

// Customer returns the customer with the id.
func (s *Snapshot) Customer(id units.CustomerID) (Customer, bool) {
	c, ok := s.customers.get(id)
	return c.Customer, ok
}

// Target returns the model or adapter with the name; false also for an adapter
// whose base model does not exist.
func (s *Snapshot) Target(id units.ModelID) (Target, bool) {
	t, ok := s.targets.get(id)
	if !ok || !s.based(t) {
		return Target{}, false
	}
	return t, true
}

// based reports whether t is a base model or its base model exists.
func (s *Snapshot) based(t Target) bool {
	if !t.IsAdapter() {
		return true
	}
	b, ok := s.targets.get(t.Base)
	return ok && !b.IsAdapter()
}

// Targets returns all models and adapters by name. The caller must not change the
// slice.
func (s *Snapshot) Targets() []Target { return s.sorted() }

func (s *Snapshot) sortTargets() []Target {
	var l []Target
	for _, t := range s.targets.all() {
		if s.based(t) {
			l = append(l, t)
		}
	}
	slices.SortFunc(l, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return l
}

// Service returns the service with the id, which the caller must not change.
func (s *Snapshot) Service(id units.ServiceID) (*Service, bool) {
	e, ok := s.services.get(id)
	return e.Service, ok
}

// ZoneExcluded reports whether the availability zone must receive no new work.
func (s *Snapshot) ZoneExcluded(z units.Zone) bool {
	_, out := s.zones[z]
	return out
}

// UpstreamExcluded reports whether the upstream must receive no new work.
func (s *Snapshot) UpstreamExcluded(u units.UpstreamID) bool {
	_, out := s.upstreams[u]
	return out
}

// Limits returns the limits of the fleet.
func (s *Snapshot) Limits() Limits { return s.limits }
