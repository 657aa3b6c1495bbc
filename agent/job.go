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

// job is one call from its admission to its end.
type job struct {
	call *wire.Call
	// promptTokens is an estimate; 0 for services.
	promptTokens int64
	// decision receives nil when the job starts, or the refusal, exactly once.
	decision chan *refusal
	// sentEvents counts the parts sent to the gateway.
	sentEvents atomic.Int64
	// firstEventDelay is the time from startTime to the first part, in ns; 0 before it.
	firstEventDelay atomic.Int64

	// Only the event loop uses the fields below, except startTime, which is constant
	// after the start.
	item      admit.Item
	exclusive bool
	running   bool
	// startedAt is the start by the agent's clock, startTime the same by the system clock.
	startedAt     clock.Time
	startTime     time.Time
	coldStartSlot admit.ColdStartSlot
	usesAdapter   bool
	adapterSlot   admit.ConcurrencySlot
}

// newJob returns the job of a call received now.
func newJob(now clock.Time, c *wire.Call) *job {
	j := &job{
		call:      c,
		decision:  make(chan *refusal, 1),
		exclusive: c.Alone,
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
		j.promptTokens = estimatePromptTokens(c)
	}
	if c.Timeout > 0 {
		j.item.Deadline = now.Add(clock.Span(c.Timeout))
	}
	return j
}

// atMostOnce reports whether the call must not be repeated, so that its outcome is
// recorded.
func (j *job) atMostOnce() bool { return !j.call.Idempotent }

// admit queues a job or returns why it is refused. Rate limits count the call as started
// on admission: its permit must be valid now, not when the upstream receives the request.
func (s *state) admit(now clock.Time, j *job) *refusal {
	if s.draining {
		return notRun(units.Draining, "agent is stopping")
	}
	if _, ok := s.jobs[j.item.ID]; ok || j.item.ID == "" {
		return &refusal{code: units.InvalidRequest, mayHaveRun: ok, message: "attempt id is missing or in use"}
	}
	if r := s.attempts.check(j.call); r != nil && j.atMostOnce() {
		return r
	}
	if r := s.checkPermit(now, j.call); r != nil {
		return r
	}
	if r := s.checkPause(now); r != nil {
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

// checkTarget refuses a job whose model the engine neither has nor loads.
func (s *state) checkTarget(j *job) *refusal {
	if s.options.Upstream.Kind == Service || j.call.Kind == kindService {
		return nil
	}
	if s.unreachable {
		return notRun(units.NotLoaded, "engine does not respond")
	}
	id := units.ModelID(j.call.Target)
	if !s.ledger.IsResident(id) && !s.ledger.IsLoading(id) {
		return notRun(units.NotLoaded, "model is not resident")
	}
	return nil
}

// checkSuspect refuses a request that crashed two upstreams, and an exclusive job while
// there is another one. It makes a crash suspect exclusive.
func (s *state) checkSuspect(now clock.Time, j *job) *refusal {
	switch s.suspects.Action(now, retry.Fingerprint(j.call.Fingerprint)) {
	case retry.Reject:
		return notRun(units.CrashSuspect, "request crashed two upstreams")
	case retry.Isolate:
		j.exclusive = true
	case retry.Allow:
	}
	if j.exclusive && s.exclusiveJob != nil {
		return notRun(units.Quarantine, "another crash suspect has exclusive use of the upstream")
	}
	return nil
}

// enqueue queues a job unless a limit is reached, and starts the jobs that may run.
func (s *state) enqueue(now clock.Time, j *job) *refusal {
	if limit := s.coldStartLimit.Limit(); limit > 0 && s.runningJobs+s.queue.Waiting() >= limit {
		r := notRun(units.ColdLimit, "upstream is in cold start")
		r.retryAfter = coldRetryAfter
		return r
	}
	if code := s.queue.Push(now, j.item); code != "" {
		r := notRun(code, "queue of the upstream is full")
		r.retryAfter = s.queue.EstimateWait(j.item)
		return r
	}
	s.jobs[j.item.ID] = j
	s.loadChanged = true
	if j.exclusive {
		s.exclusiveJob = j
	}
	s.startReady(now)
	return nil
}

// coldRetryAfter is the retry delay suggested while the upstream is in cold start.
const coldRetryAfter = 100 * clock.Millisecond

// startReady starts the queued jobs that may run.
func (s *state) startReady(now clock.Time) {
	for {
		it, ok := s.queue.Next(now, s.canStart)
		if !ok {
			return
		}
		s.startJob(now, s.jobs[it.ID])
	}
}

// canStart reports whether a queued item may start now. An exclusive job waits until no
// other job runs, and no other job starts until it has ended.
func (s *state) canStart(it *admit.Item) bool {
	if s.exclusiveJob != nil && (s.exclusiveJob.item.ID != it.ID || s.runningJobs > 0) {
		return false
	}
	if s.runningJobs >= s.options.Limits.Running || !s.coldStartLimit.CanTake() {
		return false
	}
	j := s.jobs[it.ID]
	if s.options.Upstream.Kind == Service || j.call.Kind == kindService {
		return true
	}
	id := units.ModelID(it.Target)
	return s.ledger.IsResident(id) && (!s.ledger.IsAdapter(id) || s.adapterLimit.CanTake())
}

// startJob marks a job as running and takes its concurrency slots.
func (s *state) startJob(now clock.Time, j *job) {
	j.running, j.startedAt, j.startTime = true, now, time.Now()
	s.runningJobs++
	j.coldStartSlot, _ = s.coldStartLimit.Take() // canStart has checked it
	if j.usesAdapter = s.ledger.IsAdapter(units.ModelID(j.call.Target)); j.usesAdapter {
		j.adapterSlot, _ = s.adapterLimit.Take() // canStart has checked it
	}
	if j.atMostOnce() {
		s.attempts.begin(j.item.ID)
	}
	s.loadChanged = true
	j.decision <- nil
}

// rejectQueued removes a queued job and refuses it.
func (s *state) rejectQueued(j *job, r *refusal) {
	s.queue.Remove(s.clock.Now(), j.item.ID)
	s.removeJob(j)
	j.decision <- r
}

// removeJob drops a job that has ended or was refused.
func (s *state) removeJob(j *job) {
	delete(s.jobs, j.item.ID)
	if s.exclusiveJob == j {
		s.exclusiveJob = nil
	}
	s.loadChanged = true
}

// rejectIfQueued refuses a job unless it has started or been refused already.
func (s *state) rejectIfQueued(now clock.Time, j *job, r *refusal) {
	if s.jobs[j.item.ID] == j && !j.running {
		s.rejectQueued(j, r)
		s.startReady(now)
	}
}

// rejectQueuedFor refuses the queued jobs of a target that is being unloaded.
func (s *state) rejectQueuedFor(id units.ModelID) {
	if s.ledger.IsResident(id) {
		return
	}
	for _, j := range s.jobs {
		if !j.running && j.call.Target == string(id) {
			s.rejectQueued(j, notRun(units.NotLoaded, "model is being unloaded"))
		}
	}
}

// hasRunning reports whether a job with this target runs.
func (s *state) hasRunning(id units.ModelID) bool {
	for _, j := range s.jobs {
		if j.running && j.call.Target == string(id) {
			return true
		}
	}
	return false
}
