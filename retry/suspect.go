package retry

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// SuspectTTL is the time for which a fingerprint stays suspect.
	SuspectTTL = 10 * clock.Minute
	// crashLimit is the number of crashes after which a request is refused.
	crashLimit = 2
	// maxSuspects bounds the memory; the entry that ends first is dropped.
	maxSuspects = 4096
)

// Fingerprint identifies a request by customer, target and body.
type Fingerprint uint64

// CrashID identifies one crash of one upstream, so that a crash that several
// nodes report counts once.
type CrashID uint64

// Action says how a request may run.
type Action uint8

// Verdicts.
const (
	// Allow requests run with others.
	Allow Action = iota
	// Isolate: the request was running when an upstream crashed and runs alone.
	Isolate
	// Reject: the request has crashed two upstreams and is refused.
	Reject
)

// Suspect is the state of one fingerprint.
type Suspect struct {
	Fingerprint Fingerprint
	Crashes     []CrashID
	Expires     clock.Time
}

// Suspects tracks requests that were running when an upstream crashed. A request
// that was only a neighbour is cleared when it succeeds alone.
type Suspects struct {
	entries map[Fingerprint]*Suspect
}

// NewSuspects returns an empty Suspects.
func NewSuspects() *Suspects { return &Suspects{entries: map[Fingerprint]*Suspect{}} }

// RecordCrash records that the request was running when the upstream crashed.
func (s *Suspects) RecordCrash(now clock.Time, f Fingerprint, c CrashID) {
	s.Merge(now, Suspect{Fingerprint: f, Crashes: []CrashID{c}, Expires: now.Add(SuspectTTL)})
}

// Merge adds what another node knows and reports whether it was news.
func (s *Suspects) Merge(now clock.Time, other Suspect) bool {
	if !now.Before(other.Expires) {
		return false
	}
	e, ok := s.entries[other.Fingerprint]
	if !ok {
		s.evict(now)
		e = &Suspect{Fingerprint: other.Fingerprint}
		s.entries[other.Fingerprint] = e
	}
	news := false
	for _, c := range other.Crashes {
		if len(e.Crashes) < crashLimit && !slices.Contains(e.Crashes, c) {
			e.Crashes = append(e.Crashes, c)
			news = true
		}
	}
	if news {
		e.Expires = max(e.Expires, other.Expires)
	}
	return news
}

func (s *Suspects) evict(now clock.Time) {
	if len(s.entries) < maxSuspects {
		return
	}
	var first *Suspect
	for f, e := range s.entries {
		if !now.Before(e.Expires) {
			delete(s.entries, f)
			continue
		}
		if first == nil || e.Expires.Before(first.Expires) {
			first = e
		}
	}
	if len(s.entries) >= maxSuspects {
		delete(s.entries, first.Fingerprint)
	}
}

// RecordSuccess clears a request that ran to its end, unless it has been rejected.
func (s *Suspects) RecordSuccess(f Fingerprint) {
	if e, ok := s.entries[f]; ok && len(e.Crashes) < crashLimit {
		delete(s.entries, f)
	}
}

// Action tells how the request may run.
func (s *Suspects) Action(now clock.Time, f Fingerprint) Action {
	e, ok := s.entries[f]
	if !ok {
		return Allow
	}
	if !now.Before(e.Expires) {
		delete(s.entries, f)
		return Allow
	}
	if len(e.Crashes) >= crashLimit {
		return Reject
	}
	return Isolate
}

// List returns the suspects that have not expired.
func (s *Suspects) List(now clock.Time) []Suspect {
	list := make([]Suspect, 0, len(s.entries))
	for _, e := range s.entries {
		if now.Before(e.Expires) {
			list = append(list, Suspect{e.Fingerprint, slices.Clone(e.Crashes), e.Expires})
		}
	}
	return list
}

// QuarantineUpstream returns the upstream on which a suspect runs alone. Every
// gateway computes the same one, so that its agent sees all tries of a fingerprint
// and copies of the request can't crash several upstreams at once.
func QuarantineUpstream(f Fingerprint, usable []units.UpstreamID) (units.UpstreamID, bool) {
	var best units.UpstreamID
	var highest uint64
	for _, u := range usable {
		if h := rendezvous(f, u); best == "" || h > highest {
			best, highest = u, h
		}
	}
	return best, best != ""
}
