package sched

import (
	"github.com/magnolialever/magnolialever/clock"
)

// turn is when a queued request is tried when there is room: lower ones first.
type turn uint8

const (
	// onTimeTurn is that of requests that can still meet their latency objective. Under overload those that are late
	// already would make all others late.
	onTimeTurn turn = iota
	// lateTurn is that of requests that can't.
	lateTurn
	// patientTurn is that of requests that can, but have most of their wait left while more urgent ones are late: work
	// with an objective of many seconds would otherwise pass all that is due within one.
	patientTurn
)

// turns lists all of them in order.
var turns = [...]turn{onTimeTurn, lateTurn, patientTurn}

// patientShare is the part of the time from its arrival to its latest start for which a request lets more urgent ones
// pass that are late.
const patientShare = 0.5

// noRank is above all ranks.
const noRank = int(^uint(0) >> 1)

// isLate reports whether a request can't meet its latency objective any longer.
func (a *Attempt) isLate(now clock.Time) bool { return !now.Before(a.FirstEventDue) }

// isPatient reports whether a request has most of its wait left.
func (a *Attempt) isPatient(now clock.Time) bool {
	wait := a.LatestStart.Sub(a.addedAt)
	return now.Sub(a.addedAt) < clock.Span(float64(wait)*patientShare)
}

// turnOf returns the turn of a request where the most urgent late one has the rank.
func (a *Attempt) turnOf(now clock.Time, lateRank int) turn {
	switch {
	case a.isLate(now):
		return lateTurn
	case lateRank < a.Rank && a.isPatient(now):
		return patientTurn
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
