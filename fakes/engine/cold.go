package engine

import "github.com/magnolialever/magnolialever/clock"

// cold is the state of a cold start; s.mu guards it.
type cold struct {
	active bool
	// responses counts the complete responses since the cold start.
	responses int
	// collapseEnd is the time until which a collapsed engine refuses all requests.
	collapseEnd clock.Time
}

// countResponse counts a complete response. The engine is warm after warmupResponses of them.
func (c *cold) countResponse(warmupResponses int) {
	if !c.active {
		return
	}
	c.responses++
	if c.responses >= warmupResponses {
		*c = cold{}
	}
}

func (c *cold) collapsed(now clock.Time) bool { return now.Before(c.collapseEnd) }

// collapseIfOverloaded ends all requests with an error if there are more than a cold engine
// can serve, and then refuses requests for CollapseTime.
func (s *Server) collapseIfOverloaded() {
	if s.batch.size() <= s.options.MaxColdRequests {
		return
	}
	s.counts.Collapses++
	s.batch.endAll(errCollapsed, s.options.KVBlocks)
	s.cold = cold{active: true, collapseEnd: clock.System{}.Now().Add(s.options.CollapseTime)}
}

// SetCold makes the engine cold or warm at once.
func (s *Server) SetCold(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold = cold{active: on}
}

// Cold reports whether the engine is cold.
func (s *Server) Cold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cold.active
}
