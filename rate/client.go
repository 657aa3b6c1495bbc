package rate

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// acquireTimeout is how long a client waits for a Grant before it uses another slot: many
	// round trips, but short compared with the time to the first token.
	acquireTimeout = 100 * clock.Millisecond
	// minGrantLife is the least remaining time of a grant that a request may be paid from, so
	// that the permit reaches the agent before it expires.
	minGrantLife = 200 * clock.Millisecond
	// recoveryWait is the span after a change of owner in which requests wait for tokens up to
	// their deadlines, because the bucket of the new owner may have started empty.
	recoveryWait = 10 * clock.Second
	// maxQueuedRequests bounds the queued requests of one customer.
	maxQueuedRequests = 1000
)

// RequestID identifies a request at one client.
type RequestID uint64

// Request asks a Client for the tokens of one request.
type Request struct {
	ID       RequestID
	Customer units.CustomerID
	// Cost is the upper estimate: prompt tokens + max_tokens.
	Cost units.Tokens
	// Deadline is the end of the wait for tokens, in the gateway's clock.
	Deadline clock.Time
}

// Decision is the result of a Request. The caller ends each reservation by Return, Finish or
// FinishUnknown; the client keeps its state until then.
type Decision struct {
	ID RequestID
	// Reservation is valid if the code is empty.
	Reservation Reservation
	// Code is empty if the tokens are reserved, otherwise the reason of the refusal.
	Code units.Code
	// RetryAfter is the value for the Retry-After header, as a span; -1 means that the request
	// exceeds the customer's burst or that there is no rate.
	RetryAfter clock.Span
}

// Reservation holds the tokens reserved for one request. It may be used for any number of
// attempts that certainly did not start, and for one that did.
type Reservation struct {
	// Expires is in the gateway's clock.
	Expires clock.Time
	Parts   []GrantPart
}

// Permit returns the permit for the agent whose clock was sampled.
func (r Reservation) Permit(s ClockSample) Permit {
	return Permit{Expires: s.AgentExpiry(r.Expires), Parts: r.Parts}
}

// Message is an Acquire, Grant, Settle or BucketTransfer.
type Message interface{ Frame() *wire.Frame }

// Envelope is a message to the owner at gateway To, which may be this gateway itself.
type Envelope struct {
	To      units.VMID
	Message Message
}

// Client reserves tokens for the requests of one gateway. After each call, the caller sends
// what TakeMessages returns and applies what TakeDecisions returns.
type Client struct {
	table     *SlotTable
	nextGrant GrantID
	accounts  map[units.CustomerID]*account
	// busy holds the accounts that are not idle.
	busy []*account
	// acquires holds the unanswered acquires of the last GrantTTL, abandoned ones included.
	// sent holds all acquires of that span in order of sending.
	acquires     map[GrantID]*pendingAcquire
	sent         queue[*pendingAcquire]
	reservations map[RequestID]*clientReservation
	reports      reports
	outbox       []Envelope
	decisions    []Decision
	faults       faults
}

// clientReservation is a Reservation with the grants that it is paid from.
type clientReservation struct {
	request  Request
	parts    []reservedPart
	started  bool
	usableAt clock.Time
	expires  clock.Time
}

// reservedPart is the tokens that a reservation takes from one grant.
type reservedPart struct {
	grant  *clientGrant
	tokens units.Tokens
}

// clientGrant is a grant that the client has received.
type clientGrant struct {
	id       GrantID
	account  *account
	owner    units.VMID
	slot     Slot
	epoch    units.Epoch
	free     units.Tokens
	usableAt clock.Time
	expires  clock.Time
	// parts counts the parts of unfinished reservations that are paid from the grant.
	parts int
	// reported holds the totals reported to the owner.
	reported GrantReport
}

// NewClient returns a client that numbers its grants from first. The number must be random, so
// that the ids of an earlier process of this gateway are not reused while owners may remember
// them.
func NewClient(first GrantID) *Client {
	return &Client{
		table:        &SlotTable{},
		nextGrant:    first,
		accounts:     make(map[units.CustomerID]*account),
		acquires:     make(map[GrantID]*pendingAcquire),
		reservations: make(map[RequestID]*clientReservation),
	}
}

// TakeMessages returns and removes the messages to send.
func (c *Client) TakeMessages() []Envelope {
	s := c.outbox
	c.outbox = nil
	return s
}

// TakeDecisions returns and removes the decisions since the last call.
func (c *Client) TakeDecisions() []Decision {
	v := c.decisions
	c.decisions = nil
	return v
}

// SetLimit sets the limit of a customer. Requests of customers without a limit are refused
// with RateUnavailable.
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
		c.abandonAcquires(a, i)
	}
	a.limit = l
	a.slots = SlotsOf(id, l)
	a.views = make([]bucketView, len(a.slots))
	for i := range a.views {
		a.reset(now, i)
	}
}

// UpdateTable replaces the table by a newer one; an older one is ignored. Grants of older
// epochs are dropped, because agents refuse them.
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
					a.recoverUntil = now.Add(recoveryWait)
				}
			}
		}
	}
	for _, a := range c.busy {
		a.grants = slices.DeleteFunc(a.grants, func(h *clientGrant) bool { return h.epoch < t.Rows[h.slot].Epoch })
		for i, s := range a.slots {
			if old.Rows[s].Epoch != t.Rows[s].Epoch {
				c.abandonAcquires(a, i)
			}
		}
	}
	c.Tick(now)
}

// Request queues a request for tokens. A Decision follows, at the latest at the deadline. It
// is an immediate refusal with RateUnavailable if the customer has no limit, and with
// RateExceeded if the cost exceeds the burst or the queue is full.
func (c *Client) Request(now clock.Time, r Request) {
	a := c.accounts[r.Customer]
	switch {
	case a == nil:
		c.refuse(r, units.RateUnavailable, clock.Second)
	case r.Cost > a.limit.Burst:
		c.refuse(r, units.RateExceeded, -1)
	case len(a.queue) >= maxQueuedRequests:
		c.refuse(r, units.RateExceeded, a.retryAfter(now, r.Cost))
	default:
		a.demand.add(now, r.Cost)
		a.queue = append(a.queue, queuedRequest{Request: r, refuseAfter: now.Add(MaxRefillWait)})
		c.markBusy(a)
		c.serveQueue(now, a)
	}
}

// HandleGrant processes an owner's answer to an Acquire.
func (c *Client) HandleGrant(now clock.Time, g Grant) {
	q := c.acquires[g.ID]
	if q == nil {
		return
	}
	delete(c.acquires, g.ID)
	a := q.account
	if !q.abandoned {
		a.inFlight -= q.tokens
		a.acquires = slices.DeleteFunc(a.acquires, func(o *pendingAcquire) bool { return o == q })
		a.views[q.slotIndex].applyGrant(now, q, g)
	}
	if g.Tokens > 0 {
		c.addGrant(now, q, g)
	}
	c.markBusy(a)
	c.serveQueue(now, a)
}

// addGrant keeps the tokens of a grant for queued requests. Grants of older epochs are
// dropped.
func (c *Client) addGrant(now clock.Time, q *pendingAcquire, g Grant) {
	h := &clientGrant{
		id: g.ID, account: q.account, owner: q.owner, slot: q.slot, epoch: q.epoch,
		free: g.Tokens, usableAt: now, expires: q.sent.Add(GrantTTL),
	}
	if g.Wait > 0 && !c.faults.ignoreRefillWait {
		h.usableAt = now.Add(padForDrift(g.Wait))
	}
	if h.epoch < c.table.Rows[h.slot].Epoch {
		return
	}
	q.account.grants = append(q.account.grants, h)
}

// Started reports that an agent started the request. It must only be called when a message of
// the agent proves the start; until then, the tokens must occupy burst at their owner. Like
// Return, Finish and FinishUnknown, it ignores requests without a reservation.
func (c *Client) Started(now clock.Time, id RequestID) {
	t := c.reservations[id]
	if t == nil || t.started {
		return
	}
	t.started = true
	for _, p := range t.parts {
		p.grant.reported.Started += p.tokens
		c.report(now, p.grant.startReportDelay(now), p.grant)
	}
}

// Return gives back the tokens of a request that certainly was not started by any agent. The
// reservation must not be used afterwards.
func (c *Client) Return(now clock.Time, id RequestID) {
	t := c.reservations[id]
	if t == nil || t.started {
		return
	}
	delete(c.reservations, id)
	for _, p := range t.parts {
		p.grant.reported.Returned += p.tokens
		c.finishPart(now, returnDelay, p)
	}
}

// Finish settles a started request that used the given number of tokens.
func (c *Client) Finish(now clock.Time, id RequestID, used units.Tokens) {
	t := c.reservations[id]
	if t == nil {
		return
	}
	c.Started(now, id)
	delete(c.reservations, id)
	unused := max(t.request.Cost-used, 0)
	for _, p := range t.parts {
		n := min(unused, p.tokens)
		unused -= n
		p.grant.reported.Unused += n
		c.finishPart(now, p.grant.finishReportDelay(now), p)
	}
}

// FinishUnknown ends a request that may have been started or not. Its tokens count as used.
func (c *Client) FinishUnknown(now clock.Time, id RequestID) {
	t := c.reservations[id]
	if t == nil {
		return
	}
	delete(c.reservations, id)
	for _, p := range t.parts {
		c.finishPart(now, p.grant.finishReportDelay(now), p)
	}
}

// finishPart ends one part of a reservation and reports on its grant.
func (c *Client) finishPart(now clock.Time, delay clock.Span, p reservedPart) {
	p.grant.parts--
	c.report(now, delay, p.grant)
}

// report queues a report of the grant's totals, to be sent after the delay at the latest.
func (c *Client) report(now clock.Time, delay clock.Span, h *clientGrant) {
	h.reported.Grant = h.id
	h.reported.Final = h.parts == 0 && h.free == 0
	c.reports.add(now, delay, h.owner, h.reported)
}

func (c *Client) refuse(r Request, code units.Code, wait clock.Span) {
	c.decisions = append(c.decisions, Decision{ID: r.ID, Code: code, RetryAfter: wait})
}

// Tick processes timeouts and delayed reports. The caller calls it at the time that NextTick
// returns.
func (c *Client) Tick(now clock.Time) {
	for _, a := range slices.Clone(c.busy) {
		c.serveQueue(now, a)
	}
	c.busy = slices.DeleteFunc(c.busy, func(a *account) bool {
		a.busy = !a.idle()
		return !a.busy
	})
	c.outbox = append(c.outbox, c.reports.due(now)...)
	for q := range c.sent.popWhile(func(q *pendingAcquire) bool { return now.Sub(q.sent) >= GrantTTL }) {
		delete(c.acquires, q.id)
	}
}

// Flush queues all pending reports for sending, before the process ends.
func (c *Client) Flush() {
	c.outbox = append(c.outbox, c.reports.due(never)...)
}

// never is later than any time of a clock.
const never clock.Time = 1 << 62

// NextTick returns the time of the next Tick; a time from 1<<62 on means that there is none.
func (c *Client) NextTick() clock.Time {
	nextDue := c.reports.nextDue()
	for _, a := range c.busy {
		nextDue = min(nextDue, a.nextDue())
	}
	return nextDue
}

func (c *Client) markBusy(a *account) {
	if !a.busy {
		a.busy = true
		c.busy = append(c.busy, a)
	}
}
