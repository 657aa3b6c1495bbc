// Package view holds what a gateway believes of the world: the configuration, the
// upstreams, the zones that are out and the other gateways, each with its age. It
// performs no I/O. A State belongs to one goroutine, which publishes snapshots.
package view

import (
	"maps"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/units"
)

// returnSpan is the time after an outage of the store within which entries of live
// upstreams come back.
const returnSpan = 2200 * clock.Millisecond

// Entry is an upstream as last described.
type Entry struct {
	*fleet.Upstream
	// ReceivedAt is when the description was received.
	ReceivedAt clock.Time
	// WarmAt is when the upstream is expected to be warm.
	WarmAt clock.Time
	// RemoveAt is when an entry that lapsed during an outage is given up; 0 is never.
	RemoveAt clock.Time
}

// IsCold reports whether the upstream is cold.
func (e *Entry) IsCold(now clock.Time) bool { return now.Before(e.WarmAt) }

// Snapshot is the belief at one time. It is not changed once published.
type Snapshot struct {
	// Config is nil until a configuration is known.
	Config    *fleet.Config
	Upstreams map[units.UpstreamID]*Entry
	// ExcludedZones are the zones that get nothing new.
	ExcludedZones map[units.Zone]bool
	Revision      units.Revision
}

// State is the belief under construction.
type State struct {
	snap Snapshot
	// confirmed is when the store was last known to agree.
	confirmed clock.Time
	// failing is set while calls to the store fail.
	failing bool
	// returned is when the store answered again after the last outage; 0 is never.
	returned clock.Time
}

// New returns an empty State.
func New() *State {
	return &State{snap: Snapshot{Upstreams: map[units.UpstreamID]*Entry{}, ExcludedZones: map[units.Zone]bool{}}}
}

// Snapshot returns a copy that does not change.
func (s *State) Snapshot() *Snapshot {
	out := s.snap
	out.Upstreams = maps.Clone(s.snap.Upstreams)
	out.ExcludedZones = maps.Clone(s.snap.ExcludedZones)
	return &out
}

// Revision is the revision up to which changes have been applied.
func (s *State) Revision() units.Revision { return s.snap.Revision }

// ConfirmedAt is when the store was last known to agree with the belief.
func (s *State) ConfirmedAt() clock.Time { return s.confirmed }

// RecordStoreFailure notes that a call to the store failed. Entries may lapse meanwhile though
// their writers live.
func (s *State) RecordStoreFailure() { s.failing = true }

// RecordStoreAnswer notes that the belief holds up to the revision, as of the time at. The time
// now is when the answer arrived.
func (s *State) RecordStoreAnswer(now, at clock.Time, rev units.Revision) {
	if s.failing {
		s.failing, s.returned = false, now
	}
	s.confirmed = max(s.confirmed, at)
	s.snap.Revision = max(s.snap.Revision, rev)
}

// returning reports whether entries of live upstreams may still be missing after an
// outage.
func (s *State) returning(now clock.Time) bool {
	return s.returned != 0 && now.Sub(s.returned) < returnSpan
}

// SetConfig takes a configuration over and reports whether it is newer. An older
// version never replaces a newer one.
func (s *State) SetConfig(c *fleet.Config) bool {
	if s.snap.Config != nil && c.Version <= s.snap.Config.Version {
		return false
	}
	s.snap.Config = c
	return true
}

// SetUpstream takes a description over.
func (s *State) SetUpstream(now clock.Time, u *fleet.Upstream) {
	e := &Entry{Upstream: u, ReceivedAt: now}
	if u.ColdFor > 0 {
		e.WarmAt = now.Add(u.ColdFor)
	}
	if old, ok := s.snap.Upstreams[u.ID]; ok && old.WarmAt.After(e.WarmAt) && u.ProcessStart == old.ProcessStart && u.ColdFor > 0 {
		e.WarmAt = old.WarmAt
	}
	s.snap.Upstreams[u.ID] = e
}

// Remove handles the removal of a description. During an outage of the store and a
// short time after, descriptions of live upstreams may lapse; they stay until then.
func (s *State) Remove(now clock.Time, id units.UpstreamID) {
	e, ok := s.snap.Upstreams[id]
	if !ok {
		return
	}
	if s.returning(now) && !e.Draining {
		lapsed := *e
		lapsed.RemoveAt = s.returned.Add(returnSpan)
		s.snap.Upstreams[id] = &lapsed
		return
	}
	delete(s.snap.Upstreams, id)
}

// Expire drops lapsed upstreams that did not come back and reports whether any was.
func (s *State) Expire(now clock.Time) bool {
	found := false
	for id, e := range s.snap.Upstreams {
		if e.RemoveAt != 0 && !now.Before(e.RemoveAt) {
			delete(s.snap.Upstreams, id)
			found = true
		}
	}
	return found
}

// SetZoneExcluded marks a zone as out or back. Upstreams of a zone that comes back count as
// cold until they describe themselves again.
func (s *State) SetZoneExcluded(now clock.Time, z units.Zone, out bool) {
	if out {
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
			cold.WarmAt = max(e.WarmAt, now.Add(coldAfterReturn))
			s.snap.Upstreams[id] = &cold
		}
	}
}

// coldAfterReturn is how long the upstreams of a zone that comes back count as cold
// unless they say otherwise.
const coldAfterReturn = 3 * clock.Second

// RemoveUnlisted drops all upstreams and zones that a full read did not name.
func (s *State) RemoveUnlisted(now clock.Time, upstreams map[units.UpstreamID]bool, out map[units.Zone]bool) {
	for id, e := range s.snap.Upstreams {
		if !upstreams[id] && e.RemoveAt == 0 {
			s.Remove(now, id)
		}
	}
	for z := range s.snap.ExcludedZones {
		if !out[z] {
			s.SetZoneExcluded(now, z, false)
		}
	}
}
