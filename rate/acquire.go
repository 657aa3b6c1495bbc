package rate

import (
	"cmp"
	"math"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// estimateMaxAge is the age up to which an estimated level that is too low keeps a client
	// from sending an acquire. Later, settlements of other gateways may have raised the level.
	estimateMaxAge = 50 * clock.Millisecond
	// failBackoff is the wait before the next acquire to an owner that failed; it doubles with
	// each failure up to failBackoffMax.
	failBackoff    = 50 * clock.Millisecond
	failBackoffMax = 400 * clock.Millisecond
	// shortBackoffMax bounds the wait before the next acquire to a slot that granted less than
	// requested. The wait limits the messages of a customer that exceeds its rate.
	shortBackoffMax = 100 * clock.Millisecond
	// prefetchWindow is the span of expected demand that one acquire covers in advance, and
	// prefetchRetention how long unused tokens are kept before they are returned.
	prefetchWindow    = 500 * clock.Millisecond
	prefetchRetention = 700 * clock.Millisecond
	demandWindow      = 2 * clock.Second
)

// pendingAcquire is an Acquire for which no Grant has arrived.
type pendingAcquire struct {
	id      GrantID
	account *account
	// slotIndex is the index in account.slots.
	slotIndex int
	owner     units.VMID
	slot      Slot
	epoch     units.Epoch
	tokens    units.Tokens
	sent      clock.Time
	// abandoned acquires have timed out or are obsolete; a late grant is still used.
	abandoned bool
}

// bucketView is a client's estimate of the bucket of one slot of a customer.
type bucketView struct {
	Share
	level   milliTokens
	updated clock.Time
	// confirmed means that the owner reported the level, at the time updated.
	confirmed bool
	// retryAt is the earliest time of the next acquire.
	retryAt clock.Time
	// failed is set from a failure of the owner until its next grant; backoff is the wait after
	// the failure.
	failed  bool
	backoff clock.Span
	// shortBackoff is the wait after grants of less than requested.
	shortBackoff clock.Span
}

// reset starts with the estimate of a full bucket, after a change of owner or limit.
func (a *account) reset(now clock.Time, slotIndex int) {
	v := &a.views[slotIndex]
	*v = bucketView{updated: now, Share: a.limit.slotShare(slotIndex, len(a.slots))}
	v.level = v.burst
}

// estimate returns the level if there were only refills since the last update.
func (v *bucketView) estimate(now clock.Time) milliTokens {
	elapsed := milliTokens(now.Sub(v.updated))
	if v.rate > 0 && elapsed > (v.burst-v.level)/v.rate {
		return v.burst
	}
	return v.level + elapsed*v.rate
}

// available returns the largest amount worth requesting from the owner now. Without a recent
// report of the level, the bucket may be full.
func (v *bucketView) available(now clock.Time) milliTokens {
	if now.Before(v.retryAt) {
		return 0
	}
	refill := v.rate * milliTokens(MaxRefillWait)
	if !v.confirmed || now.Sub(v.updated) > estimateMaxAge {
		return v.burst + refill
	}
	return max(v.estimate(now)+refill, 0)
}

// nextIncrease returns the time at which available increases by more than refills.
func (v *bucketView) nextIncrease() clock.Time {
	return max(v.retryAt, v.updated.Add(estimateMaxAge+1))
}

// applyGrant updates the view with the owner's Grant for q.
func (v *bucketView) applyGrant(now clock.Time, q *pendingAcquire, g Grant) {
	if g.Code != "" && g.Code != units.RateExceeded {
		v.recordFailure(now)
		return
	}
	v.failed = false
	v.backoff = 0
	v.confirmed = true
	v.level = toMilliTokens(g.Level)
	v.updated = now
	v.retryAt = 0
	if g.Tokens == q.tokens {
		v.shortBackoff = 0
		return
	}
	v.shortBackoff = min(max(2*v.shortBackoff, estimateMaxAge), shortBackoffMax)
	v.retryAt = now.Add(v.shortBackoff)
}

// recordFailure starts a backoff: the owner did not answer in time or is not active.
func (v *bucketView) recordFailure(now clock.Time) {
	v.failed = true
	v.backoff = min(max(v.backoff*2, failBackoff), failBackoffMax)
	v.retryAt = now.Add(v.backoff)
}

// acquire requests the tokens that queued requests lack from one slot or several. It sends
// nothing if the slots can't even cover the first request.
func (c *Client) acquire(now clock.Time, a *account) {
	shortfall := -a.inFlight
	for _, h := range a.grants {
		if h.usable(now) {
			shortfall -= h.free
		}
	}
	first := shortfall + a.queue[0].Cost
	for _, r := range a.queue {
		shortfall += r.Cost
	}
	if shortfall <= 0 {
		return
	}
	if slotIndex, ok := a.fullestSlot(now, c.rotation(), toMilliTokens(shortfall)); ok {
		c.sendAcquire(now, a, slotIndex, shortfall)
		return
	}
	candidates := a.candidates(now, c.rotation())
	var total milliTokens
	for _, cd := range candidates {
		total += cd.available
	}
	if toMilliTokens(first) > total {
		return
	}
	split(candidates, toMilliTokens(shortfall))
	for _, cd := range candidates {
		if n := (cd.allocated + milliPerToken - 1).tokens(); n > 0 {
			c.sendAcquire(now, a, cd.slotIndex, n)
		}
	}
}

// rotation is an offset that distributes the choice among equal slots. Grant ids start at a
// random number, which may exceed the range of int.
func (c *Client) rotation() int { return int(c.nextGrant % math.MaxInt32) }

// candidate is a slot that may receive an acquire.
type candidate struct {
	slotIndex int
	available milliTokens
	level     milliTokens
	// failed is set while the owner is not reachable; such slots sort last.
	failed    bool
	allocated milliTokens
}

// fullestSlot returns the slot with the highest estimate if that covers the shortfall and its
// owner has not failed. This is the usual case and avoids sorting all slots.
func (a *account) fullestSlot(now clock.Time, rotate int, shortfall milliTokens) (slotIndex int, ok bool) {
	level := shortfall - 1
	for i := range a.views {
		n := (i + rotate) % len(a.views)
		v := &a.views[n]
		if e := v.estimate(now); !v.failed && e > level && v.available(now) >= shortfall {
			slotIndex, level, ok = n, e, true
		}
	}
	return slotIndex, ok
}

// candidates returns all slots, those with the highest estimate first. Equal slots are
// rotated, so that gateways do not all start with the same slot.
func (a *account) candidates(now clock.Time, rotate int) []candidate {
	n := len(a.views)
	out := make([]candidate, 0, n)
	for i := range n {
		slotIndex := (i + rotate) % n
		v := &a.views[slotIndex]
		cd := candidate{slotIndex: slotIndex, available: v.available(now), failed: v.failed}
		cd.level = min(v.estimate(now), cd.available)
		out = append(out, cd)
	}
	slices.SortStableFunc(out, func(x, y candidate) int {
		if x.failed != y.failed {
			if x.failed {
				return 1
			}
			return -1
		}
		return cmp.Compare(y.level, x.level)
	})
	return out
}

// split allocates the shortfall to the candidates, which are sorted by level: all to the first
// if its level covers it, otherwise so that the levels of the slots used become equal. A slot
// with a failed owner is allocated only what the others can't cover.
func split(candidates []candidate, shortfall milliTokens) {
	var sum, targetLevel milliTokens
	for i, cd := range candidates {
		if cd.failed {
			break
		}
		sum += cd.level
		targetLevel = (sum - shortfall) / milliTokens(i+1)
		if i == 0 && cd.level >= shortfall || i+1 < len(candidates) && targetLevel >= candidates[i+1].level {
			break
		}
	}
	remaining := shortfall
	for i := range candidates {
		cd := &candidates[i]
		if !cd.failed {
			cd.allocated = min(max(cd.level-targetLevel, 0), cd.available, remaining)
			remaining -= cd.allocated
		}
	}
	for i := range candidates {
		cd := &candidates[i]
		extra := min(cd.available-cd.allocated, remaining)
		cd.allocated += extra
		remaining -= extra
	}
}

// sendAcquire requests n tokens, and the prefetch, from one slot.
func (c *Client) sendAcquire(now clock.Time, a *account, slotIndex int, n units.Tokens) {
	s := a.slots[slotIndex]
	row := c.table.Rows[s]
	if row.Owner == "" {
		a.views[slotIndex].recordFailure(now)
		return
	}
	n += a.prefetch(now, slotIndex, n)
	c.nextGrant++
	q := &pendingAcquire{
		id: c.nextGrant, account: a, slotIndex: slotIndex, owner: row.Owner, slot: s,
		epoch: row.Epoch, tokens: n, sent: now,
	}
	c.acquires[q.id] = q
	c.sent.push(q)
	a.acquires = append(a.acquires, q)
	a.inFlight += n
	// The estimate excludes the requested tokens until the grant arrives.
	v := &a.views[slotIndex]
	v.level = v.estimate(now) - toMilliTokens(n)
	v.updated = now
	c.outbox = append(c.outbox, Envelope{To: row.Owner, Message: Acquire{
		ID: c.nextGrant, Slot: s, Epoch: row.Epoch, Customer: a.customer, Tokens: n,
	}})
}

// prefetch returns the tokens to request in advance: the expected demand of prefetchWindow, if
// that covers at least one more request. It leaves the bucket half full, so that other
// gateways do not run short.
func (a *account) prefetch(now clock.Time, slotIndex int, n units.Tokens) units.Tokens {
	v := &a.views[slotIndex]
	spare := (v.estimate(now) - v.burst/2).tokens() - n
	ahead := min(a.demand.tokens(now, prefetchWindow), spare)
	if ahead < max(a.demand.mean(), 1) {
		return 0
	}
	return ahead
}

// demand is a linearly decaying sum of the costs of recent requests, and of their count.
type demand struct {
	sum     float64
	count   float64
	updated clock.Time
}

func (d *demand) decay(now clock.Time) {
	f := 1 - float64(now.Sub(d.updated))/float64(demandWindow)
	d.sum *= max(f, 0)
	d.count *= max(f, 0)
	d.updated = now
}

// add counts a request that costs n tokens.
func (d *demand) add(now clock.Time, n units.Tokens) {
	d.decay(now)
	d.sum += float64(n)
	d.count++
}

// tokens returns the expected demand within the span.
func (d *demand) tokens(now clock.Time, s clock.Span) units.Tokens {
	d.decay(now)
	return units.Tokens(d.sum * float64(s) / float64(demandWindow))
}

// mean returns the mean cost of a request; 0 without recent requests.
func (d *demand) mean() units.Tokens {
	if d.count == 0 {
		return 0
	}
	return units.Tokens(d.sum / d.count)
}
