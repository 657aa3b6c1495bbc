package entry

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/usage"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// reportSources is the number of gateways that a new leader asks for the reports that they know.
	reportSources = 8
	// askInterval is the interval at which missing totals are asked for.
	askInterval = 400 * clock.Millisecond
)

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
