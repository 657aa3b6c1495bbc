package relay

import (
	"github.com/magnolialever/magnolialever/assign"
	"github.com/magnolialever/magnolialever/units"
)

// work returns the work of the request in prompt tokens, as assign.Work.
func (x *exchange) work() float64 {
	return assign.Work(x.callerRequest.PromptTokens, x.callerRequest.ExpectedOutput())
}

// recordShortage reports a refusal that another copy of the model or adapter could have avoided.
func (x *exchange) recordShortage(code units.Code) {
	if x.server.OnModelShort == nil || x.callerRequest.Model == "" {
		return
	}
	switch code {
	case units.DeadlineMissed, units.ModelLoading, units.QueueFull:
		x.server.OnModelShort(x.service.Name, x.callerRequest.Model, x.callerRequest.Adapter, x.work())
	}
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
