package sched

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// overdueShare is the part of the latency objective that is left when a request that waits counts as overdue. The other
// half is about what its prompt takes at an upstream.
const overdueShare = 0.5

// Overdue is a request for a model that has waited for most of its latency objective.
type Overdue struct {
	Service        units.ServiceID
	Model          units.ModelID
	Adapter        string
	Prompt, Output units.Tokens
}

// Overdue returns the queued requests that will hardly meet their latency objective, for models and adapters that engines can
// load.
func (s *Scheduler) Overdue(now clock.Time) []Overdue {
	var list []Overdue
	for _, a := range s.queue {
		objective := float64(a.Service.FirstEventObjective)
		if a.queued && a.Service.Engine != nil && a.Service.Engine.Has(a.Model, a.Adapter) && float64(a.FirstEventDue.Sub(now)) < objective*overdueShare {
			list = append(list, Overdue{Service: a.Service.Name, Model: a.Model, Adapter: a.Adapter, Prompt: a.Prompt, Output: a.Output})
		}
	}
	return list
}
