package work

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// firstBackoff is the wait after the first failure; it doubles up to lastBackoff.
	firstBackoff = 2 * clock.Second
	lastBackoff  = 5 * clock.Minute
	maxDoublings = 10
)

// Tracker decides which entries this process runs. It sees the store through events
// that may be late; the compare-and-swap of a claim settles races. Claims of others
// are judged by how long this process has seen them unchanged, as the clocks of two
// processes can't be compared.
type Tracker struct {
	self   WorkerID
	limits Limits
	// random returns a number below n.
	random func(n int64) int64

	items map[ID]*item
	// claims holds when the claim of each process changed last.
	claims map[WorkerID]claim
	// busy holds the entries that this process claims, runs or settles.
	busy map[ID]struct{}
	open map[units.CustomerID]int
}

// item is what the board knows of an entry that is not done.
type item struct {
	revision units.Revision
	customer units.CustomerID
	holder   WorkerID
	// seen is when the entry changed last.
	seen clock.Time
	// ready is when an entry without a holder may be claimed.
	ready clock.Time
	// delay spreads the gateways that claim the same entry.
	delay clock.Span
}

type claim struct {
	revision units.Revision
	seen     clock.Time
}

// NewTracker returns a board.
func NewTracker(self WorkerID, l Limits, random func(n int64) int64) *Tracker {
	return &Tracker{
		self: self, limits: l, random: random,
		items: map[ID]*item{}, claims: map[WorkerID]claim{}, busy: map[ID]struct{}{}, open: map[units.CustomerID]int{},
	}
}

// UpdateEntry takes an entry as of a revision.
func (b *Tracker) UpdateEntry(now clock.Time, id ID, e *Entry, at units.Revision) {
	old := b.items[id]
	if old != nil && old.revision >= at {
		return
	}
	b.remove(id)
	if e.State == Done {
		return
	}
	b.open[e.Customer]++
	i := &item{revision: at, customer: e.Customer, holder: e.Worker, seen: now, ready: now.Add(backoff(e.FailedRuns))}
	i.delay = clock.Span(b.random(int64(b.limits.MaxJitter) + 1))
	b.items[id] = i
}

// RemoveEntry takes the removal of an entry.
func (b *Tracker) RemoveEntry(id ID, at units.Revision) {
	if i := b.items[id]; i != nil && i.revision < at {
		b.remove(id)
	}
}

func (b *Tracker) remove(id ID) {
	i := b.items[id]
	if i == nil {
		return
	}
	delete(b.items, id)
	if b.open[i.customer]--; b.open[i.customer] == 0 {
		delete(b.open, i.customer)
	}
}

// UpdateHeartbeat takes a claim as of a revision.
func (b *Tracker) UpdateHeartbeat(now clock.Time, h WorkerID, at units.Revision) {
	if b.claims[h].revision < at {
		b.claims[h] = claim{at, now}
	}
}

// HeartbeatRevision returns the newest revision seen of a claim.
func (b *Tracker) HeartbeatRevision(h WorkerID) units.Revision { return b.claims[h].revision }

// RemoveHeartbeat takes the removal of a claim.
func (b *Tracker) RemoveHeartbeat(h WorkerID) { delete(b.claims, h) }

// RestartTimeouts takes the news that the store did not answer: others may have been
// unable to renew their claims, so these get their whole span again.
func (b *Tracker) RestartTimeouts(now clock.Time) {
	for h, c := range b.claims {
		c.seen = now
		b.claims[h] = c
	}
	for _, i := range b.items {
		i.seen = now
	}
}

// OpenEntries returns the number of entries of the customer that are not done.
func (b *Tracker) OpenEntries(c units.CustomerID) int { return b.open[c] }

// HoldsEntries reports whether this process has entries, so that its claim must be renewed.
func (b *Tracker) HoldsEntries() bool { return len(b.busy) > 0 }

// ReserveSlot takes a place for an entry, if there is one.
func (b *Tracker) ReserveSlot(id ID) bool {
	if len(b.busy) >= b.limits.MaxRunning {
		return false
	}
	b.busy[id] = struct{}{}
	return true
}

// ReleaseSlot returns the place of an entry.
func (b *Tracker) ReleaseSlot(id ID) { delete(b.busy, id) }

// DelayClaim keeps this process from claiming the entry for the backoff of a failure.
func (b *Tracker) DelayClaim(now clock.Time, id ID, tries int) {
	if i := b.items[id]; i != nil {
		i.ready = max(i.ready, now.Add(backoff(tries)))
	}
}

// ReserveNext takes a place for the entry that has waited longest among those that may be
// claimed, and returns its id and revision.
func (b *Tracker) ReserveNext(now clock.Time) (id ID, at units.Revision, ok bool) {
	if len(b.busy) >= b.limits.MaxRunning {
		return "", 0, false
	}
	for n, i := range b.items {
		if _, busy := b.busy[n]; busy || !b.free(now, i) {
			continue
		}
		if !ok || i.revision < at {
			id, at, ok = n, i.revision, true
		}
	}
	if ok {
		b.busy[id] = struct{}{}
	}
	return id, at, ok
}

// free reports whether an entry may be claimed. One that this process holds without
// being busy with it was claimed by a write whose answer was lost.
func (b *Tracker) free(now clock.Time, i *item) bool {
	switch {
	case now.Before(i.ready):
		return false
	case i.holder == "":
		return !now.Before(i.ready.Add(i.delay))
	case i.holder == b.self:
		return true
	default:
		changed := max(i.seen, b.claims[i.holder].seen)
		return now.Sub(changed) >= b.limits.HeartbeatTimeout+i.delay
	}
}

// backoff returns the wait after some failures.
func backoff(tries int) clock.Span {
	if tries == 0 {
		return 0
	}
	return min(firstBackoff<<min(tries-1, maxDoublings), lastBackoff)
}
