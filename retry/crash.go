package retry

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// crashWindow is how long after an answer broke off the end of its upstream counts as
	// a crash that the request may have caused.
	crashWindow = 5 * clock.Second
	// maxPendingResponses bounds the broken answers of one upstream that are remembered.
	maxPendingResponses = 256
)

// process is one start of an upstream.
type process struct {
	id   units.UpstreamID
	born int64
}

// brokenResponse is an answer that broke off.
type brokenResponse struct {
	fingerprint Fingerprint
	at          clock.Time
}

// CrashDetector finds requests that crash their upstreams where nobody reports crashes: an
// answer breaks off and the upstream's process is found to have ended soon after.
// Answers that break off for other reasons, such as a reset connection, count for
// nothing.
type CrashDetector struct {
	suspects *Suspects
	pending  map[process][]brokenResponse
}

// NewCrashDetector returns an empty Crashes.
func NewCrashDetector() *CrashDetector {
	return &CrashDetector{suspects: NewSuspects(), pending: map[process][]brokenResponse{}}
}

// RecordBrokenResponse notes that an answer to the request broke off at the process of the upstream.
func (c *CrashDetector) RecordBrokenResponse(now clock.Time, f Fingerprint, u units.UpstreamID, born int64) {
	p := process{u, born}
	list := slices.DeleteFunc(c.pending[p], func(b brokenResponse) bool { return now.Sub(b.at) > crashWindow })
	if len(list) >= maxPendingResponses {
		list = list[1:]
	}
	c.pending[p] = append(list, brokenResponse{f, now})
}

// CheckProcesses asks which processes have ended, of those at which answers broke off lately,
// and returns how many requests became suspects by it.
func (c *CrashDetector) CheckProcesses(now clock.Time, ended func(u units.UpstreamID, born int64) bool) int {
	found := 0
	for p, list := range c.pending {
		list = slices.DeleteFunc(list, func(b brokenResponse) bool { return now.Sub(b.at) > crashWindow })
		if len(list) > 0 && ended(p.id, p.born) {
			found += c.crashed(now, p, list)
			list = nil
		}
		if len(list) == 0 {
			delete(c.pending, p)
			continue
		}
		c.pending[p] = list
	}
	return found
}

// RecordProcessEnd notes that the upstream's process has ended, as its port is closed.
func (c *CrashDetector) RecordProcessEnd(now clock.Time, u units.UpstreamID) int {
	return c.CheckProcesses(now, func(id units.UpstreamID, _ int64) bool { return id == u })
}

func (c *CrashDetector) crashed(now clock.Time, p process, list []brokenResponse) int {
	for _, b := range list {
		c.suspects.RecordCrash(now, b.fingerprint, p.crashID())
	}
	return len(list)
}

// crashID identifies the crash of the process for all gateways.
func (p process) crashID() CrashID {
	d := xxhash.New()
	_, _ = d.WriteString(string(p.id))
	return CrashID(d.Sum64() ^ uint64(p.born))
}

// Rejects reports whether the request has crashed too many upstreams to run again.
func (c *CrashDetector) Rejects(now clock.Time, f Fingerprint) bool {
	return c.suspects.Action(now, f) == Reject
}

// RecordSuccess clears a request that ran to its end.
func (c *CrashDetector) RecordSuccess(f Fingerprint) { c.suspects.RecordSuccess(f) }

// Merge adds what another gateway knows.
func (c *CrashDetector) Merge(now clock.Time, s Suspect) { c.suspects.Merge(now, s) }

// List returns at most n suspects, those that end last first.
func (c *CrashDetector) List(now clock.Time, n int) []Suspect {
	list := c.suspects.List(now)
	slices.SortFunc(list, func(a, b Suspect) int { return int(b.Expires - a.Expires) })
	return list[:min(n, len(list))]
}
