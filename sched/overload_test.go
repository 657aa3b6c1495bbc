package sched_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/sched"
)

const (
	// callerTimeout is when a caller disconnects that has received no event.
	callerTimeout = 2 * clock.Second
	// step is the resolution of the simulation.
	step = 5 * clock.Millisecond
)

// call is one request of a caller.
type call struct {
	arrived clock.Time
	retried bool
	attempt *sched.Attempt
	// first and end are when the upstream sends the first event and the end.
	first, end clock.Time
}

// overload simulates 40 s of more requests than one engine of eight slots can serve, with first
// events after 0.2 to 1.5 s. Refused callers retry once. It returns the numbers of requests served
// and sent, retries not counted as sent.
func overload(latestStart func(arrived clock.Time) clock.Time) (served, sent int) {
	random := rand.New(rand.NewPCG(3, 9))
	s := engine(8)
	scheduler := newScheduler(entry("one", "zone-a", 8))
	var calls []*call
	add := func(now clock.Time, retried bool) {
		r := newRequest(s, now)
		r.LatestStart = latestStart(now)
		calls = append(calls, &call{arrived: now, retried: retried, attempt: scheduler.Add(now, r)})
	}
	retries := map[clock.Time]int{}
	nextArrival := clock.Time(0)
	for now := clock.Time(0); now < 45_000; now += clock.Time(step) {
		for ; nextArrival <= now && now < 40_000; nextArrival += clock.Time(random.ExpFloat64() * 110) {
			sent++
			add(now, false)
		}
		for range retries[now] {
			add(now, true)
		}
		scheduler.Dispatch(now)
		for _, v := range slices.Clone(calls) {
			a := v.attempt
			switch {
			case a.Refused != nil:
				if !v.retried {
					at := now.Add(max(a.Refused.RetryAfter, step))
					retries[at-at%clock.Time(step)]++
				}
			case a.Upstream == nil:
				continue
			case v.first == 0:
				v.first = now + 200 + clock.Time(random.IntN(1300))
				v.end = v.first + 500
				continue
			case v.first.Sub(v.arrived) > callerTimeout && now.Sub(v.arrived) >= callerTimeout:
				// The caller disconnects, which frees its slot.
				scheduler.End(now, a, sched.Canceled)
			case now >= v.end:
				served++
				scheduler.End(now, a, sched.Served)
			default:
				continue
			}
			calls = slices.DeleteFunc(calls, func(o *call) bool { return o == v })
		}
	}
	return served, sent
}

// Guards against requests that start so late under overload that their callers disconnect before
// the first event, while they hold slots that others could use.
func TestLateStartsWasteSlots(t *testing.T) {
	served, sent := overload(func(at clock.Time) clock.Time { return sched.LatestStart(at, callerTimeout) })
	late, _ := overload(func(at clock.Time) clock.Time { return at.Add(callerTimeout * 4 / 5) })
	// Eight slots, each in use for 1.35 s per request, serve at most 5.9 requests per second.
	t.Logf("served %d, with starts up to the end %d, of %d", served, late, sent)
	const capacity = 5.9 * 40
	assert.Assert(t, float64(served) >= 0.95*capacity, "served %d", served)
	assert.Assert(t, served >= late, "served %d, with late starts %d", served, late)
	assert.Assert(t, served <= sent)
}
