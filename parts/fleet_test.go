package parts_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/retry"
)

// bubbleClock is the time of a synctest bubble.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() clock.Time { return clock.Time(time.Since(c.start)/time.Millisecond) + 1 }

// testFleet is gateways that exchange messages about parts with delays and losses. Messages to the owner
// are answered by its Guard.
type testFleet struct {
	guards []*parts.Guard
	delay  time.Duration

	mu sync.Mutex // guards the fields below
	// lossEvery is the number of announcements of which one is lost; 0 loses none.
	lossEvery, sent int
	crashes         map[parts.ID]int
}

// remoteOwners is the Owners of one gateway of a testFleet.
type remoteOwners struct {
	fleet *testFleet
	self  int
}

func (o remoteOwners) owner(part parts.ID) *parts.Guard {
	return o.fleet.guards[int(part)%len(o.fleet.guards)]
}

func (o remoteOwners) Ask(_ context.Context, part parts.ID, id parts.Permit, stage parts.Stage) (parts.Reply, clock.Span) {
	time.Sleep(o.fleet.delay)
	reply, wait := o.owner(part).Request(part, id, stage, parts.ReachAll)
	time.Sleep(o.fleet.delay)
	return reply, wait
}

func (o remoteOwners) Extend(part parts.ID, id parts.Permit) {
	time.Sleep(o.fleet.delay)
	o.owner(part).Extend(part, id)
}

func (o remoteOwners) Return(part parts.ID, id parts.Permit, r parts.Result) {
	time.Sleep(o.fleet.delay)
	o.owner(part).Returned(part, id, r)
}

func (o remoteOwners) Announce(list []parts.Suspect) {
	time.Sleep(o.fleet.delay)
	for i, g := range o.fleet.guards {
		if i == o.self || o.fleet.loses() {
			continue
		}
		for _, s := range list {
			g.Merge(s)
		}
	}
}

// loses reports whether the next announcement is lost.
func (f *testFleet) loses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	return f.lossEvery > 0 && f.sent%f.lossEvery == 0
}

// acquire returns the ticket of a request that waits in a queue before it is sent, or nil if it must not be
// sent.
func (f *testFleet) acquire(ctx context.Context, gateway int, prompt []parts.ID, queued time.Duration) *parts.Ticket {
	for ctx.Err() == nil {
		ticket, _ := f.guards[gateway].Acquire(ctx, parts.Prompt{Parts: prompt})
		if ticket == nil {
			return nil
		}
		time.Sleep(queued)
		reply, _ := ticket.Confirm(ctx)
		if reply == parts.Granted {
			return ticket
		}
		ticket.End(nil)
		if reply == parts.Denied {
			return nil
		}
	}
	return nil
}

// send sends one request from a gateway and reports whether its answer began. A prompt with a deadly part
// ends the upstream, a process of its own, after a time.
func (f *testFleet) send(gateway, number int, prompt, fatal []parts.ID, queued, took time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	ticket := f.acquire(ctx, gateway, prompt, queued)
	if ticket == nil {
		return false
	}
	time.Sleep(took)
	for _, part := range prompt {
		if slices.Contains(fatal, part) {
			f.mu.Lock()
			f.crashes[part]++
			f.mu.Unlock()
			ticket.End(&parts.Crash{ID: retry.CrashID(number), SentAt: ticket.SentAt()})
			return false
		}
	}
	ticket.Began()
	ticket.End(nil)
	return true
}

// tick calls Tick of all gateways every 100 ms until the function that it returns is called.
func (f *testFleet) tick() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			for _, g := range f.guards {
				g.Tick()
			}
			clock.Sleep(ctx, 100*time.Millisecond)
		}
	}()
	return func() { cancel(); <-done }
}

// Guards against losses that grow with the number of gateways: with 1 to 100 of them, delays and lost
// announcements, each of two deadly parts ends at most three upstreams within 4 s, and sound requests with
// the same beginnings are served.
func TestDeadlyPartEndsFewUpstreamsInAnyFleet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 100).Draw(rt, "gateways")
		delay := rapid.IntRange(0, 30).Draw(rt, "delay")
		loss := rapid.SampledFrom([]int{0, 0, 2, 3}).Draw(rt, "loss")
		gap := rapid.IntRange(20, 200).Draw(rt, "gap between deadly requests")
		queued := rapid.SampledFrom([]int{0, 0, 100, 1200}).Draw(rt, "time in the queue")
		took := rapid.SampledFrom([]int{10, 100, 300, 1000, 1900, 5000}).Draw(rt, "time to the answer")
		synctest.Test(t, func(t *testing.T) { checkFleet(t, n, delay, loss, gap, queued, took) })
	})
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func checkFleet(t *testing.T, n, delay, loss, gap, queued, took int) {
	t.Helper()
	f := &testFleet{delay: milliseconds(delay), lossEvery: loss, crashes: map[parts.ID]int{}}
	c := bubbleClock{time.Now()}
	for i := range n {
		g := parts.NewGuard(c)
		g.SetOwners(remoteOwners{f, i})
		f.guards = append(f.guards, g)
	}
	defer f.tick()()
	const first, second, begin, middle parts.ID = 7, 8, 100, 200
	deadlyParts := []parts.ID{first, second}
	assert.Assert(t, f.send(0, 1, []parts.ID{begin, middle}, deadlyParts, 0, time.Millisecond))
	done, sound := make(chan bool, 1000), 0
	sent := 0
	for number := 2; time.Since(c.start) < 4*time.Second; number += 2 {
		go func() {
			f.send(number%n, number, []parts.ID{begin, middle, deadlyParts[number/2%2]}, deadlyParts, milliseconds(queued), milliseconds(took))
			done <- false
		}()
		go func() {
			done <- f.send(number/2%n, number+1, []parts.ID{begin, middle}, deadlyParts, milliseconds(queued), milliseconds(took))
		}()
		sent++
		time.Sleep(milliseconds(gap))
		for drained := false; !drained; {
			select {
			case ok := <-done:
				if ok {
					sound++
				}
			default:
				drained = true
			}
		}
	}
	for left := 0; left < 8; {
		select {
		case ok := <-done:
			if ok {
				sound++
			}
			left = 0
		case <-time.After(time.Second):
			left++
		}
	}
	assert.Equal(t, sound, sent, fmt.Sprint("sound requests of ", sent))
	for part, crashes := range f.crashes {
		assert.Assert(t, crashes <= 3, "part %d: %d upstreams", part, crashes)
	}
}

// Guards against sound requests with a new part that keep each other waiting where queues are long: each of
// them is sent.
func TestNewPartIsSentAfterLongQueues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{delay: time.Millisecond, crashes: map[parts.ID]int{}}
		c := bubbleClock{time.Now()}
		for i := range 3 {
			g := parts.NewGuard(c)
			g.SetOwners(remoteOwners{f, i})
			f.guards = append(f.guards, g)
		}
		const number = 12
		done := make(chan bool, number)
		for i := range number {
			go func() {
				time.Sleep(milliseconds(50 * i))
				done <- f.send(i%3, i, []parts.ID{5}, nil, milliseconds(700+100*i), milliseconds(50))
			}()
		}
		for range number {
			assert.Assert(t, <-done)
		}
	})
}
