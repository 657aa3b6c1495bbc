package retry

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// SuspectTTL is the time after its last counted crash during which a fingerprint stays
	// suspect.
	SuspectTTL = 10 * clock.Minute
	// CrashLimit is the number of crashes after which a request is refused.
	CrashLimit = 2
	// maxSuspects bounds the memory; the entry that expires first is dropped.
	maxSuspects = 4096
	// maxRejected bounds the requests that wait for TakeRejected; the oldest is dropped.
	maxRejected = 64
	// maxRefuted bounds the refuted crashes of a request; the oldest is dropped.
	maxRefuted = 8
)

// Fingerprint identifies a request by customer, target and body.
type Fingerprint uint64

// CrashID identifies one crash of one upstream, so that a crash reported by several nodes
// counts once.
type CrashID uint64

// Action tells how a request may run.
type Action uint8

// Actions, from the mildest to the strictest.
const (
	// Allow lets the request run beside others.
	Allow Action = iota
	// Isolate lets the request run only on an upstream without other requests, because it was
	// running when an upstream crashed.
	Isolate
	// Reject refuses the request, because it was running in CrashLimit crashes.
	Reject
)

// Suspect lists the crashes during which the request of a fingerprint was running.
type Suspect struct {
	Fingerprint Fingerprint
	Crashes     []CrashID
	// Refuted are crashes that the request has not caused, as an upstream has answered it. Other processes may still count them.
	Refuted []CrashID
	Expires clock.Time
}

// suspectEntry is what this process knows of a suspect. own is set if it has recorded one of the crashes itself.
type suspectEntry struct {
	Suspect
	own bool
}

// Suspects tracks requests that were running when an upstream crashed. One that causes crashes is never answered: an answer, before
// or after a crash, refutes that the request has caused it, at all processes.
type Suspects struct {
	entries  map[Fingerprint]*suspectEntry
	answered answeredRequests
	// rejected are those that TakeRejected returns next.
	rejected []Fingerprint
}

// NewSuspects returns an empty Suspects.
func NewSuspects() *Suspects { return &Suspects{entries: map[Fingerprint]*suspectEntry{}} }

// RecordCrash records that the request was running when the upstream crashed.
func (s *Suspects) RecordCrash(now clock.Time, f Fingerprint, c CrashID) {
	s.merge(now, Suspect{Fingerprint: f, Crashes: []CrashID{c}, Expires: now.Add(SuspectTTL)}, true)
}

// Merge adds the crashes of a suspect from another node and reports whether one of them was
// new. Expired suspects are ignored.
func (s *Suspects) Merge(now clock.Time, other Suspect) bool { return s.merge(now, other, false) }

// merge is Merge; own is set if this process has recorded the crashes.
func (s *Suspects) merge(now clock.Time, other Suspect, own bool) bool {
	if !now.Before(other.Expires) {
		return false
	}
	e, ok := s.entries[other.Fingerprint]
	if !ok {
		s.evict(now)
		e = &suspectEntry{Suspect: Suspect{Fingerprint: other.Fingerprint}}
		s.entries[other.Fingerprint] = e
	}
	changed := e.refute(other.Refuted)
	if s.answered.has(now, other.Fingerprint) {
		changed = e.refute(other.Crashes) || changed
	}
	counted := e.count(other.Crashes)
	if changed || counted {
		e.Expires = max(e.Expires, other.Expires)
	}
	e.own = e.own || own
	if counted && e.own && len(e.Crashes) == CrashLimit {
		s.rejected = append(s.rejected[max(len(s.rejected)-maxRejected+1, 0):], other.Fingerprint)
	}
	return changed || counted
}

// count adds crashes that are not refuted, up to CrashLimit, and reports whether one of them was new.
func (e *suspectEntry) count(crashes []CrashID) bool {
	before := len(e.Crashes)
	for _, c := range crashes {
		if len(e.Crashes) < CrashLimit && !slices.Contains(e.Crashes, c) && !slices.Contains(e.Refuted, c) {
			e.Crashes = append(e.Crashes, c)
		}
	}
	return len(e.Crashes) > before
}

// refute records that the request has not caused the crashes, and reports whether that was new of one of them.
func (e *suspectEntry) refute(crashes []CrashID) bool {
	changed := false
	for _, c := range crashes {
		if slices.Contains(e.Refuted, c) {
			continue
		}
		e.Refuted = append(e.Refuted[max(len(e.Refuted)-maxRefuted+1, 0):], c)
		changed = true
	}
	e.Crashes = slices.DeleteFunc(e.Crashes, func(c CrashID) bool { return slices.Contains(e.Refuted, c) })
	return changed
}

// TakeRejected returns the requests that have come to be refused since the last call and of whose crashes this process
// has recorded one.
func (s *Suspects) TakeRejected() []Fingerprint {
	list := s.rejected
	s.rejected = nil
	return list
}

// Restore refuses a request that is known, after a restart, to have crashed upstreams. It reports whether it was not
// refused before.
func (s *Suspects) Restore(now clock.Time, f Fingerprint) bool {
	if s.Action(now, f) == Reject {
		return false
	}
	known := Suspect{Fingerprint: f, Expires: now.Add(SuspectTTL)}
	for i := range CrashLimit {
		// Which processes ended is not kept.
		known.Crashes = append(known.Crashes, CrashID(i))
	}
	s.Merge(now, known)
	return true
}

// evict makes room for one entry if there are maxSuspects: it drops the expired ones, or else
// the one that expires first.
func (s *Suspects) evict(now clock.Time) {
	if len(s.entries) < maxSuspects {
		return
	}
	var earliest *suspectEntry
	for f, e := range s.entries {
		if !now.Before(e.Expires) {
			delete(s.entries, f)
			continue
		}
		if earliest == nil || e.Expires.Before(earliest.Expires) {
			earliest = e
		}
	}
	if len(s.entries) >= maxSuspects {
		delete(s.entries, earliest.Fingerprint)
	}
}

// RecordSuccess records that an upstream has answered the request. It returns the suspect with the crashes that this refutes,
// to be sent to other processes, and false if there are none.
func (s *Suspects) RecordSuccess(now clock.Time, f Fingerprint) (Suspect, bool) {
	s.answered.add(now, f)
	e, ok := s.entries[f]
	if !ok || !e.refute(slices.Clone(e.Crashes)) {
		return Suspect{}, false
	}
	// It outlives what other processes know.
	e.Expires = now.Add(SuspectTTL)
	return e.clone(), true
}

func (e *suspectEntry) clone() Suspect {
	return Suspect{Fingerprint: e.Fingerprint, Crashes: slices.Clone(e.Crashes), Refuted: slices.Clone(e.Refuted), Expires: e.Expires}
}

// Action returns how the request may run.
func (s *Suspects) Action(now clock.Time, f Fingerprint) Action {
	e, ok := s.entries[f]
	if !ok {
		return Allow
	}
	if !now.Before(e.Expires) {
		delete(s.entries, f)
		return Allow
	}
	switch len(e.Crashes) {
	case 0:
		return Allow
	case CrashLimit:
		return Reject
	default:
		return Isolate
	}
}

// List returns the suspects that have not expired.
func (s *Suspects) List(now clock.Time) []Suspect {
	list := make([]Suspect, 0, len(s.entries))
	for _, e := range s.entries {
		if now.Before(e.Expires) {
			list = append(list, e.clone())
		}
	}
	return list
}

// QuarantineUpstream returns the upstream on which an isolated suspect runs, or false if usable is
// empty. All gateways compute the same one, so that its agent sees all attempts of a fingerprint
// and copies of the request can't crash several upstreams at once.
func QuarantineUpstream(f Fingerprint, usable []units.UpstreamID) (units.UpstreamID, bool) {
	var best units.UpstreamID
	var bestHash uint64
	for _, u := range usable {
		if hash := rendezvousHash(f, u); best == "" || hash > bestHash {
			best, bestHash = u, hash
		}
	}
	return best, best != ""
}
