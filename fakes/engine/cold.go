package engine

import "github.com/magnolialever/magnolialever/clock"

// cold is the state of a cold start; it needs s.mu.
type cold struct {
	active    bool
	responses int
	// collapseEnd is when a collapse is over.
	collapseEnd clock.Time
}

// countResponse counts a complete answer; enough of them make the engine warm.
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

// collapseIfOverloaded fails all requests when there are more than a cold engine bears.
func (s *Server) collapseIfOverloaded() {
	if s.batch.size() <= s.options.MaxColdRequests {
		return
	}
	s.counts.Collapses++
	s.batch.endAll(errCollapsed, s.options.KVBlocks)
	s.cold = cold{active: true, collapseEnd: clock.System{}.Now().Add(s.options.CollapseTime)}
}

// SetCold turns the engine cold without warning, or warm.
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
