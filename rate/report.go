package rate

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// reportDelay is how long reports of starts and settlements are collected.
	reportDelay = 100 * clock.Millisecond
	// plentyDelay replaces reportDelay while the bucket has plenty: no other gateway
	// waits for what is refunded.
	plentyDelay = 600 * clock.Millisecond
	// plentyPart is the part of its burst, and plentyRequests the number of mean
	// requests, from which on a bucket has plenty.
	plentyPart     = 2
	plentyRequests = 96
	// returnDelay is shorter, because returned tokens are missing elsewhere.
	returnDelay = 20 * clock.Millisecond
	// settledMax bounds the reports of one message.
	settledMax = 256
)

// plenty tells whether the grant's bucket holds enough for all gateways to go on
// without what this grant gives back.
func (h *holding) plenty(now clock.Time) bool {
	i := slices.Index(h.account.slots, h.slot)
	if i < 0 {
		return false
	}
	v := &h.account.views[i]
	least := max(v.burst/plentyPart, toMilli(plentyRequests*h.account.demand.mean()))
	return v.known && v.estimate(now) >= least
}

// startDelay returns how long a report of a start is collected. With plenty it goes
// with that of the end: at the latest after TTL the owner takes the tokens as started.
func (h *holding) startDelay(now clock.Time) clock.Span {
	if h.plenty(now) {
		return GrantTTL
	}
	return reportDelay
}

// finishDelay returns how long a report of an end is collected.
func (h *holding) finishDelay(now clock.Time) clock.Span {
	if h.plenty(now) {
		return plentyDelay
	}
	return reportDelay
}

// batch holds the reports for one owner.
type batch struct {
	to      units.VMID
	at      clock.Time
	settled []GrantReport
}

type reports struct {
	batches []*batch
}

func (r *reports) add(now clock.Time, delay clock.Span, to units.VMID, s GrantReport) {
	i := slices.IndexFunc(r.batches, func(b *batch) bool { return b.to == to })
	if i < 0 {
		i = len(r.batches)
		r.batches = append(r.batches, &batch{to: to, at: now.Add(delay)})
	}
	b := r.batches[i]
	b.at = min(b.at, now.Add(delay))
	if len(b.settled) >= settledMax {
		b.at = now
	}
	for j := range b.settled {
		if b.settled[j].Grant == s.Grant {
			b.settled[j] = s
			return
		}
	}
	b.settled = append(b.settled, s)
}

// add takes over the higher totals of a report that may be late.
func (s *GrantReport) add(o GrantReport) {
	s.Started = max(s.Started, o.Started)
	s.Returned = max(s.Returned, o.Returned)
	s.Unused = max(s.Unused, o.Unused)
	s.Final = s.Final || o.Final
}

// due removes and returns the batches whose time has come.
func (r *reports) due(now clock.Time) []Envelope {
	var out []Envelope
	r.batches = slices.DeleteFunc(r.batches, func(b *batch) bool {
		if now.Before(b.at) {
			return false
		}
		out = append(out, Envelope{To: b.to, Message: Settle{Reports: b.settled}})
		return true
	})
	return out
}

func (r *reports) next() clock.Time {
	next := never
	for _, b := range r.batches {
		next = min(next, b.at)
	}
	return next
}
