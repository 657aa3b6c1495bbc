package agent

import (
	"sync/atomic"
	"time"

	"github.com/magnolialever/magnolialever/admit"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// job is one admitted call.
type job struct {
	call   *wire.Call
	prompt int64
	// verdict receives the start (nil) or the refusal, once.
	verdict chan *refusal
	// sent counts the events that were passed on.
	sent atomic.Int64
	// first is when the first of them arrived, in ns since the start; 0: not yet.
	first atomic.Int64

	// The rest belongs to the owner.
	item    admit.Item
	alone   bool
	running bool
	started clock.Time
	begun   time.Time
	ticket  admit.ColdStartSlot
	adapter bool
	slot    admit.ConcurrencySlot
}

func newJob(now clock.Time, c *wire.Call) *job {
	j := &job{
		call:    c,
		verdict: make(chan *refusal, 1),
		alone:   c.Alone,
		item: admit.Item{
			ID:       units.AttemptID(c.Attempt),
			Customer: units.CustomerID(c.Customer),
			Target:   c.Target,
			Class:    units.Class(min(c.Class, units.Classes-1)),
			Weight:   c.Weight,
			Cost:     units.Tokens(c.Cost),
			Bytes:    units.Bytes(len(c.Body)),
		},
	}
	if c.Kind != kindService {
		j.prompt = promptTokens(c)
	}
	if c.Timeout > 0 {
		j.item.Deadline = now.Add(clock.Span(c.Timeout))
	}
	return j
}

// once reports whether the agent has to remember the outcome.
func (j *job) once() bool { return !j.call.Idempotent }

// admit decides whether a call may wait for its start. The start in the sense of
// rates is this moment: the permit has to be valid now, not when the upstream gets
// the request.
func (s *state) admit(now clock.Time, j *job) *refusal {
	if s.leaving {
		return notRun(units.Draining, "agent is stopping")
	}
	if _, ok := s.jobs[j.item.ID]; ok || j.item.ID == "" {
		return &refusal{code: units.InvalidRequest, ran: ok, message: "attempt id is missing or in use"}
	}
	if r := s.outcomes.check(j.call); r != nil && j.once() {
		return r
	}
	if r := s.checkPermit(now, j.call); r != nil {
		return r
	}
	if r := s.checkTarget(j); r != nil {
		return r
	}
	if r := s.checkSuspect(now, j); r != nil {
		return r
	}
	return s.enqueue(now, j)
}

func (s *state) checkTarget(j *job) *refusal {
	if s.options.Upstream.Kind == Service || j.call.Kind == kindService {
		return nil
	}
	if s.silent {
		return notRun(units.NotLoaded, "engine does not answer")
	}
	id := units.ModelID(j.call.Target)
	if !s.ledger.IsResident(id) && !s.ledger.IsLoading(id) {
		return notRun(units.NotLoaded, "model is not resident")
	}
	return nil
}

// checkSuspect refuses a request that crashed two upstreams, and a suspect while
// another one is running alone.
func (s *state) checkSuspect(now clock.Time, j *job) *refusal {
	switch s.suspects.Action(now, retry.Fingerprint(j.call.Fingerprint)) {
	case retry.Reject:
		return notRun(units.CrashSuspect, "request crashed two upstreams")
	case retry.Isolate:
		j.alone = true
	case retry.Allow:
	}
	if j.alone && s.alone != nil {
		return notRun(units.Quarantine, "another suspect is running alone")
	}
	return nil
}

func (s *state) enqueue(now clock.Time, j *job) *refusal {
	if limit := s.allowance.Limit(); limit > 0 && s.running+s.queue.Waiting() >= limit {
		r := notRun(units.ColdLimit, "upstream is in cold start")
		r.wait = coldWait
		return r
	}
	if code := s.queue.Push(now, j.item); code != "" {
		r := notRun(code, "queue in front of the upstream is too long")
		r.wait = s.queue.EstimateWait(j.item)
		return r
	}
	s.jobs[j.item.ID] = j
	s.changed = true
	if j.alone {
		s.alone = j
	}
	s.pump(now)
	return nil
}

// coldWait is a hint for the next try at an upstream in cold start.
const coldWait = 100 * clock.Millisecond

// pump starts what may run.
func (s *state) pump(now clock.Time) {
	for {
		it, ok := s.queue.Next(now, s.fits)
		if !ok {
			return
		}
		s.begin(now, s.jobs[it.ID])
	}
}

// fits reports whether an item may start now. A suspect waits until nothing else
// runs, and holds all others back until it has ended.
func (s *state) fits(it *admit.Item) bool {
	if s.alone != nil && (s.alone.item.ID != it.ID || s.running > 0) {
		return false
	}
	if s.running >= s.options.Limits.Running || !s.allowance.CanTake() {
		return false
	}
	j := s.jobs[it.ID]
	if s.options.Upstream.Kind == Service || j.call.Kind == kindService {
		return true
	}
	id := units.ModelID(it.Target)
	return s.ledger.IsResident(id) && (!s.ledger.IsAdapter(id) || s.adapters.CanTake())
}

func (s *state) begin(now clock.Time, j *job) {
	j.running, j.started, j.begun = true, now, time.Now()
	s.running++
	j.ticket, _ = s.allowance.Take() // fits has checked it
	if j.adapter = s.ledger.IsAdapter(units.ModelID(j.call.Target)); j.adapter {
		j.slot, _ = s.adapters.Take() // fits has checked it
	}
	if j.once() {
		s.outcomes.begin(j.item.ID)
	}
	s.changed = true
	j.verdict <- nil
}

// withdraw refuses a job that has not started.
func (s *state) withdraw(j *job, r *refusal) {
	s.queue.Remove(s.clock.Now(), j.item.ID)
	s.forget(j)
	j.verdict <- r
}

func (s *state) forget(j *job) {
	delete(s.jobs, j.item.ID)
	if s.alone == j {
		s.alone = nil
	}
	s.changed = true
}

// giveUp refuses a job unless it has started, and reports whether it did.
func (s *state) giveUp(now clock.Time, j *job, r *refusal) {
	if s.jobs[j.item.ID] == j && !j.running {
		s.withdraw(j, r)
		s.pump(now)
	}
}

// refuseQueued refuses the waiting jobs of a target that is being unloaded.
func (s *state) refuseQueued(id units.ModelID) {
	if s.ledger.IsResident(id) {
		return
	}
	for _, j := range s.jobs {
		if !j.running && j.call.Target == string(id) {
			s.withdraw(j, notRun(units.NotLoaded, "model is being unloaded"))
		}
	}
}

// busy reports whether a request for the target, or for an adapter of it, runs.
func (s *state) busy(id units.ModelID) bool {
	for _, j := range s.jobs {
		if j.running && j.call.Target == string(id) {
			return true
		}
	}
	return false
}
