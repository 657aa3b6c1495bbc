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

// ErrUnreadable is returned by Merge and Decode for a value that can't be decoded.
var ErrUnreadable = errors.New("configuration can't be decoded")

// InvalidatedKey identifies a key that a merge made invalid: the key was withdrawn, removed
// or moved to another team or customer, or its customer was removed.
type InvalidatedKey struct {
	Hash     Hash
	Key      units.KeyID
	Customer units.CustomerID
}

// MergeResult describes the effect of Merge.
type MergeResult struct {
	// Changed reports whether the value was newer than the one in force and replaced it.
	Changed bool
	Team    units.TeamID
	// From is the revision in force before the merge, To that of the merged value.
	From, To        units.Revision
	InvalidatedKeys []InvalidatedKey
}

// Merge returns a snapshot in which data is the team's configuration, or s itself if the
// revision is not newer than the one in s. For data that can't be decoded it counts the event
// tree_unreadable and returns s with ErrUnreadable. The snapshot retains data, which must not
// be modified afterwards.
//
// Two teams that write concurrently may use the same name. The entry of the team that
// sorts first is then in force, independent of the order of the merges.
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
	next, conflict := s.withPartition(newPartition(team, revision, data, v))
	m.Changed = true
	m.InvalidatedKeys = s.invalidatedKeys(next, team, conflict)
	return next, m, nil
}

// Decode decodes a stored configuration. It ignores unknown fields so that nodes of
// different program versions can share a store. It returns ErrUnreadable for invalid data.
func Decode(data []byte) (*Team, error) {
	v := &Team{}
	if err := json.Unmarshal(data, v); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return v, nil
}

// Encode returns the configuration in its stored form.
func Encode(v *Team) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return data, nil
}

// withPartition returns a copy of s with p as the partition of its team. The second result
// reports whether another team also has a changed customer name or key hash.
func (s *Snapshot) withPartition(p *partition) (*Snapshot, bool) {
	next := &Snapshot{}
	old := &partition{}
	i, found := s.find(p.team)
	if found {
		old = s.partitions[i]
		next.partitions = slices.Clone(s.partitions)
		next.partitions[i] = p
	} else {
		next.partitions = slices.Insert(slices.Clone(s.partitions), i, p)
	}
	conflict := next.updateIndexes(s, old, p)
	next.indexFleetSettings()
	next.sortedTargets = sync.OnceValue(next.collectTargets)
	return next, conflict
}

// updateIndexes derives the indexes of s from those of the snapshot from, after the
// partition of one team changed from old to p. It reports whether another team also has a
// changed customer name or key hash.
func (s *Snapshot) updateIndexes(from *Snapshot, old, p *partition) bool {
	var c1, c2 bool
	s.customers, c1 = updateIndex(&from.customers, s.partitions, old.customers, p.customers, equalValues,
		func(p *partition) map[units.CustomerID]customerEntry { return p.customers })
	s.keys, c2 = updateIndex(&from.keys, s.partitions, old.keys, p.keys, equalValues,
		func(p *partition) map[Hash]keyEntry { return p.keys })
	s.targets, _ = updateIndex(&from.targets, s.partitions, old.targets, p.targets, equalValues,
		func(p *partition) map[units.ModelID]Target { return p.targets })
	s.services, _ = updateIndex(&from.services, s.partitions, old.services, p.services, serviceEntry.equal,
		func(p *partition) map[units.ServiceID]serviceEntry { return p.services })
	return c1 || c2
}

func equalValues[V comparable](a, b V) bool { return a == b }

// updateIndex returns the index t after a team's entries changed from old to current. For
// each changed name it selects the entry of the first partition that has the name. The
// second result reports whether a team other than the changed one has a changed name.
func updateIndex[K comparable, V any](
	t *persistentMap[K, V], parts []*partition, old, current map[K]V, equal func(a, b V) bool, entries func(*partition) map[K]V,
) (persistentMap[K, V], bool) {
	builder := t.newBuilder()
	conflict := false
	update := func(k K) {
		count := 0
		for _, p := range parts {
			v, ok := entries(p)[k]
			if !ok {
				continue
			}
			if count == 0 {
				builder.set(k, v)
			}
			count++
		}
		if count == 0 {
			builder.remove(k)
		}
		_, inCurrent := current[k]
		conflict = conflict || count > 1 || count == 1 && !inCurrent
	}
	for k, v := range current {
		if o, ok := old[k]; !ok || !equal(o, v) {
			update(k)
		}
	}
	for k := range old {
		if _, ok := current[k]; !ok {
			update(k)
		}
	}
	return builder.persistentMap, conflict
}

// indexFleetSettings indexes the exclusions and limits, which only FleetTeam can set.
func (s *Snapshot) indexFleetSettings() {
	v := s.Team(FleetTeam)
	if v == nil {
		return
	}
	s.excludedZones = make(map[units.Zone]struct{}, len(v.ExcludedZones))
	for _, z := range v.ExcludedZones {
		s.excludedZones[z] = struct{}{}
	}
	s.excludedUpstreams = make(map[units.UpstreamID]struct{}, len(v.ExcludedUpstreams))
	for _, u := range v.ExcludedUpstreams {
		s.excludedUpstreams[u] = struct{}{}
	}
	if v.Limits != nil {
		s.limits = *v.Limits
	}
}

// invalidatedKeys returns the keys that are valid in s and are not valid, or belong to another
// customer or team, in next. Without a name conflict only the team's own keys can change.
func (s *Snapshot) invalidatedKeys(next *Snapshot, team units.TeamID, conflict bool) []InvalidatedKey {
	var l []InvalidatedKey
	for _, p := range s.partitions {
		if p.team != team && !conflict {
			continue
		}
		for _, k := range p.value.Keys {
			before, ok := s.Caller(k.Hash)
			if !ok || before.Withdrawn || before.Team != p.team {
				continue
			}
			after, ok := next.Caller(k.Hash)
			if !ok || after.Withdrawn || after.Customer != before.Customer || after.Team != before.Team {
				l = append(l, InvalidatedKey{Hash: k.Hash, Key: before.Key, Customer: before.Customer})
			}
		}
	}
	return l
}
