package sched

import "github.com/magnolialever/magnolialever/clock"

// NextCopy returns the time until the first load of the request's model that goes on is expected to be done, at least 0;
// false if no load is known.
func (s *Scheduler) NextCopy(now clock.Time, a *Attempt) (clock.Span, bool) {
	least, known := clock.Span(0), false
	for _, e := range s.snap.Upstreams {
		if e.Service != a.Service.Name || e.Draining || s.snap.ExcludedZones[e.Zone] {
			continue
		}
		for _, l := range e.Loading {
			left := max(l.ReadyAt.Sub(now), 0)
			if l.Model == a.Model && (!known || left < least) {
				least, known = left, true
			}
		}
	}
	return least, known
}
