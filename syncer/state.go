package syncer

import (
	"math/rand/v2"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// requestTimeout is the time after which a value is requested from another peer.
const requestTimeout = 500 * clock.Millisecond

// maxRejected bounds the revisions of a team that are remembered as unreadable.
const maxRejected = 16

// Message is a frame for a peer.
type Message struct {
	To    units.VMID
	Frame *wire.Frame
}

// version is what a peer said of one team's value.
type version struct {
	revision, rejected units.Revision
}

type peer struct {
	gateway  bool
	versions map[units.TeamID]version
	heard    clock.Time
}

// State decides what to merge, to announce and to request. It does no I/O and is
// not safe for concurrent use.
type State struct {
	self      units.VMID
	snapshot  *tree.Snapshot
	withdrawn []tree.InvalidatedKey
	// rejected holds the revisions of each team that could not be read, oldest first.
	rejected map[units.TeamID][]units.Revision
	peers    map[units.VMID]*peer
	// requested holds the time of the last request for each team.
	requested map[units.TeamID]clock.Time
	// previous holds, of each team, the value before the one in force.
	previous map[units.TeamID]*previous
	// whole names the teams whose difference could not be used.
	whole map[units.TeamID]struct{}
	// queue holds the peers in the order of the next comparisons.
	queue []units.VMID
	// confirmed is the last time at which the snapshot was as new as the store's
	// values, as far as known; 0 when never.
	confirmed clock.Time
	ready     bool
	reach     reach
}

// NewState returns a State with an empty snapshot.
func NewState(self units.VMID) *State {
	return &State{
		self:      self,
		snapshot:  tree.Empty(),
		rejected:  map[units.TeamID][]units.Revision{},
		peers:     map[units.VMID]*peer{},
		requested: map[units.TeamID]clock.Time{},
		previous:  map[units.TeamID]*previous{},
		whole:     map[units.TeamID]struct{}{},
		reach:     newReach(self),
	}
}

// Snapshot returns the snapshot in force.
func (s *State) Snapshot() *tree.Snapshot { return s.snapshot }

// TakeInvalidatedKeys returns the keys that became invalid since the last call.
func (s *State) TakeInvalidatedKeys() []tree.InvalidatedKey {
	l := s.withdrawn
	s.withdrawn = nil
	return l
}

// merge reports whether the value came into force.
func (s *State) merge(team units.TeamID, r units.Revision, value []byte) bool {
	next, m, err := s.snapshot.Merge(team, r, value)
	if err != nil {
		s.reject(team, r, err)
		return false
	}
	if m.Changed {
		s.previous[team] = &previous{revision: m.From, data: s.snapshot.Data(team)}
		delete(s.whole, team)
	}
	s.snapshot = next
	s.withdrawn = append(s.withdrawn, m.InvalidatedKeys...)
	return m.Changed
}

// reject remembers the revision, so that it is not requested again. An older one
// that can be read is still wanted when none is in force.
func (s *State) reject(team units.TeamID, r units.Revision, err error) {
	l := s.rejected[team]
	if slices.Contains(l, r) {
		return
	}
	logRejected(err)
	l = append(slices.Clone(l), r)
	slices.Sort(l)
	s.rejected[team] = l[max(0, len(l)-maxRejected):]
}

// newestRejected returns 0 when nothing was rejected.
func (s *State) newestRejected(team units.TeamID) units.Revision {
	l := s.rejected[team]
	if len(l) == 0 {
		return 0
	}
	return l[len(l)-1]
}

// MergeStored merges a value that the store holds. It does not show that the store is
// reachable now: after a pause of the process, old events are waiting.
func (s *State) MergeStored(now clock.Time, e Entry) []Message {
	if !s.merge(e.Team, e.Revision, e.Value) {
		return nil
	}
	return s.announce(now, []units.TeamID{e.Team}, func(*peer) bool { return true })
}

// MergeListed merges all values of the store, which was asked at the time sent.
func (s *State) MergeListed(now, sent clock.Time, l []Entry) []Message {
	s.StoreResponded(sent)
	var changed []units.TeamID
	for _, e := range l {
		if s.merge(e.Team, e.Revision, e.Value) {
			changed = append(changed, e.Team)
		}
	}
	s.confirmed = max(s.confirmed, sent)
	s.ready = true
	return s.announce(now, changed, func(*peer) bool { return true })
}

// StoreResponded notes that the store answered a call made at the time sent.
func (s *State) StoreResponded(sent clock.Time) { s.reach.storeAnswered(sent) }

// GatewayResponded notes that the node answered a message that was sent to it at the time.
func (s *State) GatewayResponded(sent clock.Time, from units.VMID) { s.reach.answered(sent, from) }

// SetGateways sets the gateways on the VM list.
func (s *State) SetGateways(l []units.VMID) { s.reach.setGateways(l) }

// ReachableDeadline returns the time after which the node is isolated unless it reaches
// something before.
func (s *State) ReachableDeadline() clock.Time { return s.reach.until() }

// Isolated reports whether the node must take no new request.
func (s *State) Isolated(now clock.Time) bool { return now.After(s.ReachableDeadline()) }

// AddPeer starts the exchange with a peer.
func (s *State) AddPeer(now clock.Time, id units.VMID, gateway bool) []Message {
	s.peers[id] = &peer{gateway: gateway, versions: map[units.TeamID]version{}, heard: now}
	return []Message{s.complete(now, id)}
}

// RemovePeer ends the exchange with a peer.
func (s *State) RemovePeer(id units.VMID) { delete(s.peers, id) }

// Tick compares all versions with the next peer and repeats requests that were not
// answered.
func (s *State) Tick(now clock.Time) []Message {
	var l []Message
	if id, ok := s.nextPeer(); ok {
		l = append(l, s.complete(now, id))
	}
	return append(l, s.requestMissing(now)...)
}

// nextPeer returns each peer once, in random order, before it starts again.
func (s *State) nextPeer() (units.VMID, bool) {
	for {
		if len(s.queue) == 0 {
			for id := range s.peers {
				s.queue = append(s.queue, id)
			}
			rand.Shuffle(len(s.queue), func(i, j int) { s.queue[i], s.queue[j] = s.queue[j], s.queue[i] })
		}
		if len(s.queue) == 0 {
			return "", false
		}
		id := s.queue[0]
		s.queue = s.queue[1:]
		if _, ok := s.peers[id]; ok {
			return id, true
		}
	}
}

// HandleVersions compares the versions of a peer with the own ones.
func (s *State) HandleVersions(now clock.Time, from units.VMID, v *wire.Versions) []Message {
	p, ok := s.peers[from]
	if !ok {
		return nil
	}
	p.heard = now
	p.learn(v)
	if v.Request {
		return s.answer(from, v)
	}
	l := s.requestMissing(now)
	if !v.Complete {
		return l
	}
	s.confirmFrom(now, v)
	var newer []units.TeamID
	for _, o := range s.snapshot.Versions() {
		if p.lacks(o) {
			newer = append(newer, o.Team)
		}
	}
	if len(newer) > 0 {
		l = append(l, Message{from, s.versions(now, newer)})
	}
	return l
}

func (p *peer) learn(v *wire.Versions) {
	if v.Complete {
		clear(p.versions)
	}
	for _, e := range v.Version {
		p.versions[units.TeamID(e.Team)] = version{units.Revision(e.Revision), units.Revision(e.Rejected)}
	}
}

// lacks reports whether the peer would use the version.
func (p *peer) lacks(o tree.Version) bool {
	v := p.versions[o.Team]
	return v.revision < o.Revision && v.rejected != o.Revision
}

// confirmFrom takes over the confirmation of a peer when the snapshot has all of the
// peer's values that this node can read.
func (s *State) confirmFrom(now clock.Time, v *wire.Versions) {
	if v.Confirmed < 0 {
		return
	}
	for _, e := range v.Version {
		if s.wants(units.TeamID(e.Team), units.Revision(e.Revision)) {
			return
		}
	}
	s.confirmed = max(s.confirmed, now.Add(-clock.Span(v.Confirmed)))
	// The confirmation may be older than this process, whose clock started at its start.
	s.ready = s.ready || v.Complete
}

// Ready reports whether the snapshot has ever been as new as the store's values.
func (s *State) Ready() bool { return s.ready }

// answer sends the values that the peer requested.
func (s *State) answer(to units.VMID, v *wire.Versions) []Message {
	var l []Message
	for _, e := range v.Version {
		team := units.TeamID(e.Team)
		r := s.snapshot.Revision(team)
		if r <= units.Revision(e.Revision) {
			continue
		}
		c := s.config(team, units.Revision(e.Revision), v.Whole)
		l = append(l, Message{to, &wire.Frame{Body: &wire.Frame_Config{Config: c}}})
	}
	return l
}

// HandleConfig merges a value from a peer. It tells the peer the versions that are now in
// force, and the agents that there is something new.
func (s *State) HandleConfig(now clock.Time, from units.VMID, c *wire.Config) []Message {
	team := units.TeamID(c.Team)
	value, ok := s.valueOf(team, c)
	changed := ok && s.merge(team, units.Revision(c.Revision), value)
	if s.snapshot.Revision(team) >= units.Revision(c.Revision) {
		delete(s.requested, team)
	}
	var l []Message
	if p, ok := s.peers[from]; ok {
		p.heard = now
		if v := p.versions[team]; v.revision < units.Revision(c.Revision) {
			p.versions[team] = version{units.Revision(c.Revision), v.rejected}
		}
		l = append(l, Message{from, s.versions(now, []units.TeamID{team})})
	}
	if changed {
		l = append(l, s.announce(now, []units.TeamID{team}, func(p *peer) bool { return !p.gateway })...)
	}
	return l
}

// announce tells the chosen peers the versions of the teams.
func (s *State) announce(now clock.Time, teams []units.TeamID, choose func(*peer) bool) []Message {
	if len(teams) == 0 {
		return nil
	}
	var l []Message
	f := s.versions(now, teams)
	for id, p := range s.peers {
		if choose(p) {
			l = append(l, Message{id, f})
		}
	}
	return l
}

// requestMissing requests each value that a peer has in a newer version, unless a
// request is under way. Peers are tried in random order, so that a peer that does
// not answer can't hold the node back.
func (s *State) requestMissing(now clock.Time) []Message {
	wanted := map[units.TeamID][]units.VMID{}
	for id, p := range s.peers {
		for team, v := range p.versions {
			if s.wants(team, v.revision) && !s.requestedAt(now, team) {
				wanted[team] = append(wanted[team], id)
			}
		}
	}
	requests := map[units.VMID][]units.TeamID{}
	for team, l := range wanted {
		id := l[rand.IntN(len(l))]
		requests[id] = append(requests[id], team)
		s.requested[team] = now
	}
	l := make([]Message, 0, len(requests))
	for id, teams := range requests {
		f := s.versions(now, teams)
		f.GetVersions().Request = true
		f.GetVersions().Whole = slices.ContainsFunc(teams, s.needsWhole)
		l = append(l, Message{id, f})
	}
	return l
}

func (s *State) wants(team units.TeamID, r units.Revision) bool {
	return r > s.snapshot.Revision(team) && !slices.Contains(s.rejected[team], r)
}

func (s *State) requestedAt(now clock.Time, team units.TeamID) bool {
	t, ok := s.requested[team]
	return ok && now.Sub(t) < requestTimeout
}

func (s *State) complete(now clock.Time, to units.VMID) Message {
	teams := make([]units.TeamID, 0, len(s.rejected))
	for _, v := range s.snapshot.Versions() {
		teams = append(teams, v.Team)
	}
	for team := range s.rejected {
		if !slices.Contains(teams, team) {
			teams = append(teams, team)
		}
	}
	f := s.versions(now, teams)
	f.GetVersions().Complete = true
	return Message{to, f}
}

func (s *State) versions(now clock.Time, teams []units.TeamID) *wire.Frame {
	v := &wire.Versions{Confirmed: -1}
	if s.confirmed != 0 {
		v.Confirmed = int64(now.Sub(s.confirmed))
	}
	for _, t := range teams {
		v.Version = append(v.Version, &wire.Version{
			Team: string(t), Revision: int64(s.snapshot.Revision(t)), Rejected: int64(s.newestRejected(t)),
		})
	}
	return &wire.Frame{Body: &wire.Frame_Versions{Versions: v}}
}
