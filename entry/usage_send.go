package entry

import (
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/usage"
	"github.com/magnolialever/magnolialever/wire"
)

const (
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
	// standbys is the number of gateways besides the leader that get the totals: those that would lead next.
	standbys = 1
	// spreadTime is the time over which the totals of a complete window are sent by all gateways.
	spreadTime = 200 * clock.Millisecond
)

// sendDue sends totals to the leader and the standby: all of undecided windows when these change, those of the last
// windows at intervals and when a window is complete, and changed ones as soon as the rate of bytes allows.
func (u *usageManager) sendDue(now clock.Time) {
	recipients := u.currentRecipients()
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
		if complete && u.isCutOff() {
			u.storeTotals()
		}
		u.sendRecent(now)
	case u.counter.HasChanged() && !now.Before(u.changedAfter):
		u.sendChanged(now)
	}
}

// totalsInterval returns the interval at which the totals of the last windows are sent.
func (u *usageManager) totalsInterval() clock.Span {
	longest := max(u.reporter.Length/totalsWindowPart, totalsInterval)
	return min(clock.FromMilliseconds(float64(totalsInterval)*u.slowdown()), longest)
}

// slowdown returns the factor by which totals are sent less often as there are many gateways.
func (u *usageManager) slowdown() float64 {
	return max(1, float64(u.controller.gatewayCount)/fullRateGateways)
}

// sendRecent sends the totals of the last windows.
func (u *usageManager) sendRecent(now clock.Time) {
	u.recordSent(now)
	current := usage.WindowOf(u.instant(now), u.reporter.Length)
	u.send(u.own(u.counter.Totals(max(current-recentWindows, u.aggregate.Next()))), u.recipients...)
}

// recordSent records that the totals of the last windows are sent.
func (u *usageManager) recordSent(now clock.Time) {
	u.sentAt, u.sentComplete, u.completeAt = now, u.counter.Complete(), 0
	u.counter.TakeChanged()
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

// sendChanged sends the totals that have changed, and delays the next ones by what these took of the rate of bytes.
func (u *usageManager) sendChanged(now clock.Time) {
	bytes := u.send(u.own(u.counter.TakeChanged()), u.recipients...)
	rate := totalsBytesPerSecond / u.slowdown()
	u.changedAfter = now.Add(max(minTotalsInterval, clock.FromMilliseconds(float64(bytes)/rate*float64(clock.Second))))
}

// own completes this gateway's totals.
func (u *usageManager) own(t usage.Totals) usage.Totals {
	t.VM, t.Incarnation, t.Final = u.gateway.settings.VM, usage.Incarnation(u.gateway.incarnation), u.final
	return t
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

// currentRecipients returns the addresses of the gateways that should get the totals now: u.recipients unless the leader or
// the list of gateways has changed.
func (u *usageManager) currentRecipients() []string {
	holder, v := u.controller.orders.elector.Holder(), u.controller.members.Version()
	if holder == u.leader && v == u.membersVersion {
		return u.recipients
	}
	u.leader, u.membersVersion = holder, v
	return u.chooseRecipients()
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
