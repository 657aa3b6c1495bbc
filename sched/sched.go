// Package sched decides which upstream a request goes to, which requests wait and in
// which order, and which are refused. It performs no I/O and is not safe for
// concurrent use; the caller passes the time.
//
// It answers these load patterns: bursts beyond the capacity of the upstreams that
// hold a model, demand for models that nothing holds yet, upstreams that turn slow or
// fail part of their requests, and upstreams that return cold.
package sched

import (
	"cmp"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

// Want is a request that looks for an upstream.
type Want struct {
	Service        *fleet.Service
	Model          units.ModelID
	Adapter        string
	Prompt, Output units.Tokens
	Parts          []fleet.Part
	// Rank orders waiting requests; 0 goes first.
	Rank int
	// Due is when the answer has to begin to be on time.
	Due clock.Time
	// Until is the last time at which a start is of use.
	Until clock.Time
	// Avoid are upstreams that this request was sent to already.
	Avoid []units.UpstreamID
}

// Ticket is a request that waits or was given an upstream.
type Ticket struct {
	Want
	// Upstream is set once the request may start.
	Upstream *view.Entry
	// Ready is closed once Upstream is set or the ticket was refused.
	Ready chan struct{}
	// Refused is set where the request can't be served in time.
	Refused *Refusal
	// Missing is set where no upstream held the model when the request was added.
	Missing bool
	state   *upstream
	sent    clock.Time
	// backlog is the part of the prompt that counts until the first event.
	backlog  units.Tokens
	tokens   units.Tokens
	expected float64
	queued   bool
}

// Refusal says why a request is not served and when to come back.
type Refusal struct {
	Code units.Code
	// After is when the caller should try again.
	After clock.Span
}

const (
	// MaxWaiting bounds the requests that wait at one gateway.
	MaxWaiting = 256
	// shortRetry is what a caller is told where room is expected soon.
	shortRetry = 300 * clock.Millisecond
	// emptyRetry is what a caller is told where a service has no upstream.
	emptyRetry = clock.Second
)

// Table is the state of all upstreams as one gateway sees it.
type Table struct {
	zone     units.Zone
	cold     ColdLimit
	gateways int
	snap     *view.Snapshot
	ups      map[units.UpstreamID]*upstream
	queue    []*Ticket
	// bound is the last start of all requests; 0 is none.
	bound clock.Time
}

// ColdLimit says how exactly the limit of cold upstreams has to be kept over all
// gateways.
type ColdLimit struct {
	Over, Slack float64
}

// New returns a Table for a gateway in the zone.
func New(zone units.Zone, cold ColdLimit) *Table {
	return &Table{
		zone: zone, cold: cold, gateways: 1, snap: &view.Snapshot{},
		ups: map[units.UpstreamID]*upstream{},
	}
}

// SetGateways sets the number of gateways that share the limits of upstreams.
func (t *Table) SetGateways(n int) { t.gateways = max(n, 1) }

// SetView replaces the belief about upstreams and starts requests that it makes room
// for.
func (t *Table) SetView(now clock.Time, s *view.Snapshot) []*Ticket {
	old := t.snap
	t.snap = s
	for id, e := range s.Upstreams {
		u := t.upstream(id)
		before, known := old.Upstreams[id]
		if !known || before.Born != e.Born || before.Seen != e.Seen {
			u.described(now, e, known && before.Born != e.Born)
		}
	}
	for id, u := range t.ups {
		if _, ok := s.Upstreams[id]; !ok && u.running == 0 {
			delete(t.ups, id)
		}
	}
	return t.Pump(now)
}

func (t *Table) upstream(id units.UpstreamID) *upstream {
	u, ok := t.ups[id]
	if !ok {
		u = newUpstream(id)
		t.ups[id] = u
	}
	return u
}

// Add asks for an upstream. The ticket is started, waits, or is refused.
func (t *Table) Add(now clock.Time, w Want) *Ticket {
	k := &Ticket{Want: w, Ready: make(chan struct{})}
	if t.bound > 0 {
		k.Until = min(k.Until, t.bound)
	}
	c := t.choose(now, &k.Want)
	if c.best != nil {
		t.start(now, k, c)
		return k
	}
	k.Missing = k.Model != "" && c.members > 0 && c.holders == 0
	if r := t.hopeless(now, k, c); r != nil {
		k.Refused = r
		close(k.Ready)
		return k
	}
	k.queued = true
	at, _ := slices.BinarySearchFunc(t.queue, k, compareTickets)
	t.queue = slices.Insert(t.queue, at, k)
	return k
}

func compareTickets(a, b *Ticket) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Due, b.Due))
}

// startShare is the part of the time until its caller leaves within which a request has to
// start. On upstreams that are so loaded that requests wait, the first event takes about as
// long again; one that starts later works for nobody.
const startShare = 0.45

// Bound makes requests that have not started by then be refused, also those that come later.
func (t *Table) Bound(until clock.Time) {
	t.bound = until
	for _, k := range t.queue {
		k.Until = min(k.Until, until)
	}
}

// LastStart returns the last time at which the start of a request is of use whose caller
// leaves after the span.
func LastStart(arrived clock.Time, leaves clock.Span) clock.Time {
	return arrived.Add(clock.Span(float64(leaves) * startShare))
}

// hopeless returns a refusal where waiting does not help.
func (t *Table) hopeless(now clock.Time, k *Ticket, c choice) *Refusal {
	left := k.Until.Sub(now)
	switch {
	case left <= 0:
		return &Refusal{units.DeadlineMissed, shortRetry}
	case c.members == 0:
		return &Refusal{units.NoUpstream, emptyRetry}
	case len(t.queue) >= MaxWaiting:
		return &Refusal{units.QueueFull, shortRetry}
	case c.holders == 0 && c.tried > 0 && k.Model == "":
		return &Refusal{units.NoUpstream, shortRetry}
	case k.Missing && left < t.loadTime(k):
		return &Refusal{units.ModelLoading, t.loadTime(k)}
	}
	return nil
}

// loadTime is how long the model of the request takes to be loaded at most; adapters
// take some milliseconds.
func (t *Table) loadTime(k *Ticket) clock.Span {
	for _, e := range t.snap.Upstreams {
		if e.Service == k.Service.Name && !e.Draining && e.Holds(k.Model, "") {
			return 0
		}
	}
	if k.Service.Engine == nil {
		return 0
	}
	m, _ := k.Service.Engine.Model(k.Model)
	return m.StoreLoad
}

// Cancel takes a waiting ticket back. It reports false if the ticket was started
// already.
func (t *Table) Cancel(k *Ticket) bool {
	if !k.queued {
		return false
	}
	k.queued = false
	if i := slices.Index(t.queue, k); i >= 0 {
		t.queue = slices.Delete(t.queue, i, i+1)
	}
	return true
}

// Waiting is the number of requests that wait.
func (t *Table) Waiting() int { return len(t.queue) }

// Pump starts waiting requests that have room and refuses those that are too late. It
// returns the tickets that left the queue.
func (t *Table) Pump(now clock.Time) []*Ticket {
	var left []*Ticket
	rest := t.queue[:0]
	for _, k := range t.queue {
		c := t.choose(now, &k.Want)
		switch {
		case c.best != nil:
			k.queued = false
			t.start(now, k, c)
			left = append(left, k)
		case !now.Before(k.Until):
			k.queued = false
			k.Refused = &Refusal{units.DeadlineMissed, shortRetry}
			close(k.Ready)
			left = append(left, k)
		default:
			rest = append(rest, k)
		}
	}
	clear(t.queue[len(rest):])
	t.queue = rest
	return left
}

func (t *Table) start(now clock.Time, k *Ticket, c choice) {
	u := c.state
	k.Upstream, k.state, k.sent = c.best, u, now
	k.backlog, k.expected = c.fresh, c.estimate
	k.tokens = k.Prompt + k.Output
	u.running++
	u.tokens += k.tokens
	u.backlog += k.backlog
	u.sent(now)
	u.remember(now, k.Model, k.Adapter, k.Parts)
	close(k.Ready)
}

// First notes the first event of an answer.
func (t *Table) First(now clock.Time, k *Ticket) {
	u := k.state
	u.backlog -= k.backlog
	k.backlog = 0
	u.alive()
	if k.Model != "" {
		u.pace.observe(float64(now.Sub(k.sent)), k.expected)
	}
}

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of attempts.
const (
	// Served means that the upstream answered, also with a failure of the request's own.
	Served Outcome = iota
	// Failed means that the upstream answered with a failure that may be its own.
	Failed
	// Full means that the upstream refused for lack of room.
	Full
	// Absent means that the upstream does not hold the model.
	Absent
	// Replaced means that another upstream has the address.
	Replaced
	// Unreachable means that no connection could be made.
	Unreachable
	// Broken means that the connection broke or went silent.
	Broken
	// Left means that the caller left.
	Left
)

// End notes the end of an attempt and starts waiting requests.
func (t *Table) End(now clock.Time, k *Ticket, o Outcome) []*Ticket {
	u := k.state
	u.running--
	u.tokens -= k.tokens
	u.backlog -= k.backlog
	k.backlog = 0
	u.ended(now, k, o)
	return t.Pump(now)
}

// Share is what one gateway has under way at an upstream.
type Share struct {
	Upstream units.UpstreamID
	Running  int
	Tokens   units.Tokens
	Backlog  units.Tokens
}

// Shares returns what this gateway has under way.
func (t *Table) Shares() []Share {
	out := make([]Share, 0, len(t.ups))
	for id, u := range t.ups {
		if u.running > 0 {
			out = append(out, Share{id, u.running, u.tokens, u.backlog})
		}
	}
	return out
}

// SetOthers replaces what the other gateways have under way.
func (t *Table) SetOthers(shares map[units.UpstreamID]Share) {
	for id, u := range t.ups {
		u.others = shares[id]
	}
}
