package entry

import (
	"context"
	"errors"
	"maps"
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
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/usage"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// usageKey is the key with which the leaders pass on what they have decided to report.
	usageKey = "duties/usage"
	// usageSubject is the subject of all usage reports.
	usageSubject duty.Subject = "usage"
	// totalsInterval is the interval at which a gateway tells its totals of the last windows, changed or not, since
	// datagrams may be lost. It grows with the gateways, up to a part of the window.
	totalsInterval   = 2 * clock.Second
	totalsWindowPart = 2
	// recentWindows is the number of windows before the current one that are told each time.
	recentWindows = 2
	// totalsBytesPerSecond bounds what a gateway sends of changed totals. Beyond fullRateGateways it falls with their
	// number: what the leader receives stays bounded, and so does the part of all requests that a killed gateway has not
	// told.
	totalsBytesPerSecond = 1500
	fullRateGateways     = 8
	// minTotalsInterval is the least time between two messages with changed totals.
	minTotalsInterval = 20 * clock.Millisecond
	// windowsPerMessage is the number of windows in one message.
	windowsPerMessage = 40
	// deputies is the number of gateways besides the leader that are told the totals: those that would lead next.
	deputies = 1
	// askInterval is the interval at which missing totals are asked for.
	askInterval = 400 * clock.Millisecond
	// usageRetryDelay is the time after a failed call to the store before the next one.
	usageRetryDelay = 300 * clock.Millisecond
	// lifeMemory is how long a process without counts is remembered.
	lifeMemory = clock.Minute
	// finalTimeout bounds the wait for the last totals to be sent or written at a stop, leaveTries the attempts to write
	// them: other gateways that stop write too.
	finalTimeout = 300 * time.Millisecond
	leaveTries   = 5
)

// Messages about usage.
type (
	// usageTold has totals or reports that another gateway has sent.
	usageTold struct {
		totals  *wire.UsageTotals
		reports *wire.UsageReports
		// question is answered to the address from.
		question *wire.UsageQuestion
		from     netip.AddrPort
	}
	// usageLoaded is the result of reading usageKey under an epoch.
	usageLoaded struct {
		epoch units.Epoch
		item  platform.Item
		err   error
	}
	// usageWritten is the result of writing it.
	usageWritten struct {
		epoch    units.Epoch
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
	// usageEnds means that no request runs any longer and that the process ends once done is closed.
	usageEnds struct{ done chan struct{} }
)

// usageManager counts usage and, while this gateway is the leader, reports it. Its methods are called from the control
// loop only.
type usageManager struct {
	*dutyManager
	wall     *peers.Wall
	counter  *usage.Counter
	book     *usage.Book
	reporter *usage.Reporter
	calls    *duty.Calls[usage.Report]
	// offset is the difference from the clock to the time of day, valid once offsetKnown is set.
	offset      clock.Span
	offsetKnown bool
	// to are the gateways that are told the totals, toldAt is when they were told all; 0 if some were not.
	to []string
	// toHolder and toVersion are the leader and the version of the list of gateways from which to follows.
	toHolder  units.VMID
	toVersion uint64
	toldAt    clock.Time
	// toldComplete is the first window that was not completely counted by then. A complete one is told at once.
	toldComplete usage.Window
	sendAfter    clock.Time
	// toldTwice is set once all totals were repeated to the gateways in to.
	toldTwice bool
	// epoch is the one under which the reporter has read the store. storePending is set during a call to the store, and
	// none is made before storeAfter.
	epoch        units.Epoch
	storePending bool
	storeAfter   clock.Time
	askedAt      clock.Time
	// final is set once this gateway counts no more.
	final bool
}

func newUsageManager(d *dutyManager, pacer *duty.Pacer) *usageManager {
	g := d.gateway
	book := usage.NewBook()
	return &usageManager{
		dutyManager: d, wall: peers.NewWall(g.clock.Now()), counter: g.usage, book: book,
		reporter: usage.NewReporter(usage.Options{Length: g.settings.Bounds.UsageWindow, Delay: g.settings.Bounds.UsageDelay}, book),
		calls:    duty.NewCalls(d.holder, pacer, usage.Report.Equal),
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
	u.tell(now)
	u.lead(now)
}

// instant returns the time of day at a time.
func (u *usageManager) instant(now clock.Time) usage.Instant { return usage.At(now, u.offset) }

// tell sends the totals to the leader and the deputies: all that nothing was decided of when these change, those of the
// last windows at intervals, and changed ones as soon as the rate of bytes allows.
func (u *usageManager) tell(now clock.Time) {
	to := u.to
	if holder, v := u.controller.orders.elector.Holder(), u.controller.members.Version(); holder != u.toHolder || v != u.toVersion {
		to, u.toHolder, u.toVersion = u.confidants(), holder, v
	}
	current := usage.WindowOf(u.instant(now), u.reporter.Length)
	switch {
	case !slices.Equal(to, u.to):
		u.to, u.toldTwice = to, false
		u.tellAll(now)
	case now.Sub(u.toldAt) < u.totalsInterval() && u.counter.Complete() == u.toldComplete:
		if u.counter.HasChanged() && !now.Before(u.sendAfter) {
			u.sendChanged(now, u.own(u.counter.TakeChanged()))
		}
	case !u.toldTwice:
		u.toldTwice = true
		u.tellAll(now)
	default:
		u.toldAt, u.toldComplete = now, u.counter.Complete()
		u.counter.TakeChanged()
		u.send(u.own(u.counter.Totals(max(current-recentWindows, u.book.Next()))), u.to...)
	}
}

// tellAll tells all totals that this gateway has, those of other gateways included.
func (u *usageManager) tellAll(now clock.Time) {
	u.toldAt = now
	u.send(u.own(u.counter.Totals(u.book.Next())), u.to...)
	for _, t := range u.book.Totals() {
		if t.Life != usage.Life(u.gateway.incarnation) {
			u.send(t, u.to...)
		}
	}
}

// own completes this gateway's totals.
func (u *usageManager) own(t usage.Totals) usage.Totals {
	t.VM, t.Life, t.Final = u.gateway.settings.VM, usage.Life(u.gateway.incarnation), u.final
	return t
}

// confidants returns the addresses of the leader and of the deputies: the gateways that would lead next, of another zone
// than the leader if there is one, so that a cut between zones leaves one of them.
func (u *usageManager) confidants() []string {
	self, holder := u.gateway.settings.VM, u.controller.orders.elector.Holder()
	var out []string
	leader, ok := u.controller.members.Get(holder)
	if ok && leader.VM != self {
		out = append(out, leader.Address)
	}
	missing := deputies
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

// sendChanged sends totals to the confidants and delays the next ones by what they took of the rate of bytes.
func (u *usageManager) sendChanged(now clock.Time, t usage.Totals) {
	bytes := u.send(t, u.to...)
	rate := totalsBytesPerSecond / u.slowdown()
	u.sendAfter = now.Add(max(minTotalsInterval, clock.FromMilliseconds(float64(bytes)/rate*float64(clock.Second))))
}

// send merges totals, sends them, in several messages if there are many windows, and returns how many bytes it sent.
func (u *usageManager) send(t usage.Totals, to ...string) int {
	u.book.Merge(t)
	windows := slices.Sorted(maps.Keys(t.Windows))
	bytes := 0
	for first := true; first || len(windows) > 0; first = false {
		n := min(len(windows), windowsPerMessage)
		m := &wire.UsageTotals{Vm: string(t.VM), Life: uint64(t.Life)}
		for _, w := range windows[:n] {
			m.Windows = append(m.Windows, encodeWindow(w, t.Windows[w]))
		}
		windows = windows[n:]
		if len(windows) == 0 {
			// What is counted until then is told with the last message.
			m.UntilMs, m.Final = int64(t.Until), t.Final
		}
		bytes += proto.Size(m) * len(to)
		u.gateway.peers.Send(&wire.Datagram{Body: &wire.Datagram_UsageTotals{UsageTotals: m}}, to...)
	}
	return bytes
}

// slowdown returns the factor by which totals are told less often as there are many gateways.
func (u *usageManager) slowdown() float64 {
	return max(1, float64(u.controller.gatewayCount)/fullRateGateways)
}

// totalsInterval returns the interval at which the totals of the last windows are told.
func (u *usageManager) totalsInterval() clock.Span {
	longest := max(u.reporter.Length/totalsWindowPart, totalsInterval)
	return min(clock.FromMilliseconds(float64(totalsInterval)*u.slowdown()), longest)
}

func encodeWindow(w usage.Window, counts usage.Counts) *wire.UsageWindow {
	m := &wire.UsageWindow{Window: int64(w)}
	for _, id := range slices.Sorted(maps.Keys(counts)) {
		m.Counts = append(m.Counts, &wire.UsageCount{Customer: string(id), Count: counts[id]})
	}
	return m
}

func decodeWindow(m *wire.UsageWindow) (usage.Window, usage.Counts) {
	counts := usage.Counts{}
	for _, n := range m.GetCounts() {
		counts[units.CustomerID(n.GetCustomer())] = n.GetCount()
	}
	return usage.Window(m.GetWindow()), counts
}

// handleTold merges what another gateway has sent.
func (u *usageManager) handleTold(m usageTold) {
	if m.totals != nil {
		t := usage.Totals{
			VM: units.VMID(m.totals.GetVm()), Life: usage.Life(m.totals.GetLife()), Until: usage.Instant(m.totals.GetUntilMs()),
			Final: m.totals.GetFinal(), Windows: map[usage.Window]usage.Counts{},
		}
		for _, w := range m.totals.GetWindows() {
			window, counts := decodeWindow(w)
			t.Windows[window] = counts
		}
		u.book.Merge(t)
	}
	for _, vm := range m.question.GetVms() {
		u.answer(units.VMID(vm), m.from.String())
	}
	for _, w := range m.reports.GetReports() {
		window, counts := decodeWindow(w)
		u.recordDecided(usage.Report{Window: window, Counts: counts})
	}
}

// answer tells a gateway what is known of the totals of a machine.
func (u *usageManager) answer(vm units.VMID, to string) {
	if vm == u.gateway.settings.VM && u.offsetKnown {
		now := u.gateway.clock.Now()
		u.counter.Fold(now, u.offset)
		u.book.Merge(u.own(u.counter.Totals(u.book.Next())))
	}
	for _, t := range u.book.Known(vm) {
		u.send(t, to)
	}
}

// ask asks the gateways that have not told all that they counted, and the deputies for what they know of them: datagrams
// may be lost, and a gateway may be cut off from the leader alone.
func (u *usageManager) ask(now clock.Time, gateways []units.VMID) {
	missing := u.reporter.Missing(u.instant(now), gateways)
	if len(missing) == 0 || now.Sub(u.askedAt) < askInterval {
		return
	}
	u.askedAt = now
	to := slices.Clone(u.to)
	m := &wire.UsageQuestion{}
	for _, vm := range missing {
		m.Vms = append(m.Vms, string(vm))
		if g, ok := u.controller.members.Get(vm); ok && !slices.Contains(to, g.Address) && vm != u.gateway.settings.VM {
			to = append(to, g.Address)
		}
	}
	stats.Event("usage_totals_asked")
	u.gateway.peers.Send(&wire.Datagram{Body: &wire.Datagram_UsageQuestion{UsageQuestion: m}}, to...)
}

// collect asks all gateways for all totals that they know, since most don't know yet who leads now.
func (u *usageManager) collect() {
	m, to := &wire.UsageQuestion{}, []string{}
	for _, g := range u.controller.members.All() {
		m.Vms = append(m.Vms, string(g.VM))
		if g.VM != u.gateway.settings.VM {
			to = append(to, g.Address)
		}
	}
	u.gateway.peers.Send(&wire.Datagram{Body: &wire.Datagram_UsageQuestion{UsageQuestion: m}}, to...)
}

// recordDecided records what is reported for a window.
func (u *usageManager) recordDecided(r usage.Report) {
	if !u.book.Decided(r) {
		stats.Event("usage_reports_differ")
		klog.InfoS("entry: usage report differs from one that is known", "window", r.Window)
	}
	u.counter.Forget(u.book.Next())
}

// handleItem records what the store says of the decided reports.
func (u *usageManager) handleItem(i platform.Item) {
	if i.Deleted || i.Unreadable {
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
		u.epoch, u.storePending, u.storeAfter = proof.Epoch, false, 0
		u.reporter.Unload()
		u.reporter.Collect(u.instant(now))
		u.collect()
	}
	u.decide(now, proof.Epoch)
	u.report(now)
}

// decide reads the store, if its state isn't known, and writes what is decided next.
func (u *usageManager) decide(now clock.Time, epoch units.Epoch) {
	if u.storePending || now.Before(u.storeAfter) {
		return
	}
	if !u.reporter.Loaded() {
		u.storePending = true
		u.gateway.startCall(func(ctx context.Context) {
			item, err := u.gateway.store.Get(ctx, usageKey)
			u.gateway.post(usageLoaded{epoch, item, err})
		})
		return
	}
	u.book.Merge(u.own(u.counter.Totals(u.book.Next())))
	u.book.Prune(u.instant(now), lifeMemory)
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
	u.storePending = true
	revision := u.reporter.Revision()
	u.gateway.startCall(func(ctx context.Context) {
		m := usageWritten{epoch: epoch, state: state}
		m.revision, m.err = u.gateway.store.Commit(ctx, platform.Txn{
			If:  []platform.Condition{{Key: usageKey, Revision: revision}},
			Put: []platform.Write{{Key: usageKey, Value: value}},
		})
		u.gateway.post(m)
	})
}

// gatewayVMs returns the machines of all gateways that may have counted.
func (u *usageManager) gatewayVMs() []units.VMID {
	all := u.controller.members.All()
	out := make([]units.VMID, 0, len(all))
	for _, g := range all {
		if _, registered := u.controller.members.Get(g.VM); registered || !u.book.Ended(g.VM) {
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
	if m.epoch != u.epoch {
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
	u.reporter.Load(state, m.item.Revision)
	u.counter.Forget(u.book.Next())
	klog.InfoS("entry: usage read", "epoch", m.epoch, "next", state.Next, "reports", len(state.Reports),
		"revision", m.item.Revision)
}

func (u *usageManager) recordStoreFailure(now clock.Time, err error) {
	stats.Event("usage_store_failed")
	klog.InfoS("entry: usage not read or written", "err", err)
	u.reporter.Unload()
	u.storeAfter = now.Add(usageRetryDelay)
}

// handleWritten tells the other gateways what was decided, before it is reported: the store may lose its newest writes.
func (u *usageManager) handleWritten(now clock.Time, m usageWritten) {
	if m.epoch != u.epoch {
		return
	}
	u.storePending = false
	if m.err != nil {
		u.recordStoreFailure(now, m.err)
		return
	}
	decided := u.reporter.Written(m.state, m.revision)
	u.counter.Forget(u.book.Next())
	for _, r := range decided {
		klog.InfoS("entry: usage decided", "window", r.Window, "requests", total(r.Counts), "epoch", m.epoch, "revision", m.revision,
			"late", u.instant(now)-r.Window.End(u.reporter.Length))
	}
	u.tellReports(decided)
	u.lead(now)
}

// total returns the sum of all counts.
func total(counts usage.Counts) int64 {
	sum := int64(0)
	for _, n := range counts {
		sum += n
	}
	return sum
}

// tellReports tells all other gateways what was decided.
func (u *usageManager) tellReports(decided []usage.Report) {
	if len(decided) == 0 {
		return
	}
	m := &wire.UsageReports{}
	for _, r := range decided {
		m.Reports = append(m.Reports, encodeWindow(r.Window, r.Counts))
	}
	var to []string
	for _, g := range u.controller.members.All() {
		if g.VM != u.gateway.settings.VM {
			to = append(to, g.Address)
		}
	}
	u.gateway.peers.Send(&wire.Datagram{Body: &wire.Datagram_UsageReports{UsageReports: m}}, to...)
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
	if o == duty.Acknowledged || o == duty.Invalid {
		u.reporter.Acknowledge(m.call.Content.Window)
		u.tellReports([]usage.Report{m.call.Content})
	}
	u.calls.Record(now, m.call, o)
	u.lead(now)
}

// handleEnd tells the last totals. If no other gateway goes on, they are written into the store.
func (u *usageManager) handleEnd(now clock.Time, m usageEnds) {
	if !u.offsetKnown {
		close(m.done)
		return
	}
	u.final = true
	u.counter.End(now, u.offset)
	for range 2 {
		u.tellAll(now)
	}
	othersGoOn := slices.ContainsFunc(u.gateway.peers.FreshDigests(), func(d peers.Digest) bool { return !d.GetLeaving() })
	if othersGoOn {
		close(m.done)
		return
	}
	all := u.book.Totals()
	u.gateway.startCall(func(ctx context.Context) {
		defer close(m.done)
		for range leaveTries {
			err := u.gateway.leaveTotals(ctx, all)
			if err == nil {
				return
			}
			klog.InfoS("entry: last usage not written", "err", err)
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
	_, err = g.store.Commit(ctx, platform.Txn{
		If:  []platform.Condition{{Key: usageKey, Revision: item.Revision}},
		Put: []platform.Write{{Key: usageKey, Value: value}},
	})
	return err
}

// endUsage tells the last totals when no request runs any longer.
func (g *Gateway) endUsage() {
	if g.usage == nil {
		return
	}
	m := usageEnds{make(chan struct{})}
	g.post(m)
	select {
	case <-m.done:
	case <-time.After(finalTimeout):
	}
}
