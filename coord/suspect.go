package coord

import (
	"sync"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/wire"
)

// Suspects shares what the fleet knows of requests that crashed upstreams between
// traffic, which asks for each request, and the control loop, which spreads news.
type Suspects struct {
	mu     sync.Mutex
	list   *retry.Suspects
	clock  clock.Clock
	spread func(f *wire.Frame)
}

// NewSuspects returns a Suspects that sends news by spread, which must not block.
func NewSuspects(c clock.Clock, spread func(f *wire.Frame)) *Suspects {
	return &Suspects{list: retry.NewSuspects(), clock: c, spread: spread}
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

// Receive takes what another node knows.
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

// merge spreads only what is news here, so that each node passes a crash on once.
func (s *Suspects) merge(now clock.Time, list []retry.Suspect) {
	news := &wire.Suspects{}
	s.mu.Lock()
	for _, e := range list {
		if s.list.Merge(now, e) {
			news.Suspect = append(news.Suspect, suspectOf(now, e))
		}
	}
	s.mu.Unlock()
	if len(news.Suspect) > 0 {
		s.spread(&wire.Frame{Body: &wire.Frame_Suspects{Suspects: news}})
	}
}

func suspectOf(now clock.Time, e retry.Suspect) *wire.Suspect {
	w := &wire.Suspect{
		Fingerprint: uint64(e.Fingerprint), Crashes: uint32(len(e.Crashes)), Ttl: int64(e.Expires.Sub(now)),
	}
	for _, c := range e.Crashes {
		w.Crash = append(w.Crash, uint64(c))
	}
	return w
}
