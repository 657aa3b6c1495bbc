package tree_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

// update is the input of one Merge. Its data is decodable if readable is set.
type update struct {
	team     units.TeamID
	revision units.Revision
	data     []byte
	readable bool
}

// drawTeam draws a configuration from few names, so that names of teams often conflict.
func drawTeam(t *rapid.T) *tree.Team {
	v := &tree.Team{}
	index := rapid.IntRange(0, 4)
	for _, i := range rapid.SliceOfNDistinct(index, 0, 4, rapid.ID).Draw(t, "customers") {
		v.Customers = append(v.Customers, tree.Customer{
			ID: units.CustomerID(fmt.Sprint("c", i)), Rate: units.Tokens(index.Draw(t, "rate")), Burst: 1,
		})
	}
	for _, i := range rapid.SliceOfNDistinct(index, 0, 4, rapid.ID).Draw(t, "keys") {
		v.Keys = append(v.Keys, tree.Key{
			ID: units.KeyID(fmt.Sprint("k", i)), Hash: tree.HashSecret(fmt.Sprint("s", i)),
			Customer:  units.CustomerID(fmt.Sprint("c", index.Draw(t, "customer"))),
			Withdrawn: rapid.Bool().Draw(t, "withdrawn"),
		})
	}
	for _, i := range rapid.SliceOfNDistinct(index, 0, 4, rapid.ID).Draw(t, "targets") {
		id := units.ModelID(fmt.Sprint("m", i))
		if rapid.Bool().Draw(t, "adapter") {
			base := units.ModelID(fmt.Sprint("m", index.Draw(t, "base")))
			v.Adapters = append(v.Adapters, tree.Adapter{ID: id, Base: base, Bytes: 1})
		} else {
			v.Models = append(v.Models, tree.Model{ID: id, Bytes: units.Bytes(index.Draw(t, "bytes"))})
		}
	}
	for _, i := range rapid.SliceOfNDistinct(index, 0, 2, rapid.ID).Draw(t, "zones") {
		v.ExcludedZones = append(v.ExcludedZones, units.Zone(fmt.Sprint("z", i)))
	}
	return v
}

// drawUpdates draws updates of three teams, with ascending revisions per team.
func drawUpdates(t *rapid.T) []update {
	l := make([]update, 0, 12)
	for _, team := range []units.TeamID{"a", "b", tree.FleetTeam} {
		r := units.Revision(0)
		for range rapid.IntRange(0, 4).Draw(t, "revisions") {
			r += units.Revision(rapid.IntRange(1, 3).Draw(t, "step"))
			d := update{team: team, revision: r, data: []byte(`{"keys":3}`)}
			if rapid.IntRange(0, 4).Draw(t, "unreadable") > 0 {
				d.data, _ = tree.Encode(drawTeam(t))
				d.readable = true
			}
			l = append(l, d)
		}
	}
	return l
}

// lookups holds the results of the lookups in a snapshot.
type lookups struct {
	Versions []tree.Version
	Callers  []tree.Caller
	Targets  []tree.Target
	Zones    []bool
}

// lookupsOf looks up all names that drawTeam draws.
func lookupsOf(s *tree.Snapshot) lookups {
	st := lookups{Versions: s.Versions(), Targets: slices.Clone(s.Targets())}
	for i := range 5 {
		c, ok := s.Caller(tree.HashSecret(fmt.Sprint("s", i)))
		if ok {
			st.Callers = append(st.Callers, c)
		}
		st.Zones = append(st.Zones, s.ZoneExcluded(units.Zone(fmt.Sprint("z", i))))
	}
	return st
}

// validKeys returns the keys that are not withdrawn and have a customer.
func validKeys(s *tree.Snapshot) map[tree.Hash]tree.Caller {
	m := map[tree.Hash]tree.Caller{}
	for i := range 5 {
		h := tree.HashSecret(fmt.Sprint("s", i))
		if c, ok := s.Caller(h); ok && !c.Withdrawn {
			m[h] = c
		}
	}
	return m
}

// mergeChecked merges u into s and checks the result against s: the change and error flags,
// revisions that never decrease, and the reported invalidated keys.
func mergeChecked(t *rapid.T, s *tree.Snapshot, u update) *tree.Snapshot {
	next, m, err := s.Merge(u.team, u.revision, u.data)
	newer := u.revision > s.Revision(u.team)
	if (err != nil) != (newer && !u.readable) || m.Changed != (newer && u.readable) {
		t.Fatalf("merge of team %s, revision %d over %d: changed %v, error %v", u.team, u.revision, s.Revision(u.team), m.Changed, err)
	}
	for _, v := range s.Versions() {
		if next.Revision(v.Team) < v.Revision {
			t.Fatalf("team %s: revision decreased from %d to %d", v.Team, v.Revision, next.Revision(v.Team))
		}
	}
	reported := map[tree.Hash]bool{}
	for _, w := range m.InvalidatedKeys {
		reported[w.Hash] = true
	}
	keys := validKeys(next)
	for h, before := range validKeys(s) {
		after, ok := keys[h]
		if invalidated := !ok || after.Customer != before.Customer || after.Team != before.Team; invalidated != reported[h] {
			t.Fatalf("key %s: invalidated %v, reported %v", before.Key, invalidated, reported[h])
		}
	}
	return next
}

// Guards against nodes that do not converge, or return to an older revision, after updates
// were reordered, duplicated or lost, and against invalidated keys that are not reported.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := drawUpdates(t)
		want := tree.Empty()
		newest := map[units.TeamID]update{}
		for _, d := range updates {
			want = mergeChecked(t, want, d)
			if d.readable {
				newest[d.team] = d
			}
		}
		got := tree.Empty()
		if len(updates) > 0 {
			for _, d := range rapid.SliceOfN(rapid.SampledFrom(updates), 0, 2*len(updates)).Draw(t, "deliveries") {
				got = mergeChecked(t, got, d)
			}
		}
		// The newest readable configuration of each team arrives at the end.
		for _, team := range rapid.Permutation([]units.TeamID{"a", "b", tree.FleetTeam}).Draw(t, "end") {
			if d, ok := newest[team]; ok {
				got = mergeChecked(t, got, d)
			}
		}
		assert.DeepEqual(t, lookupsOf(got), lookupsOf(want))
	})
}
