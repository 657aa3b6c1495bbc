package parts

import (
	"cmp"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/retry"
)

// suspect is a Suspect with what this gateway decides about it.
type suspect struct {
	Suspect
	// trialAt is when a request may be sent although the part is refused. trial is the last one that was
	// granted here, until its end is known; 0 is none.
	trialAt clock.Time
	trial   Permit
	// changedAt is when the last crash was learned.
	changedAt clock.Time
}

// RecordBegan records that an answer to a prompt with the part began. It reports whether that refutes a
// crash.
func (l *Ledger) RecordBegan(part ID, at clock.Time) bool {
	l.proven.add(part, at)
	s, ok := l.suspects[part]
	if !ok {
		return false
	}
	before := s.count()
	s.BeganAt = max(s.BeganAt, at)
	return s.count() < before
}

// RecordHarmless records that the owner of a part knows it as proven. When its answer began is not known
// here, so that this refutes no crash.
func (l *Ledger) RecordHarmless(part ID) { l.proven.add(part, EverBegan) }

// RecordCrash records that an upstream crashed before an answer to a prompt with the parts began. If some
// of them are refused, or else not proven, the others are innocent. It returns the parts for which this is a
// new crash that no answer refutes.
func (l *Ledger) RecordCrash(now clock.Time, prompt []ID, c Crash) []ID {
	return slices.DeleteFunc(l.blamed(now, prompt), func(part ID) bool {
		return !l.Merge(now, Suspect{Part: part, Crashes: []Crash{c}})
	})
}

// blamed returns the parts of a prompt that explain a crash.
func (l *Ledger) blamed(now clock.Time, prompt []ID) []ID {
	var refused, unproven []ID
	for _, part := range prompt {
		if state, _ := l.State(now, part); state == Refused {
			refused = append(refused, part)
		}
		if l.proven.beganAt(part) == 0 {
			unproven = append(unproven, part)
		}
	}
	switch {
	case len(refused) > 0:
		return refused
	case len(unproven) > 0:
		return unproven
	}
	return slices.Clone(prompt)
}

// Restore adds a verdict from the store, unless an answer with the part began that this gateway knows of, or it
// knows of as many crashes. It reports whether it did.
func (l *Ledger) Restore(now clock.Time, v Verdict) bool {
	known, ok := l.suspects[v.Part]
	if l.proven.beganAt(v.Part) != 0 || ok && (known.BeganAt != 0 || known.count() >= v.Crashes) {
		return false
	}
	s := Suspect{Part: v.Part}
	for i := range min(v.Crashes, maxCrashes) {
		// All gateways compute the same ids, so that the crashes count once.
		s.Crashes = append(s.Crashes, Crash{ID: retry.CrashID(uint64(v.Part) + uint64(i)), SentAt: now})
	}
	return l.Merge(now, s)
}

// Verdict returns the verdict on a part; its Crashes are 0 if the part is not refused.
func (l *Ledger) Verdict(part ID) Verdict {
	if s, ok := l.suspects[part]; ok && s.condemned() {
		return Verdict{Part: part, Crashes: s.count()}
	}
	return Verdict{Part: part}
}

// Merge adds what another gateway knows of a suspect. It reports whether there are more crashes that no
// answer refutes.
func (l *Ledger) Merge(now clock.Time, other Suspect) bool {
	s, ok := l.suspects[other.Part]
	if !ok {
		l.evict(now)
		s = &suspect{Suspect: Suspect{Part: other.Part}}
		l.suspects[other.Part] = s
	}
	before := s.count()
	s.BeganAt = max(s.BeganAt, other.BeganAt, l.proven.beganAt(other.Part))
	s.Crashes = s.unrefuted()
	for _, c := range other.Crashes {
		known := slices.ContainsFunc(s.Crashes, func(k Crash) bool { return k.ID == c.ID })
		if !known && c.SentAt.After(s.BeganAt) && len(s.Crashes) < maxCrashes {
			s.Crashes = append(s.Crashes, c)
		}
	}
	after := s.count()
	if after > before {
		s.changedAt = now
		s.trial, s.trialAt = 0, now.Add(delayOfTrial(after))
		return true
	}
	return false
}

// delayOfTrial returns the time from a crash, the last of n, to the next trial.
func delayOfTrial(n int) clock.Span {
	if n <= crashLimit {
		return firstTrialDelay
	}
	return min(trialDelay<<min(n-crashLimit-1, 10), maxTrialDelay)
}

// evict makes room for suspects if there are maxSuspects: it drops the less important half.
func (l *Ledger) evict(now clock.Time) {
	if len(l.suspects) < maxSuspects {
		return
	}
	list := l.byImportance(now)
	for _, s := range list[min(maxSuspects/2, len(list)):] {
		delete(l.suspects, s.Part)
	}
}

// byImportance drops suspects that have expired and returns the others: those with the most crashes first,
// then those that changed last.
func (l *Ledger) byImportance(now clock.Time) []*suspect {
	list := make([]*suspect, 0, len(l.suspects))
	for part, s := range l.suspects {
		if !s.condemned() && now.Sub(s.changedAt) >= suspectTTL {
			delete(l.suspects, part)
			continue
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(b.count(), a.count()), cmp.Compare(b.changedAt, a.changedAt))
	})
	return list
}

// Suspects returns at most n suspects, the most important first.
func (l *Ledger) Suspects(now clock.Time, n int) []Suspect {
	list := l.byImportance(now)
	out := make([]Suspect, 0, min(n, len(list)))
	for _, s := range list[:min(n, len(list))] {
		out = append(out, Suspect{s.Part, s.BeganAt, s.unrefuted()})
	}
	return out
}

// Get returns what is known of a suspect, and false if the part is none.
func (l *Ledger) Get(part ID) (Suspect, bool) {
	s, ok := l.suspects[part]
	if !ok {
		return Suspect{}, false
	}
	return Suspect{s.Part, s.BeganAt, s.unrefuted()}, true
}
