// Package view holds a gateway's copy of the state in the store: the configuration, the upstreams
// and the excluded zones. It performs no I/O. A State belongs to one goroutine, which publishes
// snapshots.
package view

import (
	"maps"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// reregisterTime is the time after a store outage within which live upstreams write their expired
	// entries again.
	reregisterTime = 2200 * clock.Millisecond
	// RewriteTime is the time after the return of the store from an older copy within which the operator writes again what
	// was lost. Until then the store's word doesn't confirm that there is no newer configuration.
	RewriteTime = clock.Second
	// maxRewriteTime is RewriteTime while the store's configuration is older than the known one. It bounds the refusals where
	// the operator doesn't write at all.
	maxRewriteTime = 10 * clock.Second
)

// Entry is the last description of an upstream.
type Entry struct {
	*fleet.Upstream
	// ReceivedAt is when the description was received.
	ReceivedAt clock.Time
	// WarmAt is when the upstream is expected to be warm; 0 if it is not cold.
	WarmAt clock.Time
	// RemoveAt is when an entry that expired during an outage is removed; 0 is never.
	RemoveAt clock.Time
	// Loading are the models that the upstream is loading.
	Loading []PendingLoad
}

// PendingLoad is a model that an upstream is loading.
type PendingLoad struct {
	Model units.ModelID
	// ReadyAt is when the load is expected to be done.
	ReadyAt clock.Time
}

// IsCold reports whether the upstream is expected to be cold at the time.
func (e *Entry) IsCold(now clock.Time) bool { return now.Before(e.WarmAt) }

// IsGone reports whether an entry that expired during an outage should have been written again by the time.
func (e *Entry) IsGone(now clock.Time) bool { return e.RemoveAt != 0 && !now.Before(e.RemoveAt) }

// Snapshot is the state at one time. It is immutable once published.
type Snapshot struct {
	// Config is nil until a configuration has been read.
	Config    *fleet.Config
	Upstreams map[units.UpstreamID]*Entry
	// ExcludedZones are the zones that get no new requests or loads.
	ExcludedZones map[units.Zone]bool
	Revision      units.Revision
}

// State is the state that reads and watch events of the store update.
type State struct {
	snap Snapshot
	// confirmedAt is the latest time as of which the state is known to have matched the store.
	confirmedAt clock.Time
	// storeAt is a time at which the store was at storeRevision or an earlier one. The state is
	// confirmed as of that time once it has reached that revision.
	storeAt       clock.Time
	storeRevision units.Revision
	// failing is set while calls of this gateway to the store fail, since failedAt.
	failing  bool
	failedAt clock.Time
	// othersAnsweredAt is the earliest known time since failedAt at which the store answered another gateway; 0 is never.
	othersAnsweredAt clock.Time
	// recoveredAt is the earliest known time at which the store answered any gateway after the last outage that this one
	// has seen; 0 is never.
	recoveredAt clock.Time
	// eraAt is when this gateway learned that the store came back from an older copy; 0 is never. storeVersion is the version of
	// the configuration that the store has had since; 0 if none was read.
	eraAt        clock.Time
	storeVersion int64
}

// New returns an empty State.
func New() *State {
	return &State{snap: Snapshot{Upstreams: map[units.UpstreamID]*Entry{}, ExcludedZones: map[units.Zone]bool{}}}
}

// Snapshot returns a copy that does not change. Its entries are shared and immutable.
func (s *State) Snapshot() *Snapshot {
	out := s.snap
	out.Upstreams = maps.Clone(s.snap.Upstreams)
	out.ExcludedZones = maps.Clone(s.snap.ExcludedZones)
	return &out
}

// Revision returns the store revision up to which changes have been applied.
func (s *State) Revision() units.Revision { return s.snap.Revision }

// ConfirmedAt returns the latest time as of which the state is known to have matched the store; 0 is
// never.
func (s *State) ConfirmedAt() clock.Time { return s.confirmedAt }

// RecordStoreFailure records that a call to the store failed. Entries of live upstreams may expire
// until the store answers somebody: it may be this gateway alone that does not reach it.
func (s *State) RecordStoreFailure(now clock.Time) {
	if !s.failing {
		s.failing, s.failedAt, s.othersAnsweredAt = true, now, 0
	}
}

// Failing reports whether calls of this gateway to the store fail.
func (s *State) Failing() bool { return s.failing }

// RecordOthersAnswer records that the store answered another gateway at a time.
func (s *State) RecordOthersAnswer(at clock.Time) {
	if s.failing && at.After(s.failedAt) && (s.othersAnsweredAt == 0 || at.Before(s.othersAnsweredAt)) {
		s.othersAnsweredAt = at
	}
}

// RecordStoreAnswer records that a call to the store succeeded.
func (s *State) RecordStoreAnswer(now clock.Time) {
	if !s.failing {
		return
	}
	s.failing, s.recoveredAt = false, now
	if s.othersAnsweredAt != 0 {
		s.recoveredAt = min(now, s.othersAnsweredAt)
	}
}

// RecoveredAt returns the earliest known time at which the store answered any gateway after the last outage; 0 is never.
func (s *State) RecoveredAt() clock.Time { return s.recoveredAt }

// Advance records that all changes up to the revision have been applied.
func (s *State) Advance(revision units.Revision) {
	s.snap.Revision = max(s.snap.Revision, revision)
	s.confirm()
}

// RecordStoreRevision records that the store was at the revision, or an earlier one, at a time. While
// the state has not reached a revision recorded earlier, later ones are ignored: it is reached first.
func (s *State) RecordStoreRevision(at clock.Time, revision units.Revision) {
	if s.Behind() {
		return
	}
	s.storeAt, s.storeRevision = at, revision
	s.confirm()
}

// Behind reports whether the store is known to have changes that were not applied.
func (s *State) Behind() bool { return s.snap.Revision < s.storeRevision }

func (s *State) confirm() {
	if !s.Behind() && !s.mayLackConfig(s.storeAt) {
		s.confirmedAt = max(s.confirmedAt, s.storeAt)
	}
}

// mayLackConfig reports whether the store may have lost a configuration that the operator has not written again at the time. It
// may be one that no gateway has seen, and that withdraws keys.
func (s *State) mayLackConfig(at clock.Time) bool {
	if s.eraAt == 0 {
		return false
	}
	limit := RewriteTime
	if s.snap.Config != nil && s.storeVersion < s.snap.Config.Version {
		limit = maxRewriteTime
	}
	return at.Sub(s.eraAt) < limit
}

// BeginEra records that this gateway has learned at a time that the store came back from an older copy. What it read before is
// kept until others have had the time to write again what was lost.
func (s *State) BeginEra(now clock.Time) {
	s.eraAt, s.storeVersion, s.recoveredAt = now, 0, now
}

// SettledAt returns when what is missing or older in the store than here counts: all that was lost is written again by then. It
// is 0 if nothing was lost.
func (s *State) SettledAt() clock.Time {
	if s.eraAt == 0 {
		return 0
	}
	return s.eraAt.Add(reregisterTime)
}

// settling reports whether what was lost may not have been written again.
func (s *State) settling(now clock.Time) bool { return now.Before(s.SettledAt()) }

// mayReregister reports whether live upstreams may not have written their entries again since an
// outage.
func (s *State) mayReregister(now clock.Time) bool {
	return s.recoveredAt != 0 && now.Sub(s.recoveredAt) < reregisterTime || s.settling(now)
}

// SetConfig replaces the configuration if the version is newer and reports whether it did. Reads
// can arrive out of order.
func (s *State) SetConfig(c *fleet.Config) bool {
	s.storeVersion = c.Version
	if s.snap.Config != nil && c.Version <= s.snap.Config.Version {
		return false
	}
	s.snap.Config = c
	return true
}

// SetUpstream replaces the description of an upstream. While the same process says that it is
// cold, WarmAt never moves to an earlier time. An address belongs to the process that started last:
// other upstreams with it have ended, although their keys may not have expired yet.
func (s *State) SetUpstream(now clock.Time, u *fleet.Upstream) {
	if !s.claimAddress(u) {
		delete(s.snap.Upstreams, u.ID)
		return
	}
	e := &Entry{Upstream: u, ReceivedAt: now}
	if u.ColdFor > 0 {
		e.WarmAt = now.Add(u.ColdFor)
	}
	if old, ok := s.snap.Upstreams[u.ID]; ok && old.WarmAt.After(e.WarmAt) && u.ProcessStart == old.ProcessStart && u.ColdFor > 0 {
		e.WarmAt = old.WarmAt
	}
	s.snap.Upstreams[u.ID] = e
}

// SetReadUpstream is SetUpstream for a description from a full read. While the store may not have got back what it lost, the
// description may be older than the known one, which is kept then. One that says that the process leaves counts in any case.
func (s *State) SetReadUpstream(now clock.Time, u *fleet.Upstream) {
	old, ok := s.snap.Upstreams[u.ID]
	switch {
	case !ok || !s.settling(now) || u.ProcessStart > old.ProcessStart || u.ProcessStart == old.ProcessStart && u.Draining:
		s.SetUpstream(now, u)
	case old.RemoveAt != 0 && u.ProcessStart == old.ProcessStart:
		listed := *old
		listed.RemoveAt = 0
		s.snap.Upstreams[u.ID] = &listed
	}
}

// claimAddress removes other upstreams with the same address that started earlier, and reports whether
// none started later. Entries of unknown services may come from other writers and claim nothing.
func (s *State) claimAddress(u *fleet.Upstream) bool {
	if !s.knowsService(u.Service) {
		return true
	}
	for id, e := range s.snap.Upstreams {
		switch {
		case id == u.ID || e.Address != u.Address || !s.knowsService(e.Service):
		case e.ProcessStart > u.ProcessStart:
			return false
		case e.ProcessStart < u.ProcessStart:
			delete(s.snap.Upstreams, id)
		}
	}
	return true
}

func (s *State) knowsService(id units.ServiceID) bool {
	if s.snap.Config == nil {
		return false
	}
	_, ok := s.snap.Config.Service(id)
	return ok
}

// Remove removes an upstream whose key was deleted. Shortly after an outage of the store, not of this gateway's way
// there alone, it schedules the removal instead, as entries of live upstreams may have expired; draining upstreams are removed
// at once.
func (s *State) Remove(now clock.Time, id units.UpstreamID) {
	e, ok := s.snap.Upstreams[id]
	if !ok {
		return
	}
	if s.mayReregister(now) && !e.Draining {
		lapsed := *e
		lapsed.RemoveAt = max(s.recoveredAt.Add(reregisterTime), s.SettledAt())
		s.snap.Upstreams[id] = &lapsed
		return
	}
	delete(s.snap.Upstreams, id)
}

// Expire removes upstreams whose RemoveAt has passed and reports whether there were any.
func (s *State) Expire(now clock.Time) bool {
	removed := false
	for id, e := range s.snap.Upstreams {
		if e.IsGone(now) {
			delete(s.snap.Upstreams, id)
			removed = true
		}
	}
	return removed
}

// SetZoneExcluded excludes a zone or includes it again. Upstreams of a zone that is included again
// count as cold until their next description.
func (s *State) SetZoneExcluded(now clock.Time, z units.Zone, excluded bool) {
	if excluded {
		s.snap.ExcludedZones[z] = true
		return
	}
	if !s.snap.ExcludedZones[z] {
		return
	}
	delete(s.snap.ExcludedZones, z)
	for id, e := range s.snap.Upstreams {
		if e.Zone == z {
			cold := *e
			cold.WarmAt = max(e.WarmAt, now.Add(assumedColdTime))
			s.snap.Upstreams[id] = &cold
		}
	}
}

// assumedColdTime is how long upstreams of a zone that is included again count as cold if no new
// description arrives.
const assumedColdTime = 3 * clock.Second

// RemoveUnlisted removes upstreams and includes zones that a full read did not return. Zones stay excluded while the store may
// not have got back what it lost.
func (s *State) RemoveUnlisted(now clock.Time, listed map[units.UpstreamID]bool, excluded map[units.Zone]bool) {
	for id, e := range s.snap.Upstreams {
		if !listed[id] && e.RemoveAt == 0 {
			s.Remove(now, id)
		}
	}
	for z := range s.snap.ExcludedZones {
		if !excluded[z] && !s.settling(now) {
			s.SetZoneExcluded(now, z, false)
		}
	}
}
