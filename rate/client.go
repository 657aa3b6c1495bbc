package rate

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// askTimeout is how long a client waits for a Grant before it tries the other
	// slot: many round trips, yet short against the time to the first token.
	askTimeout = 100 * clock.Millisecond
	// minLife is what must remain of a grant when a request is paid from it, so
	// that the permit reaches the agent in time.
	minLife = 200 * clock.Millisecond
	// recoverSpan is how long after a change of owner requests wait for tokens until
	// their deadlines, because the new owner's bucket may have started empty.
	recoverSpan = 10 * clock.Second
	// waitingMax bounds the requests of one customer that wait for tokens.
	waitingMax = 1000
)

// RequestID names a request at one client.
type RequestID uint64

// Request asks for the tokens to start a request.
type Request struct {
	ID       RequestID
	Customer units.CustomerID
	// Cost is the upper estimate: prompt tokens + max_tokens.
	Cost units.Tokens
	// Deadline is the end of the wait for tokens.
	Deadline clock.Time
}

// Decision ends a Request. A process ends each Ticket by Return, Finish or Lost;
// until then the client remembers it.
type Decision struct {
	ID RequestID
	// Reservation is valid when the code is empty.
	Reservation Reservation
	Code        units.Code
	// RetryAfter is the value of Retry-After; -1: the request exceeds the burst.
	RetryAfter clock.Span
}

// Reservation holds the tokens for one request. It is valid for any number of attempts
// that certainly did not start, and for one that did.
type Reservation struct {
	// Expires is in the gateway's clock.
	Expires clock.Time
	Parts   []GrantPart
}

// Permit returns the permit for an agent whose clock is known by the stamp.
func (t Reservation) Permit(s ClockSample) Permit {
	return Permit{Expires: s.AgentExpiry(t.Expires), Parts: t.Parts}
}

// Message is an Acquire, Grant, Settle or Level.
type Message interface{ Frame() *wire.Frame }

// Envelope is a message to the owner at a gateway, which may be this gateway itself.
type Envelope struct {
	To      units.VMID
	Message Message
}

// Client obtains tokens for the requests of one gateway. After each call, the
// process sends what Sends returns and carries out what Verdicts returns.
type Client struct {
	table    *SlotTable
	next     GrantID
	accounts map[units.CustomerID]*account
	// busy accounts have requests, grants or questions.
	busy     []*account
	asks     map[GrantID]*ask
	sent     queue[*ask]
	tickets  map[RequestID]*ticket
	reports  reports
	sends    []Envelope
	verdicts []Decision
	faults   faults
}

// ticket is a Ticket with the grants it was paid from.
type ticket struct {
	request Request
	parts   []part
	started bool
	ready   clock.Time
	expires clock.Time
}

type part struct {
	from   *holding
	tokens units.Tokens
}

// holding is a grant at the client.
type holding struct {
	id      GrantID
	account *account
	owner   units.VMID
	slot    Slot
	epoch   units.Epoch
	free    units.Tokens
	ready   clock.Time
	expires clock.Time
	// parts counts the tickets that are not finished.
	parts int
	// told is the report on this grant.
	told GrantReport
}

// NewClient returns a client that numbers its grants from first. The number must
// be random, so that ids of a former process of this gateway are not used again
// while owners may remember them.
func NewClient(first GrantID) *Client {
	return &Client{
		table:    &SlotTable{},
		next:     first,
		accounts: make(map[units.CustomerID]*account),
		asks:     make(map[GrantID]*ask),
		tickets:  make(map[RequestID]*ticket),
	}
}

// TakeMessages returns the messages to send since the last call.
func (c *Client) TakeMessages() []Envelope {
	s := c.sends
	c.sends = nil
	return s
}

// TakeDecisions returns the requests that were decided since the last call.
func (c *Client) TakeDecisions() []Decision {
	v := c.verdicts
	c.verdicts = nil
	return v
}

// SetLimit sets the limit of a customer. A request of a customer without a limit
// is refused.
func (c *Client) SetLimit(now clock.Time, id units.CustomerID, l Limit) {
	a := c.accounts[id]
	if a == nil {
		a = newAccount(id)
		c.accounts[id] = a
	}
	if a.limit == l {
		return
	}
	for i := range a.views {
		c.abandon(a, i)
	}
	a.limit = l
	a.slots = SlotsOf(id, l)
	a.views = make([]view, len(a.slots))
	for i := range a.views {
		a.reset(now, i)
	}
}

// UpdateTable takes over a newer table. Grants of older epochs are dropped, because
// agents refuse them.
func (c *Client) UpdateTable(now clock.Time, t *SlotTable) {
	if t.Version <= c.table.Version {
		return
	}
	old := c.table
	c.table = t
	for _, a := range c.accounts {
		for i, s := range a.slots {
			if old.Rows[s].Epoch != t.Rows[s].Epoch {
				a.reset(now, i)
				if old.Version > 0 {
					a.recovered = now.Add(recoverSpan)
				}
			}
		}
	}
	for _, a := range c.busy {
		a.holdings = slices.DeleteFunc(a.holdings, func(h *holding) bool { return h.epoch < t.Rows[h.slot].Epoch })
		for i, s := range a.slots {
			if old.Rows[s].Epoch != t.Rows[s].Epoch {
				c.abandon(a, i)
			}
		}
	}
	c.Tick(now)
}

// Request starts to obtain tokens. A Verdict follows, at the latest at the
// deadline.
func (c *Client) Request(now clock.Time, r Request) {
	a := c.accounts[r.Customer]
	switch {
	case a == nil:
		c.refuse(r, units.RateUnavailable, clock.Second)
	case r.Cost > a.limit.Burst:
		c.refuse(r, units.RateExceeded, -1)
	case len(a.queue) >= waitingMax:
		c.refuse(r, units.RateExceeded, a.retryAfter(now, r.Cost))
	default:
		a.demand.add(now, r.Cost)
		a.queue = append(a.queue, waiting{Request: r, patience: now.Add(MaxRefillWait)})
		c.engage(a)
		c.pump(now, a)
	}
}

// HandleGrant takes an owner's answer.
func (c *Client) HandleGrant(now clock.Time, g Grant) {
	q := c.asks[g.ID]
	if q == nil {
		return
	}
	delete(c.asks, g.ID)
	a := q.account
	if !q.abandoned {
		a.asked -= q.tokens
		a.asks = slices.DeleteFunc(a.asks, func(o *ask) bool { return o == q })
		a.views[q.side].answer(now, q, g)
	}
	if g.Tokens > 0 {
		c.hold(now, q, g)
	}
	c.engage(a)
	c.pump(now, a)
}

// hold keeps a grant for the waiting requests.
func (c *Client) hold(now clock.Time, q *ask, g Grant) {
	h := &holding{id: g.ID, account: q.account, owner: q.owner, slot: q.slot, epoch: q.epoch, free: g.Tokens, ready: now, expires: q.sent.Add(GrantTTL)}
	if g.Wait > 0 && !c.faults.ignoreWait {
		h.ready = now.Add(driftUp(g.Wait))
	}
	if h.epoch < c.table.Rows[h.slot].Epoch {
		return
	}
	q.account.holdings = append(q.account.holdings, h)
}

// Started reports that an agent started the request. It must be called only when
// an answer of the agent proves it; before that, the tokens must keep occupying
// burst at their owner.
func (c *Client) Started(now clock.Time, id RequestID) {
	t := c.tickets[id]
	if t == nil || t.started {
		return
	}
	t.started = true
	for _, p := range t.parts {
		p.from.told.Started += p.tokens
		c.report(now, p.from.startDelay(now), p.from)
	}
}

// Return gives back the tokens of a request that was certainly not started at any
// agent. The ticket must not be used any more.
func (c *Client) Return(now clock.Time, id RequestID) {
	t := c.tickets[id]
	if t == nil || t.started {
		return
	}
	delete(c.tickets, id)
	for _, p := range t.parts {
		p.from.told.Returned += p.tokens
		c.finishPart(now, returnDelay, p)
	}
}

// Finish settles a started request that used the given tokens of its cost.
func (c *Client) Finish(now clock.Time, id RequestID, used units.Tokens) {
	t := c.tickets[id]
	if t == nil {
		return
	}
	c.Started(now, id)
	delete(c.tickets, id)
	unused := max(t.request.Cost-used, 0)
	for _, p := range t.parts {
		n := min(unused, p.tokens)
		unused -= n
		p.from.told.Unused += n
		c.finishPart(now, p.from.finishDelay(now), p)
	}
}

// FinishUnknown ends a request of which it is unknown whether it started. Its tokens count
// as spent.
func (c *Client) FinishUnknown(now clock.Time, id RequestID) {
	t := c.tickets[id]
	if t == nil {
		return
	}
	delete(c.tickets, id)
	for _, p := range t.parts {
		c.finishPart(now, p.from.finishDelay(now), p)
	}
}

func (c *Client) finishPart(now clock.Time, delay clock.Span, p part) {
	p.from.parts--
	c.report(now, delay, p.from)
}

func (c *Client) report(now clock.Time, delay clock.Span, h *holding) {
	h.told.Grant = h.id
	h.told.Final = h.parts == 0 && h.free == 0
	c.reports.add(now, delay, h.owner, h.told)
}

func (c *Client) refuse(r Request, code units.Code, wait clock.Span) {
	c.verdicts = append(c.verdicts, Decision{ID: r.ID, Code: code, RetryAfter: wait})
}

// Tick does what is due. The process calls it at the time that Next returns.
func (c *Client) Tick(now clock.Time) {
	for _, a := range slices.Clone(c.busy) {
		c.pump(now, a)
	}
	c.busy = slices.DeleteFunc(c.busy, func(a *account) bool {
		a.busy = !a.idle()
		return !a.busy
	})
	c.sends = append(c.sends, c.reports.due(now)...)
	for q := range c.sent.until(func(q *ask) bool { return now.Sub(q.sent) >= GrantTTL }) {
		delete(c.asks, q.id)
	}
}

// Flush sends all reports at once, before the process ends.
func (c *Client) Flush() {
	c.sends = append(c.sends, c.reports.due(never)...)
}

const never clock.Time = 1 << 62

// NextTick returns the time of the next Tick.
func (c *Client) NextTick() clock.Time {
	next := c.reports.next()
	for _, a := range c.busy {
		next = min(next, a.next())
	}
	return next
}

func (c *Client) engage(a *account) {
	if !a.busy {
		a.busy = true
		c.busy = append(c.busy, a)
	}
}
