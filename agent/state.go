package agent

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const kindService = "service"

// state is the control state of the agent. Only the owner's goroutine uses it.
type state struct {
	options  Options
	leaving  bool
	sequence uint64
	calls    map[units.AttemptID]*job
	controls map[*control]struct{}
	changed  bool
	// serving counts the streams of requests; idle is closed when none is left
	// after the agent began to leave.
	serving int
	idle    chan struct{}
	empty   bool
}

// job is one admitted call.
type job struct {
	call    *wire.Call
	arrived clock.Time
	running bool
}

func newState(o Options) *state {
	return &state{
		options:  o,
		calls:    map[units.AttemptID]*job{},
		controls: map[*control]struct{}{},
		idle:     make(chan struct{}),
	}
}

// enter counts the stream of a request.
func (s *state) enter() { s.serving++ }

// exit counts the end of such a stream.
func (s *state) exit() {
	s.serving--
	s.checkIdle()
}

func (s *state) checkIdle() {
	if s.leaving && s.serving == 0 && !s.empty {
		s.empty = true
		close(s.idle)
	}
}

func (s *state) ready() bool { return !s.leaving }

// leave refuses new work from now on and tells all gateways.
func (s *state) leave() {
	s.leaving = true
	for c := range s.controls {
		c.push(s.leaveFrame())
	}
	s.pushLoad()
	s.checkIdle()
}

func (s *state) leaveFrame() *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Leave{Leave: &wire.Leave{Id: s.options.Node.ID}}}
}

// load describes the upstream as it is now.
func (s *state) load() *wire.Load {
	s.sequence++
	l := &wire.Load{
		Upstream:    s.options.Node.ID,
		Zone:        s.options.Node.Zone,
		Sequence:    s.sequence,
		Leaving:     s.leaving,
		MemoryTotal: int64(s.options.Upstream.Capacity),
	}
	for _, id := range s.options.Upstream.Services {
		l.Service = append(l.Service, string(id))
	}
	for _, j := range s.calls {
		if j.running {
			l.Running++
		} else {
			l.Waiting++
		}
		l.Backlog += j.call.Cost
	}
	return l
}

func (s *state) loadFrame() *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Load{Load: s.load()}}
}

// pushLoad sends the load to all gateways.
func (s *state) pushLoad() {
	s.changed = false
	for c := range s.controls {
		c.push(s.loadFrame())
	}
}

// admit decides on the start of a call.
func (s *state) admit(j *job) *refusal {
	if s.leaving {
		return notRun(units.Draining, "agent is stopping")
	}
	id := units.AttemptID(j.call.Attempt)
	if _, ok := s.calls[id]; ok || id == "" {
		return notRun(units.InvalidRequest, "attempt id is missing or in use")
	}
	j.running = true
	s.calls[id] = j
	s.changed = true
	return nil
}

// finish removes a call.
func (s *state) finish(j *job) {
	delete(s.calls, units.AttemptID(j.call.Attempt))
	s.changed = true
}
