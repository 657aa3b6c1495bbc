package sched

import (
	"math/rand/v2"

	"github.com/magnolialever/magnolialever/clock"
)

const (
	// returnShare is the part of the time that a caller has left after which it comes back at the latest, whatever
	// delay it got.
	returnShare = 1.0 / 3
	// lateReturnShare is the part of that time from which callers come back while there is no room for them.
	lateReturnShare = 0.6
	// maxReturnInterval bounds the time between two callers that come back to the same target.
	maxReturnInterval = 200 * clock.Millisecond
	// maxReturnTargets bounds the targets on record; beyond it all are dropped.
	maxReturnTargets = 1024
)

// returnBook tells refused callers when to come back. It answers a load that exceeds for seconds what the upstreams of
// a target take: callers that get the same delay come back together and are refused again.
type returnBook map[serviceTarget]*returns

// returns is the record of one target at this gateway.
type returns struct {
	// arrivals and starts are the rates of requests that arrive and of those that an upstream gets.
	arrivals, starts decayingRate
	// bookedUntil is when the last of the callers comes back that got the time at which there will be room.
	bookedUntil clock.Time
}

func (b *returnBook) of(t serviceTarget) *returns {
	r, ok := (*b)[t]
	if !ok {
		if len(*b) >= maxReturnTargets {
			clear(*b)
		}
		r = &returns{}
		(*b)[t] = r
	}
	return r
}

func (b *returnBook) recordArrival(now clock.Time, t serviceTarget) { b.of(t).arrivals.add(now, 1) }

func (b *returnBook) recordStart(now clock.Time, t serviceTarget) { b.of(t).starts.add(now, 1) }

// retryAfter returns when a refused caller should come back: not before least, and one after the other at the rate
// that the arrivals leave of the starts. Where they leave nothing, callers come back as late as they do at all, spread
// over the last part of that time.
func (b *returnBook) retryAfter(now clock.Time, t serviceTarget, least, timeLeft clock.Span) clock.Span {
	latest := max(clock.Span(float64(timeLeft)*returnShare), least)
	r := b.of(t)
	room := r.starts.at(now) - r.arrivals.at(now)
	if room > 0 {
		interval := min(clock.Span(float64(clock.Second)/room), maxReturnInterval)
		if at := max(now.Add(least), r.bookedUntil.Add(interval)); at.Sub(now) <= latest {
			r.bookedUntil = at
			return at.Sub(now)
		}
	}
	from := max(clock.Span(float64(latest)*lateReturnShare), least)
	return from + clock.Span(rand.Int64N(int64(latest-from)+1))
}
