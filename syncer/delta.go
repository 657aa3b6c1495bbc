package syncer

import (
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// previous is the value of a team before the one in force. Most peers that request
// the newest value have this one, so that the difference is enough for them: at
// 3,400 changes a day, whole values would take all of the 2 KB/s of a node.
type previous struct {
	revision units.Revision
	data     []byte
	// delta is the difference to the value in force, once it was needed.
	delta []byte
}

// config returns the team's value in force for a peer that has the given revision.
func (s *State) config(team units.TeamID, has units.Revision, whole bool) *wire.Config {
	c := &wire.Config{Team: string(team), Revision: int64(s.snapshot.Revision(team)), Value: s.snapshot.Data(team)}
	p := s.previous[team]
	if whole || p == nil || has == 0 || p.revision != has {
		return c
	}
	if p.delta == nil {
		p.delta = tree.Delta(p.data, c.Value)
	}
	if len(p.delta) < len(c.Value) {
		c.Base = int64(has)
		c.Value = p.delta
	}
	return c
}

// valueOf returns the whole value of a message. When a difference does not fit the
// value in force, the whole value is requested next.
func (s *State) valueOf(team units.TeamID, c *wire.Config) ([]byte, bool) {
	if c.Base == 0 {
		return c.Value, true
	}
	if s.snapshot.Revision(team) >= units.Revision(c.Revision) {
		return nil, false
	}
	if s.snapshot.Revision(team) == units.Revision(c.Base) {
		value, err := tree.Patch(s.snapshot.Data(team), c.Value)
		if err == nil {
			return value, true
		}
		stats.Event("tree_delta_failed")
		s.whole[team] = struct{}{}
	}
	delete(s.requested, team)
	return nil, false
}

func (s *State) needsWhole(team units.TeamID) bool {
	_, ok := s.whole[team]
	return ok
}
