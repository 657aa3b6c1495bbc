package rate

import (
	"cmp"
	"math"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// freshSpan is how long an estimate of a level keeps a client from asking.
	// Settlements of other gateways may have raised the level since.
	freshSpan = 50 * clock.Millisecond
	// failBackoff is the wait before an owner that failed is asked again; it
	// doubles up to failBackoffMax.
	failBackoff    = 50 * clock.Millisecond
	failBackoffMax = 400 * clock.Millisecond
	// shortBackoffMax bounds the wait before a slot that lacks tokens is asked again,
	// so that a customer above its rate costs few messages.
	shortBackoffMax = 100 * clock.Millisecond
	// prefetchSpan is the demand that one question covers in advance, and
	// prefetchKeep how long unused tokens are kept.
	prefetchSpan = 500 * clock.Millisecond
	prefetchKeep = 700 * clock.Millisecond
	demandSpan   = 2 * clock.Second
)

// ask is a question to an owner.
type ask struct {
	id      GrantID
	account *account
	side    int
	owner   units.VMID
	slot    Slot
	epoch   units.Epoch
	tokens  units.Tokens
	sent    clock.Time
	// abandoned asks are no longer waited for.
	abandoned bool
}

// view is what a client knows of one slot's bucket of a customer.
type view struct {
	Share
	level milli
	at    clock.Time
	// known tells that the level was reported by the owner at that time.
	known bool
	// retry is when the owner may be asked again.
	retry   clock.Time
	failed  bool
	backoff clock.Span
	// short is the wait after the last answers that granted less than asked.
	short clock.Span
}

// reset forgets what is known of a slot.
func (a *account) reset(now clock.Time, side int) {
	v := &a.views[side]
	*v = view{at: now, Share: a.limit.part(side, len(a.slots))}
	v.level = v.burst
}

// estimate returns the level when only refills happened since the last report.
func (v *view) estimate(now clock.Time) milli {
	elapsed := milli(now.Sub(v.at))
	if v.rate > 0 && elapsed > (v.burst-v.level)/v.rate {
		return v.burst
	}
	return v.level + elapsed*v.rate
}

// offer returns what the owner may grant.
func (v *view) offer(now clock.Time) milli {
	if now.Before(v.retry) {
		return 0
	}
	reserve := v.rate * milli(MaxRefillWait)
	if !v.known || now.Sub(v.at) > freshSpan {
		return v.burst + reserve
	}
	return max(v.estimate(now)+reserve, 0)
}

// wake returns when the offer rises.
func (v *view) wake() clock.Time { return max(v.retry, v.at.Add(freshSpan+1)) }

// answer takes over what a Grant tells.
func (v *view) answer(now clock.Time, q *ask, g Grant) {
	if g.Code != "" && g.Code != units.RateExceeded {
		v.fail(now)
		return
	}
	v.failed = false
	v.backoff = 0
	v.known = true
	v.level = toMilli(g.Level)
	v.at = now
	v.retry = 0
	if g.Tokens == q.tokens {
		v.short = 0
		return
	}
	v.short = min(max(2*v.short, freshSpan), shortBackoffMax)
	v.retry = now.Add(v.short)
}

// fail notes that the owner did not answer or is not active.
func (v *view) fail(now clock.Time) {
	v.failed = true
	v.backoff = min(max(v.backoff*2, failBackoff), failBackoffMax)
	v.retry = now.Add(v.backoff)
}

// ask asks for what the waiting requests lack, unless the first of them could not
// be served anyway.
func (c *Client) ask(now clock.Time, a *account) {
	lack := -a.asked
	for _, h := range a.holdings {
		if h.alive(now) {
			lack -= h.free
		}
	}
	first := lack + a.queue[0].Cost
	for _, r := range a.queue {
		lack += r.Cost
	}
	if lack <= 0 {
		return
	}
	if side, ok := a.fullest(now, c.rotation(), toMilli(lack)); ok {
		c.send(now, a, side, lack)
		return
	}
	offers := a.offers(now, c.rotation())
	var total milli
	for _, o := range offers {
		total += o.most
	}
	if toMilli(first) > total {
		return
	}
	split(offers, toMilli(lack))
	for _, o := range offers {
		if n := (o.take + milliPerToken - 1).tokens(); n > 0 {
			c.send(now, a, o.side, n)
		}
	}
}

// rotation spreads the choice among equal slots. Grants are numbered from a random
// number, which may exceed the range of int.
func (c *Client) rotation() int { return int(c.next % math.MaxInt32) }

// offer is what one slot may grant.
type offer struct {
	side  int
	most  milli
	level milli
	// failed owners come last.
	failed bool
	take   milli
}

// fullest returns the fullest slot if its bucket covers the lack, the usual case,
// without the cost of ordering all slots.
func (a *account) fullest(now clock.Time, rotate int, lack milli) (side int, ok bool) {
	level := lack - 1
	for i := range a.views {
		n := (i + rotate) % len(a.views)
		v := &a.views[n]
		if e := v.estimate(now); !v.failed && e > level && v.offer(now) >= lack {
			side, level, ok = n, e, true
		}
	}
	return side, ok
}

// offers returns the offers, fullest first. Equal ones are rotated, so that gateways
// do not all start with the same slot.
func (a *account) offers(now clock.Time, rotate int) []offer {
	n := len(a.views)
	out := make([]offer, 0, n)
	for i := range n {
		side := (i + rotate) % n
		v := &a.views[side]
		o := offer{side: side, most: v.offer(now), failed: v.failed}
		o.level = min(v.estimate(now), o.most)
		out = append(out, o)
	}
	slices.SortStableFunc(out, func(x, y offer) int {
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

// split divides the lack: all to the fullest slot if that covers it, else so that
// the slots asked end at the same level. A slot whose owner failed gets only what
// the others can't offer.
func split(offers []offer, lack milli) {
	var sum, even milli
	for i, o := range offers {
		if o.failed {
			break
		}
		sum += o.level
		even = (sum - lack) / milli(i+1)
		if i == 0 && o.level >= lack || i+1 < len(offers) && even >= offers[i+1].level {
			break
		}
	}
	rest := lack
	for i := range offers {
		o := &offers[i]
		if !o.failed {
			o.take = min(max(o.level-even, 0), o.most, rest)
			rest -= o.take
		}
	}
	for i := range offers {
		o := &offers[i]
		more := min(o.most-o.take, rest)
		o.take += more
		rest -= more
	}
}

func (c *Client) send(now clock.Time, a *account, side int, n units.Tokens) {
	s := a.slots[side]
	row := c.table.Rows[s]
	if row.Owner == "" {
		a.views[side].fail(now)
		return
	}
	n += a.prefetch(now, side, n)
	c.next++
	q := &ask{id: c.next, account: a, side: side, owner: row.Owner, slot: s, epoch: row.Epoch, tokens: n, sent: now}
	c.asks[q.id] = q
	c.sent.push(q)
	a.asks = append(a.asks, q)
	a.asked += n
	// What was asked for lowers the estimate until the answer comes.
	v := &a.views[side]
	v.level = v.estimate(now) - toMilli(n)
	v.at = now
	c.sends = append(c.sends, Envelope{To: row.Owner, Message: Acquire{ID: c.next, Slot: s, Epoch: row.Epoch, Customer: a.customer, Tokens: n}})
}

// prefetch returns what to ask for in advance: the demand of the near future, if
// it covers at least one more request. It leaves the bucket half full, so that no
// other gateway lacks tokens.
func (a *account) prefetch(now clock.Time, side int, n units.Tokens) units.Tokens {
	v := &a.views[side]
	spare := (v.estimate(now) - v.burst/2).tokens() - n
	ahead := min(a.demand.tokens(now, prefetchSpan), spare)
	if ahead < max(a.demand.mean(), 1) {
		return 0
	}
	return ahead
}

// demand is a decaying average of the tokens requested.
type demand struct {
	sum   float64
	count float64
	at    clock.Time
}

func (d *demand) decay(now clock.Time) {
	f := 1 - float64(now.Sub(d.at))/float64(demandSpan)
	d.sum *= max(f, 0)
	d.count *= max(f, 0)
	d.at = now
}

func (d *demand) add(now clock.Time, n units.Tokens) {
	d.decay(now)
	d.sum += float64(n)
	d.count++
}

// tokens returns the demand to expect in the span.
func (d *demand) tokens(now clock.Time, s clock.Span) units.Tokens {
	d.decay(now)
	return units.Tokens(d.sum * float64(s) / float64(demandSpan))
}

// mean returns the mean cost of a request.
func (d *demand) mean() units.Tokens {
	if d.count == 0 {
		return 0
	}
	return units.Tokens(d.sum / d.count)
}
