package entry

import (
	"context"
	"maps"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/duty"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/usage"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// resendDelay is the least time after a decision, and after the last time, before a gateway is sent reports that it
	// lacks, resentWindows the number of the last windows of which it gets them.
	resendDelay   = 500 * clock.Millisecond
	resentWindows = 20
)

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

// handleReported records the outcome of a report.
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
