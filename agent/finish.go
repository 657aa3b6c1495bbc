package agent

import (
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// promptScaleTokens is the prompt length at which the expected first-token latency is
// twice that of a short prompt. First-token latencies are normalized with it, because the
// cold-start limit would otherwise take a long prompt for a rise in latency.
const promptScaleTokens = 512

// crash identifies one crash of the upstream.
type crash struct {
	// id is random and not 0; 0 means that no crash was seen.
	id         uint64
	detectedAt clock.Time
}

// finishJob releases the resources of a job that has ended, records its result and starts
// the jobs that may run now. r is nil when the call succeeded.
func (s *state) finishJob(now clock.Time, j *job, counts tokenCounts, rec *responseRecorder, r *refusal) {
	s.runningJobs--
	s.removeJob(j)
	s.coldStartLimit.Release(j.coldStartSlot, r == nil)
	s.queue.Done(now, j.item, units.Tokens(counts.used))
	if j.usesAdapter {
		s.adapterLimit.ReleaseMicros(j.adapterSlot, j.microsPerToken(r), int(j.sentEvents.Load()))
	}
	if j.atMostOnce() {
		s.attempts.finish(now, j.item.ID, rec, r)
	}
	switch {
	case r == nil:
		s.recordAnswer(now, j)
	case r.crashed:
		s.recordCrash(now, j, r)
	case r.code == units.UpstreamFailed && !r.canceled && !r.secondAnswer:
		// The upstream is overloaded, or it is down and will be cold after its restart.
		s.coldStartLimit.Reset()
	}
	s.startReady(now)
}

// microsPerToken returns the mean time per token in microseconds, or 0 after a refusal. It
// excludes the time to the first token when there is more than one.
func (j *job) microsPerToken(r *refusal) int64 {
	if r != nil {
		return 0
	}
	total := time.Since(j.startTime)
	if n := j.sentEvents.Load(); n > 1 {
		return (total - time.Duration(j.firstEventDelay.Load())).Microseconds() / (n - 1)
	}
	return total.Microseconds()
}

// recordCrash records the job's request as a crash suspect and pushes the suspects to the
// gateways. Jobs that the same crash ended share a crash id: a job that started before the
// last crash was detected belongs to that crash.
func (s *state) recordCrash(now clock.Time, j *job, r *refusal) {
	if s.lastCrash.id == 0 || j.startedAt.After(s.lastCrash.detectedAt) {
		s.lastCrash = crash{id: newGeneration().incarnation, detectedAt: now}
	}
	r.crashID = s.lastCrash.id
	s.coldStartLimit.Reset()
	if j.call.Fingerprint == 0 {
		return
	}
	s.suspects.RecordCrash(now, retry.Fingerprint(j.call.Fingerprint), retry.CrashID(r.crashID))
	s.pushSuspects(now)
}

// pushSuspects sends all crash suspects to the gateways.
func (s *state) pushSuspects(now clock.Time) {
	f := s.suspectsFrame(now)
	for c := range s.controlStreams {
		c.push(f)
	}
}

// recordAnswer records that the upstream has answered the job's request, and pushes the suspects to the gateways if that
// refutes that the request has caused crashes.
func (s *state) recordAnswer(now clock.Time, j *job) {
	if _, refuted := s.suspects.RecordSuccess(now, retry.Fingerprint(j.call.Fingerprint)); refuted {
		s.pushSuspects(now)
	}
}

// suspectsFrame returns a frame with all crash suspects.
func (s *state) suspectsFrame(now clock.Time) *wire.Frame {
	suspects := &wire.Suspects{}
	for _, e := range s.suspects.List(now) {
		suspects.Suspect = append(suspects.Suspect, retry.EncodeSuspect(now, e))
	}
	return &wire.Frame{Body: &wire.Frame_Suspects{Suspects: suspects}}
}

// mergeSuspects adds the crash suspects of a gateway.
func (s *state) mergeSuspects(now clock.Time, m *wire.Suspects) {
	for _, suspect := range m.Suspect {
		s.suspects.Merge(now, retry.DecodeSuspect(now, suspect))
	}
}

// recordFirstToken passes a first-token latency, normalized to a short prompt, to the
// cold-start limit.
func (s *state) recordFirstToken(j *job, latency clock.Span) {
	s.coldStartLimit.RecordFirstToken(j.coldStartSlot, latency*promptScaleTokens/(promptScaleTokens+clock.Span(j.promptTokens)))
}
