// Package notice keeps what upstreams say of themselves in their answers: that they leave, and that they
// want no requests for some time.
package notice

import (
	"cmp"
	"slices"
	"sync"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// maxProcesses bounds the processes of which something is kept.
const maxProcesses = 4096

// Notice is what an upstream says of itself in an answer. The zero value says nothing.
type Notice struct {
	// Leaving is set if the upstream will end soon.
	Leaving bool
	// Pause is how long the upstream wants no requests from this gateway; 0 for no pause.
	Pause clock.Span
}

// Process identifies one run of an upstream's process. Another one at the same address or with the same name
// has said nothing yet.
type Process struct {
	Upstream units.UpstreamID
	// Start is when the process started, as it says itself.
	Start int64
}

// belief is what a process told this gateway.
type belief struct {
	leaving     bool
	pausedUntil clock.Time
	toldAt      clock.Time
}

// Board holds what the processes of upstreams told this gateway. It is told by nobody else, so that neither the
// store nor another gateway can say otherwise. It is safe for concurrent use.
type Board struct {
	mu      sync.Mutex // guards beliefs
	beliefs map[Process]belief
}

// NewBoard returns an empty Board.
func NewBoard() *Board { return &Board{beliefs: map[Process]belief{}} }

// Record records a notice of a process. It reports whether it changes what is believed: the process leaves,
// or a pause ends later. A later notice never ends a pause sooner.
func (b *Board) Record(now clock.Time, p Process, n Notice) bool {
	if n == (Notice{}) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	old, known := b.beliefs[p]
	if !known {
		b.evict(now)
	}
	updated := belief{leaving: old.leaving || n.Leaving, pausedUntil: old.pausedUntil, toldAt: now}
	if n.Pause > 0 {
		updated.pausedUntil = max(updated.pausedUntil, now.Add(n.Pause))
	}
	b.beliefs[p] = updated
	return updated.leaving != old.leaving || updated.pausedUntil != old.pausedUntil
}

// Leaving reports whether the process leaves. It must get no requests any more.
func (b *Board) Leaving(p Process) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.beliefs[p].leaving
}

// Pause returns how long the process must get no requests; 0 if it may get some now.
func (b *Board) Pause(now clock.Time, p Process) clock.Span {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.beliefs[p].pausedUntil.Sub(now), 0)
}

// Accepts reports whether the process may get requests now.
func (b *Board) Accepts(now clock.Time, p Process) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.beliefs[p]
	return !v.leaving && !now.Before(v.pausedUntil)
}

// evict makes room if maxProcesses are known: it drops pauses that have ended, or else the half that was told
// first. The caller holds b.mu.
func (b *Board) evict(now clock.Time) {
	if len(b.beliefs) < maxProcesses {
		return
	}
	list := make([]Process, 0, len(b.beliefs))
	for p, v := range b.beliefs {
		if !v.leaving && !now.Before(v.pausedUntil) {
			delete(b.beliefs, p)
			continue
		}
		list = append(list, p)
	}
	if len(list) < maxProcesses {
		return
	}
	slices.SortFunc(list, func(x, y Process) int { return cmp.Compare(b.beliefs[x].toldAt, b.beliefs[y].toldAt) })
	for _, p := range list[:len(list)/2] {
		delete(b.beliefs, p)
	}
}
