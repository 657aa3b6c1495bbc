package sched

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/notice"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

const (
	// crossZoneMs is the cost added for an engine in another availability zone, crossZoneCallMs that for a plain service, whose calls
	// take little more than the way there.
	crossZoneMs, crossZoneCallMs = 12.0, 3.0
	// failurePenaltyMs is the cost added at a failure rate of 1; it is scaled by the upstream's
	// failure rate.
	failurePenaltyMs = 600.0
	// maxMemoryShare is the share of an engine's memory that is reserved for requests; the rest
	// absorbs answers longer than estimated.
	maxMemoryShare = 0.9
	// maxUnreportedShare is the largest share of an engine's memory that is kept free for prompts of other gateways not reported yet.
	maxUnreportedShare = 0.1
	// plainQueuePerSlot is the number of requests per slot that may queue at a plain upstream.
	plainQueuePerSlot = 1.5
)

// candidate is an upstream with the cost of sending it a request.
type candidate struct {
	entry *view.Entry
	state *upstream
	// estimateMs is the expected time to the first event. costMs is the score, lowest first:
	// estimateMs plus penalties for the zone, for failures and for pauses of streams.
	estimateMs, costMs float64
	// running is the number of requests there, backlog the number of prompt tokens that the upstream has not read, over all gateways.
	running int
	backlog units.Tokens
	// rate is the number of prompt tokens that an engine reads in a millisecond; 0 for plain services.
	rate float64
	// waitMs is the part of estimateMs for which the prompt waits for others.
	waitMs float64
	// uncached is the number of prompt tokens that the upstream has to prefill.
	uncached units.Tokens
}

// choice is the best upstream for a request, with counts that explain why there may be none.
type choice struct {
	// best has no entry if no upstream can take the request now.
	best candidate
	// members counts upstreams of the service that accept new requests, holders those of them that
	// have loaded the model, avoided those that the request excludes.
	members, holders, avoided int
	// paused counts the holders that asked for a pause, of which leastPause is the shortest that is left.
	paused     int
	leastPause clock.Span
	// overloaded counts the holders at which so many prompts wait that one more would be late.
	// prefillRate is the sum of their rates in tokens per millisecond, leastShare this gateway's least
	// share of one of them, and leastExcessMs the time until the first has room.
	overloaded    int
	prefillRate   float64
	leastShare    float64
	leastExcessMs float64
}

func (c *choice) found() bool { return c.best.entry != nil }

// allPaused reports whether all holders asked for a pause.
func (c *choice) allPaused() bool { return c.holders > 0 && c.paused == c.holders }

// addPaused counts a holder that asked for a pause.
func (c *choice) addPaused(left clock.Span) {
	if c.paused == 0 || left < c.leastPause {
		c.leastPause = left
	}
	c.paused++
}

// process returns the process that a description is of.
func process(e *view.Entry) notice.Process {
	return notice.Process{Upstream: e.ID, Start: e.ProcessStart}
}

// choose returns the eligible upstream with the lowest cost.
func (s *Scheduler) choose(now clock.Time, r *Request) choice {
	var c choice
	for id, e := range s.snap.Upstreams {
		if e.Service != r.Service.Name || e.Draining || e.IsGone(now) || s.snap.ExcludedZones[e.Zone] {
			continue
		}
		u := s.upstream(id)
		if u.replaced || s.notices.Leaving(process(e)) {
			continue
		}
		c.members++
		if slices.Contains(r.Avoid, id) {
			c.avoided++
			continue
		}
		if r.Model != "" && !u.hasLoaded(now, e, r) {
			continue
		}
		c.holders++
		if left := s.notices.Pause(now, process(e)); left > 0 {
			c.addPaused(left)
			continue
		}
		if !s.canStart(now, u, e, r) {
			continue
		}
		n := s.estimate(now, u, e, r)
		if s.meetsObjective(now, &n, r) {
			c.best.consider(n)
		} else {
			c.addOverloaded(now, &n, r)
		}
	}
	return c
}

// addOverloaded counts a holder that doesn't meet the objective.
func (c *choice) addOverloaded(now clock.Time, n *candidate, r *Request) {
	excess, share := n.waitMs-waitLimitMs(n, r, usedObjectiveShare), n.state.share(now)
	if c.overloaded == 0 {
		c.leastExcessMs, c.leastShare = excess, share
	}
	c.leastExcessMs, c.leastShare = min(c.leastExcessMs, excess), min(c.leastShare, share)
	c.overloaded++
	c.prefillRate += n.rate
}

// hasLoaded reports whether the upstream has the requested model and adapter in memory, by its
// description and by recent NotLoaded outcomes.
func (u *upstream) hasLoaded(now clock.Time, e *view.Entry, r *Request) bool {
	if !e.Holds(r.Model, r.Adapter) {
		return false
	}
	until, denied := u.notLoadedUntil[target{r.Model, r.Adapter}]
	return !denied || !now.Before(until)
}

// canStart reports whether the upstream may get one more request now: no backoff is pending and
// the cold-start limit, slots and memory allow it.
func (s *Scheduler) canStart(now clock.Time, u *upstream, e *view.Entry, r *Request) bool {
	if now.Before(u.fullUntil) || now.Before(u.downUntil) {
		return false
	}
	// After a connection failure, one request at a time probes the upstream.
	if u.failStreak > 0 && u.running > 0 {
		return false
	}
	if !s.withinColdLimit(now, u, e, r) {
		return false
	}
	running := u.running + u.otherLoad.Running
	if r.Service.Engine == nil {
		return float64(running) < float64(max(e.Slots, 1))*(1+plainQueuePerSlot)
	}
	if running >= max(e.Slots, 1) {
		return false
	}
	memory := float64(r.Service.Engine.MemoryTokens)
	used := float64(u.reservedTokens + s.othersTokens(now, u) + r.Prompt + r.Output)
	return used+min(s.unreportedTokens(now, u, r), maxUnreportedShare*memory) <= maxMemoryShare*memory || running == 0
}

// withinColdLimit reports whether one more request keeps this gateway's part of the request rate of a
// cold upstream. What a process that stopped a moment ago has sent there counts.
func (s *Scheduler) withinColdLimit(now clock.Time, u *upstream, e *view.Entry, r *Request) bool {
	if r.Service.ColdRate <= 0 || (!e.IsCold(now) && !now.Before(u.coldUntil)) {
		return true
	}
	return !s.process.Covers(now, coldWindow) && u.recentCount(now) < s.coldPermits(u, r.Service.ColdRate)
}

// coldPermits returns the number of requests that this gateway may send to a cold upstream within
// coldWindow. The gateways share the limit; what is left after equal shares goes to the first ones in
// the rendezvous order of the upstream, so that many gateways together don't exceed the limit.
func (s *Scheduler) coldPermits(u *upstream, rate float64) int {
	limit := int(rate*s.coldTolerance.Factor + s.coldTolerance.Slack)
	n := max(len(s.gateways), 1)
	permits := limit / n
	if u.place == unknownPlace {
		u.place = member.Place(s.gateways, s.self, string(u.id))
	}
	if u.place < limit%n {
		permits++
	}
	return permits
}

// estimate returns the expected cost of sending a request to an upstream.
func (s *Scheduler) estimate(now clock.Time, u *upstream, e *view.Entry, r *Request) candidate {
	n := candidate{
		entry: e, state: u, uncached: max(r.Prompt-u.cachedTokens(r.Model, r.Adapter, r.PromptParts), 0),
		running: u.running + u.gauge.OthersRunning(now, u.otherLoad.Running),
	}
	if r.Service.Engine != nil {
		s.estimateStream(now, &n, r)
	} else {
		n.estimateMs = u.gauge.ServiceMs(now, n.running)
		n.costMs = n.estimateMs
		if e.Zone != s.zone {
			n.costMs += crossZoneCallMs
		}
	}
	n.costMs += failurePenaltyMs * u.failureRate
	return n
}

// estimateStream adds the expected time to the first event of an engine, and the cost of stopping the streams that run there.
func (s *Scheduler) estimateStream(now clock.Time, n *candidate, r *Request) {
	u := n.state
	speed := u.gauge.Speed(now, r.Model)
	n.rate = speed.PrefillRate()
	n.backlog = u.pendingPrefill + s.othersBacklog(now, u, n.rate)
	n.waitMs = speed.FirstEventMs(n.backlog, 0, n.running)
	n.estimateMs = n.waitMs + float64(n.uncached)/n.rate
	n.costMs = n.estimateMs + u.stops.Ms(now, speed.EventMs(n.running))
	if n.entry.Zone != s.zone {
		n.costMs += crossZoneMs
	}
}

// consider keeps a candidate if it has the lowest cost. Equal costs are decided by ID.
func (n *candidate) consider(o candidate) {
	if n.entry == nil || o.costMs < n.costMs || (o.costMs == n.costMs && o.entry.ID < n.entry.ID) {
		*n = o
	}
}
