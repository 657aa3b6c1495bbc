package sched

import "github.com/magnolialever/magnolialever/units"

// Waiting returns the number of queued requests of each service for which an upstream holds the model and adapter that
// they ask for, or that ask for none. Others wait for a load, which more upstreams would not end.
func (s *Scheduler) Waiting() map[units.ServiceID]int {
	out := map[units.ServiceID]int{}
	for _, a := range s.queue {
		if a.queued && !a.ModelMissing {
			out[a.Service.Name]++
		}
	}
	return out
}
