package syncer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/magnolialever/magnolialever/units"
)

// Reach says how many of the gateways on the VM list use a revision. Once more than half of them do, each
// gateway without it is isolated within isolationTimeout, unless it reaches the store: it has no
// contact with a majority that uses the same versions.
type Reach struct {
	Using, Gateways int
}

// Majority reports whether more than half of the gateways use the revision.
func (r Reach) Majority() bool { return 2*r.Using > r.Gateways }

// Reach returns the gateways that use the revision of the team, or a later one, as far as known.
func (s *State) Reach(team units.TeamID, revision units.Revision) Reach {
	r := Reach{Gateways: len(s.contacts.gateways)}
	for _, id := range s.contacts.gateways {
		used := units.Revision(0)
		if p, ok := s.peers[id]; ok {
			used = p.versions[team].revision
		}
		if id == s.self {
			used = s.snapshot.Revision(team)
		}
		if used >= revision {
			r.Using++
		}
	}
	return r
}

// hashSeed is the hash of an empty configuration. 0 stands for no hash.
const hashSeed = 1

// VersionsHash returns a hash of the revisions of all teams.
func (s *State) VersionsHash() uint64 {
	sum := uint64(hashSeed)
	for _, v := range s.snapshot.Versions() {
		data := binary.BigEndian.AppendUint64([]byte(v.Team), uint64(v.Revision))
		sum ^= xxhash.Sum64(data)
	}
	return sum
}
