package work

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// minBackoff is the delay after the first failed run. It doubles with each failure up to
	// maxBackoff.
	minBackoff = 2 * clock.Second
	maxBackoff = 5 * clock.Minute
	// maxDoublings keeps the shift in backoff from overflowing.
	maxDoublings = 10
)

// Tracker holds the open entries and worker heartbeats known from the store's events and selects
// the entries that this process may claim. Events may arrive late, so a claim succeeds only by a
// compare-and-swap. A heartbeat times out by how long this process has seen it unchanged, since
// clocks of different processes can't be compared. Tracker is not safe for concurrent use.
type Tracker struct {
	self   WorkerID
	limits Limits
	// random returns a number from 0 to n-1.
	random func(n int64) int64

	entries map[ID]*trackedEntry
	// heartbeats holds the newest heartbeat of each worker.
	heartbeats map[WorkerID]heartbeat
	// slots holds the entries that this process is claiming, running or storing the result of.
	slots map[ID]struct{}
	// openEntries counts the entries of each customer that are not done.
	openEntries map[units.CustomerID]int
}

// trackedEntry is the scheduling state of an entry that is not done.
type trackedEntry struct {
	revision units.Revision
	customer units.CustomerID
	worker   WorkerID
	// changedAt is when this process learned of the revision.
	changedAt clock.Time
	// claimAfter is the end of the backoff; the entry can't be claimed earlier.
	claimAfter clock.Time
	// jitter is a random delay that keeps gateways from claiming the same entry at once.
	jitter clock.Span
}

// heartbeat is the last seen write of a worker's heartbeat key.
type heartbeat struct {
	revision  units.Revision
	changedAt clock.Time
}

// NewTracker returns an empty Tracker for the worker self. random(n) must return a number from 0
// to n-1.
func NewTracker(self WorkerID, l Limits, random func(n int64) int64) *Tracker {
	return &Tracker{
		self: self, limits: l, random: random,
		entries: map[ID]*trackedEntry{}, heartbeats: map[WorkerID]heartbeat{},
		slots: map[ID]struct{}{}, openEntries: map[units.CustomerID]int{},
	}
}

// UpdateEntry records the state of an entry at the revision. It ignores revisions that are not
// newer than the recorded one.
func (t *Tracker) UpdateEntry(now clock.Time, id ID, e *Entry, revision units.Revision) {
	old := t.entries[id]
	if old != nil && old.revision >= revision {
		return
	}
	t.remove(id)
	if e.State == Done {
		return
	}
	t.openEntries[e.Customer]++
	te := &trackedEntry{
		revision: revision, customer: e.Customer, worker: e.Worker,
		changedAt: now, claimAfter: now.Add(backoff(e.FailedRuns)),
	}
	te.jitter = clock.Span(t.random(int64(t.limits.MaxJitter) + 1))
	t.entries[id] = te
}

// RemoveEntry drops an entry that was deleted at the revision, unless a newer one is recorded.
func (t *Tracker) RemoveEntry(id ID, revision units.Revision) {
	if te := t.entries[id]; te != nil && te.revision < revision {
		t.remove(id)
	}
}

func (t *Tracker) remove(id ID) {
	te := t.entries[id]
	if te == nil {
		return
	}
	delete(t.entries, id)
	if t.openEntries[te.customer]--; t.openEntries[te.customer] == 0 {
		delete(t.openEntries, te.customer)
	}
}

// UpdateHeartbeat records the write of a worker's heartbeat at the revision, unless it is older
// than the recorded one.
func (t *Tracker) UpdateHeartbeat(now clock.Time, w WorkerID, revision units.Revision) {
	if t.heartbeats[w].revision < revision {
		t.heartbeats[w] = heartbeat{revision, now}
	}
}

// HeartbeatRevision returns the newest known revision of a worker's heartbeat, or 0.
func (t *Tracker) HeartbeatRevision(w WorkerID) units.Revision { return t.heartbeats[w].revision }

// RemoveHeartbeat drops the heartbeat of a worker whose key was deleted.
func (t *Tracker) RemoveHeartbeat(w WorkerID) { delete(t.heartbeats, w) }

// RestartTimeouts restarts the heartbeat timeouts of all workers. It is called when the store did
// not respond, since the other workers may have been unable to write their heartbeats either.
func (t *Tracker) RestartTimeouts(now clock.Time) {
	for w, h := range t.heartbeats {
		h.changedAt = now
		t.heartbeats[w] = h
	}
	for _, te := range t.entries {
		te.changedAt = now
	}
}

// OpenEntries returns the number of entries of the customer that are not done.
func (t *Tracker) OpenEntries(c units.CustomerID) int { return t.openEntries[c] }

// HoldsEntries reports whether a slot is taken, so that this process must write heartbeats.
func (t *Tracker) HoldsEntries() bool { return len(t.slots) > 0 }

// ReserveSlot takes a slot for an entry. It returns false if MaxRunning slots are taken.
func (t *Tracker) ReserveSlot(id ID) bool {
	if len(t.slots) >= t.limits.MaxRunning {
		return false
	}
	t.slots[id] = struct{}{}
	return true
}

// ReleaseSlot frees the slot of an entry.
func (t *Tracker) ReleaseSlot(id ID) { delete(t.slots, id) }

// DelayClaim keeps this process from claiming the entry during the backoff after that many
// failures.
func (t *Tracker) DelayClaim(now clock.Time, id ID, failures int) {
	if te := t.entries[id]; te != nil {
		te.claimAfter = max(te.claimAfter, now.Add(backoff(failures)))
	}
}

// ReserveNext takes a slot for the claimable entry with the oldest revision and returns its ID and
// revision. It returns false if no slot is free or no entry is claimable.
func (t *Tracker) ReserveNext(now clock.Time) (id ID, revision units.Revision, ok bool) {
	if len(t.slots) >= t.limits.MaxRunning {
		return "", 0, false
	}
	for candidate, te := range t.entries {
		if _, reserved := t.slots[candidate]; reserved || !t.claimable(now, te) {
			continue
		}
		if !ok || te.revision < revision {
			id, revision, ok = candidate, te.revision, true
		}
	}
	if ok {
		t.slots[id] = struct{}{}
	}
	return id, revision, ok
}

// claimable reports whether this process may claim an entry that has no slot here. An entry
// assigned to this process without a slot was claimed by a write whose response was lost.
func (t *Tracker) claimable(now clock.Time, te *trackedEntry) bool {
	switch {
	case now.Before(te.claimAfter):
		return false
	case te.worker == "":
		return !now.Before(te.claimAfter.Add(te.jitter))
	case te.worker == t.self:
		return true
	default:
		lastChange := max(te.changedAt, t.heartbeats[te.worker].changedAt)
		return now.Sub(lastChange) >= t.limits.HeartbeatTimeout+te.jitter
	}
}

// backoff returns the delay before the next run after the number of failures.
func backoff(failures int) clock.Span {
	if failures == 0 {
		return 0
	}
	return min(minBackoff<<min(failures-1, maxDoublings), maxBackoff)
}
