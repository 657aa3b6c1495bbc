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
	now := s.clock.Now()
	s.mu.Lock()
	e, refuted := s.list.RecordSuccess(now, f)
	s.mu.Unlock()
	if refuted {
		s.send(retry.EncodeSuspect(now, e))
	}
}

// Receive merges the suspects of another process.
func (s *Suspects) Receive(m *wire.Suspects) {
	now := s.clock.Now()
	list := make([]retry.Suspect, 0, len(m.Suspect))
	for _, w := range m.Suspect {
		list = append(list, retry.DecodeSuspect(now, w))
	}
	s.merge(now, list)
}

// merge broadcasts only the changes, so that each process forwards a crash once.
func (s *Suspects) merge(now clock.Time, list []retry.Suspect) {
	var changed []*wire.Suspect
	s.mu.Lock()
	for _, e := range list {
		if s.list.Merge(now, e) {
			changed = append(changed, retry.EncodeSuspect(now, e))
		}
	}
	s.mu.Unlock()
	if len(changed) > 0 {
		s.send(changed...)
	}
}

// send sends suspects to all connected agents and gateways.
func (s *Suspects) send(list ...*wire.Suspect) {
	s.broadcast(&wire.Frame{Body: &wire.Frame_Suspects{Suspects: &wire.Suspects{Suspect: list}}})
}
