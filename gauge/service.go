package gauge

import "github.com/magnolialever/magnolialever/units"

// Start values, which hold until the first answers of a service.
const (
	startBaseMs       = 15.0
	startPrefillRate  = 24.0 // prompt tokens per millisecond
	startPerRunningMs = 1.2
	startEventMs      = 40.0
	// startEventPerRunningMs is the delay of an event per request that runs at the upstream.
	startEventPerRunningMs = 0.2
	startServiceMs         = 60.0
)

// Scales of features.
const (
	promptScale  = 800.0 // tokens
	runningScale = 20.0  // requests
)

// Service is what all upstreams of a service have in common: the mean times of their answers. New upstreams begin with them.
type Service struct {
	models map[units.ModelID]*engineCurves
	// mean has the times over all models, with which new ones begin.
	mean  engineCurves
	calls curve
}

// engineCurves are the times to the first event and between events of a model.
type engineCurves struct{ first, event curve }

func newService() *Service {
	return &Service{
		models: map[units.ModelID]*engineCurves{},
		mean: engineCurves{
			first: newCurve(features{startBaseMs, promptScale / startPrefillRate, runningScale * startPerRunningMs}),
			event: newCurve(features{startEventMs, runningScale * startEventPerRunningMs}),
		},
		calls: newCurve(features{startServiceMs, startServiceMs}),
	}
}

func (s *Service) curves(m units.ModelID) *engineCurves {
	if c, ok := s.models[m]; ok {
		return c
	}
	return &s.mean
}

// learner returns the curves of a model to learn from an answer. Only upstreams that have loaded it answer, so that there are no more than
// the configuration has.
func (s *Service) learner(m units.ModelID) *engineCurves {
	c, ok := s.models[m]
	if !ok {
		c = &engineCurves{s.mean.first, s.mean.event}
		// The model begins with the mean and moves away from it fast.
		c.first.observed, c.event.observed = 0, 0
		s.models[m] = c
	}
	return c
}

// firstFeatures returns the features of a time to the first event.
func firstFeatures(prefill units.Tokens, running int) features {
	return features{1, float64(prefill) / promptScale, float64(running) / runningScale}
}

func eventFeatures(running int) features { return features{1, float64(running) / runningScale} }

// callFeatures returns the features of the service time of a plain service: it grows little until many of the requests that the
// upstream takes well run.
func callFeatures(running int, limit float64) features {
	occupancy := float64(running) / max(limit, 1)
	return features{1, occupancy * occupancy}
}

// Services has what was learned of all services. The zero value is ready to use.
type Services map[units.ServiceID]*Service

// Get returns the service with the ID, and makes it if there was none.
func (s Services) Get(id units.ServiceID) *Service {
	v, ok := s[id]
	if !ok {
		v = newService()
		s[id] = v
	}
	return v
}
