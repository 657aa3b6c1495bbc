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

// Request is a request that looks for an upstream.
type Request struct {
	Service        *fleet.Service
	Model          units.ModelID
	Adapter        string
	Prompt, Output units.Tokens
	PromptParts    []fleet.PromptPart
	// Rank orders waiting requests; 0 goes first.
	Rank int
	// FirstEventDue is when the answer has to begin to be on time.
	FirstEventDue clock.Time
	// LatestStart is the last time at which a start is of use.
	LatestStart clock.Time
	// Avoid are upstreams that this request was sent to already.
	Avoid []units.UpstreamID
}

// Attempt is a request that waits or was given an upstream.
type Attempt struct {
	Request
	// Upstream is set once the request may start.
	Upstream *view.Entry
	// Ready is closed once Upstream is set or the ticket was refused.
	Ready chan struct{}
	// Refused is set where the request can't be served in time.
	Refused *Refusal
	// ModelMissing is set where no upstream held the model when the request was added.
	ModelMissing bool
	state        *upstream
	sent         clock.Time
	// backlog is the part of the prompt that counts until the first event.
	backlog  units.Tokens
	tokens   units.Tokens
	expected float64
	queued   bool
}

// Refusal says why a request is not served and when to come back.
type Refusal struct {
	Code units.Code
	// RetryAfter is when the caller should try again.
	RetryAfter clock.Span
}

const (
	// MaxQueued bounds the requests that wait at one gateway.
	MaxQueued = 256
	// shortRetry is what a caller is told where room is expected soon.
	shortRetry = 300 * clock.Millisecond
	// emptyRetry is what a caller is told where a service has no upstream.
	emptyRetry = clock.Second
)

// Scheduler is the state of all upstreams as one gateway sees it.
type Scheduler struct {
	zone     units.Zone
	cold     ColdTolerance
	gateways int
	snap     *view.Snapshot
	ups      map[units.UpstreamID]*upstream
	queue    []*Attempt
	// bound is the last start of all requests; 0 is none.
	bound clock.Time
}

// ColdTolerance says how exactly the limit of cold upstreams has to be kept over all
// gateways.
type ColdTolerance struct {
	Factor, Slack float64
}

// New returns a Table for a gateway in the zone.
func New(zone units.Zone, cold ColdTolerance) *Scheduler {
	return &Scheduler{
		zone: zone, cold: cold, gateways: 1, snap: &view.Snapshot{},
		ups: map[units.UpstreamID]*upstream{},
	}
}

// SetGateways sets the number of gateways that share the limits of upstreams.
func (t *Scheduler) SetGateways(n int) { t.gateways = max(n, 1) }

// SetView replaces the belief about upstreams and starts requests that it makes room
// for.
func (t *Scheduler) SetView(now clock.Time, s *view.Snapshot) []*Attempt {
	old := t.snap
	t.snap = s
	for id, e := range s.Upstreams {
		u := t.upstream(id)
		before, known := old.Upstreams[id]
		if !known || before.ProcessStart != e.ProcessStart || before.ReceivedAt != e.ReceivedAt {
			u.described(now, e, known && before.ProcessStart != e.ProcessStart)
		}
	}
	for id, u := range t.ups {
		if _, ok := s.Upstreams[id]; !ok && u.running == 0 {
			delete(t.ups, id)
		}
	}
	return t.Dispatch(now)
}

func (t *Scheduler) upstream(id units.UpstreamID) *upstream {
	u, ok := t.ups[id]
	if !ok {
		u = newUpstream(id)
		t.ups[id] = u
	}
	return u
}

// Add asks for an upstream. The ticket is started, waits, or is refused.
func (t *Scheduler) Add(now clock.Time, w Request) *Attempt {
	k := &Attempt{Request: w, Ready: make(chan struct{})}
	if t.bound > 0 {
		k.LatestStart = min(k.LatestStart, t.bound)
	}
	c := t.choose(now, &k.Request)
	if c.best != nil {
		t.start(now, k, c)
		return k
	}
	k.ModelMissing = k.Model != "" && c.members > 0 && c.holders == 0
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

func compareTickets(a, b *Attempt) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.FirstEventDue, b.FirstEventDue))
}

// startShare is the part of the time until its caller leaves within which a request has to
// start. On upstreams that are so loaded that requests wait, the first event takes about as
// long again; one that starts later works for nobody.
const startShare = 0.45

// SetStartDeadline makes requests that have not started by then be refused, also those that come later.
func (t *Scheduler) SetStartDeadline(until clock.Time) {
	t.bound = until
	for _, k := range t.queue {
		k.LatestStart = min(k.LatestStart, until)
	}
}

// LatestStart returns the last time at which the start of a request is of use whose caller
// leaves after the span.
func LatestStart(arrived clock.Time, leaves clock.Span) clock.Time {
	return arrived.Add(clock.Span(float64(leaves) * startShare))
}

// hopeless returns a refusal where waiting does not help.
func (t *Scheduler) hopeless(now clock.Time, k *Attempt, c choice) *Refusal {
	left := k.LatestStart.Sub(now)
	switch {
	case left <= 0:
		return &Refusal{units.DeadlineMissed, shortRetry}
	case c.members == 0:
		return &Refusal{units.NoUpstream, emptyRetry}
	case len(t.queue) >= MaxQueued:
		return &Refusal{units.QueueFull, shortRetry}
	case c.holders == 0 && c.tried > 0 && k.Model == "":
		return &Refusal{units.NoUpstream, shortRetry}
	case k.ModelMissing && left < t.loadTime(k):
		return &Refusal{units.ModelLoading, t.loadTime(k)}
	}
	return nil
}

// loadTime is how long the model of the request takes to be loaded at most; adapters
// take some milliseconds.
func (t *Scheduler) loadTime(k *Attempt) clock.Span {
	for _, e := range t.snap.Upstreams {
		if e.Service == k.Service.Name && !e.Draining && e.Holds(k.Model, "") {
			return 0
		}
	}
	if k.Service.Engine == nil {
		return 0
	}
	m, _ := k.Service.Engine.Model(k.Model)
	return m.StoreLoadTime
}

// Cancel takes a waiting ticket back. It reports false if the ticket was started
// already.
func (t *Scheduler) Cancel(k *Attempt) bool {
	if !k.queued {
		return false
	}
	k.queued = false
	if i := slices.Index(t.queue, k); i >= 0 {
		t.queue = slices.Delete(t.queue, i, i+1)
	}
	return true
}

// QueueLen is the number of requests that wait.
func (t *Scheduler) QueueLen() int { return len(t.queue) }

// Dispatch starts waiting requests that have room and refuses those that are too late. It
// returns the tickets that left the queue.
func (t *Scheduler) Dispatch(now clock.Time) []*Attempt {
	var left []*Attempt
	rest := t.queue[:0]
	for _, k := range t.queue {
		c := t.choose(now, &k.Request)
		switch {
		case c.best != nil:
			k.queued = false
			t.start(now, k, c)
			left = append(left, k)
		case !now.Before(k.LatestStart):
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

func (t *Scheduler) start(now clock.Time, k *Attempt, c choice) {
	u := c.state
	k.Upstream, k.state, k.sent = c.best, u, now
	k.backlog, k.expected = c.fresh, c.estimate
	k.tokens = k.Prompt + k.Output
	u.running++
	u.tokens += k.tokens
	u.backlog += k.backlog
	u.sent(now)
	u.remember(now, k.Model, k.Adapter, k.PromptParts)
	close(k.Ready)
}

// RecordFirstEvent notes the first event of an answer.
func (t *Scheduler) RecordFirstEvent(now clock.Time, k *Attempt) {
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
	// NotLoaded means that the upstream does not hold the model.
	NotLoaded
	// Replaced means that another upstream has the address.
	Replaced
	// Unreachable means that no connection could be made.
	Unreachable
	// Broken means that the connection broke or went silent.
	Broken
	// Canceled means that the caller left.
	Canceled
)

// End notes the end of an attempt and starts waiting requests.
func (t *Scheduler) End(now clock.Time, k *Attempt, o Outcome) []*Attempt {
	u := k.state
	u.running--
	u.tokens -= k.tokens
	u.backlog -= k.backlog
	k.backlog = 0
	u.ended(now, k, o)
	return t.Dispatch(now)
}

// Load is what one gateway has under way at an upstream.
type Load struct {
	Upstream units.UpstreamID
	Running  int
	Tokens   units.Tokens
	Backlog  units.Tokens
}

// Loads returns what this gateway has under way.
func (t *Scheduler) Loads() []Load {
	out := make([]Load, 0, len(t.ups))
	for id, u := range t.ups {
		if u.running > 0 {
			out = append(out, Load{id, u.running, u.tokens, u.backlog})
		}
	}
	return out
}

// SetOtherLoads replaces what the other gateways have under way.
func (t *Scheduler) SetOtherLoads(shares map[units.UpstreamID]Load) {
	for id, u := range t.ups {
		u.others = shares[id]
	}
}
