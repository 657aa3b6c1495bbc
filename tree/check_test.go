package tree_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

func valued() *tree.Team {
	v := court()
	v.Adapters = v.Adapters[:1]
	return v
}

func problems(s *tree.Snapshot, team units.TeamID, v *tree.Team) string {
	found := tree.Validate(s, team, v)
	l := make([]string, 0, len(found))
	for _, p := range found {
		l = append(l, p.Path)
	}
	return strings.Join(l, " ")
}

// Guards against values that would break the fleet, and against paths that lead the
// operator to the wrong entry.
func TestValidate(t *testing.T) {
	limits := &tree.Limits{ReplicaBytes: 1100, ModelBytes: 2000, Rate: 150, Keys: 2}
	s, _ := merge(t, tree.Empty(), tree.FleetTeam, 1, &tree.Team{Limits: limits})
	s, _ = merge(t, s, "a", 2, valued())
	for _, c := range []struct {
		name string
		team units.TeamID
		edit func(v *tree.Team)
		want string
	}{
		{"same value", "a", func(*tree.Team) {}, ""},
		{"name twice", "a", func(v *tree.Team) { v.Adapters[0].ID = "base" }, "adapters.0.id"},
		{"names of another team", "b", func(*tree.Team) {},
			"customers.0.id keys.0.id keys.0.hash keys.1.id keys.1.hash models.0.id adapters.0.id services.0.id"},
		{"unknown customer", "a", func(v *tree.Team) { v.Keys[1].Customer = "x" }, "keys.1.customer"},
		{"unknown base", "a", func(v *tree.Team) { v.Adapters[0].Base = "x" }, "adapters.0.base"},
		{"unknown class", "a", func(v *tree.Team) { v.Keys[1].Class = "x" }, "keys.1.class"},
		{"no rate", "a", func(v *tree.Team) { v.Customers[0].Rate = 0 }, "customers.0.rate"},
		{"rate limit", "a", func(v *tree.Team) { v.Customers[0].Rate = 151 }, "customers"},
		{"too large for a replica", "a", func(v *tree.Team) { v.Adapters[0].Bytes = 101 }, "adapters.0.bytes"},
		{"sum of memory", "a", func(v *tree.Team) {
			v.Models = append(v.Models, tree.Model{ID: "m2", Bytes: 1001})
		}, "models"},
		{"too many keys", "a", func(v *tree.Team) {
			v.Keys = append(v.Keys, tree.Key{ID: "k3", Hash: tree.HashSecret("s3"), Customer: "court"})
		}, "keys"},
		{"zone out by a team", "a", func(v *tree.Team) { v.ExcludedZones = []units.Zone{"z"} }, "zones_out"},
		{"bad route", "a", func(v *tree.Team) { v.Services[0].Open[0].Path = "/a/../b" }, "services.0.open.0.path"},
		{"limit below what teams have", tree.FleetTeam, func(v *tree.Team) {
			*v = tree.Team{Limits: &tree.Limits{ReplicaBytes: 999, Keys: 1}}
		}, "limits.keys limits.replica_bytes limits.replica_bytes"},
	} {
		v := valued()
		c.edit(v)
		assert.Equal(t, problems(s, c.team, v), c.want, c.name)
	}
}

// Guards against a team that removes the base model of another team's adapter,
// against an old problem that blocks the withdrawal of a key, and against a
// withdrawn key that an old file brings back.
func TestValidateAcrossTeams(t *testing.T) {
	s, _ := merge(t, tree.Empty(), "a", 1, valued())
	s, _ = merge(t, s, "b", 2, &tree.Team{Adapters: []tree.Adapter{{ID: "other", Base: "base", Bytes: 1}}})
	v := valued()
	v.Models, v.Adapters = nil, nil
	assert.Equal(t, problems(s, "a", v), "models")

	s, _ = merge(t, s, "b", 3, valued()) // as after two racing writes
	v = valued()
	v.Keys[0].Withdrawn = true
	assert.Equal(t, problems(s, "b", v), "")

	s, _ = merge(t, s, "b", 4, v)
	assert.Equal(t, problems(s, "b", valued()), "keys.0.withdrawn")
}

// Guards against differences that are missed or reported without cause.
func TestDiff(t *testing.T) {
	v := valued()
	v.History = []tree.Change{{Who: "x"}}
	assert.Equal(t, len(tree.Diff(valued(), v)), 0)
	v.Keys[0].Withdrawn = true
	v.Models = append(v.Models, tree.Model{ID: "m2", Bytes: 1})
	v.Services = nil
	d := tree.Diff(valued(), v)
	assert.Equal(t, tree.Summarize(d), "keys changed: k1; models added: m2; services removed: cases")
}

// Guards against a value that grows with each change.
func TestHistoryIsBounded(t *testing.T) {
	var h []tree.Change
	for i := range 30 {
		h = tree.AppendHistory(h, tree.Change{Who: fmt.Sprint(i), Summary: strings.Repeat("x", 1000)})
	}
	assert.Equal(t, len(h), tree.MaxHistory)
	assert.Equal(t, h[0].Who, "10")
	assert.Assert(t, len(h[0].Summary) < 500)
}
