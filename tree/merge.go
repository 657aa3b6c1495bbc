package tree

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

// ErrUnreadable is returned by Merge for a value that can't be read.
var ErrUnreadable = errors.New("configuration can't be read")

// InvalidatedKey names a key that a merge made invalid: withdrawn, removed, or without
// its customer.
type InvalidatedKey struct {
	Hash     Hash
	Key      units.KeyID
	Customer units.CustomerID
}

// MergeResult tells what Merge did.
type MergeResult struct {
	// Changed is false when the value is not newer than the one in force.
	Changed         bool
	Team            units.TeamID
	From, To        units.Revision
	InvalidatedKeys []InvalidatedKey
}

// Merge returns the snapshot with the team's value when its revision is newer than
// the one in force, else s itself. A value that can't be read is counted and
// rejected with ErrUnreadable, and s stays in force. The data must not change
// afterwards.
//
// Two teams that wrote at the same moment may both have taken a name. Then the
// entry of the team that sorts first is in force, whatever the order of delivery.
func (s *Snapshot) Merge(team units.TeamID, revision units.Revision, data []byte) (*Snapshot, MergeResult, error) {
	m := MergeResult{Team: team, From: s.Revision(team), To: revision}
	if revision <= m.From {
		return s, m, nil
	}
	v, err := Decode(data)
	if err != nil {
		stats.Event("tree_unreadable")
		return s, m, fmt.Errorf("merge team %s at revision %d: %w", team, revision, err)
	}
	next, conflict := s.with(newPart(team, revision, data, v))
	m.Changed = true
	m.InvalidatedKeys = s.withdrawnIn(next, team, conflict)
	return next, m, nil
}

// Decode reads a value from the store. It ignores fields that it does not know, so
// that nodes of two versions of the program can share a store.
func Decode(data []byte) (*Team, error) {
	v := &Team{}
	if err := json.Unmarshal(data, v); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return v, nil
}

// Encode returns the value as it is stored.
func Encode(v *Team) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return data, nil
}

// with returns the snapshot with p in place of the part of its team, and whether a
// changed name is also in the value of another team.
func (s *Snapshot) with(p *part) (*Snapshot, bool) {
	next := &Snapshot{}
	old := &part{}
	i, found := s.find(p.team)
	if found {
		old = s.parts[i]
		next.parts = slices.Clone(s.parts)
		next.parts[i] = p
	} else {
		next.parts = slices.Insert(slices.Clone(s.parts), i, p)
	}
	conflict := next.reindex(s, old, p)
	next.mark()
	next.sorted = sync.OnceValue(next.sortTargets)
	return next, conflict
}

func (s *Snapshot) reindex(from *Snapshot, old, p *part) bool {
	var c1, c2 bool
	s.customers, c1 = reindex(&from.customers, s.parts, old.customers, p.customers, same,
		func(p *part) map[units.CustomerID]customerEntry { return p.customers })
	s.keys, c2 = reindex(&from.keys, s.parts, old.keys, p.keys, same,
		func(p *part) map[Hash]keyEntry { return p.keys })
	s.targets, _ = reindex(&from.targets, s.parts, old.targets, p.targets, same,
		func(p *part) map[units.ModelID]Target { return p.targets })
	s.services, _ = reindex(&from.services, s.parts, old.services, p.services, serviceEntry.equal,
		func(p *part) map[units.ServiceID]serviceEntry { return p.services })
	return c1 || c2
}

func same[V comparable](a, b V) bool { return a == b }

// reindex returns the table t after a team's entries changed from old to now. For
// each changed name the entry of the first of the parts that has it is in force.
// The flag tells whether a changed name is in several parts.
func reindex[K comparable, V any](
	t *table[K, V], parts []*part, old, now map[K]V, equal func(a, b V) bool, entries func(*part) map[K]V,
) (table[K, V], bool) {
	d := t.draft()
	conflict := false
	update := func(k K) {
		holders := 0
		for _, p := range parts {
			v, ok := entries(p)[k]
			if !ok {
				continue
			}
			if holders == 0 {
				d.set(k, v)
			}
			holders++
		}
		if holders == 0 {
			d.remove(k)
		}
		_, mine := now[k]
		conflict = conflict || holders > 1 || holders == 1 && !mine
	}
	for k, v := range now {
		if o, ok := old[k]; !ok || !equal(o, v) {
			update(k)
		}
	}
	for k := range old {
		if _, ok := now[k]; !ok {
			update(k)
		}
	}
	return d.table, conflict
}

// mark collects the marks and limits, which only the value of Fleet sets.
func (s *Snapshot) mark() {
	v := s.Team(FleetTeam)
	if v == nil {
		return
	}
	s.zones = make(map[units.Zone]struct{}, len(v.ExcludedZones))
	for _, z := range v.ExcludedZones {
		s.zones[z] = struct{}{}
	}
	s.upstreams = make(map[units.UpstreamID]struct{}, len(v.ExcludedUpstreams))
	for _, u := range v.ExcludedUpstreams {
		s.upstreams[u] = struct{}{}
	}
	if v.Limits != nil {
		s.limits = *v.Limits
	}
}

// withdrawnIn returns the keys that are valid in s and not in next. Only the team's
// own keys can change, unless a name is in the values of several teams.
func (s *Snapshot) withdrawnIn(next *Snapshot, team units.TeamID, conflict bool) []InvalidatedKey {
	var l []InvalidatedKey
	for _, p := range s.parts {
		if p.team != team && !conflict {
			continue
		}
		for _, k := range p.value.Keys {
			was, ok := s.Caller(k.Hash)
			if !ok || was.Withdrawn || was.Team != p.team {
				continue
			}
			is, ok := next.Caller(k.Hash)
			if !ok || is.Withdrawn || is.Customer != was.Customer || is.Team != was.Team {
				l = append(l, InvalidatedKey{Hash: k.Hash, Key: was.Key, Customer: was.Customer})
			}
		}
	}
	return l
}
