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
	// leaves is when a caller leaves that has seen no event.
	leaves = 2 * clock.Second
	// step is the resolution of the replay.
	step = 5 * clock.Millisecond
)

// visit is one request of a caller at a time.
type visit struct {
	arrived clock.Time
	again   bool
	ticket  *sched.Attempt
	// first and end are when the upstream sends the first event and ends.
	first, end clock.Time
}

// overload replays 40 s of more requests than one engine of eight slots can do, with first
// events that take 0.2 to 1.5 s there. Callers that are refused come back once.
func overload(lastStart func(arrived clock.Time) clock.Time) (served, asked int) {
	r := rand.New(rand.NewPCG(3, 9))
	s := engine(8)
	table := newTable(entry("one", "zone-a", 8))
	var open []*visit
	add := func(now clock.Time, again bool) {
		w := want(s, now)
		w.LatestStart = lastStart(now)
		open = append(open, &visit{arrived: now, again: again, ticket: table.Add(now, w)})
	}
	due := map[clock.Time]int{}
	next := clock.Time(0)
	for now := clock.Time(0); now < 45_000; now += clock.Time(step) {
		for ; next <= now && now < 40_000; next += clock.Time(r.ExpFloat64() * 110) {
			asked++
			add(now, false)
		}
		for range due[now] {
			add(now, true)
		}
		table.Dispatch(now)
		for _, v := range slices.Clone(open) {
			k := v.ticket
			switch {
			case k.Refused != nil:
				if !v.again {
					back := now.Add(max(k.Refused.RetryAfter, step))
					due[back-back%clock.Time(step)]++
				}
			case k.Upstream == nil:
				continue
			case v.first == 0:
				v.first = now + 200 + clock.Time(r.IntN(1300))
				v.end = v.first + 500
				continue
			case v.first.Sub(v.arrived) > leaves && now.Sub(v.arrived) >= leaves:
				// The caller leaves; its slot is free again.
				table.End(now, k, sched.Canceled)
			case now >= v.end:
				served++
				table.End(now, k, sched.Served)
			default:
				continue
			}
			open = slices.DeleteFunc(open, func(o *visit) bool { return o == v })
		}
	}
	return served, asked
}

// Guards against requests that start so late under overload that their callers leave before
// the first event, while they take the slots of others.
func TestLateStartsAreInVain(t *testing.T) {
	served, asked := overload(func(at clock.Time) clock.Time { return sched.LatestStart(at, leaves) })
	late, _ := overload(func(at clock.Time) clock.Time { return at.Add(leaves * 4 / 5) })
	// Eight slots that are taken 1.35 s each do 5.9 a second at best.
	t.Logf("served %d, with starts up to the end %d, of %d", served, late, asked)
	assert.Assert(t, float64(served) >= 1.05*float64(late), "served %d, with late starts %d", served, late)
	assert.Assert(t, served <= asked)
}
