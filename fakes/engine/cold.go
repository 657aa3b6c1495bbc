package engine

import "github.com/magnolialever/magnolialever/clock"

// cold is the state of a cold start; it needs s.mu.
type cold struct {
	on      bool
	answers int
	// until is when a collapse is over.
	until clock.Time
}

// answered counts a complete answer; enough of them make the engine warm.
func (c *cold) answered(enough int) {
	if !c.on {
		return
	}
	c.answers++
	if c.answers >= enough {
		*c = cold{}
	}
}

func (c *cold) collapsed(now clock.Time) bool { return now.Before(c.until) }

// collapse fails all requests when there are more than a cold engine bears.
func (s *Server) collapse() {
	if s.batch.size() <= s.options.MaxColdRequests {
		return
	}
	s.counts.Collapses++
	s.batch.endAll(errCollapsed, s.options.KVBlocks)
	s.cold = cold{on: true, until: clock.System{}.Now().Add(s.options.CollapseTime)}
}

// SetCold turns the engine cold without warning, or warm.
func (s *Server) SetCold(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold = cold{on: on}
}

// Cold reports whether the engine is cold.
func (s *Server) Cold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cold.on
}
