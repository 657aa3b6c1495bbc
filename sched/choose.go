package sched

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

const (
	// promptRate is the number of prompt tokens that an engine of usual speed reads in a
	// millisecond while it serves others.
	promptRate = 24.0
	// baseDelay is the time to a first event on an idle upstream, in milliseconds.
	baseDelay = 15.0
	// perRunning is what each running request adds to it.
	perRunning = 1.2
	// plainWork is the time that a plain service takes for one request, in milliseconds.
	plainWork = 60.0
	// otherZone is what a call to another availability zone costs, in milliseconds.
	otherZone = 12.0
	// failCost is what a certain failure would cost, in milliseconds.
	failCost = 600.0
	// memoryShare is the part of an engine's memory that is given to requests; the rest
	// absorbs answers longer than expected.
	memoryShare = 0.9
	// plainQueue is how many requests may wait at a plain upstream for each slot.
	plainQueue = 1.5
)

// choice is the result of looking at all upstreams for a request.
type choice struct {
	best  *view.Entry
	state *upstream
	// estimate is the expected time to the first event, and cost what the choice is made
	// by, both in milliseconds.
	estimate, cost float64
	fresh          units.Tokens
	// members counts upstreams of the service that take new requests, holders those of
	// them that hold the model, tried those that the request avoids.
	members, holders, tried int
}

// choose returns the upstream with the earliest expected first event.
func (t *Scheduler) choose(now clock.Time, w *Request) choice {
	var c choice
	for id, e := range t.snap.Upstreams {
		if e.Service != w.Service.Name || e.Draining || t.snap.ExcludedZones[e.Zone] {
			continue
		}
		u := t.upstream(id)
		if u.replaced {
			continue
		}
		c.members++
		if slices.Contains(w.Avoid, id) {
			c.tried++
			continue
		}
		if w.Model != "" && !u.holds(now, e, w) {
			continue
		}
		c.holders++
		if !t.usable(now, u, e, w) {
			continue
		}
		t.consider(&c, u, e, w)
	}
	return c
}

func (u *upstream) holds(now clock.Time, e *view.Entry, w *Request) bool {
	if !e.Holds(w.Model, w.Adapter) {
		return false
	}
	until, denied := u.absent[held{w.Model, w.Adapter}]
	return !denied || !now.Before(until)
}

// usable reports whether the upstream may get one more request now.
func (t *Scheduler) usable(now clock.Time, u *upstream, e *view.Entry, w *Request) bool {
	if now.Before(u.full) || now.Before(u.down) {
		return false
	}
	// One attempt at a time tells whether a failed upstream is back.
	if u.strike > 0 && u.running > 0 {
		return false
	}
	if !t.coldRoom(now, u, e, w) {
		return false
	}
	running := u.running + u.others.Running
	if w.Service.Engine == nil {
		return float64(running) < float64(max(e.Slots, 1))*(1+plainQueue)
	}
	if running >= max(e.Slots, 1) {
		return false
	}
	used := u.tokens + u.others.Tokens + w.Prompt + w.Output
	return float64(used) <= memoryShare*float64(w.Service.Engine.MemoryTokens) || running == 0
}

// coldRoom keeps the gateway's share of the limit of a cold upstream.
func (t *Scheduler) coldRoom(now clock.Time, u *upstream, e *view.Entry, w *Request) bool {
	if w.Service.ColdRate <= 0 || (!e.IsCold(now) && !now.Before(u.warm)) {
		return true
	}
	whole := w.Service.ColdRate*t.cold.Factor + t.cold.Slack
	return u.lately(now) < max(int(whole/float64(t.gateways)), 1)
}

func (t *Scheduler) consider(c *choice, u *upstream, e *view.Entry, w *Request) {
	fresh := max(w.Prompt-u.cached(w.Model, w.Adapter, w.PromptParts), 0)
	running := float64(u.running + u.others.Running)
	var estimate float64
	if w.Service.Engine != nil {
		backlog := float64(u.backlog+u.others.Backlog) + float64(fresh)
		estimate = (baseDelay + backlog/promptRate + perRunning*running) * u.pace.factor
	} else {
		rounds := running / float64(max(e.Slots, 1))
		estimate = plainWork * (1 + rounds*rounds)
	}
	cost := estimate + failCost*u.failed
	if e.Zone != t.zone {
		cost += otherZone
	}
	if c.best == nil || cost < c.cost || (cost == c.cost && e.ID < c.best.ID) {
		c.best, c.state, c.estimate, c.cost, c.fresh = e, u, estimate, cost, fresh
	}
}
