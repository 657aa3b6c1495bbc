package syncer

import (
	"math/rand/v2"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// requestTimeout is the time after which an unanswered request for a value is sent again, to a
// random peer that has it.
const requestTimeout = 500 * clock.Millisecond

// maxRejectedRevisions bounds the undecodable revisions remembered for each team.
const maxRejectedRevisions = 16

// Message is a frame to send to a peer.
type Message struct {
	To    units.VMID
	Frame *wire.Frame
}

// peerVersion is the version of one team's value that a peer reported.
type peerVersion struct {
	revision, rejected units.Revision
}

// peer is a node with an open session.
type peer struct {
	gateway  bool
	versions map[units.TeamID]peerVersion
	// lastMessage is the local time of the last message from the peer.
	lastMessage clock.Time
	// comparedAt is when a response with other versions last led to a comparison.
	comparedAt clock.Time
}

// State is the protocol of the configuration exchange: it decides what to merge, announce and
// request, and returns the messages to send. It does no I/O and is not safe for concurrent use.
type State struct {
	self            units.VMID
	snapshot        *tree.Snapshot
	invalidatedKeys []tree.InvalidatedKey
	// rejectedRevisions holds, by team, the revisions that could not be decoded, in ascending
	// order.
	rejectedRevisions map[units.TeamID][]units.Revision
	peers             map[units.VMID]*peer
	// requestTimes holds the time of the last request for each team's value.
	requestTimes map[units.TeamID]clock.Time
	// previousValues holds the value of each team before the current one.
	previousValues map[units.TeamID]*previousValue
	// deltaFailed holds the teams whose last delta could not be applied.
	deltaFailed map[units.TeamID]struct{}
	// comparisonQueue holds the peers to compare versions with, in order.
	comparisonQueue []units.VMID
	// confirmedAt is the latest time at which the snapshot is known to have been as new as the
	// store; 0 when there is none.
	confirmedAt clock.Time
	ready       bool
	contacts    contacts
}

// NewState returns a State with an empty snapshot for the node with the ID self.
func NewState(self units.VMID) *State {
	return &State{
		self:              self,
		snapshot:          tree.Empty(),
		rejectedRevisions: map[units.TeamID][]units.Revision{},
		peers:             map[units.VMID]*peer{},
		requestTimes:      map[units.TeamID]clock.Time{},
		previousValues:    map[units.TeamID]*previousValue{},
		deltaFailed:       map[units.TeamID]struct{}{},
		contacts:          newContacts(self),
	}
}

// Snapshot returns the current snapshot.
func (s *State) Snapshot() *tree.Snapshot { return s.snapshot }

// TakeInvalidatedKeys returns the API keys that became invalid since the last call.
func (s *State) TakeInvalidatedKeys() []tree.InvalidatedKey {
	keys := s.invalidatedKeys
	s.invalidatedKeys = nil
	return keys
}

// merge merges the value into the snapshot unless it is older or can't be decoded. It reports
// whether the snapshot changed.
func (s *State) merge(team units.TeamID, revision units.Revision, value []byte) bool {
	next, result, err := s.snapshot.Merge(team, revision, value)
	if err != nil {
		s.reject(team, revision, err)
		return false
	}
	if result.Changed {
		s.previousValues[team] = &previousValue{revision: result.From, value: s.snapshot.Data(team)}
		delete(s.deltaFailed, team)
	}
	s.snapshot = next
	s.invalidatedKeys = append(s.invalidatedKeys, result.InvalidatedKeys...)
	return result.Changed
}

// reject records a revision that could not be decoded, so that it is not requested again. An
// older revision that can be decoded is still requested when the team has no value yet.
func (s *State) reject(team units.TeamID, revision units.Revision, err error) {
	rejected := s.rejectedRevisions[team]
	if slices.Contains(rejected, revision) {
		return
	}
	logRejectedValue(err)
	rejected = append(slices.Clone(rejected), revision)
	slices.Sort(rejected)
	s.rejectedRevisions[team] = rejected[max(0, len(rejected)-maxRejectedRevisions):]
}

// newestRejected returns the newest undecodable revision of the team, or 0.
func (s *State) newestRejected(team units.TeamID) units.Revision {
	rejected := s.rejectedRevisions[team]
	if len(rejected) == 0 {
		return 0
	}
	return rejected[len(rejected)-1]
}

// MergeStored merges a value read from the store and returns the announcements. It does not
// count as contact with the store: after a pause of the process, the event may be old.
func (s *State) MergeStored(now clock.Time, entry Entry) []Message {
	if !s.merge(entry.Team, entry.Revision, entry.Value) {
		return nil
	}
	return s.announce(now, []units.TeamID{entry.Team}, func(*peer) bool { return true })
}

// MergeListed merges all values of the store, from a response to a request sent at the time
// sent, and returns the announcements.
func (s *State) MergeListed(now, sent clock.Time, entries []Entry) []Message {
	s.contacts.storeResponded(sent)
	var changed []units.TeamID
	for _, e := range entries {
		if s.merge(e.Team, e.Revision, e.Value) {
			changed = append(changed, e.Team)
		}
	}
	s.confirmedAt = max(s.confirmedAt, sent)
	s.ready = true
	return s.announce(now, changed, func(*peer) bool { return true })
}

// HandleStoreVersions handles the versions that the store has, from a response to a request sent at the
// time sent, and reports whether this node has them all. Only then it counts as contact: the watch may
// have missed changes.
func (s *State) HandleStoreVersions(sent clock.Time, versions []tree.Version) bool {
	for _, v := range versions {
		if s.needsRevision(v.Team, v.Revision) {
			return false
		}
	}
	s.contacts.storeResponded(sent)
	return true
}

// GatewayResponded records that a gateway responded to a message sent to it at the time sent. It counts
// as contact only if the gateway used the same versions as this node: one that is ahead proves that
// this node has missed a change. Otherwise a comparison is returned, unless one was sent to it lately.
func (s *State) GatewayResponded(now, sent clock.Time, from units.VMID, versions uint64) []Message {
	if versions == s.VersionsHash() {
		s.contacts.gatewayResponded(sent, from)
		return nil
	}
	p, ok := s.peers[from]
	if !ok || now.Sub(p.comparedAt) < requestTimeout {
		return nil
	}
	p.comparedAt = now
	return []Message{s.allVersionsMessage(now, from)}
}

// SetGateways sets the gateways on the VM list, which includes this node if it is a gateway.
func (s *State) SetGateways(gateways []units.VMID) { s.contacts.setGateways(gateways) }

// ReachableDeadline returns the time after which the node is isolated unless it has contact
// before.
func (s *State) ReachableDeadline() clock.Time { return s.contacts.deadline() }

// Isolated reports whether the node must reject new requests.
func (s *State) Isolated(now clock.Time) bool { return now.After(s.ReachableDeadline()) }

// AddPeer starts the exchange with a peer and returns the first comparison.
func (s *State) AddPeer(now clock.Time, id units.VMID, gateway bool) []Message {
	s.peers[id] = &peer{gateway: gateway, versions: map[units.TeamID]peerVersion{},
		lastMessage: now}
	return []Message{s.allVersionsMessage(now, id)}
}

// RemovePeer ends the exchange with a peer.
func (s *State) RemovePeer(id units.VMID) { delete(s.peers, id) }

// Tick returns a comparison of all versions for the next peer, and requests that have to be
// repeated.
func (s *State) Tick(now clock.Time) []Message {
	var messages []Message
	if id, ok := s.nextPeer(); ok {
		messages = append(messages, s.allVersionsMessage(now, id))
	}
	return append(messages, s.requestMissing(now)...)
}

// nextPeer returns each peer once, in random order, before it starts again. It returns false
// when there are no peers.
func (s *State) nextPeer() (units.VMID, bool) {
	for {
		if len(s.comparisonQueue) == 0 {
			for id := range s.peers {
				s.comparisonQueue = append(s.comparisonQueue, id)
			}
			rand.Shuffle(len(s.comparisonQueue), func(i, j int) {
				s.comparisonQueue[i], s.comparisonQueue[j] = s.comparisonQueue[j], s.comparisonQueue[i]
			})
		}
		if len(s.comparisonQueue) == 0 {
			return "", false
		}
		id := s.comparisonQueue[0]
		s.comparisonQueue = s.comparisonQueue[1:]
		if _, ok := s.peers[id]; ok {
			return id, true
		}
	}
}

// HandleVersions handles the versions that a peer reported: it sends the
// requested values, or otherwise requests newer values and reports newer versions of its own.
func (s *State) HandleVersions(now clock.Time, from units.VMID, versions *wire.Versions) []Message {
	p, ok := s.peers[from]
	if !ok {
		return nil
	}
	p.lastMessage = now
	p.updateVersions(versions)
	if versions.Request {
		return s.sendRequested(from, versions)
	}
	messages := s.requestMissing(now)
	if !versions.Complete {
		return messages
	}
	s.adoptConfirmation(now, versions)
	var newer []units.TeamID
	for _, own := range s.snapshot.Versions() {
		if p.needs(own) {
			newer = append(newer, own.Team)
		}
	}
	if len(newer) > 0 {
		messages = append(messages, Message{from, s.versionsFrame(now, newer)})
	}
	return messages
}

// updateVersions records the versions that the peer reported; a complete list replaces the
// earlier ones.
func (p *peer) updateVersions(versions *wire.Versions) {
	if versions.Complete {
		clear(p.versions)
	}
	for _, e := range versions.Version {
		p.versions[units.TeamID(e.Team)] = peerVersion{units.Revision(e.Revision), units.Revision(e.Rejected)}
	}
}

// needs reports whether the peer has an older revision and has not rejected this one.
func (p *peer) needs(offered tree.Version) bool {
	current := p.versions[offered.Team]
	return current.revision < offered.Revision && current.rejected != offered.Revision
}

// adoptConfirmation adopts the time at which the peer's versions were last confirmed by the
// store, if the snapshot has all of the peer's values that this node can decode.
func (s *State) adoptConfirmation(now clock.Time, versions *wire.Versions) {
	if versions.Confirmed < 0 {
		return
	}
	for _, e := range versions.Version {
		if s.needsRevision(units.TeamID(e.Team), units.Revision(e.Revision)) {
			return
		}
	}
	s.confirmedAt = max(s.confirmedAt, now.Add(-clock.Span(versions.Confirmed)))
	// Doesn't depend on confirmedAt: the confirmation may be older than this process, whose
	// clock starts at its start.
	s.ready = s.ready || versions.Complete
}

// Ready reports whether the snapshot has ever been as new as the store.
func (s *State) Ready() bool { return s.ready }

// sendRequested returns the requested values that are newer than the peer's.
func (s *State) sendRequested(to units.VMID, request *wire.Versions) []Message {
	var messages []Message
	for _, e := range request.Version {
		team := units.TeamID(e.Team)
		revision := s.snapshot.Revision(team)
		if revision <= units.Revision(e.Revision) {
			continue
		}
		config := s.configMessage(team, units.Revision(e.Revision), request.Whole)
		messages = append(messages, Message{to, &wire.Frame{Body: &wire.Frame_Config{Config: config}}})
	}
	return messages
}

// HandleConfig merges a value from a peer. It reports the resulting version to the peer, and
// announces a change to the agents.
func (s *State) HandleConfig(now clock.Time, from units.VMID, config *wire.Config) []Message {
	team := units.TeamID(config.Team)
	value, ok := s.decodeConfig(team, config)
	changed := ok && s.merge(team, units.Revision(config.Revision), value)
	if s.snapshot.Revision(team) >= units.Revision(config.Revision) {
		delete(s.requestTimes, team)
	}
	var messages []Message
	if p, ok := s.peers[from]; ok {
		p.lastMessage = now
		if v := p.versions[team]; v.revision < units.Revision(config.Revision) {
			p.versions[team] = peerVersion{units.Revision(config.Revision), v.rejected}
		}
		messages = append(messages, Message{from, s.versionsFrame(now, []units.TeamID{team})})
	}
	if changed {
		messages = append(messages, s.announce(now, []units.TeamID{team},
			func(p *peer) bool { return !p.gateway })...)
	}
	return messages
}

// announce returns the versions of the teams for each peer for which include returns true.
func (s *State) announce(now clock.Time, teams []units.TeamID, include func(*peer) bool) []Message {
	if len(teams) == 0 {
		return nil
	}
	var messages []Message
	frame := s.versionsFrame(now, teams)
	for id, p := range s.peers {
		if include(p) {
			messages = append(messages, Message{id, frame})
		}
	}
	return messages
}

// requestMissing returns requests for all values of which a peer has a newer version, unless a
// request is pending. The peer is chosen at random, so that one that does not respond can't
// hold up the update.
func (s *State) requestMissing(now clock.Time) []Message {
	candidates := map[units.TeamID][]units.VMID{}
	for id, p := range s.peers {
		for team, v := range p.versions {
			if s.needsRevision(team, v.revision) && !s.requestPending(now, team) {
				candidates[team] = append(candidates[team], id)
			}
		}
	}
	requests := map[units.VMID][]units.TeamID{}
	for team, ids := range candidates {
		id := ids[rand.IntN(len(ids))]
		requests[id] = append(requests[id], team)
		s.requestTimes[team] = now
	}
	messages := make([]Message, 0, len(requests))
	for id, teams := range requests {
		frame := s.versionsFrame(now, teams)
		frame.GetVersions().Request = true
		frame.GetVersions().Whole = slices.ContainsFunc(teams, s.needsWhole)
		messages = append(messages, Message{id, frame})
	}
	return messages
}

// needsRevision reports whether the revision is newer than the team's current one and was not
// rejected.
func (s *State) needsRevision(team units.TeamID, revision units.Revision) bool {
	return revision > s.snapshot.Revision(team) && !slices.Contains(s.rejectedRevisions[team], revision)
}

// requestPending reports whether the team's value was requested within requestTimeout.
func (s *State) requestPending(now clock.Time, team units.TeamID) bool {
	sent, ok := s.requestTimes[team]
	return ok && now.Sub(sent) < requestTimeout
}

// allVersionsMessage returns a message with the versions of all teams, including those of which
// only undecodable revisions were received.
func (s *State) allVersionsMessage(now clock.Time, to units.VMID) Message {
	teams := make([]units.TeamID, 0, len(s.rejectedRevisions))
	for _, v := range s.snapshot.Versions() {
		teams = append(teams, v.Team)
	}
	for team := range s.rejectedRevisions {
		if !slices.Contains(teams, team) {
			teams = append(teams, team)
		}
	}
	frame := s.versionsFrame(now, teams)
	frame.GetVersions().Complete = true
	return Message{to, frame}
}

// versionsFrame returns a frame with the versions of the teams and the age of the last
// confirmation by the store in milliseconds, or -1 when there was none.
func (s *State) versionsFrame(now clock.Time, teams []units.TeamID) *wire.Frame {
	versions := &wire.Versions{Confirmed: -1}
	if s.confirmedAt != 0 {
		versions.Confirmed = int64(now.Sub(s.confirmedAt))
	}
	for _, t := range teams {
		versions.Version = append(versions.Version, &wire.Version{
			Team: string(t), Revision: int64(s.snapshot.Revision(t)), Rejected: int64(s.newestRejected(t)),
		})
	}
	return &wire.Frame{Body: &wire.Frame_Versions{Versions: versions}}
}
