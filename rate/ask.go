package rate

import (
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
	// prefetchSpan is the demand that one question covers in advance, and
	// prefetchKeep how long unused tokens are kept.
	prefetchSpan = 300 * clock.Millisecond
	prefetchKeep = 500 * clock.Millisecond
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
	rate, burst milli
	level       milli
	at          clock.Time
	// known tells that the level was reported by the owner at that time.
	known bool
	// retry is when the owner may be asked again.
	retry   clock.Time
	failed  bool
	backoff clock.Span
}

func (v *view) reset(now clock.Time, l Limit, s Slot) {
	*v = view{at: now}
	v.rate, v.burst = l.half(s)
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
	reserve := v.rate * milli(MaxWait)
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
	if g.Tokens < q.tokens {
		v.retry = now.Add(freshSpan)
	}
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
	offers := [SlotsPerShard]milli{a.views[0].offer(now), a.views[1].offer(now)}
	if lack <= 0 || toMilli(first) > offers[0]+offers[1] {
		return
	}
	for i, n := range a.split(now, toMilli(lack), offers) {
		if n > 0 {
			c.send(now, a, i, n)
		}
	}
}

// split divides the lack between the slots: all to the fuller one if that covers
// it, else so that both end at the same level. A slot whose owner failed gets only
// what the other can't offer.
func (a *account) split(now clock.Time, lack milli, offers [SlotsPerShard]milli) [SlotsPerShard]units.Tokens {
	var out [SlotsPerShard]units.Tokens
	x, y := &a.views[0], &a.views[1]
	high := 0
	if x.failed && !y.failed || x.failed == y.failed && y.estimate(now) > x.estimate(now) {
		high = 1
	}
	low := 1 - high
	top := min(a.views[high].estimate(now), offers[high])
	part := lack
	if top < lack && !a.views[low].failed {
		part = min(lack, (lack+top-min(a.views[low].estimate(now), offers[low]))/2)
	}
	part = max(min(part, offers[high]), lack-offers[low])
	part = min(part, offers[high])
	out[high] = (part + milliPerToken - 1).tokens()
	rest := min(max(lack-toMilli(out[high]), 0), offers[low])
	out[low] = (rest + milliPerToken - 1).tokens()
	return out
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
	c.sends = append(c.sends, Send{To: row.Owner, Message: Acquire{ID: c.next, Slot: s, Epoch: row.Epoch, Customer: a.customer, Tokens: n}})
}

// prefetch returns what to ask for in advance: the demand of the near future, if
// it covers at least one more request and the bucket is more than half full, so
// that no other gateway lacks it.
func (a *account) prefetch(now clock.Time, side int, n units.Tokens) units.Tokens {
	v := &a.views[side]
	ahead := a.demand.tokens(now, prefetchSpan)
	if ahead < a.demand.mean() || v.estimate(now)-toMilli(n+ahead) < v.burst/2 {
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
