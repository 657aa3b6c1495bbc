package tree

import (
	"cmp"
	"slices"
	"sync"

	"github.com/magnolialever/magnolialever/units"
)

// Snapshot holds the newest readable configuration of each team, which is the one in
// force. It is immutable and safe for concurrent use; Merge returns an updated copy.
type Snapshot struct {
	partitions        []*partition // sorted by team
	customers         persistentMap[units.CustomerID, customerEntry]
	keys              persistentMap[Hash, keyEntry]
	targets           persistentMap[units.ModelID, Target]
	services          persistentMap[units.ServiceID, serviceEntry]
	excludedZones     map[units.Zone]struct{}
	excludedUpstreams map[units.UpstreamID]struct{}
	limits            Limits
	sortedTargets     func() []Target
}

// Empty returns a snapshot without teams.
func Empty() *Snapshot {
	s := &Snapshot{}
	s.sortedTargets = sync.OnceValue(s.collectTargets)
	return s
}

// Version is the revision of one team's configuration in a snapshot.
type Version struct {
	Team     units.TeamID
	Revision units.Revision
}

// Versions returns the version of each team, sorted by team.
func (s *Snapshot) Versions() []Version {
	l := make([]Version, 0, len(s.partitions))
	for _, p := range s.partitions {
		l = append(l, Version{p.team, p.revision})
	}
	return l
}

// Revision returns the revision of the team's configuration, or 0 if the team has none.
func (s *Snapshot) Revision(team units.TeamID) units.Revision {
	if p := s.partition(team); p != nil {
		return p.revision
	}
	return 0
}

// Team returns the team's configuration, or nil if there is none. The caller must not
// modify it.
func (s *Snapshot) Team(team units.TeamID) *Team {
	if p := s.partition(team); p != nil {
		return p.value
	}
	return nil
}

// Data returns the team's encoded configuration as passed to Merge, or nil if there is none.
// The caller must not modify it.
func (s *Snapshot) Data(team units.TeamID) []byte {
	if p := s.partition(team); p != nil {
		return p.data
	}
	return nil
}

func (s *Snapshot) partition(team units.TeamID) *partition {
	if i, ok := s.find(team); ok {
		return s.partitions[i]
	}
	return nil
}

// find returns the index of the team's partition, or where to insert it, and whether it exists.
func (s *Snapshot) find(team units.TeamID) (int, bool) {
	return slices.BinarySearchFunc(s.partitions, team, func(p *partition, t units.TeamID) int { return cmp.Compare(p.team, t) })
}

// Caller describes the sender of requests with a given API key.
type Caller struct {
	Key      units.KeyID
	Team     units.TeamID
	Customer units.CustomerID
	// Class is the default deadline class of requests with this key.
	Class units.Class
	// Weight is the customer's relative share of capacity in the queue, at least 1.
	Weight uint32
	// Rate is the refill rate of the customer's token bucket, in tokens/s.
	Rate units.Tokens
	// Burst is the capacity of the token bucket, in tokens.
	Burst units.Tokens
	// Withdrawn is set for a withdrawn key, whose requests must be refused.
	Withdrawn bool
}

// Caller returns the caller whose key has the hash. It returns false if there is no such
// key or the key's team does not have its customer.
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
		Class:     resolveClass(k.Class, c.Class),
		Weight:    max(c.Weight, 1),
		Rate:      c.Rate,
		Burst:     c.Burst,
		Withdrawn: k.Withdrawn,
	}, true
}

// Customer returns the customer with the id, and whether it exists.
func (s *Snapshot) Customer(id units.CustomerID) (Customer, bool) {
	c, ok := s.customers.get(id)
	return c.Customer, ok
}

// Target returns the model or adapter with the id. It returns false if there is none, and
// for an adapter whose base model does not exist.
func (s *Snapshot) Target(id units.ModelID) (Target, bool) {
	t, ok := s.targets.get(id)
	if !ok || !s.hasBase(t) {
		return Target{}, false
	}
	return t, true
}

// hasBase reports whether t is a base model, or an adapter whose base model exists.
func (s *Snapshot) hasBase(t Target) bool {
	if !t.IsAdapter() {
		return true
	}
	b, ok := s.targets.get(t.Base)
	return ok && !b.IsAdapter()
}

// Targets returns all models and adapters, sorted by id, except adapters whose base model
// does not exist. The caller must not modify the slice.
func (s *Snapshot) Targets() []Target { return s.sortedTargets() }

func (s *Snapshot) collectTargets() []Target {
	var l []Target
	for _, t := range s.targets.all() {
		if s.hasBase(t) {
			l = append(l, t)
		}
	}
	slices.SortFunc(l, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return l
}

// Service returns the service with the id, and whether it exists. The caller must not
// modify it.
func (s *Snapshot) Service(id units.ServiceID) (*Service, bool) {
	e, ok := s.services.get(id)
	return e.Service, ok
}

// ZoneExcluded reports whether the availability zone must receive no new requests or
// loads.
func (s *Snapshot) ZoneExcluded(z units.Zone) bool {
	_, out := s.excludedZones[z]
	return out
}

// UpstreamExcluded reports whether the upstream must receive no new requests or loads. It
// does not consider the upstream's zone.
func (s *Snapshot) UpstreamExcluded(u units.UpstreamID) bool {
	_, out := s.excludedUpstreams[u]
	return out
}

// Limits returns the fleet-wide limits.
func (s *Snapshot) Limits() Limits { return s.limits }
