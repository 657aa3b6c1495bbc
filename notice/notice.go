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

// state is what this gateway knows of a process by its notices.
type state struct {
	leaving     bool
	pausedUntil clock.Time
	noticeAt    clock.Time
}

// Board holds what this gateway knows of the processes of upstreams by their own notices. Neither the store nor another
// gateway can change it. It is safe for concurrent use.
type Board struct {
	mu     sync.Mutex // guards states
	states map[Process]state
}

// NewBoard returns an empty Board.
func NewBoard() *Board { return &Board{states: map[Process]state{}} }

// Record records a notice of a process. It reports whether it changes the state: the process leaves,
// or a pause ends later. A later notice never ends a pause sooner.
func (b *Board) Record(now clock.Time, p Process, n Notice) bool {
	if n == (Notice{}) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	old, known := b.states[p]
	if !known {
		b.evict(now)
	}
	updated := state{leaving: old.leaving || n.Leaving, pausedUntil: old.pausedUntil, noticeAt: now}
	if n.Pause > 0 {
		updated.pausedUntil = max(updated.pausedUntil, now.Add(n.Pause))
	}
	b.states[p] = updated
	return updated.leaving != old.leaving || updated.pausedUntil != old.pausedUntil
}

// Leaving reports whether the process leaves. It must get no requests any more.
func (b *Board) Leaving(p Process) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.states[p].leaving
}

// Pause returns how long the process must get no requests; 0 if it may get some now.
func (b *Board) Pause(now clock.Time, p Process) clock.Span {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.states[p].pausedUntil.Sub(now), 0)
}

// Accepts reports whether the process may get requests now.
func (b *Board) Accepts(now clock.Time, p Process) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.states[p]
	return !v.leaving && !now.Before(v.pausedUntil)
}

// evict makes room if maxProcesses are known: it drops pauses that have ended, or else the half with the
// oldest notices. The caller holds b.mu.
func (b *Board) evict(now clock.Time) {
	if len(b.states) < maxProcesses {
		return
	}
	list := make([]Process, 0, len(b.states))
	for p, v := range b.states {
		if !v.leaving && !now.Before(v.pausedUntil) {
			delete(b.states, p)
			continue
		}
		list = append(list, p)
	}
	if len(list) < maxProcesses {
		return
	}
	slices.SortFunc(list, func(x, y Process) int { return cmp.Compare(b.states[x].noticeAt, b.states[y].noticeAt) })
	for _, p := range list[:len(list)/2] {
		delete(b.states, p)
	}
}
