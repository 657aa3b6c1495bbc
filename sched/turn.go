package sched

import (
	"github.com/magnolialever/magnolialever/clock"
)

// turn is the group in which a queued request is tried when there is room: lower ones first.
type turn uint8

const (
	// onTimeTurn is that of requests that can still meet their latency objective. Under overload those that are late
	// already would make all others late.
	onTimeTurn turn = iota
	// lateTurn is that of requests that can't.
	lateTurn
	// deferredTurn is that of requests that can, but have half of their wait left while more urgent ones are late: work
	// with an objective of many seconds would otherwise pass all that is due within one.
	deferredTurn
)

// turns lists all of them in order.
var turns = [...]turn{onTimeTurn, lateTurn, deferredTurn}

// deferrableShare is the part of its wait, from its arrival to its latest start, in which a request is tried after more
// urgent ones that are late. The rest is for its own start: it would otherwise starve for as long as the load lasts.
const deferrableShare = 0.5

// noRank is above all ranks.
const noRank = int(^uint(0) >> 1)

// isLate reports whether a request can't meet its latency objective any longer.
func (a *Attempt) isLate(now clock.Time) bool { return !now.Before(a.FirstEventDue) }

// isDeferrable reports whether a request has so much of its wait left that late ones of a more urgent class go first.
func (a *Attempt) isDeferrable(now clock.Time) bool {
	wait := a.LatestStart.Sub(a.addedAt)
	return now.Sub(a.addedAt) < clock.Span(float64(wait)*deferrableShare)
}

// turnOf returns the turn of a request where the most urgent late one has the rank lateRank. Lower ranks are more urgent.
func (a *Attempt) turnOf(now clock.Time, lateRank int) turn {
	switch {
	case a.isLate(now):
		return lateTurn
	case lateRank < a.Rank && a.isDeferrable(now):
		return deferredTurn
	default:
		return onTimeTurn
	}
}

// lateRank returns the rank of the most urgent queued request that is late, noRank if none is.
func (s *Scheduler) lateRank(now clock.Time) int {
	rank := noRank
	for _, a := range s.queue {
		if a.queued && a.isLate(now) {
			rank = min(rank, a.Rank)
		}
	}
	return rank
}
