package entry

import (
	"net/netip"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/duty"
	"github.com/magnolialever/magnolialever/peers"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/usage"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// usageKey is the key with which the leaders pass on what they have decided to report.
	usageKey = "duties/usage"
	// usageTotalsPrefix begins the keys under which gateways that are cut off from the leader leave their totals.
	usageTotalsPrefix = usageKey + "/"
	// usageSubject is the subject of all usage reports.
	usageSubject duty.Subject = "usage"
	// processMemory is how long a process without counts is kept after its last message.
	processMemory = clock.Minute
)

// Messages about usage.
type (
	// usageReceived has totals, reports or a question of another gateway.
	usageReceived struct {
		totals  *wire.UsageTotals
		reports *wire.UsageReports
		// question is answered to the address from.
		question *wire.UsageQuestion
		from     netip.AddrPort
	}
	// usageLoaded is the result of reading usageKey.
	usageLoaded struct {
		// call is the number of the call.
		call uint64
		item platform.Item
		err  error
	}
	// usageWritten is the result of writing it.
	usageWritten struct {
		call     uint64
		state    usage.State
		revision units.Revision
		err      error
		// removed are the keys of stored totals that the write removes, with their revisions.
		removed map[string]units.Revision
	}
	// usageReported is the result of a report.
	usageReported struct {
		call duty.Call[usage.Report]
		took clock.Span
		err  error
	}
	// storeEra means that the store may have lost its newest writes: an answer had a higher era than before.
	storeEra struct{ era int64 }
	// usageEnds means that no request runs any longer and that the process ends once done is closed.
	usageEnds struct{ done chan struct{} }
)

// usageManager counts usage and, while this gateway is the leader, reports it. Its methods are called from the control
// loop only.
type usageManager struct {
	*dutyManager
	wall      *peers.Wall
	counter   *usage.Counter
	aggregate *usage.Aggregate
	reporter  *usage.Reporter
	calls     *duty.Calls[usage.Report]
	// offset is the difference from the clock to the time of day, valid once offsetKnown is set.
	offset      clock.Span
	offsetKnown bool
	// recipients are the addresses of the gateways that get the totals, leader and membersVersion the leader and the
	// version of the list of gateways from which they follow.
	recipients     []string
	leader         units.VMID
	membersVersion uint64
	// sentAt is when they got the totals of the last windows, sentComplete the first window that was not completely counted
	// by then, and completeAt when the next one was; 0 if it is not.
	sentAt       clock.Time
	sentComplete usage.Window
	completeAt   clock.Time
	// changedAfter is when changed totals may be sent next.
	changedAfter clock.Time
	// sentTwice is set once all totals were repeated to new recipients.
	sentTwice bool
	// epoch is the one under which this gateway leads. storePending is set during a call to the store, storeCall is its
	// number, and none is made before storeAfter.
	epoch        units.Epoch
	storePending bool
	storeCall    uint64
	storeAfter   clock.Time
	askedAt      clock.Time
	// decidedAt is when this gateway decided last, resentAt when it last sent a gateway the reports that it lacked.
	decidedAt clock.Time
	resentAt  map[string]clock.Time
	// storedTotals are the keys of totals that gateways have left in the store, with their revisions.
	storedTotals map[string]units.Revision
	// parts are the parts of reports of which not all have arrived.
	parts map[usage.Window]usage.Counts
	// final is set once this gateway counts no more.
	final bool
}

// newUsageManager returns the manager of a gateway that counts usage. The pacer limits the calls of all duties.
func newUsageManager(d *dutyManager, pacer *duty.Pacer) *usageManager {
	g := d.gateway
	aggregate := usage.NewAggregate()
	return &usageManager{
		dutyManager: d, wall: peers.NewWall(g.clock.Now()), counter: g.usage, aggregate: aggregate,
		reporter: usage.NewReporter(usage.Options{
			Length: g.settings.Bounds.UsageWindow, Delay: g.settings.Bounds.UsageDelay, FirstStart: g.settings.FirstStart,
		}, aggregate),
		resentAt: map[string]clock.Time{}, parts: map[usage.Window]usage.Counts{}, storedTotals: map[string]units.Revision{},
		calls: duty.NewCalls(d.holder, pacer, usage.Report.Equal),
	}
}

// onTick does what is due: it folds the counts, sends totals, and decides and reports while this gateway is the leader.
func (u *usageManager) onTick(now clock.Time) {
	at, wall := peers.ReadWall(u.gateway.clock)
	u.wall.RecordOwn(at, wall)
	if u.controller.snapshot.Config == nil {
		// The number of gateways isn't known.
		return
	}
	u.offset, u.offsetKnown = u.wall.Offset(now, u.controller.gatewayCount)
	if !u.offsetKnown {
		return
	}
	u.counter.Fold(now, u.offset)
	u.aggregate.Prune(u.instant(now), processMemory)
	u.sendDue(now)
	u.lead(now)
}

// instant returns the time of day at a time.
func (u *usageManager) instant(now clock.Time) usage.Instant { return usage.At(now, u.offset) }

// handleReceived merges what another gateway has sent, and answers its question.
func (u *usageManager) handleReceived(now clock.Time, m usageReceived) {
	if m.totals != nil {
		t := decodeTotals(m.totals)
		u.aggregate.Merge(t)
		if t.Until != 0 {
			u.resend(now, usage.Window(m.totals.GetUnknown()), m.from.String())
		}
	}
	if m.question != nil {
		u.answer(m.question, m.from.String())
	}
	for _, w := range m.reports.GetReports() {
		u.receiveReport(w)
	}
}

// handleItem records what the store says of the decided reports.
func (u *usageManager) handleItem(i platform.Item) {
	if i.Deleted || i.Unreadable {
		return
	}
	if i.Key != usageKey {
		u.handleStoredTotals(i)
		return
	}
	state, err := usage.DecodeState(i.Value)
	if err != nil {
		return
	}
	for _, r := range state.Reports {
		u.recordDecided(r)
	}
}

// recordDecided records what is reported for a window.
func (u *usageManager) recordDecided(r usage.Report) {
	if !u.aggregate.Decided(r) {
		stats.Event("usage_reports_differ")
		klog.InfoS("entry: usage report differs from one that is known", "window", r.Window)
	}
	u.counter.Forget(u.aggregate.Next())
}
