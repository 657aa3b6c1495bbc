package syncer

import (
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// previousValue is the configuration of a team that was replaced by the current one. Most peers
// that request the current value have this one, so sending the difference is enough. At 3,400
// changes a day, whole values would use all of a node's traffic budget of 2 KB/s.
type previousValue struct {
	revision units.Revision
	value    []byte
	// delta is the difference from value to the current value; nil until it is first needed.
	delta []byte
}

// configMessage returns a message with the team's current value for a peer that has
// peerRevision. It carries a delta if the peer has the previous value, the delta is smaller and
// wholeValue is false.
func (s *State) configMessage(team units.TeamID, peerRevision units.Revision,
	wholeValue bool) *wire.Config {
	message := &wire.Config{Team: string(team), Revision: int64(s.snapshot.Revision(team)),
		Value: s.snapshot.Data(team)}
	previous := s.previousValues[team]
	if wholeValue || previous == nil || peerRevision == 0 || previous.revision != peerRevision {
		return message
	}
	if previous.delta == nil {
		previous.delta = tree.Delta(previous.value, message.Value)
	}
	if len(previous.delta) < len(message.Value) {
		message.Base = int64(peerRevision)
		message.Value = previous.delta
	}
	return message
}

// decodeConfig returns the whole value of a message, or false when the message is a delta that
// can't be applied. If applying it to the current value failed, the next request asks for the
// whole value.
func (s *State) decodeConfig(team units.TeamID, message *wire.Config) ([]byte, bool) {
	if message.Base == 0 {
		return message.Value, true
	}
	if s.snapshot.Revision(team) >= units.Revision(message.Revision) {
		return nil, false
	}
	if s.snapshot.Revision(team) == units.Revision(message.Base) {
		value, err := tree.Patch(s.snapshot.Data(team), message.Value)
		if err == nil {
			return value, true
		}
		stats.Event("tree_delta_failed")
		s.deltaFailed[team] = struct{}{}
	}
	delete(s.requestTimes, team)
	return nil, false
}

// needsWhole reports whether the team's value must be requested as a whole.
func (s *State) needsWhole(team units.TeamID) bool {
	_, ok := s.deltaFailed[team]
	return ok
}
