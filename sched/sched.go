// Package sched chooses an upstream for each request, queues requests by priority and refuses
// those that can't start in time. It performs no I/O and is not safe for concurrent use; the
// caller passes the time. It handles bursts beyond the capacity of the upstreams that have loaded
// a model, requests for models that no upstream has loaded, upstreams that are slow or fail some
// of their requests, and upstreams that come back cold.
package sched

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/notice"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

// Request is a request to be scheduled.
type Request struct {
	Service *fleet.Service
	Model   units.ModelID
	Adapter string
	// Prompt and Output are the prompt tokens and the expected output tokens.
	Prompt, Output units.Tokens
	PromptParts    []fleet.PromptPart
	// Rank is the priority of the request in the queue; 0 is the most urgent.
	Rank int
	// FirstEventDue is when the first event of the answer has to arrive to meet the latency
	// objective. It orders requests of equal rank.
	FirstEventDue clock.Time
	// LatestStart is when the request is refused if it has not started.
	LatestStart clock.Time
	// Avoid lists upstreams that this request was sent to already.
	Avoid []units.UpstreamID
}

// Attempt is one try to send a request to an upstream: queued, started or refused.
type Attempt struct {
	Request
	// Upstream is set once the attempt may start.
	Upstream *view.Entry
	// Ready is closed once Upstream or Refused is set.
	Ready chan struct{}
	// Refused is set if the request can't be served in time.
	Refused *Refusal
	// ModelMissing is set if no upstream had loaded the model when the request was added.
	ModelMissing bool
	state        *upstream
	startedAt    clock.Time
	// pendingPrefill is the uncached part of the prompt until the first event, then 0.
	pendingPrefill units.Tokens
	reservedTokens units.Tokens
	expectedMs     float64
	queued         bool
}

// Refusal says why a request is refused and when to retry.
type Refusal struct {
	Code units.Code
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter clock.Span
}

const (
	// MaxQueued bounds the requests queued at one gateway.
	MaxQueued = 256
	// retryAfterBusy is sent when capacity is expected soon.
	retryAfterBusy = 300 * clock.Millisecond
	// retryAfterNoUpstream is sent when the service has no upstream.
	retryAfterNoUpstream = clock.Second
)

// Scheduler holds the queue of one gateway and its state of all upstreams.
type Scheduler struct {
	zone          units.Zone
	coldTolerance ColdTolerance
	// self is the VM of this gateway, gateways are those that share the limits of cold upstreams.
	self      units.VMID
	gateways  []member.Gateway
	snap      *view.Snapshot
	upstreams map[units.UpstreamID]*upstream
	queue     []*Attempt
	// loadInterval is the interval in which other gateways report their loads.
	loadInterval clock.Span
	// startDeadline bounds LatestStart of all requests; 0 is no bound.
	startDeadline clock.Time
	// notices are what upstreams told this gateway.
	notices *notice.Board
}

// ColdTolerance is the tolerance of the request rate of a cold upstream, over all gateways. In any
// second, up to rate * Factor + Slack requests are accepted.
type ColdTolerance struct {
	Factor, Slack float64
}

// New returns a Scheduler for a gateway in the zone. It assumes one gateway until SetGateways.
func New(zone units.Zone, tolerance ColdTolerance) *Scheduler {
	return &Scheduler{
		zone: zone, coldTolerance: tolerance, snap: &view.Snapshot{},
		upstreams: map[units.UpstreamID]*upstream{}, notices: notice.NewBoard(),
	}
}

// Notices returns what upstreams told this gateway; the caller records there what it hears from them.
func (s *Scheduler) Notices() *notice.Board { return s.notices }

// SetGateways sets the gateways that share the cold-start limits of upstreams, and which of them this
// is.
func (s *Scheduler) SetGateways(self units.VMID, gateways []member.Gateway) {
	s.self, s.gateways = self, gateways
	for _, u := range s.upstreams {
		u.place = unknownPlace
	}
}

// SetView replaces the snapshot of upstreams. It returns the attempts that it started or refused,
// as Dispatch does.
func (s *Scheduler) SetView(now clock.Time, snap *view.Snapshot) []*Attempt {
	old := s.snap
	s.snap = snap
	for id, e := range snap.Upstreams {
		u := s.upstream(id)
		before, existed := old.Upstreams[id]
		if !existed || before.ProcessStart != e.ProcessStart || before.ReceivedAt != e.ReceivedAt {
			u.updateDescription(now, e, existed && before.ProcessStart != e.ProcessStart)
		}
	}
	for id, u := range s.upstreams {
		if _, ok := snap.Upstreams[id]; !ok && u.running == 0 {
			delete(s.upstreams, id)
		}
	}
	return s.Dispatch(now)
}

func (s *Scheduler) upstream(id units.UpstreamID) *upstream {
	u, ok := s.upstreams[id]
	if !ok {
		u = newUpstream(id)
		s.upstreams[id] = u
	}
	return u
}

// Add schedules a request. The attempt is started, queued or refused on return.
func (s *Scheduler) Add(now clock.Time, r Request) *Attempt {
	a := &Attempt{Request: r, Ready: make(chan struct{})}
	if s.startDeadline > 0 {
		a.LatestStart = min(a.LatestStart, s.startDeadline)
	}
	s.recordWanted(now, &a.Request)
	c := s.choose(now, &a.Request)
	if c.found() && !s.mustQueue(now, a) {
		s.start(now, a, c.best)
		return a
	}
	a.ModelMissing = a.Model != "" && c.members > 0 && c.holders == 0
	if refusal := s.refusal(now, a, c); refusal != nil {
		a.Refused = refusal
		close(a.Ready)
		return a
	}
	a.queued = true
	at, _ := slices.BinarySearchFunc(s.queue, a, compareAttempts)
	s.queue = slices.Insert(s.queue, at, a)
	return a
}

// mustQueue reports whether requests for the same target wait that go first. Otherwise small requests
// that arrive would use the room for which a large one waits.
func (s *Scheduler) mustQueue(now clock.Time, a *Attempt) bool {
	return slices.ContainsFunc(s.queue, func(q *Attempt) bool {
		return q.target() == a.target() && compareAttempts(q, a) <= 0 && now.Before(q.FirstEventDue) && len(q.Avoid) == 0
	})
}

func (a *Attempt) target() serviceTarget {
	return serviceTarget{a.Service.Name, target{a.Model, a.Adapter}}
}

func compareAttempts(a, b *Attempt) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.FirstEventDue, b.FirstEventDue))
}

// latestStartShare is the part of the caller's timeout within which a request has to start. On
// upstreams loaded enough for requests to queue, the first event takes about as long again as the
// wait; a request that starts later wastes a slot, as its caller disconnects first.
const latestStartShare = 0.45

// SetStartDeadline refuses queued and future requests that have not started by the deadline.
func (s *Scheduler) SetStartDeadline(deadline clock.Time) {
	s.startDeadline = deadline
	for _, a := range s.queue {
		a.LatestStart = min(a.LatestStart, deadline)
	}
}

// LatestStart returns the latest useful start of a request whose caller disconnects after the
// timeout.
func LatestStart(arrived clock.Time, timeout clock.Span) clock.Time {
	return arrived.Add(clock.Span(float64(timeout) * latestStartShare))
}

// refusal returns a refusal if queueing can't help, else nil.
func (s *Scheduler) refusal(now clock.Time, a *Attempt, c choice) *Refusal {
	timeLeft := a.LatestStart.Sub(now)
	switch {
	case timeLeft <= 0:
		return &Refusal{units.DeadlineMissed, retryAfterBusy}
	case c.members == 0:
		return &Refusal{units.NoUpstream, retryAfterNoUpstream}
	case len(s.queue) >= MaxQueued:
		return &Refusal{units.QueueFull, retryAfterBusy}
	case c.holders == 0 && c.avoided > 0 && a.Model == "":
		return &Refusal{units.NoUpstream, retryAfterBusy}
	case a.ModelMissing && timeLeft < s.loadTime(a):
		return &Refusal{units.ModelLoading, s.loadTime(a)}
	case c.allPaused() && c.leastPause > timeLeft:
		return &Refusal{units.QueueFull, spread(c.leastPause)}
	}
	if wait := s.expectedWait(a, c); now.Add(wait).After(a.LatestStart) {
		return &Refusal{units.DeadlineMissed, max(wait, retryAfterBusy)}
	}
	return nil
}

// spread returns the time after which a caller should retry when a pause ends, so that callers don't come back
// together.
func spread(pause clock.Span) clock.Span { return pause + clock.Span(rand.Int64N(int64(pause)/4+1)) }

// expectedWait returns how long a request will wait here because prompts wait at all upstreams that
// have loaded the model; 0 if that is not the reason. The gateways that send there share what the
// upstreams prefill.
func (s *Scheduler) expectedWait(a *Attempt, c choice) clock.Span {
	if c.overloaded == 0 || c.overloaded < c.holders {
		return 0
	}
	tokens := a.Prompt
	for _, q := range s.queue {
		if q.target() == a.target() && compareAttempts(q, a) <= 0 {
			tokens += q.Prompt
		}
	}
	share := c.prefillRate * c.leastShare
	return clock.Span(max(c.leastExcessMs, 0) + float64(tokens)/share)
}

// loadTime returns the longest time to load the requested model from the weight store. It is 0 if
// only the adapter is missing, as adapters load in milliseconds.
func (s *Scheduler) loadTime(a *Attempt) clock.Span {
	for _, e := range s.snap.Upstreams {
		if e.Service == a.Service.Name && !e.Draining && e.Holds(a.Model, "") {
			return 0
		}
	}
	if a.Service.Engine == nil {
		return 0
	}
	m, _ := a.Service.Engine.Model(a.Model)
	return m.StoreLoadTime
}

// Cancel removes a queued attempt. It returns false if the attempt was started or refused.
func (s *Scheduler) Cancel(a *Attempt) bool {
	if !a.queued {
		return false
	}
	a.queued = false
	if i := slices.Index(s.queue, a); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
	return true
}

// QueueLen returns the number of queued requests.
func (s *Scheduler) QueueLen() int { return len(s.queue) }

// Dispatch starts queued requests that an upstream can take and refuses those past their latest
// start. Requests that can still meet their latency objective go first: under overload those that are
// late already would make all others late. It returns the attempts that were dequeued.
func (s *Scheduler) Dispatch(now clock.Time) []*Attempt {
	var dequeued []*Attempt
	blocked := map[serviceTarget]bool{}
	for _, late := range []bool{false, true} {
		for _, a := range s.queue {
			if !a.queued || !now.Before(a.FirstEventDue) != late {
				continue
			}
			if s.tryStart(now, a, blocked) || s.expire(now, a) {
				dequeued = append(dequeued, a)
			}
		}
	}
	if len(dequeued) > 0 {
		s.queue = slices.DeleteFunc(s.queue, func(a *Attempt) bool { return !a.queued })
	}
	return dequeued
}

// serviceTarget is what a request asks for.
type serviceTarget struct {
	service units.ServiceID
	target
}

// tryStart starts a queued request if an upstream can take it. Targets for which none can are added to
// blocked; requests for them are not tried again.
func (s *Scheduler) tryStart(now clock.Time, a *Attempt, blocked map[serviceTarget]bool) bool {
	t := a.target()
	if blocked[t] {
		return false
	}
	c := s.choose(now, &a.Request)
	if !c.found() {
		// Other requests for the target may go to upstreams that this one avoids.
		blocked[t] = len(a.Avoid) == 0
		return false
	}
	a.queued = false
	s.start(now, a, c.best)
	return true
}

// expire refuses a queued request that is past its latest start.
func (s *Scheduler) expire(now clock.Time, a *Attempt) bool {
	if now.Before(a.LatestStart) {
		return false
	}
	a.queued = false
	a.Refused = &Refusal{units.DeadlineMissed, retryAfterBusy}
	if c := s.choose(now, &a.Request); c.allPaused() {
		a.Refused.RetryAfter = spread(c.leastPause)
	}
	close(a.Ready)
	return true
}

func (s *Scheduler) start(now clock.Time, a *Attempt, c candidate) {
	u := c.state
	a.Upstream, a.state, a.startedAt = c.entry, u, now
	a.pendingPrefill, a.expectedMs = c.uncached, c.estimateMs
	a.reservedTokens = a.Prompt + a.Output
	u.running++
	u.reservedTokens += a.reservedTokens
	u.pendingPrefill += a.pendingPrefill
	u.recordStart(now)
	u.prefillCredit -= float64(c.uncached)
	u.recordPrefixes(now, a.Model, a.Adapter, a.PromptParts)
	close(a.Ready)
}

// RecordFirstEvent records that the first event of an answer has arrived. The prompt no longer
// counts as pending prefill.
func (s *Scheduler) RecordFirstEvent(now clock.Time, a *Attempt) {
	u := a.state
	u.pendingPrefill -= a.pendingPrefill
	a.pendingPrefill = 0
	u.resetBackoff()
	if a.Model != "" {
		u.slowdown.observe(float64(now.Sub(a.startedAt)), a.expectedMs)
	}
}

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of attempts.
const (
	// Served means that the upstream answered, possibly with an error caused by the request.
	Served Outcome = iota
	// Failed means that the upstream answered with an error that it may have caused.
	Failed
	// Full means that the upstream refused the request for lack of capacity.
	Full
	// NotLoaded means that the upstream has not loaded the model or adapter.
	NotLoaded
	// Replaced means that another upstream now has the address.
	Replaced
	// Unreachable means that no connection could be made.
	Unreachable
	// Broken means that the connection broke or timed out without data.
	Broken
	// Canceled means that the caller disconnected.
	Canceled
)

// End records the outcome of a started attempt and frees its slot. It returns the attempts that it
// started or refused, as Dispatch does.
func (s *Scheduler) End(now clock.Time, a *Attempt, o Outcome) []*Attempt {
	u := a.state
	u.running--
	u.reservedTokens -= a.reservedTokens
	u.pendingPrefill -= a.pendingPrefill
	a.pendingPrefill = 0
	u.recordOutcome(now, a, o)
	return s.Dispatch(now)
}

// Load is the work in flight from one gateway at an upstream.
type Load struct {
	Upstream units.UpstreamID
	Running  int
	// Tokens are the prompt and expected output tokens of the running requests.
	Tokens units.Tokens
	// Backlog is the number of prompt tokens still to be prefilled.
	Backlog units.Tokens
	// Gateways is the number of gateways that have requests running at the upstream.
	Gateways int
	// WantedRate is the rate of prompt tokens per second of the requests for which the upstream is one
	// of the possible ones, divided among those.
	WantedRate float64
}

// Add returns the sum of two loads at the same upstream.
func (l Load) Add(other Load) Load {
	return Load{
		Upstream: other.Upstream, Running: l.Running + other.Running, Tokens: l.Tokens + other.Tokens,
		Backlog: l.Backlog + other.Backlog, Gateways: l.Gateways + other.Gateways, WantedRate: l.WantedRate + other.WantedRate,
	}
}

// Loads returns the work in flight from this gateway, by upstream in no order.
func (s *Scheduler) Loads(now clock.Time) []Load {
	out := make([]Load, 0, len(s.upstreams))
	for id, u := range s.upstreams {
		if u.running > 0 {
			out = append(out, Load{
				Upstream: id, Running: u.running, Tokens: u.reservedTokens, Backlog: u.pendingPrefill, Gateways: 1,
				WantedRate: u.wanted.at(now),
			})
		}
	}
	return out
}

// unreachableTTL is how long a failed connection tells that an upstream is unreachable.
const unreachableTTL = 1500 * clock.Millisecond

// Unreachable returns the upstreams to which this gateway could not connect lately, in no order.
func (s *Scheduler) Unreachable(now clock.Time) []units.UpstreamID {
	var out []units.UpstreamID
	for id, u := range s.upstreams {
		if u.unreachableAt != 0 && now.Sub(u.unreachableAt) < unreachableTTL {
			out = append(out, id)
		}
	}
	return out
}

// SetOtherLoads replaces the summed work in flight from the other gateways. Each of them reports it
// once in an interval.
func (s *Scheduler) SetOtherLoads(loads map[units.UpstreamID]Load, interval clock.Span) {
	s.loadInterval = interval
	for id, u := range s.upstreams {
		u.otherLoad = loads[id]
	}
}
