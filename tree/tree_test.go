package tree_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

func court() *tree.Team {
	return &tree.Team{
		Customers: []tree.Customer{{ID: "court", Rate: 100, Burst: 500, Weight: 2, Class: "live"}},
		Keys: []tree.Key{
			{ID: "k1", Hash: tree.HashSecret("s1"), Customer: "court"},
			{ID: "k2", Hash: tree.HashSecret("s2"), Customer: "court", Class: "night"},
		},
		Models:   []tree.Model{{ID: "base", Bytes: 1000}},
		Adapters: []tree.Adapter{{ID: "legal", Base: "base", Bytes: 10}, {ID: "lost", Base: "none", Bytes: 10}},
		Services: []tree.Service{{ID: "cases", Open: []tree.Route{{Method: "GET", Path: "/open/*"}}}},
	}
}

func merge(t *testing.T, s *tree.Snapshot, team units.TeamID, r units.Revision, v *tree.Team) (*tree.Snapshot, tree.MergeResult) {
	t.Helper()
	data, err := tree.Encode(v)
	assert.NilError(t, err)
	s, m, err := s.Merge(team, r, data)
	assert.NilError(t, err)
	return s, m
}

// Guards against keys that stand for the wrong customer or class, and against
// adapters without a base model.
func TestLookup(t *testing.T) {
	s, m := merge(t, tree.Empty(), "a", 5, court())
	assert.Assert(t, m.Changed)
	c, ok := s.Caller(tree.HashSecret("s2"))
	assert.Assert(t, ok)
	assert.DeepEqual(t, c, tree.Caller{
		Key: "k2", Team: "a", Customer: "court", Class: units.Night, Weight: 2, Rate: 100, Burst: 500,
	})
	a, ok := s.Target("legal")
	assert.Assert(t, ok)
	assert.Equal(t, a.BaseModel(), units.ModelID("base"))
	_, ok = s.Target("lost")
	assert.Assert(t, !ok)
	assert.Equal(t, len(s.Targets()), 2)
}

// Guards against withdrawn keys that stay in use, and against a return to an older
// or unreadable value.
func TestWithdrawAndForwardOnly(t *testing.T) {
	s, _ := merge(t, tree.Empty(), "a", 5, court())
	v := court()
	v.Keys[0].Withdrawn = true
	v.Keys = v.Keys[:1]
	s, m := merge(t, s, "a", 7, v)
	assert.Equal(t, len(m.InvalidatedKeys), 2)
	s, m = merge(t, s, "a", 6, court())
	assert.Assert(t, !m.Changed)
	last, _, err := s.Merge("a", 8, []byte("{"))
	assert.Assert(t, errors.Is(err, tree.ErrUnreadable))
	c, ok := last.Caller(tree.HashSecret("s1"))
	assert.Assert(t, ok && c.Withdrawn)
	assert.Equal(t, last.Revision("a"), units.Revision(7))
}

// Guards against a path that the gateway reads as open and the service as closed.
func TestOpenRoutes(t *testing.T) {
	s, _ := merge(t, tree.Empty(), "a", 1, court())
	v, ok := s.Service("cases")
	assert.Assert(t, ok)
	for _, c := range []struct {
		method, path string
		want         bool
	}{
		{"GET", "/open", true},
		{"GET", "/open/x/", true},
		{"POST", "/open/x", false},
		{"GET", "/openly", false},
		{"GET", "/open/../closed", false},
		{"GET", "/open/%2e%2e/closed", false},
		{"GET", "/open//x", false},
	} {
		assert.Equal(t, v.IsOpen(c.method, c.path), c.want, "%s %s", c.method, c.path)
	}
}
