package budget_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnolialever/magnolialever/budget"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// Guards against shares that exceed the descriptors of a machine, and against fewer connections than before on the machines
// that are in use.
func TestSharesFitTheMachine(t *testing.T) {
	for _, m := range []budget.Machine{{Memory: 144 << 20, Descriptors: 2950}, {Memory: 536 << 20, Descriptors: 10_300}, {Memory: 96 << 20, Descriptors: 360}} {
		s := budget.Share(m)
		assert.Check(t, s.Connections*9/8+s.ReadyConnections+s.MetricsConnections < m.Descriptors*3/4, "%+v: %+v", m, s)
		assert.Check(t, s.Heads+s.Bodies <= m.Memory/2)
	}
	smallest := budget.Share(budget.Machine{Memory: 144 << 20, Descriptors: 2950})
	assert.Equal(t, smallest.Connections, 1800, "docs/OPERATIONS.md")
	assert.Equal(t, smallest.Heads>>20, units.Bytes(7))
	assert.Equal(t, smallest.Bodies>>20, units.Bytes(21))
	// Answers take as much as bodies, events half of it.
	sum := units.Bytes(smallest.Connections)*24<<10 + smallest.Heads + smallest.Bodies*5/2 + smallest.Unread
	assert.Check(t, sum <= 144<<20*8/10, "the parts take %d MB", sum>>20)
	assert.Equal(t, budget.Share(budget.Machine{Memory: 536 << 20, Descriptors: 10_300}).Connections, budget.MaxConnections)
	assert.Equal(t, budget.Share(budget.Machine{Memory: 284 << 20}).Connections, budget.MaxConnections)
}

// Guards against a request in progress that gives way to one that has sent nothing for a while, and against the other
// order.
func TestIdleClaimsGiveWay(t *testing.T) {
	p := budget.NewPool(100)
	var yielded []string
	claim := func(name string) *budget.Claim {
		return &budget.Claim{Yield: func() { yielded = append(yielded, name) }}
	}
	progressAt := clock.Time(0)
	whole, idle, slow, fast, last := claim("whole"), claim("idle"), claim("slow"), claim("fast"), claim("last")
	slow.ProgressAt, fast.ProgressAt = func() clock.Time { return progressAt }, func() clock.Time { return progressAt }
	assert.Assert(t, p.Take(whole, 0, 40))
	assert.Assert(t, p.Keep(whole))
	assert.Assert(t, p.Take(idle, 0, 20))
	assert.Assert(t, p.Take(slow, 0, 10))
	assert.Assert(t, p.Take(fast, 0, 20))
	now := clock.Time(0).Add(1500 * clock.Millisecond)
	progressAt = now
	assert.Assert(t, p.Take(last, now, 20))
	assert.DeepEqual(t, yielded, []string{"idle"})
	assert.Assert(t, !p.Take(idle, now, 1), "a claim that has given way takes nothing")
	assert.Assert(t, !p.Keep(idle), "nor does it come back")
	assert.Assert(t, p.Take(last, now, 20))
	assert.DeepEqual(t, yielded, []string{"idle", "slow"})
	assert.Assert(t, !p.Take(last, now, 101))
	p.Release(whole)
	p.Release(fast)
	assert.Equal(t, p.Used(), units.Bytes(40))
	p.Release(last)
	p.Release(idle)
	p.Release(slow)
	assert.Equal(t, p.Used(), units.Bytes(0))
}

// Guards against a pool that exceeds its limit or loses bytes, whatever claims do.
func TestPoolStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		p, now := budget.NewPool(limit), clock.Time(0)
		claims := make([]*budget.Claim, 8)
		for i := range claims {
			claims[i] = &budget.Claim{Yield: func() {}}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := claims[rapid.IntRange(0, len(claims)-1).Draw(t, "claim")]
			now = now.Add(clock.Span(rapid.IntRange(0, 800).Draw(t, "span")))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				p.Release(c)
			case 1:
				p.Keep(c)
			default:
				p.Take(c, now, units.Bytes(rapid.IntRange(1, 400).Draw(t, "bytes")))
			}
			assert.Assert(t, p.Used() >= 0 && p.Used() <= limit)
		}
		for _, c := range claims {
			p.Release(c)
		}
		assert.Equal(t, p.Used(), units.Bytes(0))
	})
}

// Guards against heads of ordinary requests that depend on the pool, and against ones of many short fields, or a list of many
// short items, that don't.
func TestHeadClaims(t *testing.T) {
	var ordinary, short, split budget.Head
	ordinary.Add([]byte("GET / HTTP/1.1\r\n" + strings.Repeat("Name: value\r\n", 20) + "\r\n" + strings.Repeat("\n", 8000)))
	assert.Equal(t, ordinary.Claim(), units.Bytes(0))
	assert.Assert(t, ordinary.Ended)
	list := budget.Head{}
	list.Add([]byte("GET / HTTP/1.1\r\nTrailer: a" + strings.Repeat(",a", 3000) + "\r\n\r\n"))
	assert.Assert(t, list.Claim() > 2900*87)
	list = budget.Head{}
	list.Add([]byte("GET / HTTP/1.1\r\nAccept: text/html" + strings.Repeat(",text/plain", 40) + "\r\n\r\n"))
	assert.Equal(t, list.Claim(), units.Bytes(0))
	short.Add([]byte("GET / HTTP/1.1\r\n" + strings.Repeat("abc:\n", 3000) + "\n"))
	assert.Assert(t, short.Claim() > 3000*87)
	for _, piece := range []string{"GET / HTTP/1.1\r\n", "a: b\r", "\n\r", "\nbody"} {
		split.Add([]byte(piece))
	}
	assert.Assert(t, split.Bytes >= len("GET / HTTP/1.1\r\na: b\r\n\r\n"))
}

// Guards against a crowd without a request that closes the connections of callers that were served, and against ordinary
// requests in progress that are closed.
func TestConnectionsThatGiveWay(t *testing.T) {
	const limit = 6
	now := clock.Time(0).Add(10 * clock.Second)
	state := map[string]budget.Progress{}
	progress := func(k string) budget.Progress { return state[k] }
	s := budget.NewConnections[string](limit)
	open := func(k string, p budget.Progress) {
		s.Opened(k)
		state[k] = p
	}
	open("served", budget.Progress{})
	s.Busy("served")
	s.Idle("served")
	open("runs", budget.Progress{})
	s.Busy("runs")
	open("fresh", budget.Progress{At: now})
	open("body", budget.Progress{Incomplete: true, At: now.Add(-2 * clock.Second)})
	s.Busy("body")
	open("head", budget.Progress{Incomplete: true, Arriving: true, At: now.Add(-clock.Second)})
	open("silent", budget.Progress{At: now.Add(-clock.Second)})
	assert.Assert(t, s.Full())
	for _, want := range []string{"body", "head", "served", "fresh", "silent"} {
		k, ok := s.Victim(now, progress)
		assert.Assert(t, ok)
		assert.Equal(t, k, want)
		s.Closing(k)
		assert.Assert(t, s.IsClosing(k) && !s.Full())
		s.Closed(k)
	}
	_, ok := s.Victim(now, progress)
	assert.Assert(t, !ok, "a request in progress keeps its connection")
	assert.Equal(t, s.Known(), 1)
	open("upload", budget.Progress{Incomplete: true, Arriving: true, At: now})
	s.Busy("upload")
	_, ok = s.Victim(now, progress)
	assert.Assert(t, !ok, "nor does one that makes progress lose its own")
	k, _ := s.Victim(now.Add(clock.Second), progress)
	assert.Equal(t, k, "upload")
}
