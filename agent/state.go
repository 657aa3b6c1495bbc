package agent

import (
	"github.com/magnolialever/magnolialever/admit"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/notice"
	"github.com/magnolialever/magnolialever/place"
	"github.com/magnolialever/magnolialever/rate"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// kindService is Call.Kind of calls to plain services.
	kindService = "service"

	// maxReportLag is the time within which an engine's load report shows every change.
	maxReportLag = 2 * clock.Second
)

// state is the mutable state of the agent. Only the event loop's goroutine uses it.
type state struct {
	options   Options
	allowFree bool
	clock     clock.Clock

	// Process.
	draining bool
	// sequence is the number of the last load report.
	sequence uint64
	// loadChanged means that the load has changed since the last push.
	loadChanged    bool
	controlStreams map[*controlStream]struct{}
	// openCalls counts the open streams of calls. idle is closed when none is open while
	// the agent is draining.
	openCalls  int
	idle       chan struct{}
	idleClosed bool

	// Upstream.
	queue          *admit.Queue
	coldStartLimit *admit.ColdStartLimit
	adapterLimit   *admit.ConcurrencyLimit
	ledger         *place.Ledger
	// orderWaiters lists, by order id, the streams that get the result of an order.
	orderWaiters map[string][]*controlStream
	engineCold   bool
	// unreachable means that the engine did not respond to the last load request.
	unreachable bool
	// engineInstance identifies the run of the engine in the last load report.
	engineInstance string
	// engineRun counts the runs of the engine that were seen.
	engineRun int64
	// notices are what the upstream said of itself.
	notices   *notice.Board
	lastCrash crash

	// Shared with gateways.
	permitFence *rate.Fence
	slotTable   *rate.SlotTable
	suspects    *retry.Suspects

	// Requests.
	attempts    *attemptLog
	jobs        map[units.AttemptID]*job
	runningJobs int
	// exclusiveJob is the queued or running job that no other may run beside; usually nil.
	exclusiveJob *job
}

func newState(o Options) *state {
	return &state{
		options:        o,
		clock:          o.Clock,
		allowFree:      o.AllowFree || o.Upstream.Kind == Service,
		controlStreams: map[*controlStream]struct{}{},
		idle:           make(chan struct{}),
		queue: admit.NewQueue(admit.QueueOptions{
			MaxItems: o.Limits.QueuedPerCustomer, MaxBytes: o.Limits.QueuedBytesPerCustomer, MinShare: admit.DefaultMinShare,
		}),
		coldStartLimit: admit.NewColdStartLimit(o.Limits.ColdStartRequests, o.Limits.Running),
		adapterLimit:   admit.NewConcurrencyLimit(o.Limits.Running),
		ledger:         place.NewLedger(place.Options{Capacity: o.Upstream.Capacity, MaxReportLag: maxReportLag}),
		orderWaiters:   map[string][]*controlStream{},
		permitFence:    rate.NewFence(),
		suspects:       retry.NewSuspects(),
		notices:        notice.NewBoard(),
		attempts:       newAttemptLog(),
		jobs:           map[units.AttemptID]*job{},
	}
}

// beginCall counts a new call and reports whether it exceeds Limits.Requests. endCall must
// follow in either case.
func (s *state) beginCall() (overLimit bool) {
	s.openCalls++
	return s.openCalls > s.options.Limits.Requests
}

// endCall counts the end of a call.
func (s *state) endCall() {
	s.openCalls--
	s.checkIdle()
}

// checkIdle closes idle when the agent is draining and no call is open.
func (s *state) checkIdle() {
	if s.draining && s.openCalls == 0 && !s.idleClosed {
		s.idleClosed = true
		close(s.idle)
	}
}

// ready reports whether the agent admits requests. It does not wait for the slot table,
// which gateways send only to agents that they use.
func (s *state) ready() bool {
	return !s.draining && (s.options.Upstream.Kind == Service || s.ledger.Observed())
}

// beginDrain refuses queued and new calls from now on and announces it to all gateways.
func (s *state) beginDrain() {
	s.draining = true
	for _, j := range s.jobs {
		if !j.running {
			s.rejectQueued(j, notRun(units.Draining, "agent is stopping"))
		}
	}
	for c := range s.controlStreams {
		c.push(s.leaveFrame())
	}
	s.pushLoad()
	s.checkIdle()
}

func (s *state) leaveFrame() *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Leave{Leave: &wire.Leave{Id: s.options.Node.ID}}}
}

// versionsFrame returns a frame with the version of the slot table, as its acknowledgement,
// and with the highest fencing number.
func (s *state) versionsFrame() *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Versions{Versions: &wire.Versions{
		Owners:    s.permitFence.Version(),
		Confirmed: -1,
		Fence:     int64(s.ledger.Fence()),
	}}}
}
