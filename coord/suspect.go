package coord

import (
	"sync"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/wire"
)

// Suspects implements gate.Suspects: it holds the crash suspects, the requests that were running
// when upstreams crashed, and sends changes to all connected agents and gateways.
type Suspects struct {
	mu        sync.Mutex
	list      *retry.Suspects
	clock     clock.Clock
	broadcast func(f *wire.Frame)
}

// NewSuspects returns an empty Suspects that sends changes by broadcast, which must not block.
func NewSuspects(c clock.Clock, broadcast func(f *wire.Frame)) *Suspects {
	return &Suspects{list: retry.NewSuspects(), clock: c, broadcast: broadcast}
}

// Verdict implements gate.Suspects.
func (s *Suspects) Verdict(f retry.Fingerprint) retry.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Action(s.clock.Now(), f)
}

// Crashed implements gate.Suspects.
func (s *Suspects) Crashed(f retry.Fingerprint, c retry.CrashID) {
	now := s.clock.Now()
	s.merge(now, []retry.Suspect{{Fingerprint: f, Crashes: []retry.CrashID{c}, Expires: now.Add(retry.SuspectTTL)}})
}

// Succeeded implements gate.Suspects.
func (s *Suspects) Succeeded(f retry.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.RecordSuccess(f)
}

// Receive merges the suspects of another process. Their time to live is at most retry.SuspectTTL.
func (s *Suspects) Receive(m *wire.Suspects) {
	now := s.clock.Now()
	list := make([]retry.Suspect, 0, len(m.Suspect))
	for _, w := range m.Suspect {
		e := retry.Suspect{Fingerprint: retry.Fingerprint(w.Fingerprint), Expires: now.Add(min(clock.Span(w.Ttl), retry.SuspectTTL))}
		for _, c := range w.Crash {
			e.Crashes = append(e.Crashes, retry.CrashID(c))
		}
		list = append(list, e)
	}
	s.merge(now, list)
}

// merge broadcasts only the changes, so that each process forwards a crash once.
func (s *Suspects) merge(now clock.Time, list []retry.Suspect) {
	changed := &wire.Suspects{}
	s.mu.Lock()
	for _, e := range list {
		if s.list.Merge(now, e) {
			changed.Suspect = append(changed.Suspect, suspectMessage(now, e))
		}
	}
	s.mu.Unlock()
	if len(changed.Suspect) > 0 {
		s.broadcast(&wire.Frame{Body: &wire.Frame_Suspects{Suspects: changed}})
	}
}

func suspectMessage(now clock.Time, e retry.Suspect) *wire.Suspect {
	w := &wire.Suspect{
		Fingerprint: uint64(e.Fingerprint), Crashes: uint32(len(e.Crashes)), Ttl: int64(e.Expires.Sub(now)),
	}
	for _, c := range e.Crashes {
		w.Crash = append(w.Crash, uint64(c))
	}
	return w
}
