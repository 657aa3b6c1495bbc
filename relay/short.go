package relay

import (
	"github.com/magnolialever/magnolialever/assign"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/units"
)

// work returns the work of the request in prompt tokens, as assign.Work.
func (x *exchange) work() float64 {
	return assign.Work(x.callerRequest.PromptTokens, x.callerRequest.ExpectedOutput())
}

// recordShortage reports a refusal that another copy of the model or adapter could have avoided.
func (x *exchange) recordShortage(code units.Code) {
	if x.server.OnModelShort == nil || !x.hasTarget() {
		return
	}
	switch code {
	case units.DeadlineMissed, units.ModelLoading, units.QueueFull:
		x.server.OnModelShort(x.service.Name, x.callerRequest.Model, x.callerRequest.Adapter, x.work())
	}
}

// hasTarget reports whether the request names a model, or an adapter, that the configuration has. Names of others are what a caller
// likes to send: they are no demand.
func (x *exchange) hasTarget() bool {
	return x.service.Engine != nil && x.service.Engine.Has(x.callerRequest.Model, x.callerRequest.Adapter)
}

// refuseUnknownTarget ends a request for a model or adapter that the configuration does not have and no upstream has loaded. It
// returns the attempt if it was assigned to an upstream meanwhile, else nil.
func (x *exchange) refuseUnknownTarget(scheduled *sched.Attempt) *sched.Attempt {
	x.server.mu.Lock()
	waiting := x.server.Scheduler.Cancel(scheduled)
	x.server.mu.Unlock()
	if !waiting {
		if <-scheduled.Ready; scheduled.Refused == nil {
			return scheduled
		}
	}
	x.reason = "not in the configuration"
	if x.runs > 0 || x.delivered.headSent {
		x.giveUp(x.reason)
		return nil
	}
	x.refuse(unknownTarget)
	return nil
}

// WaitingWork returns the work of the requests that wait for a model or adapter for too long, in prompt tokens.
func (s *Server) WaitingWork() map[assign.Target]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	work := map[assign.Target]float64{}
	for _, w := range s.Scheduler.Overdue(s.Clock.Now()) {
		work[assign.Target{Service: w.Service, Model: w.Model, Adapter: w.Adapter}] += assign.Work(w.Prompt, w.Output)
	}
	return work
}
