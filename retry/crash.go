package retry

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// crashWindow is the maximum time between a broken response and the end of the upstream's
	// process for which the request may have caused a crash.
	crashWindow = 5 * clock.Second
	// maxPendingResponses bounds the broken responses kept per process; the oldest is dropped.
	maxPendingResponses = 256
)

// incarnation identifies one run of an upstream process by its start time.
type incarnation struct {
	upstream units.UpstreamID
	start    int64
}

// brokenResponse is a response that ended before its last byte.
type brokenResponse struct {
	fingerprint Fingerprint
	at          clock.Time
}

// CrashDetector finds requests that crash their upstreams where no agent reports crashes: the
// response breaks off and the upstream's process turns out to have ended soon after. A response
// that breaks off while the process lives on, for instance through a connection reset, is not
// counted.
type CrashDetector struct {
	suspects *Suspects
	pending  map[incarnation][]brokenResponse
	waiting  map[incarnation][]waiter
}

// waiter is a function that is called if the process has ended soon after a time.
type waiter struct {
	at    clock.Time
	ended func()
}

// NewCrashDetector returns a CrashDetector without suspects.
func NewCrashDetector() *CrashDetector {
	return &CrashDetector{suspects: NewSuspects(), pending: map[incarnation][]brokenResponse{}, waiting: map[incarnation][]waiter{}}
}

// RecordBrokenResponse records that the response to the request f broke off; processStart
// identifies the upstream process that sent it.
func (c *CrashDetector) RecordBrokenResponse(now clock.Time, f Fingerprint, upstream units.UpstreamID, processStart int64) {
	p := incarnation{upstream, processStart}
	list := slices.DeleteFunc(c.pending[p], func(b brokenResponse) bool { return now.Sub(b.at) > crashWindow })
	if len(list) >= maxPendingResponses {
		list = list[1:]
	}
	c.pending[p] = append(list, brokenResponse{f, now})
}

// OnProcessEnd calls the function ended, from CheckProcesses or RecordProcessEnd, if the upstream's process turns out
// within crashWindow to have ended.
func (c *CrashDetector) OnProcessEnd(now clock.Time, upstream units.UpstreamID, processStart int64, ended func()) {
	p := incarnation{upstream, processStart}
	c.waiting[p] = append(recentWaiters(now, c.waiting[p]), waiter{now, ended})
}

// recentWaiters returns the waiters within crashWindow, the last maxPendingResponses-1 at most.
func recentWaiters(now clock.Time, list []waiter) []waiter {
	list = slices.DeleteFunc(list, func(w waiter) bool { return now.Sub(w.at) > crashWindow })
	return list[max(len(list)-maxPendingResponses+1, 0):]
}

// callWaiters calls the waiters of the processes that have ended.
func (c *CrashDetector) callWaiters(now clock.Time, ended func(upstream units.UpstreamID, processStart int64) bool) {
	for p, list := range c.waiting {
		list = recentWaiters(now, list)
		if len(list) > 0 && ended(p.upstream, p.start) {
			for _, w := range list {
				w.ended()
			}
			list = nil
		}
		c.waiting[p] = list
		if len(list) == 0 {
			delete(c.waiting, p)
		}
	}
}

// CheckProcesses calls ended for each process with broken responses within crashWindow. If it
// returns true, it records a crash for each of their requests. It returns the number of these
// requests.
func (c *CrashDetector) CheckProcesses(now clock.Time, ended func(upstream units.UpstreamID, processStart int64) bool) int {
	c.callWaiters(now, ended)
	reported := 0
	for p, list := range c.pending {
		list = slices.DeleteFunc(list, func(b brokenResponse) bool { return now.Sub(b.at) > crashWindow })
		if len(list) > 0 && ended(p.upstream, p.start) {
			reported += c.recordCrashes(now, p, list)
			list = nil
		}
		if len(list) == 0 {
			delete(c.pending, p)
			continue
		}
		c.pending[p] = list
	}
	return reported
}

// RecordProcessEnd records that the upstream's process has ended, because its port is closed.
// It returns the number of requests with a broken response there within crashWindow.
func (c *CrashDetector) RecordProcessEnd(now clock.Time, upstream units.UpstreamID) int {
	return c.CheckProcesses(now, func(id units.UpstreamID, _ int64) bool { return id == upstream })
}

func (c *CrashDetector) recordCrashes(now clock.Time, p incarnation, responses []brokenResponse) int {
	for _, b := range responses {
		c.suspects.RecordCrash(now, b.fingerprint, NewCrashID(p.upstream, p.start))
	}
	return len(responses)
}

// NewCrashID returns the ID of the end of the upstream's process that began at processStart, which all
// gateways compute alike.
func NewCrashID(upstream units.UpstreamID, processStart int64) CrashID {
	d := xxhash.New()
	_, _ = d.WriteString(string(upstream))
	return CrashID(d.Sum64() ^ uint64(processStart))
}

// Rejects reports whether the request has crashed too many upstreams to run again.
func (c *CrashDetector) Rejects(now clock.Time, f Fingerprint) bool {
	return c.suspects.Action(now, f) == Reject
}

// RecordSuccess records that an upstream has answered the request.
func (c *CrashDetector) RecordSuccess(now clock.Time, f Fingerprint) {
	c.suspects.RecordSuccess(now, f)
}

// TakeRejected is Suspects.TakeRejected.
func (c *CrashDetector) TakeRejected() []Fingerprint { return c.suspects.TakeRejected() }

// Restore is Suspects.Restore.
func (c *CrashDetector) Restore(now clock.Time, f Fingerprint) bool {
	return c.suspects.Restore(now, f)
}

// Merge adds a suspect that another gateway has sent.
func (c *CrashDetector) Merge(now clock.Time, s Suspect) { c.suspects.Merge(now, s) }

// List returns at most n suspects, those with the latest expiry first.
func (c *CrashDetector) List(now clock.Time, n int) []Suspect {
	list := c.suspects.List(now)
	slices.SortFunc(list, func(a, b Suspect) int { return int(b.Expires - a.Expires) })
	return list[:min(n, len(list))]
}
