package parts

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/units"
)

// EverBegan is the earliest time at which an answer can have begun. It stands for an answer of which only
// is known that it began.
const EverBegan = clock.Time(1)

// ID identifies a part of prompts at a service.
type ID uint64

// NewID returns the ID of the part with a text id, which is unique among the prompts for the service.
func NewID(service units.ServiceID, part string) ID {
	d := xxhash.New()
	_, _ = d.WriteString(string(service) + "\x00" + part)
	return ID(d.Sum64()) &^ targetBit
}

// targetBit is set in the IDs of models and adapters, and not in those of parts.
const targetBit = ID(1) << 63

// NewTargetID returns the ID of a model or adapter of a service.
func NewTargetID(service units.ServiceID, target string) ID {
	return NewID(service, "\x00"+target) | targetBit
}

// Prompt is what a request shares with others and may crash upstreams.
type Prompt struct {
	// Parts are the parts of the prompt that other requests may share.
	Parts []ID
	// Target is the model or adapter; 0 is none. Evidence for it is kept as for parts, but requests need no
	// permits for it unless it is refused: the upstreams that have loaded it bound those that it ends at once.
	Target ID
}

// all returns the parts and the target.
func (p Prompt) all() []ID {
	if p.Target == 0 {
		return p.Parts
	}
	return append(slices.Clone(p.Parts), p.Target)
}

// Crash is the end of an upstream's process before an answer to a prompt with the part began.
type Crash struct {
	ID retry.CrashID
	// SentAt is when the prompt was sent to the upstream.
	SentAt clock.Time
}

// Suspect is what is known of a part that was in prompts whose upstream crashed.
type Suspect struct {
	Part ID
	// BeganAt is when an answer to a prompt with the part began last; 0 is never. It refutes all crashes
	// of prompts that were sent before.
	BeganAt clock.Time
	Crashes []Crash
}

// unrefuted returns the crashes that no answer refutes. Others are not kept: they would take the place of new ones, and
// a gateway that can't date them would believe them.
func (s *Suspect) unrefuted() []Crash {
	return slices.DeleteFunc(slices.Clone(s.Crashes), func(c Crash) bool { return !c.SentAt.After(s.BeganAt) })
}

// count returns the number of crashes that no answer refutes.
func (s *Suspect) count() int {
	n := 0
	for _, c := range s.Crashes {
		if c.SentAt.After(s.BeganAt) {
			n++
		}
	}
	return n
}

// crashLimit returns the number of crashes that no answer refutes from which on the part is refused. A model needs one
// more, so that a part of prompts for it is refused before and explains its crashes.
func (s *Suspect) crashLimit() int {
	if s.BeganAt != 0 || s.Part&targetBit != 0 {
		return provenCrashLimit
	}
	return crashLimit
}

// condemned reports whether the part is refused.
func (s *Suspect) condemned() bool { return s.count() >= s.crashLimit() }
