package rate

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// queuedRequest is a request that waits for tokens.
type queuedRequest struct {
	Request
	// refuseAfter is the earliest time to refuse the request for lack of tokens. Until then,
	// settlements and returned tokens of other gateways may still arrive at the owners.
	refuseAfter clock.Time
}

// account is the state of one customer at a client.
type account struct {
	customer units.CustomerID
	slots    []Slot
	limit    Limit
	views    []bucketView
	demand   demand
	busy     bool
	// queue holds requests that wait for tokens, in order of arrival.
	queue  []queuedRequest
	grants []*clientGrant
	// acquires are the pending acquires that have not timed out; inFlight is the sum of their
	// tokens.
	acquires []*pendingAcquire
	inFlight units.Tokens
	// awaitingRefill holds reservations whose tokens are granted but not refilled yet.
	awaitingRefill []*clientReservation
	// recoverUntil is the time until which requests wait for the bucket of a new owner.
	recoverUntil clock.Time
	// lastServed is the time of the last serveQueue.
	lastServed clock.Time
}

func newAccount(id units.CustomerID) *account {
	return &account{customer: id}
}

// idle reports whether nothing is queued, granted or pending.
func (a *account) idle() bool {
	return len(a.queue) == 0 && len(a.grants) == 0 && len(a.acquires) == 0 && len(a.awaitingRefill) == 0
}

// nextDue returns the time at which serveQueue has to run again.
func (a *account) nextDue() clock.Time {
	nextDue := never
	for _, t := range a.awaitingRefill {
		nextDue = min(nextDue, t.usableAt)
	}
	for _, q := range a.acquires {
		nextDue = min(nextDue, q.sent.Add(acquireTimeout))
	}
	for _, h := range a.grants {
		if len(a.queue) > 0 {
			nextDue = min(nextDue, h.expires.Add(1-minGrantLife))
		} else {
			nextDue = min(nextDue, h.returnAt())
		}
	}
	for _, r := range a.queue {
		nextDue = min(nextDue, r.Deadline)
		if p := max(r.refuseAfter, a.recoverUntil); p.After(a.lastServed) {
			nextDue = min(nextDue, p)
		}
	}
	if len(a.queue) > 0 && len(a.acquires) == 0 {
		for i := range a.views {
			// The availability at present was considered by the last serveQueue and did not
			// suffice.
			if w := a.views[i].nextIncrease(); w.After(a.lastServed) {
				nextDue = min(nextDue, w)
			}
		}
	}
	return max(nextDue, a.lastServed+1)
}

// serveQueue reserves tokens for queued requests in order, acquires what is missing, refuses
// requests that can't be served and returns unused tokens.
func (c *Client) serveQueue(now clock.Time, a *account) {
	a.lastServed = now
	c.expire(now, a)
	c.issueRefilled(now, a)
	for len(a.queue) > 0 {
		if c.reserveFirst(now, a) {
			continue
		}
		c.acquire(now, a)
		r := a.queue[0]
		if len(a.acquires) > 0 || a.hasFailedSlot() || now.Before(max(r.refuseAfter, a.recoverUntil)) {
			break
		}
		a.queue = slices.Delete(a.queue, 0, 1)
		c.refuse(r.Request, units.RateExceeded, a.retryAfter(now, r.Cost))
	}
	c.returnUnused(now, a)
}

// reserveFirst reserves tokens for the first queued request from the grants held by the
// client. It reports whether there were enough; otherwise the request stays in the queue.
func (c *Client) reserveFirst(now clock.Time, a *account) bool {
	r := a.queue[0]
	var free units.Tokens
	for _, h := range a.grants {
		if h.usable(now) {
			free += h.free
		}
	}
	if free < r.Cost {
		return false
	}
	a.queue = slices.Delete(a.queue, 0, 1)
	t := &clientReservation{request: r.Request, usableAt: now, expires: now.Add(GrantTTL)}
	shortfall := r.Cost
	for _, h := range a.grants {
		if shortfall == 0 {
			break
		}
		if h.usable(now) && h.free > 0 {
			shortfall -= t.take(h, min(shortfall, h.free))
		}
	}
	c.reservations[r.ID] = t
	a.awaitingRefill = append(a.awaitingRefill, t)
	c.issueRefilled(now, a)
	return true
}

// take moves n free tokens of a grant to the reservation and returns n.
func (r *clientReservation) take(g *clientGrant, n units.Tokens) units.Tokens {
	g.free -= n
	g.parts++
	r.parts = append(r.parts, reservedPart{grant: g, tokens: n})
	r.usableAt = max(r.usableAt, g.usableAt)
	r.expires = min(r.expires, g.expires)
	return n
}

// issueRefilled decides the requests whose reserved tokens are refilled.
func (c *Client) issueRefilled(now clock.Time, a *account) {
	a.awaitingRefill = slices.DeleteFunc(a.awaitingRefill, func(t *clientReservation) bool {
		if now.Before(t.usableAt) {
			return false
		}
		v := Decision{ID: t.request.ID, Reservation: Reservation{Expires: t.expires}}
		for _, p := range t.parts {
			v.Reservation.Parts = append(v.Reservation.Parts, GrantPart{
				Slot: p.grant.slot, Epoch: p.grant.epoch, Grant: p.grant.id, Tokens: p.tokens,
			})
		}
		c.decisions = append(c.decisions, v)
		if c.faults.reportStartAtIssue {
			c.Started(now, t.request.ID)
		}
		return true
	})
}

// expire gives up acquires after acquireTimeout, and refuses requests past their deadlines:
// with RateUnavailable if no slot has a reachable owner, otherwise with RateExceeded.
func (c *Client) expire(now clock.Time, a *account) {
	for _, q := range slices.Clone(a.acquires) {
		if now.Sub(q.sent) >= acquireTimeout {
			a.views[q.slotIndex].recordFailure(now)
			c.abandonAcquires(a, q.slotIndex)
		}
	}
	a.queue = slices.DeleteFunc(a.queue, func(r queuedRequest) bool {
		if now.Before(r.Deadline) {
			return false
		}
		code := units.RateExceeded
		if !slices.ContainsFunc(a.views, func(v bucketView) bool { return !v.failed }) {
			code = units.RateUnavailable
		}
		c.refuse(r.Request, code, a.retryAfter(now, r.Cost))
		return true
	})
}

// abandonAcquires stops waiting for the grants of one slot. A late grant is still used.
func (c *Client) abandonAcquires(a *account, slotIndex int) {
	a.acquires = slices.DeleteFunc(a.acquires, func(q *pendingAcquire) bool {
		if q.slotIndex != slotIndex {
			return false
		}
		q.abandoned = true
		a.inFlight -= q.tokens
		return true
	})
}

// returnUnused returns the free tokens of grants that no queued request needs.
func (c *Client) returnUnused(now clock.Time, a *account) {
	a.grants = slices.DeleteFunc(a.grants, func(h *clientGrant) bool {
		if h.free == 0 {
			return true
		}
		if len(a.queue) > 0 && h.usable(now) || now.Before(h.returnAt()) {
			return false
		}
		h.reported.Returned += h.free
		h.free = 0
		c.report(now, returnDelay, h)
		return true
	})
}

// usable reports whether a request that is paid from the grant now can reach its agent in
// time.
func (g *clientGrant) usable(now clock.Time) bool {
	return g.expires.Sub(max(now, g.usableAt)) >= minGrantLife
}

// returnAt is the time at which free tokens are returned to the owner.
func (g *clientGrant) returnAt() clock.Time { return g.expires.Add(prefetchRetention - GrantTTL) }

// hasFailedSlot reports whether the owner of one of the slots is not reachable.
func (a *account) hasFailedSlot() bool {
	return slices.ContainsFunc(a.views, func(v bucketView) bool { return v.failed })
}

// retryAfter returns the estimated time until the buckets hold cost tokens, at least 1 ms; -1
// if the customer has no rate.
func (a *account) retryAfter(now clock.Time, cost units.Tokens) clock.Span {
	var level milliTokens
	for i := range a.views {
		level += a.views[i].estimate(now)
	}
	shortfall := toMilliTokens(cost) - level
	if a.limit.Rate <= 0 {
		return -1
	}
	return max(clock.Span(shortfall/milliTokens(a.limit.Rate)), 1)
}
