package rate

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// reportDelay is the time for which reports on starts and settlements are batched.
	reportDelay = 100 * clock.Millisecond
	// ampleReportDelay replaces reportDelay while the bucket holds ample tokens, because then
	// no other gateway waits for refunds.
	ampleReportDelay = 600 * clock.Millisecond
	// A bucket holds ample tokens from burst/ampleBurstDivisor on, and at least the mean cost
	// of ampleRequests requests.
	ampleBurstDivisor = 2
	ampleRequests     = 96
	// returnDelay is shorter than reportDelay, because other gateways may need the returned
	// tokens.
	returnDelay = 20 * clock.Millisecond
	// maxReportsPerMessage bounds the reports of one message.
	maxReportsPerMessage = 256
)

// ample reports whether the grant's bucket holds so many tokens that no gateway has to wait
// for those of this grant.
func (g *clientGrant) ample(now clock.Time) bool {
	i := slices.Index(g.account.slots, g.slot)
	if i < 0 {
		return false
	}
	v := &g.account.views[i]
	least := max(v.burst/ampleBurstDivisor, toMilliTokens(ampleRequests*g.account.demand.mean()))
	return v.confirmed && v.estimate(now) >= least
}

// startReportDelay returns the batching time of a report of a start. With ample tokens it is
// sent with the report of the end: after ownerGrantTTL the owner counts the tokens as started
// anyway.
func (g *clientGrant) startReportDelay(now clock.Time) clock.Span {
	if g.ample(now) {
		return GrantTTL
	}
	return reportDelay
}

// finishReportDelay returns the batching time of a report of the end of a request.
func (g *clientGrant) finishReportDelay(now clock.Time) clock.Span {
	if g.ample(now) {
		return ampleReportDelay
	}
	return reportDelay
}

// batch holds the pending reports for one owner, to be sent at sendAt.
type batch struct {
	owner   units.VMID
	sendAt  clock.Time
	entries []GrantReport
}

// reports batches grant reports by owner.
type reports struct {
	batches []*batch
}

// add queues a report, to be sent after the delay at the latest. It replaces a pending report
// on the same grant.
func (r *reports) add(now clock.Time, delay clock.Span, owner units.VMID, s GrantReport) {
	i := slices.IndexFunc(r.batches, func(b *batch) bool { return b.owner == owner })
	if i < 0 {
		i = len(r.batches)
		r.batches = append(r.batches, &batch{owner: owner, sendAt: now.Add(delay)})
	}
	b := r.batches[i]
	b.sendAt = min(b.sendAt, now.Add(delay))
	if len(b.entries) >= maxReportsPerMessage {
		b.sendAt = now
	}
	for j := range b.entries {
		if b.entries[j].Grant == s.Grant {
			b.entries[j] = s
			return
		}
	}
	b.entries = append(b.entries, s)
}

// add merges a report, which may arrive out of order, by keeping the higher totals.
func (s *GrantReport) add(o GrantReport) {
	s.Started = max(s.Started, o.Started)
	s.Returned = max(s.Returned, o.Returned)
	s.Unused = max(s.Unused, o.Unused)
	s.Final = s.Final || o.Final
}

// due removes the batches that are due and returns their messages.
func (r *reports) due(now clock.Time) []Envelope {
	var out []Envelope
	r.batches = slices.DeleteFunc(r.batches, func(b *batch) bool {
		if now.Before(b.sendAt) {
			return false
		}
		out = append(out, Envelope{To: b.owner, Message: Settle{Reports: b.entries}})
		return true
	})
	return out
}

// nextDue returns the time at which the next batch is due; never if there is none.
func (r *reports) nextDue() clock.Time {
	nextDue := never
	for _, b := range r.batches {
		nextDue = min(nextDue, b.sendAt)
	}
	return nextDue
}
