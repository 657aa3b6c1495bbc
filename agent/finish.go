package agent

import (
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// promptScale is the prompt length at which the expected first-token latency is
// twice that of a short prompt. Without it a long prompt would look like a jump.
const promptScale = 512

// crash tells apart the crashes of the upstream.
type crash struct {
	id uint64
	at clock.Time
}

// finish accounts for the end of a job.
func (s *state) finish(now clock.Time, j *job, o outcome, k *keeper, r *refusal) {
	s.running--
	s.forget(j)
	s.allowance.Release(j.ticket, r == nil)
	s.queue.Done(now, j.item, units.Tokens(o.used))
	if j.adapter {
		s.adapters.ReleaseMicros(j.slot, j.tokenMicros(r), int(j.sent.Load()))
	}
	if j.once() {
		s.outcomes.end(now, j.item.ID, k, r)
	}
	switch {
	case r == nil:
		s.suspects.RecordSuccess(retry.Fingerprint(j.call.Fingerprint))
	case r.crashed:
		s.crashed(now, j, r)
	case r.code == units.UpstreamFailed && !r.cancelled:
		// It is overloaded, or down and cold when it comes back.
		s.allowance.Reset()
	}
	s.pump(now)
}

// tokenMicros returns the time for each token, or 0 when it is not known.
func (j *job) tokenMicros(r *refusal) int64 {
	if r != nil {
		return 0
	}
	total := time.Since(j.begun)
	if n := j.sent.Load(); n > 1 {
		return (total - time.Duration(j.first.Load())).Microseconds() / (n - 1)
	}
	return total.Microseconds()
}

// crashed makes all that ran suspects and tells the gateways. Requests that end by
// the same crash share its id.
func (s *state) crashed(now clock.Time, j *job, r *refusal) {
	if s.crash.id == 0 || j.started.After(s.crash.at) {
		s.crash = crash{id: newGeneration().incarnation, at: now}
	}
	r.crash = s.crash.id
	s.allowance.Reset()
	if j.call.Fingerprint == 0 {
		return
	}
	s.suspects.RecordCrash(now, retry.Fingerprint(j.call.Fingerprint), retry.CrashID(r.crash))
	f := s.suspectsFrame(now)
	for c := range s.controls {
		c.push(f)
	}
}

// suspectsFrame lists what the agent knows of crash suspects.
func (s *state) suspectsFrame(now clock.Time) *wire.Frame {
	m := &wire.Suspects{}
	for _, e := range s.suspects.List(now) {
		w := &wire.Suspect{
			Fingerprint: uint64(e.Fingerprint), Crashes: uint32(len(e.Crashes)), Ttl: int64(e.Expires.Sub(now)),
		}
		for _, c := range e.Crashes {
			w.Crash = append(w.Crash, uint64(c))
		}
		m.Suspect = append(m.Suspect, w)
	}
	return &wire.Frame{Body: &wire.Frame_Suspects{Suspects: m}}
}

// mergeSuspects takes what a gateway knows.
func (s *state) mergeSuspects(now clock.Time, m *wire.Suspects) {
	for _, w := range m.Suspect {
		e := retry.Suspect{
			Fingerprint: retry.Fingerprint(w.Fingerprint),
			Expires:     now.Add(min(clock.Span(w.Ttl), retry.SuspectTTL)),
		}
		for _, c := range w.Crash {
			e.Crashes = append(e.Crashes, retry.CrashID(c))
		}
		s.suspects.Merge(now, e)
	}
}

// firstToken passes a first-token latency to the allowance.
func (s *state) firstToken(j *job, latency clock.Span) {
	s.allowance.RecordFirstToken(j.ticket, latency*promptScale/(promptScale+clock.Span(j.prompt)))
}
