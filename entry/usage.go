package entry

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/duty"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/peers"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/rawjson"
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
	// totalsInterval is the interval at which a gateway sends its totals of the last windows, changed or not, since
	// datagrams may be lost. It grows with the gateways, up to a part of the window.
	totalsInterval   = 2 * clock.Second
	totalsWindowPart = 2
	// recentWindows is the number of windows before the current one that are sent each time.
	recentWindows = 2
	// totalsBytesPerSecond bounds what a gateway sends of changed totals. Beyond fullRateGateways it falls with their
	// number: what the leader receives stays bounded, and so does the part of all requests that a killed gateway has not
	// sent.
	totalsBytesPerSecond = 1500
	fullRateGateways     = 8
	// minTotalsInterval is the least time between two messages with changed totals.
	minTotalsInterval = 20 * clock.Millisecond
	// maxUsageBytes is the size from which on totals and reports are split into several messages.
	maxUsageBytes = 8 << 10
	// countBytes is the size of a count in a message without the name of the customer, windowBytes that of a window.
	countBytes  = 16
	windowBytes = 20
	// standbys is the number of gateways besides the leader that get the totals: those that would lead next.
	standbys = 1
	// reportSources is the number of gateways that a new leader asks for the reports that they know.
	reportSources = 8
	// spreadTime is the time over which the totals of a complete window are sent by all gateways.
	spreadTime = 200 * clock.Millisecond
	// resendDelay is the least time after a decision, and after the last time, before a gateway is sent reports that it
	// lacks, resentWindows the number of the last windows of which it gets them.
	resendDelay   = 500 * clock.Millisecond
	resentWindows = 20
	// askInterval is the interval at which missing totals are asked for.
	askInterval = 400 * clock.Millisecond
	// usageRetryDelay is the time after a failed call to the store before the next one.
	usageRetryDelay = 300 * clock.Millisecond
	// processMemory is how long a process without counts is kept after its last message.
	processMemory = clock.Minute
	// finalTimeout bounds the wait for the last totals to be sent or written at a stop, leaveTries the attempts to write
	// them: other gateways that stop write too.
	finalTimeout = 300 * time.Millisecond
	leaveTries   = 5
	leavePause   = 30 * time.Millisecond
	// maxStateBytes bounds the value in the store. Beyond it, the last totals are not left there.
	maxStateBytes = 256 << 10
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
	// storedTotals are the keys of totals that gateways have left in the store.
	storedTotals map[string]bool
	// parts are the parts of reports of which not all have arrived.
	parts map[usage.Window]usage.Counts
	// final is set once this gateway counts no more.
	final bool
}

func newUsageManager(d *dutyManager, pacer *duty.Pacer) *usageManager {
	g := d.gateway
	aggregate := usage.NewAggregate()
	return &usageManager{
		dutyManager: d, wall: peers.NewWall(g.clock.Now()), counter: g.usage, aggregate: aggregate,
		reporter: usage.NewReporter(usage.Options{
			Length: g.settings.Bounds.UsageWindow, Delay: g.settings.Bounds.UsageDelay, FirstStart: g.settings.FirstStart,
		}, aggregate),
		resentAt: map[string]clock.Time{}, parts: map[usage.Window]usage.Counts{}, storedTotals: map[string]bool{},
		calls: duty.NewCalls(d.holder, pacer, usage.Report.Equal),
	}
}

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

// sendDue sends totals to the leader and the standby: all of undecided windows when these change, those of the last
// windows at intervals and when a window is complete, and changed ones as soon as the rate of bytes allows.
func (u *usageManager) sendDue(now clock.Time) {
	recipients := u.recipients
	if holder, v := u.controller.orders.elector.Holder(), u.controller.members.Version(); holder != u.leader || v != u.membersVersion {
		recipients, u.leader, u.membersVersion = u.chooseRecipients(), holder, v
	}
	if u.completeAt == 0 && u.counter.Complete() != u.sentComplete {
		// Not all gateways at the same moment.
		u.completeAt = now.Add(clock.Span(rand.Int64N(int64(min(spreadTime, u.reporter.Delay/20)) + 1)))
	}
	complete := u.completeAt != 0 && !now.Before(u.completeAt)
	switch {
	case !slices.Equal(recipients, u.recipients):
		u.recipients, u.sentTwice = recipients, false
		u.sendAll(now)
	case complete, now.Sub(u.sentAt) >= u.totalsInterval():
		if !u.sentTwice {
			u.sentTwice = true
			u.sendAll(now)
			return
		}
		u.recordSent(now)
		if complete && u.isCutOff() {
			u.storeTotals()
		}
		current := usage.WindowOf(u.instant(now), u.reporter.Length)
		u.send(u.own(u.counter.Totals(max(current-recentWindows, u.aggregate.Next()))), u.recipients...)
	case u.counter.HasChanged() && !now.Before(u.changedAfter):
		u.sendChanged(now)
	}
}

// recordSent records that the totals of the last windows are sent.
func (u *usageManager) recordSent(now clock.Time) {
	u.sentAt, u.sentComplete, u.completeAt = now, u.counter.Complete(), 0
	u.counter.TakeChanged()
}

// isCutOff reports whether this gateway is neither the leader nor hears from one of the gateways that get its totals.
func (u *usageManager) isCutOff() bool {
	if u.leader == u.gateway.settings.VM || len(u.recipients) == 0 {
		return false
	}
	return !slices.ContainsFunc(u.gateway.peers.FreshDigests(), func(d peers.Digest) bool {
		return slices.Contains(u.recipients, d.From.String())
	})
}

// storeTotals writes the totals of undecided windows into the store, where the leader finds them.
func (u *usageManager) storeTotals() {
	t := u.own(u.counter.Totals(u.aggregate.Next()))
	if len(t.Windows) == 0 {
		return
	}
	m := encodeTotals(t)
	for _, part := range splitWindows(t.Windows) {
		m.Windows = append(m.Windows, part...)
	}
	value, err := proto.Marshal(m)
	if err != nil || len(value) > maxStateBytes {
		stats.Event("usage_state_too_large")
		return
	}
	stats.Event("usage_totals_stored")
	key := usageTotalsPrefix + string(t.VM)
	u.gateway.startCall(func(ctx context.Context) {
		if _, err := u.gateway.store.Commit(ctx, platform.Txn{Put: []platform.Write{{Key: key, Value: value}}}); err != nil {
			klog.InfoS("entry: usage totals not stored", "err", err)
		}
	})
}

// handleStoredTotals merges totals that a gateway has left in the store. Their key is removed with the next decision.
func (u *usageManager) handleStoredTotals(i platform.Item) {
	m := &wire.UsageTotals{}
	if err := proto.Unmarshal(i.Value, m); err != nil {
		klog.InfoS("entry: stored usage totals can't be read", "key", rawjson.Shorten(i.Key), "err", err)
		return
	}
	u.aggregate.Merge(decodeTotals(m))
	u.storedTotals[i.Key] = true
}

// encodeTotals encodes totals without their windows.
func encodeTotals(t usage.Totals) *wire.UsageTotals {
	m := &wire.UsageTotals{
		Vm: string(t.VM), Life: uint64(t.Incarnation), UntilMs: int64(t.Until), SentMs: int64(t.SentAt), Final: t.Final,
	}
	for _, w := range slices.Sorted(maps.Keys(t.Sums)) {
		m.Sums = append(m.Sums, &wire.UsageSum{Window: int64(w), Requests: t.Sums[w]})
	}
	return m
}

func decodeTotals(m *wire.UsageTotals) usage.Totals {
	t := usage.Totals{
		VM: units.VMID(m.GetVm()), Incarnation: usage.Incarnation(m.GetLife()), SentAt: clock.Time(m.GetSentMs()),
		Until: usage.Instant(m.GetUntilMs()), Final: m.GetFinal(),
		Sums: map[usage.Window]int64{}, Windows: map[usage.Window]usage.Counts{},
	}
	for _, w := range m.GetWindows() {
		window, counts := decodeWindow(w)
		if t.Windows[window] == nil {
			t.Windows[window] = usage.Counts{}
		}
		maps.Copy(t.Windows[window], counts)
	}
	for _, v := range m.GetSums() {
		t.Sums[usage.Window(v.GetWindow())] = v.GetRequests()
	}
	return t
}

// sendAll sends all totals that this gateway has, those of other gateways included.
func (u *usageManager) sendAll(now clock.Time) {
	u.recordSent(now)
	u.send(u.own(u.counter.Totals(u.aggregate.Next())), u.recipients...)
	for _, t := range u.aggregate.Totals() {
		if t.Incarnation != usage.Incarnation(u.gateway.incarnation) {
			u.send(t, u.recipients...)
		}
	}
}

// own completes this gateway's totals.
func (u *usageManager) own(t usage.Totals) usage.Totals {
	t.VM, t.Incarnation, t.Final = u.gateway.settings.VM, usage.Incarnation(u.gateway.incarnation), u.final
	return t
}

// chooseRecipients returns the addresses of the leader and of the standby: the gateway that would lead next, of another
// zone than the leader if there is one, so that a cut between zones leaves one of them.
func (u *usageManager) chooseRecipients() []string {
	self, holder := u.gateway.settings.VM, u.controller.orders.elector.Holder()
	var out []string
	leader, ok := u.controller.members.Get(holder)
	if ok && leader.VM != self {
		out = append(out, leader.Address)
	}
	missing := standbys
	if !ok {
		missing++
	}
	ranked := member.RankStrongest(u.controller.members.Registered(), leaderKey)
	slices.SortStableFunc(ranked, func(a, b member.Gateway) int { return inZone(a, leader.Zone) - inZone(b, leader.Zone) })
	for _, g := range ranked {
		if missing > 0 && g.VM != self && g.VM != holder {
			out = append(out, g.Address)
			missing--
		}
	}
	return out
}

// inZone returns 1 if the gateway is in the zone, else 0.
func inZone(g member.Gateway, z units.Zone) int {
	if g.Zone == z {
		return 1
	}
	return 0
}

// sendChanged sends the totals that have changed, and delays the next ones by what these took of the rate of bytes.
func (u *usageManager) sendChanged(now clock.Time) {
	bytes := u.send(u.own(u.counter.TakeChanged()), u.recipients...)
	rate := totalsBytesPerSecond / u.slowdown()
	u.changedAfter = now.Add(max(minTotalsInterval, clock.FromMilliseconds(float64(bytes)/rate*float64(clock.Second))))
}

// send merges totals, sends them, in several messages if they are long, and returns how many bytes it sent. The last
// message states what is complete; who misses one before it sees that from the sums.
func (u *usageManager) send(t usage.Totals, to ...string) int {
	u.aggregate.Merge(t)
	parts := splitWindows(t.Windows)
	if len(parts) == 0 {
		parts = append(parts, nil)
	}
	bytes := 0
	for i, windows := range parts {
		m := &wire.UsageTotals{Vm: string(t.VM), Life: uint64(t.Incarnation), Windows: windows}
		if i == len(parts)-1 {
			m = encodeTotals(t)
			m.Windows, m.Unknown = windows, int64(u.aggregate.FirstUnknown())
		}
		bytes += proto.Size(m) * len(to)
		u.gateway.peers.Send(&wire.Datagram{Body: &wire.Datagram_UsageTotals{UsageTotals: m}}, to...)
	}
	return bytes
}

// splitWindows encodes windows in lists that each fit a message.
func splitWindows(windows map[usage.Window]usage.Counts) [][]*wire.UsageWindow {
	var out [][]*wire.UsageWindow
	size := maxUsageBytes
	for _, w := range slices.Sorted(maps.Keys(windows)) {
		var part *wire.UsageWindow
		for _, id := range slices.Sorted(maps.Keys(windows[w])) {
			n := len(id) + countBytes
			if size+n+windowBytes > maxUsageBytes {
				out, part, size = append(out, nil), nil, 0
			}
			if part == nil {
				part = &wire.UsageWindow{Window: int64(w), Customers: int32(len(windows[w]))}
				out[len(out)-1] = append(out[len(out)-1], part)
				size += windowBytes
			}
			part.Counts = append(part.Counts, &wire.UsageCount{Customer: string(id), Count: windows[w][id]})
			size += n
		}
	}
	return out
}

// slowdown returns the factor by which totals are sent less often as there are many gateways.
func (u *usageManager) slowdown() float64 {
	return max(1, float64(u.controller.gatewayCount)/fullRateGateways)
}

// totalsInterval returns the interval at which the totals of the last windows are sent.
func (u *usageManager) totalsInterval() clock.Span {
	longest := max(u.reporter.Length/totalsWindowPart, totalsInterval)
	return min(clock.FromMilliseconds(float64(totalsInterval)*u.slowdown()), longest)
}

func decodeWindow(m *wire.UsageWindow) (usage.Window, usage.Counts) {
	counts := usage.Counts{}
	for _, n := range m.GetCounts() {
		counts[units.CustomerID(n.GetCustomer())] = n.GetCount()
	}
	return usage.Window(m.GetWindow()), counts
}

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

// receiveReport records a report that another gateway knows, once all of its parts have arrived.
func (u *usageManager) receiveReport(m *wire.UsageWindow) {
	window, counts := decodeWindow(m)
	if _, known := u.aggregate.Report(window); known && len(counts) != int(m.GetCustomers()) {
		return
	}
	part := u.parts[window]
	if part == nil {
		part = usage.Counts{}
		u.parts[window] = part
	}
	maps.Copy(part, counts)
	if len(part) < int(m.GetCustomers()) {
		return
	}
	u.recordDecided(usage.Report{Window: window, Counts: part})
	maps.DeleteFunc(u.parts, func(w usage.Window, _ usage.Counts) bool { return w <= window })
}

// resend sends a gateway the reports that it lacks, if this one is the leader: the datagrams with them may be lost, and
// gateways remember reports in case that the store loses its newest writes.
func (u *usageManager) resend(now clock.Time, unknown usage.Window, to string) {
	if unknown >= u.aggregate.Next() || u.epoch == 0 || now.Sub(u.decidedAt) < resendDelay || now.Sub(u.resentAt[to]) < resendDelay {
		return
	}
	if _, leads := u.holder.Prove(now, usageSubject); !leads {
		return
	}
	u.resentAt[to] = now
	if reports := u.aggregate.Reports(max(unknown, u.aggregate.Next()-resentWindows)); len(reports) > 0 {
		stats.Event("usage_reports_resent")
		u.sendReports(reports, to)
	}
}

// answer sends a gateway what is known of the totals of some machines, and reports.
func (u *usageManager) answer(m *wire.UsageQuestion, to string) {
	for _, name := range m.GetVms() {
		vm := units.VMID(name)
		if vm == u.gateway.settings.VM && u.offsetKnown {
			u.counter.Fold(u.gateway.clock.Now(), u.offset)
			u.aggregate.Merge(u.own(u.counter.Totals(u.aggregate.Next())))
		}
		for _, t := range u.aggregate.Known(vm) {
			u.send(t, to)
		}
	}
	if from := m.GetReportsFrom(); from >= 0 {
		u.sendReports(u.aggregate.Reports(max(usage.Window(from), u.aggregate.Next()-resentWindows)), to)
	}
}

// ask asks the gateways that have not sent all that they counted, and the standby for what it knows of them: datagrams
// may be lost, and a gateway may be cut off from the leader alone.
func (u *usageManager) ask(now clock.Time, gateways []units.VMID) {
	if now.Sub(u.askedAt) < askInterval {
		return
	}
	missing := u.reporter.Missing(u.instant(now), gateways)
	if len(missing) == 0 {
		return
	}
	u.askedAt = now
	to := slices.Clone(u.recipients)
	m := &wire.UsageQuestion{ReportsFrom: -1}
	for _, vm := range missing {
		m.Vms = append(m.Vms, string(vm))
		if g, ok := u.controller.members.Get(vm); ok && !slices.Contains(to, g.Address) && vm != u.gateway.settings.VM {
			to = append(to, g.Address)
		}
	}
	stats.Event("usage_totals_asked")
	u.gateway.peers.Send(&wire.Datagram{Body: &wire.Datagram_UsageQuestion{UsageQuestion: m}}, to...)
}

// collect asks all gateways for all totals that they know, since most don't know yet who leads now, and some of them for
// the reports that they know.
func (u *usageManager) collect() {
	ranked := member.RankStrongest(u.controller.members.All(), leaderKey)
	vms := make([]string, 0, len(ranked))
	var first, others []string
	for _, g := range ranked {
		vms = append(vms, string(g.VM))
		switch {
		case g.VM == u.gateway.settings.VM:
		case len(first) < reportSources:
			first = append(first, g.Address)
		default:
			others = append(others, g.Address)
		}
	}
	for _, q := range []struct {
		from int64
		to   []string
	}{{int64(u.aggregate.FirstUnknown()), first}, {-1, others}} {
		m := &wire.UsageQuestion{Vms: vms, ReportsFrom: q.from}
		u.gateway.peers.Send(&wire.Datagram{Body: &wire.Datagram_UsageQuestion{UsageQuestion: m}}, q.to...)
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

// lead decides and reports usage while this gateway is the leader.
func (u *usageManager) lead(now clock.Time) {
	proof, ok := u.holder.Prove(now, usageSubject)
	if !ok {
		u.reporter.Unload()
		return
	}
	if u.epoch != proof.Epoch {
		u.epoch = proof.Epoch
		u.reporter.TakeOver(u.instant(now))
		u.startOver()
	}
	u.decide(now)
	u.report(now)
}

// startOver asks others for what they know, and ignores the results of calls to the store that are in flight.
func (u *usageManager) startOver() {
	u.storePending, u.storeAfter = false, 0
	u.storeCall++
	u.collect()
}

// handleEra starts over after the store may have lost its newest writes.
func (u *usageManager) handleEra(now clock.Time, m storeEra) {
	u.reporter.SetEra(u.instant(now), m.era)
	if _, ok := u.holder.Prove(now, usageSubject); ok && u.offsetKnown {
		u.startOver()
	}
}

// decide reads the store, if its state isn't known, and writes what is decided next. A gateway that does not hear most
// of the others decides nothing: its time of day may be wrong.
func (u *usageManager) decide(now clock.Time) {
	if u.storePending || now.Before(u.storeAfter) || !u.wall.HasMajority(len(u.controller.members.Registered())) {
		return
	}
	if !u.reporter.Loaded() {
		call := u.startStoreCall()
		u.gateway.startCall(func(ctx context.Context) {
			item, err := u.gateway.store.Get(ctx, usageKey)
			u.gateway.post(usageLoaded{call, item, err})
		})
		return
	}
	u.aggregate.Merge(u.own(u.counter.Totals(u.aggregate.Next())))
	gateways := u.gatewayVMs()
	u.ask(now, gateways)
	state, ok := u.reporter.Decide(u.instant(now), gateways, u.customers())
	if !ok {
		return
	}
	value, err := state.Encode()
	if err != nil {
		klog.ErrorS(err, "entry: usage not written")
		return
	}
	call, revision := u.startStoreCall(), u.reporter.Revision()
	merged := slices.Sorted(maps.Keys(u.storedTotals))
	clear(u.storedTotals)
	u.gateway.startCall(func(ctx context.Context) {
		m := usageWritten{call: call, state: state}
		m.revision, m.err = u.gateway.store.Commit(ctx, platform.Txn{
			If:  []platform.Condition{{Key: usageKey, Revision: revision}},
			Put: []platform.Write{{Key: usageKey, Value: value}}, Delete: merged,
		})
		u.gateway.post(m)
	})
}

// startStoreCall records that a call to the store begins and returns its number.
func (u *usageManager) startStoreCall() uint64 {
	u.storePending = true
	u.storeCall++
	return u.storeCall
}

// gatewayVMs returns the machines of all gateways that may have counted.
func (u *usageManager) gatewayVMs() []units.VMID {
	all := u.controller.members.All()
	out := make([]units.VMID, 0, len(all))
	for _, g := range all {
		if _, registered := u.controller.members.Get(g.VM); registered || !u.aggregate.Ended(g.VM) {
			out = append(out, g.VM)
		}
	}
	return out
}

// customers returns the customers of the configuration.
func (u *usageManager) customers() []units.CustomerID {
	all := u.controller.snapshot.Config.Customers()
	out := make([]units.CustomerID, 0, len(all))
	for _, c := range all {
		out = append(out, c.ID)
	}
	return out
}

func (u *usageManager) handleLoaded(now clock.Time, m usageLoaded) {
	if m.call != u.storeCall {
		return
	}
	u.storePending = false
	state := usage.State{}
	switch {
	case errors.Is(m.err, platform.ErrKeyNotFound):
		m.item.Revision = 0
	case m.err != nil:
		u.recordStoreFailure(now, m.err)
		return
	default:
		var err error
		if state, err = usage.DecodeState(m.item.Value); err != nil {
			// Another writer's value is replaced.
			klog.InfoS("entry: usage in the store can't be read and is replaced", "revision", m.item.Revision, "err", err)
			state = usage.State{}
		}
	}
	u.reporter.Load(u.instant(now), state, m.item.Revision)
	u.counter.Forget(u.aggregate.Next())
	if u.reporter.Ahead(u.instant(now)) {
		stats.Event("usage_ahead")
		klog.InfoS("entry: usage was decided for windows of the future", "next", state.Next, "current", usage.WindowOf(u.instant(now), u.reporter.Length))
	}
	klog.InfoS("entry: usage read", "epoch", u.epoch, "next", state.Next, "reports", len(state.Reports),
		"revision", m.item.Revision)
}

func (u *usageManager) recordStoreFailure(now clock.Time, err error) {
	stats.Event("usage_store_failed")
	klog.InfoS("entry: usage not read or written", "err", err)
	u.reporter.Recheck()
	u.storeAfter = now.Add(usageRetryDelay)
}

// handleWritten sends the other gateways what was decided, before it is reported: the store may lose its newest writes.
func (u *usageManager) handleWritten(now clock.Time, m usageWritten) {
	if m.call != u.storeCall {
		return
	}
	u.storePending = false
	if m.err != nil {
		u.recordStoreFailure(now, m.err)
		return
	}
	decided := u.reporter.Written(m.state, m.revision)
	u.counter.Forget(u.aggregate.Next())
	u.decidedAt = now
	for _, r := range decided {
		klog.InfoS("entry: usage decided", "window", r.Window, "requests", r.Counts.Total(), "epoch", u.epoch, "revision", m.revision,
			"late", u.instant(now)-r.Window.End(u.reporter.Length))
	}
	u.sendReports(decided, u.controller.otherGateways()...)
	u.lead(now)
}

// sendReports sends reports to gateways, in several messages if they are long.
func (u *usageManager) sendReports(reports []usage.Report, to ...string) {
	windows := map[usage.Window]usage.Counts{}
	for _, r := range reports {
		windows[r.Window] = r.Counts
	}
	for _, part := range splitWindows(windows) {
		m := &wire.UsageReports{Reports: part}
		u.gateway.peers.Send(&wire.Datagram{Body: &wire.Datagram_UsageReports{UsageReports: m}}, to...)
	}
}

// report sends the report that is due.
func (u *usageManager) report(now clock.Time) {
	due, ok := u.reporter.Due(u.instant(now))
	if !ok {
		u.calls.Withdraw(usageSubject)
		return
	}
	u.calls.Require(usageSubject, due, now.Add(clock.Span(u.reporter.DueAt(due.Window)-u.instant(now))))
	call, ok := u.calls.Next(now)
	if !ok {
		return
	}
	u.gateway.startCall(func(ctx context.Context) {
		begun := u.gateway.clock.Now()
		err := u.client.ReportUsage(ctx, call.Proof, call.Content)
		u.gateway.post(usageReported{call, u.gateway.clock.Now().Sub(begun), err})
	})
}

func (u *usageManager) handleReported(now clock.Time, m usageReported) {
	o := u.recordOutcome(now, m.call.Proof, m.took, m.call.Repeated, m.err)
	if o == duty.Acknowledged && now.After(m.call.Deadline) {
		stats.Event("usage_reports_late")
	}
	switch o {
	case duty.Acknowledged:
		u.reporter.Acknowledge(m.call.Content.Window)
	case duty.Invalid:
		// A report is never invalid for good: something between here and there answered. It was not carried out.
		o = duty.NotSent
	}
	u.calls.Record(now, m.call, o)
	u.lead(now)
}

// handleEnd sends the last totals. If no other gateway goes on, they are written into the store.
func (u *usageManager) handleEnd(now clock.Time, m usageEnds) {
	if !u.offsetKnown {
		close(m.done)
		return
	}
	u.final = true
	u.counter.End(now, u.offset)
	for range 2 {
		u.sendAll(now)
	}
	othersGoOn := slices.ContainsFunc(u.gateway.peers.FreshDigests(), func(d peers.Digest) bool { return !d.GetLeaving() })
	if othersGoOn {
		close(m.done)
		return
	}
	all := u.aggregate.Totals()
	u.gateway.startCall(func(ctx context.Context) {
		defer close(m.done)
		for range leaveTries {
			err := u.gateway.leaveTotals(ctx, all)
			if err == nil {
				return
			}
			klog.InfoS("entry: last usage not written", "err", err)
			clock.Sleep(ctx, rand.N(leavePause))
		}
	})
}

// leaveTotals adds totals to those in the store, for the leader of gateways that are started later.
func (g *Gateway) leaveTotals(ctx context.Context, all []usage.Totals) error {
	item, err := g.store.Get(ctx, usageKey)
	if errors.Is(err, platform.ErrKeyNotFound) {
		// Nobody has led yet.
		return nil
	}
	if err != nil {
		return err
	}
	state, err := usage.DecodeState(item.Value)
	if err != nil {
		return err
	}
	state, changed := state.Merge(all)
	if !changed {
		return nil
	}
	value, err := state.Encode()
	if err != nil {
		return err
	}
	if len(value) > maxStateBytes {
		stats.Event("usage_state_too_large")
		return nil
	}
	_, err = g.store.Commit(ctx, platform.Txn{
		If:  []platform.Condition{{Key: usageKey, Revision: item.Revision}},
		Put: []platform.Write{{Key: usageKey, Value: value}},
	})
	return err
}

// endUsage sends the last totals when no request runs any longer.
func (g *Gateway) endUsage() {
	if g.usage == nil {
		return
	}
	m, timeout := usageEnds{make(chan struct{})}, time.After(finalTimeout)
	select {
	case g.inbox <- m:
	case <-timeout:
		return
	}
	select {
	case <-m.done:
	case <-timeout:
	}
}
