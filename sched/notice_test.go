package sched_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/notice"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/start"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

// told is the notices that an upstream has sent to the gateway, as the upstream sees it.
type told struct {
	leaving    bool
	pauseUntil clock.Time
}

// noticeWorld is a gateway and upstreams that leave, ask for pauses and restart. Requests that were assigned
// are written after a delay, and answers arrive after another.
type noticeWorld struct {
	t         *rapid.T
	now       clock.Time
	scheduler *sched.Scheduler
	service   *fleet.Service
	// starts are the start times of the upstreams' processes, listed those that the view shows.
	starts, listed map[units.UpstreamID]int64
	told           map[notice.Process]told
	events         []worldEvent
	served         int
}

// worldEvent happens at a time.
type worldEvent struct {
	at  clock.Time
	run func()
}

func (w *noticeWorld) after(s clock.Span, run func()) {
	w.events = append(w.events, worldEvent{w.now.Add(s), run})
}

// setView shows the gateway the processes that are listed, all of them as ready.
func (w *noticeWorld) setView() {
	v := &view.Snapshot{Upstreams: map[units.UpstreamID]*view.Entry{}}
	for id, start := range w.listed {
		v.Upstreams[id] = &view.Entry{
			Upstream: &fleet.Upstream{ID: id, Service: w.service.Name, Slots: 8, ProcessStart: start}, ReceivedAt: w.now,
		}
	}
	w.scheduler.SetView(w.now, v)
}

// advance passes time. Events that were due meanwhile happen at its end, as after a pause of the process.
func (w *noticeWorld) advance(s clock.Span) {
	w.now = w.now.Add(s)
	for again := true; again; {
		again = false
		events := w.events
		w.events = nil
		for _, e := range events {
			if e.at.After(w.now) {
				w.events = append(w.events, e)
				continue
			}
			e.run()
			again = true
		}
	}
	w.scheduler.Dispatch(w.now)
}

// request adds a request and follows it until its answer.
func (w *noticeWorld) request(dial, answer clock.Span) {
	a := w.scheduler.Add(w.now, sched.Request{Service: w.service, FirstEventDue: w.now.Add(500), LatestStart: w.now.Add(2000)})
	w.follow(a, dial, answer)
}

func (w *noticeWorld) follow(a *sched.Attempt, dial, answer clock.Span) {
	select {
	case <-a.Ready:
	default:
		w.after(20, func() { w.follow(a, dial, answer) })
		return
	}
	if a.Refused != nil {
		return
	}
	w.after(dial, func() { w.write(a, answer) })
}

// write writes a request to its upstream unless that has said meanwhile that it wants none.
func (w *noticeWorld) write(a *sched.Attempt, answer clock.Span) {
	p := notice.Process{Upstream: a.Upstream.ID, Start: a.Upstream.ProcessStart}
	if !w.scheduler.Notices().Accepts(w.now, p) {
		w.scheduler.End(w.now, a, sched.Canceled)
		return
	}
	w.arrive(p)
	w.after(answer, func() { w.answer(a, p) })
}

// arrive checks a request that reaches a process.
func (w *noticeWorld) arrive(p notice.Process) {
	w.served++
	v := w.told[p]
	if v.leaving {
		w.t.Fatalf("%v: request to %v, which said that it leaves", w.now, p)
	}
	if w.now.Before(v.pauseUntil) {
		w.t.Fatalf("%v: request to %v within its pause until %v", w.now, p, v.pauseUntil)
	}
}

// answer delivers the answer of a process, with what it says of itself.
func (w *noticeWorld) answer(a *sched.Attempt, p notice.Process) {
	var n notice.Notice
	outcome := sched.Served
	switch rapid.IntRange(0, 9).Draw(w.t, "notice") {
	case 0:
		n.Leaving = true
	case 1, 2:
		n.Pause = clock.Span(rapid.IntRange(1, 4000).Draw(w.t, "pause"))
		outcome = sched.Full
	}
	v := w.told[p]
	v.leaving = v.leaving || n.Leaving
	if n.Pause > 0 {
		v.pauseUntil = max(v.pauseUntil, w.now.Add(n.Pause))
	}
	w.told[p] = v
	w.scheduler.Notices().Record(w.now, p, n)
	w.scheduler.End(w.now, a, outcome)
}

// restart starts a new process of an upstream, which the view shows later.
func (w *noticeWorld) restart(id units.UpstreamID, seen clock.Span) {
	w.starts[id]++
	start := w.starts[id]
	w.after(seen, func() {
		w.listed[id] = max(w.listed[id], start)
		w.setView()
	})
}

// Guards against requests, repeats and requests held up in a dial that reach an upstream after it announced to the
// gateway that it leaves or wants a pause, in any order with restarts, pauses of the gateway, views that
// come late and late answers.
func TestNoticesHoldInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &noticeWorld{
			t: rt, now: 1000, scheduler: sched.New("zone-a", sched.ColdTolerance{Factor: 1, Slack: 5}, start.Start{}),
			service: &fleet.Service{Name: "svc"}, starts: map[units.UpstreamID]int64{}, listed: map[units.UpstreamID]int64{}, told: map[notice.Process]told{},
		}
		n := rapid.IntRange(1, 5).Draw(rt, "upstreams")
		for i := range n {
			id := units.UpstreamID(fmt.Sprint("u", i))
			w.starts[id], w.listed[id] = 1, 1
		}
		w.setView()
		for range rapid.IntRange(20, 120).Draw(rt, "steps") {
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0:
				w.restart(units.UpstreamID(fmt.Sprint("u", rapid.IntRange(0, n-1).Draw(rt, "upstream"))), clock.Span(rapid.IntRange(0, 800).Draw(rt, "seen after")))
			case 1:
				w.advance(clock.Span(rapid.IntRange(500, 3000).Draw(rt, "pause of the gateway")))
			case 2:
				w.setView()
			case 3, 4:
				w.advance(clock.Span(rapid.IntRange(1, 200).Draw(rt, "time")))
			default:
				w.request(clock.Span(rapid.SampledFrom([]int{0, 0, 5, 300, 700}).Draw(rt, "dial")), clock.Span(rapid.IntRange(1, 1500).Draw(rt, "answer")))
			}
		}
		w.advance(5 * clock.Second)
		assert.Assert(t, w.served > 0)
	})
}
