package rate

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// waiting is a request without tokens.
type waiting struct {
	Request
	// patience is the earliest time of a refusal for lack of tokens: settlements
	// and returns of other gateways may be on their way.
	patience clock.Time
}

// account is what a client knows and does for one customer.
type account struct {
	customer units.CustomerID
	slots    []Slot
	limit    Limit
	views    []view
	demand   demand
	busy     bool
	// queue holds requests without tokens, in order of arrival.
	queue    []waiting
	holdings []*holding
	// asks that may still be answered in time, and their tokens.
	asks  []*ask
	asked units.Tokens
	// paid tickets wait until their tokens are refilled.
	paid []*ticket
	// recovered is until when requests wait for a new owner's bucket.
	recovered clock.Time
	// pumped is the time of the last pump.
	pumped clock.Time
}

func newAccount(id units.CustomerID) *account {
	return &account{customer: id}
}

func (a *account) idle() bool {
	return len(a.queue) == 0 && len(a.holdings) == 0 && len(a.asks) == 0 && len(a.paid) == 0
}

// next returns when pump has something to do.
func (a *account) next() clock.Time {
	next := never
	for _, t := range a.paid {
		next = min(next, t.ready)
	}
	for _, q := range a.asks {
		next = min(next, q.sent.Add(askTimeout))
	}
	for _, h := range a.holdings {
		if len(a.queue) > 0 {
			next = min(next, h.expires.Add(1-minLife))
		} else {
			next = min(next, h.returnAt())
		}
	}
	for _, r := range a.queue {
		next = min(next, r.Deadline)
		if p := max(r.patience, a.recovered); p.After(a.pumped) {
			next = min(next, p)
		}
	}
	if len(a.queue) > 0 && len(a.asks) == 0 {
		for i := range a.views {
			// An offer that has risen already was not enough alone.
			if w := a.views[i].wake(); w.After(a.pumped) {
				next = min(next, w)
			}
		}
	}
	return max(next, a.pumped+1)
}

// pump serves waiting requests, asks for what they lack and refuses those that
// can't be served.
func (c *Client) pump(now clock.Time, a *account) {
	a.pumped = now
	c.timeOut(now, a)
	c.release(now, a)
	for len(a.queue) > 0 {
		if c.serve(now, a) {
			continue
		}
		c.ask(now, a)
		r := a.queue[0]
		if len(a.asks) > 0 || a.down() || now.Before(max(r.patience, a.recovered)) {
			break
		}
		a.queue = slices.Delete(a.queue, 0, 1)
		c.refuse(r.Request, units.RateExceeded, a.retryAfter(now, r.Cost))
	}
	c.giveBack(now, a)
}

// serve pays the first request from the grants at hand.
func (c *Client) serve(now clock.Time, a *account) bool {
	r := a.queue[0]
	var free units.Tokens
	for _, h := range a.holdings {
		if h.alive(now) {
			free += h.free
		}
	}
	if free < r.Cost {
		return false
	}
	a.queue = slices.Delete(a.queue, 0, 1)
	t := &ticket{request: r.Request, ready: now, expires: now.Add(GrantTTL)}
	lack := r.Cost
	for _, h := range a.holdings {
		if lack == 0 {
			break
		}
		if h.alive(now) && h.free > 0 {
			lack -= t.pay(h, min(lack, h.free))
		}
	}
	c.tickets[r.ID] = t
	a.paid = append(a.paid, t)
	c.release(now, a)
	return true
}

func (t *ticket) pay(h *holding, n units.Tokens) units.Tokens {
	h.free -= n
	h.parts++
	t.parts = append(t.parts, part{from: h, tokens: n})
	t.ready = max(t.ready, h.ready)
	t.expires = min(t.expires, h.expires)
	return n
}

// release hands out paid tickets whose tokens are refilled.
func (c *Client) release(now clock.Time, a *account) {
	a.paid = slices.DeleteFunc(a.paid, func(t *ticket) bool {
		if now.Before(t.ready) {
			return false
		}
		v := Decision{ID: t.request.ID, Reservation: Reservation{Expires: t.expires}}
		for _, p := range t.parts {
			v.Reservation.Parts = append(v.Reservation.Parts, GrantPart{Slot: p.from.slot, Epoch: p.from.epoch, Grant: p.from.id, Tokens: p.tokens})
		}
		c.verdicts = append(c.verdicts, v)
		if c.faults.startAtIssue {
			c.Started(now, t.request.ID)
		}
		return true
	})
}

// timeOut ends asks without an answer and requests past their deadlines.
func (c *Client) timeOut(now clock.Time, a *account) {
	for _, q := range slices.Clone(a.asks) {
		if now.Sub(q.sent) >= askTimeout {
			a.views[q.side].fail(now)
			c.abandon(a, q.side)
		}
	}
	a.queue = slices.DeleteFunc(a.queue, func(r waiting) bool {
		if now.Before(r.Deadline) {
			return false
		}
		code := units.RateExceeded
		if !slices.ContainsFunc(a.views, func(v view) bool { return !v.failed }) {
			code = units.RateUnavailable
		}
		c.refuse(r.Request, code, a.retryAfter(now, r.Cost))
		return true
	})
}

// abandon stops waiting for answers of one slot. A late answer is still used.
func (c *Client) abandon(a *account, side int) {
	a.asks = slices.DeleteFunc(a.asks, func(q *ask) bool {
		if q.side != side {
			return false
		}
		q.abandoned = true
		a.asked -= q.tokens
		return true
	})
}

// giveBack returns grants that no request needs.
func (c *Client) giveBack(now clock.Time, a *account) {
	a.holdings = slices.DeleteFunc(a.holdings, func(h *holding) bool {
		if h.free == 0 {
			return true
		}
		if len(a.queue) > 0 && h.alive(now) || now.Before(h.returnAt()) {
			return false
		}
		h.told.Returned += h.free
		h.free = 0
		c.report(now, returnDelay, h)
		return true
	})
}

// alive tells whether a request that is paid from the grant can start in time.
func (h *holding) alive(now clock.Time) bool {
	return h.expires.Sub(max(now, h.ready)) >= minLife
}

// returnAt is when unused tokens go back.
func (h *holding) returnAt() clock.Time { return h.expires.Add(prefetchKeep - GrantTTL) }

// down tells whether a slot has no reachable owner.
func (a *account) down() bool {
	return slices.ContainsFunc(a.views, func(v view) bool { return v.failed })
}

// retryAfter returns the span until the cost would be in the buckets.
func (a *account) retryAfter(now clock.Time, cost units.Tokens) clock.Span {
	var level milli
	for i := range a.views {
		level += a.views[i].estimate(now)
	}
	lack := toMilli(cost) - level
	if a.limit.Rate <= 0 {
		return -1
	}
	return max(clock.Span(lack/milli(a.limit.Rate)), 1)
}
