package agent

import (
	"github.com/magnolialever/magnolialever/admit"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/place"
	"github.com/magnolialever/magnolialever/rate"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	kindService = "service"

	// ledgerLag covers the age of an engine's load report.
	ledgerLag = 2 * clock.Second
)

// state is the control state of the agent. Only the owner's goroutine uses it.
type state struct {
	options Options
	free    bool
	clock   clock.Clock

	// Of the process.
	leaving  bool
	sequence uint64
	changed  bool
	controls map[*control]struct{}
	// serving counts the streams of requests; idle is closed when none is left
	// after the agent began to leave.
	serving int
	idle    chan struct{}
	empty   bool

	// Of the upstream.
	queue     *admit.Queue
	allowance *admit.ColdStartLimit
	adapters  *admit.ConcurrencyLimit
	ledger    *place.Ledger
	awaiting  map[string][]*control
	cold      bool
	silent    bool
	instance  string
	crash     crash

	// Of the fleet.
	fence    *rate.Fence
	table    *rate.SlotTable
	suspects *retry.Suspects

	// Of requests.
	outcomes *outcomes
	jobs     map[units.AttemptID]*job
	running  int
	alone    *job
}

func newState(o Options) *state {
	return &state{
		options:  o,
		clock:    o.Clock,
		free:     o.AllowFree || o.Upstream.Kind == Service,
		controls: map[*control]struct{}{},
		idle:     make(chan struct{}),
		queue: admit.NewQueue(admit.QueueOptions{
			MaxItems: o.Limits.QueuedPerCustomer, MaxBytes: o.Limits.QueuedBytesPerCustomer, MinShare: admit.DefaultMinShare,
		}),
		allowance: admit.NewColdStartLimit(o.Limits.ColdStartRequests, o.Limits.Running),
		adapters:  admit.NewConcurrencyLimit(o.Limits.Running),
		ledger:    place.NewLedger(place.Options{Capacity: o.Upstream.Capacity, MaxReportLag: ledgerLag}),
		awaiting:  map[string][]*control{},
		fence:     rate.NewFence(),
		suspects:  retry.NewSuspects(),
		outcomes:  newOutcomes(),
		jobs:      map[units.AttemptID]*job{},
	}
}

// enter counts the stream of a request, and reports whether there are too many.
func (s *state) enter() (full bool) {
	s.serving++
	return s.serving > s.options.Limits.Requests
}

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

// ready reports whether the agent takes work. It does not wait for the owners of
// rate slots, which gateways send only to agents that they use.
func (s *state) ready() bool {
	return !s.leaving && (s.options.Upstream.Kind == Service || s.ledger.Observed())
}

// leave refuses new work from now on, also what waits, and tells all gateways.
func (s *state) leave() {
	s.leaving = true
	for _, j := range s.jobs {
		if !j.running {
			s.withdraw(j, notRun(units.Draining, "agent is stopping"))
		}
	}
	for c := range s.controls {
		c.push(s.leaveFrame())
	}
	s.pushLoad()
	s.checkIdle()
}

func (s *state) leaveFrame() *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Leave{Leave: &wire.Leave{Id: s.options.Node.ID}}}
}

// versions acknowledges the table of owners and tells the fencing number.
func (s *state) versions() *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Versions{Versions: &wire.Versions{
		Owners:    s.fence.Version(),
		Confirmed: -1,
		Fence:     int64(s.ledger.Fence()),
	}}}
}
