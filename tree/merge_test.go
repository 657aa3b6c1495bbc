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

type delivery struct {
	team     units.TeamID
	revision units.Revision
	data     []byte
	readable bool
}

// drawTeam draws from few names, so that teams take each other's names.
func drawTeam(t *rapid.T) *tree.Team {
	v := &tree.Team{}
	name := rapid.IntRange(0, 4)
	for _, i := range rapid.SliceOfNDistinct(name, 0, 4, rapid.ID).Draw(t, "customers") {
		v.Customers = append(v.Customers, tree.Customer{
			ID: units.CustomerID(fmt.Sprint("c", i)), Rate: units.Tokens(name.Draw(t, "rate")), Burst: 1,
		})
	}
	for _, i := range rapid.SliceOfNDistinct(name, 0, 4, rapid.ID).Draw(t, "keys") {
		v.Keys = append(v.Keys, tree.Key{
			ID: units.KeyID(fmt.Sprint("k", i)), Hash: tree.HashSecret(fmt.Sprint("s", i)),
			Customer:  units.CustomerID(fmt.Sprint("c", name.Draw(t, "customer"))),
			Withdrawn: rapid.Bool().Draw(t, "withdrawn"),
		})
	}
	for _, i := range rapid.SliceOfNDistinct(name, 0, 4, rapid.ID).Draw(t, "targets") {
		id := units.ModelID(fmt.Sprint("m", i))
		if rapid.Bool().Draw(t, "adapter") {
			base := units.ModelID(fmt.Sprint("m", name.Draw(t, "base")))
			v.Adapters = append(v.Adapters, tree.Adapter{ID: id, Base: base, Bytes: 1})
		} else {
			v.Models = append(v.Models, tree.Model{ID: id, Bytes: units.Bytes(name.Draw(t, "bytes"))})
		}
	}
	for _, i := range rapid.SliceOfNDistinct(name, 0, 2, rapid.ID).Draw(t, "zones") {
		v.ExcludedZones = append(v.ExcludedZones, units.Zone(fmt.Sprint("z", i)))
	}
	return v
}

func drawDeliveries(t *rapid.T) []delivery {
	l := make([]delivery, 0, 12)
	for _, team := range []units.TeamID{"a", "b", tree.FleetTeam} {
		r := units.Revision(0)
		for range rapid.IntRange(0, 4).Draw(t, "revisions") {
			r += units.Revision(rapid.IntRange(1, 3).Draw(t, "step"))
			d := delivery{team: team, revision: r, data: []byte(`{"keys":3}`)}
			if rapid.IntRange(0, 4).Draw(t, "unreadable") > 0 {
				d.data, _ = tree.Encode(drawTeam(t))
				d.readable = true
			}
			l = append(l, d)
		}
	}
	return l
}

// state is all that lookups can tell.
type state struct {
	Versions []tree.Version
	Callers  []tree.Caller
	Targets  []tree.Target
	Zones    []bool
}

func stateOf(s *tree.Snapshot) state {
	st := state{Versions: s.Versions(), Targets: slices.Clone(s.Targets())}
	for i := range 5 {
		c, ok := s.Caller(tree.HashSecret(fmt.Sprint("s", i)))
		if ok {
			st.Callers = append(st.Callers, c)
		}
		st.Zones = append(st.Zones, s.ZoneExcluded(units.Zone(fmt.Sprint("z", i))))
	}
	return st
}

// valid returns the keys that requests may use.
func valid(s *tree.Snapshot) map[tree.Hash]tree.Caller {
	m := map[tree.Hash]tree.Caller{}
	for i := range 5 {
		h := tree.HashSecret(fmt.Sprint("s", i))
		if c, ok := s.Caller(h); ok && !c.Withdrawn {
			m[h] = c
		}
	}
	return m
}

func deliver(t *rapid.T, s *tree.Snapshot, d delivery) *tree.Snapshot {
	next, m, err := s.Merge(d.team, d.revision, d.data)
	newer := d.revision > s.Revision(d.team)
	if (err != nil) != (newer && !d.readable) || m.Changed != (newer && d.readable) {
		t.Fatalf("merge of %s %d over %d: changed %v, error %v", d.team, d.revision, s.Revision(d.team), m.Changed, err)
	}
	for _, v := range s.Versions() {
		if next.Revision(v.Team) < v.Revision {
			t.Fatalf("team %s went from revision %d back to %d", v.Team, v.Revision, next.Revision(v.Team))
		}
	}
	withdrawn := map[tree.Hash]bool{}
	for _, w := range m.InvalidatedKeys {
		withdrawn[w.Hash] = true
	}
	now := valid(next)
	for h, was := range valid(s) {
		is, ok := now[h]
		if gone := !ok || is.Customer != was.Customer || is.Team != was.Team; gone != withdrawn[h] {
			t.Fatalf("key %s: gone %v, reported %v", was.Key, gone, withdrawn[h])
		}
	}
	return next
}

// Guards against nodes that stay different, or go back, after deliveries came in
// another order, twice or not at all, and against withdrawn keys that are not
// reported.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawDeliveries(t)
		want := tree.Empty()
		last := map[units.TeamID]delivery{}
		for _, d := range all {
			want = deliver(t, want, d)
			if d.readable {
				last[d.team] = d
			}
		}
		got := tree.Empty()
		if len(all) > 0 {
			for _, d := range rapid.SliceOfN(rapid.SampledFrom(all), 0, 2*len(all)).Draw(t, "deliveries") {
				got = deliver(t, got, d)
			}
		}
		// Whatever was lost, the newest readable value arrives in the end.
		for _, team := range rapid.Permutation([]units.TeamID{"a", "b", tree.FleetTeam}).Draw(t, "end") {
			if d, ok := last[team]; ok {
				got = deliver(t, got, d)
			}
		}
		assert.DeepEqual(t, stateOf(got), stateOf(want))
	})
}
