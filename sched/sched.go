// Package sched chooses an upstream for each request, queues requests by priority and refuses
// those that can't start in time. It performs no I/O and is not safe for concurrent use; the
// caller passes the time. It handles bursts beyond the capacity of the upstreams that have loaded
// a model, requests for models that no upstream has loaded, upstreams that are slow or fail some
// of their requests, and upstreams that come back cold.
package sched

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/gauge"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/notice"
	"github.com/magnolialever/magnolialever/start"
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
	// Deadline is when the request ends whatever becomes of it.
	Deadline clock.Time
	// Kind and Size, in tokens of the answer, tell how long the run may take. Size is 0 for answers without tokens.
	Kind RunKind
	Size units.Tokens
	// Once is set if the request may run only once, Resumable if another upstream can go on with its answer.
	Once, Resumable bool
	// Begun is set if the request has run before, so that a refusal ends it without a whole answer.
	Begun bool
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
	// expected is what the time to the first event, or of a plain call, was expected from.
	expected gauge.Start
	// streams is set once the first event has arrived.
	streams bool
	queued  bool
	// addedAt is when the request was added.
	addedAt clock.Time
	// stopLimited is set if LatestStart is due to the stop of this gateway.
	stopLimited bool
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
	process       start.Start
	// self is the VM of this gateway, gateways are those that share the limits of cold upstreams.
	self      units.VMID
	gateways  []member.Gateway
	snap      *view.Snapshot
	upstreams map[units.UpstreamID]*upstream
	queue     []*Attempt
	// returns tells when refused callers should come back.
	returns returnBook
	// loadInterval is the interval in which other gateways report their loads.
	loadInterval clock.Span
	// stopAt is when all runs have to end because this gateway stops; 0 is no bound. Until routedUntil the platform may
	// route callers to gateways that stop.
	stopAt, routedUntil clock.Time
	// runs tells how long runs take, running are the attempts that were started and have not ended.
	runs    runRecord
	running map[*Attempt]struct{}
	// notices are the notices of upstreams to this gateway.
	notices *notice.Board
	// gauges has what was learned of services.
	gauges gauge.Services
	// sent are the prompts that were sent to engines and not yet reported to the other gateways.
	sent map[units.UpstreamID]SentPrompts
	// othersSentAt is when another gateway last reported its prompts; 0 is never.
	othersSentAt clock.Time
}

// ColdTolerance is the tolerance of the request rate of a cold upstream, over all gateways. In any
// second, up to rate * Factor + Slack requests are accepted.
type ColdTolerance struct {
	Factor, Slack float64
}

// New returns a Scheduler for a gateway in the zone whose process has the start. It assumes one gateway until SetGateways.
func New(zone units.Zone, tolerance ColdTolerance, s start.Start) *Scheduler {
	return &Scheduler{
		zone: zone, coldTolerance: tolerance, process: s, snap: &view.Snapshot{},
		upstreams: map[units.UpstreamID]*upstream{}, notices: notice.NewBoard(),
		runs: runRecord{}, running: map[*Attempt]struct{}{}, gauges: gauge.Services{}, sent: map[units.UpstreamID]SentPrompts{},
		returns: returnBook{},
	}
}

// Notices returns the notices of upstreams to this gateway; the caller records there what arrives.
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
		u.gauge.Describe(s.gauges.Get(e.Service), e.Slots)
		before, existed := old.Upstreams[id]
		if !existed || before.ProcessStart != e.ProcessStart || before.ReceivedAt != e.ReceivedAt {
			u.updateDescription(now, e, existed && before.ProcessStart != e.ProcessStart)
		}
	}
	for id, u := range s.upstreams {
		if _, ok := snap.Upstreams[id]; !ok && u.running == 0 {
			delete(s.upstreams, id)
			delete(s.sent, id)
		}
	}
	return s.Dispatch(now)
}

func (s *Scheduler) upstream(id units.UpstreamID) *upstream {
	u, ok := s.upstreams[id]
	if !ok {
		u = newUpstream(id, s.gauges.Get(""))
		s.upstreams[id] = u
	}
	return u
}

// Add schedules a request. The attempt is started, queued or refused on return.
func (s *Scheduler) Add(now clock.Time, r Request) *Attempt {
	a := s.newAttempt(now, r)
	if a.stopLimited && now.After(a.LatestStart) {
		a.Refused = StopRefusal()
		close(a.Ready)
		return a
	}
	s.recordWanted(now, &a.Request)
	s.returns.recordArrival(now, a.target())
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

// TryAdd starts a request at once, beside an attempt that may still go on, and returns its attempt. It returns nil, and
// changes nothing, if the request would have to wait or is not expected to end before the stop of this gateway.
func (s *Scheduler) TryAdd(now clock.Time, r Request) *Attempt {
	if !s.expectedToEnd(now, &r) {
		return nil
	}
	a := s.newAttempt(now, r)
	c := s.choose(now, &a.Request)
	if !c.found() || s.mustQueue(now, a) {
		return nil
	}
	s.recordWanted(now, &a.Request)
	s.start(now, a, c.best)
	return a
}

func (s *Scheduler) newAttempt(now clock.Time, r Request) *Attempt {
	a := &Attempt{Request: r, Ready: make(chan struct{}), addedAt: now}
	s.limitStart(now, a)
	return a
}

// latestStartShare is the part of the caller's timeout within which a request has to start. On
// upstreams loaded enough for requests to queue, the first event takes about as long again as the
// wait; a request that starts later wastes a slot, as its caller disconnects first.
const latestStartShare = 0.45

// LatestStart returns the latest useful start of a request whose caller disconnects after the
// timeout.
func LatestStart(arrived clock.Time, timeout clock.Span) clock.Time {
	return arrived.Add(clock.Span(float64(timeout) * latestStartShare))
}

func (s *Scheduler) start(now clock.Time, a *Attempt, c candidate) {
	u := c.state
	a.Upstream, a.state, a.startedAt = c.entry, u, now
	a.pendingPrefill, a.expected = c.uncached, u.gauge.Started(now, a.Model, c.backlog+c.uncached, c.running)
	a.reservedTokens = a.Prompt + a.Output
	s.running[a] = struct{}{}
	s.returns.recordStart(now, a.target())
	u.running++
	u.reservedTokens += a.reservedTokens
	u.pendingPrefill += a.pendingPrefill
	u.recordStart(now)
	u.prefillCredit -= float64(c.uncached)
	s.recordSent(a, c.uncached)
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
	if !a.streams {
		a.streams = true
		u.stops.Begin(now)
	}
	if a.Model != "" {
		u.gauge.RecordFirstEvent(now, a.expected, now.Sub(a.startedAt))
	}
}

// RecordEvents records that a number of events of an answer arrived together, a time after those before.
func (s *Scheduler) RecordEvents(now clock.Time, a *Attempt, events int, gap clock.Span) {
	u := a.state
	if events <= 0 || a.Model == "" {
		return
	}
	running := u.running + u.otherLoad.Running
	u.stops.Event(now, gap, u.gauge.Speed(now, a.Model).EventMs(running))
	u.gauge.RecordEvents(now, a.Model, running, float64(gap)/float64(events))
}

// RecordReport records what the upstream of a started attempt says of its load in an answer.
func (s *Scheduler) RecordReport(now clock.Time, a *Attempt, l fleet.ReportedLoad) {
	a.state.gauge.RecordReport(now, gauge.Report{ReportedLoad: l, Own: a.state.running})
}

// RecordSilence records that the upstream of a started attempt has been silent for too long, although the attempt goes
// on. New requests treat it as one whose connection failed.
func (s *Scheduler) RecordSilence(now clock.Time, a *Attempt) { a.state.recordConnectionFailure(now) }

// RecordProgress records that an attempt goes on after RecordSilence.
func (s *Scheduler) RecordProgress(now clock.Time, a *Attempt) {
	a.state.resetBackoff()
	s.Dispatch(now)
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
	s.recordRun(now, a, o)
	u := a.state
	u.running--
	if a.streams {
		u.stops.End()
	}
	u.reservedTokens -= a.reservedTokens
	u.pendingPrefill -= a.pendingPrefill
	a.pendingPrefill = 0
	if o == Served && a.Service.Engine == nil && !a.streams {
		u.gauge.RecordCall(now, a.expected, now.Sub(a.startedAt))
	}
	u.recordOutcome(now, a, o)
	return s.Dispatch(now)
}
