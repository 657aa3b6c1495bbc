package sched_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

const (
	// eventTokens is the number of tokens of one event, stepTokens the most prompt tokens that an engine reads in a step.
	eventTokens, stepTokens = 6, 4096
	// gapBound and firstBound are the objectives of the streams.
	gapBound, firstBound = 300 * clock.Millisecond, 600 * clock.Millisecond
	// paceDigests and paceTelling are the intervals in which gateways send digests and tell of their prompts.
	paceDigests, paceTelling = 220 * clock.Millisecond, 40 * clock.Millisecond
)

// streamLoad is a load of streams from 20 gateways at engines that read prompts in the steps in which they write tokens.
type streamLoad struct {
	engines              int
	perSecond, meanEvent float64
	prompt               func(random *rand.Rand) units.Tokens
	// slowness returns by how much an engine is slower than usual at a time; nil if all are equal.
	slowness func(engine int, now clock.Time) float64
	// memory is that of an engine in tokens.
	memory units.Tokens
}

// stream is a request in the simulation.
type stream struct {
	gateway         *sched.Scheduler
	attempt         *sched.Attempt
	arrived         clock.Time
	prompt, unread  units.Tokens
	written, output int
	lastAt, firstAt clock.Time
	longest         clock.Span
}

// stepEngine runs a batch in steps.
type stepEngine struct {
	index, served int
	streams       []*stream
	busyUntil     float64
}

// paceOutcomes counts streams by how they ended.
type paceOutcomes struct {
	sent, onTime, lateFirst, paused, refused, overMemory int
	// served is the number of streams by engine.
	served []int
}

func shortPrompt(random *rand.Rand) units.Tokens { return 200 + units.Tokens(400*random.ExpFloat64()) }

func (l *streamLoad) run() paceOutcomes {
	random := rand.New(rand.NewPCG(4, 7))
	service := engine(64)
	service.ColdRate, service.FirstEventObjective, service.Engine.MemoryTokens = 0, firstBound, l.memory
	engines := map[units.UpstreamID]*stepEngine{}
	var entries []*view.Entry
	for i := range l.engines {
		e := entry(fmt.Sprint("engine-", i), "zone-a", 64)
		entries, engines[e.ID] = append(entries, e), &stepEngine{index: i}
	}
	var gateways []*sched.Scheduler
	for range 20 {
		s := newScheduler(entries...)
		s.SetGateways("gate", make([]member.Gateway, 20))
		gateways = append(gateways, s)
	}
	digests := make([][]sched.Load, len(gateways))
	var waiting []*stream
	out := paceOutcomes{served: make([]int, l.engines)}
	next := 0.0
	for now := clock.Time(1); now < 16_000; now++ {
		for ; next <= float64(now) && now < 12_000; next += random.ExpFloat64() * 1000 / l.perSecond {
			out.sent++
			g, prompt, output := gateways[random.IntN(len(gateways))], l.prompt(random), eventTokens*(1+int(l.meanEvent*random.ExpFloat64()))
			waiting = append(waiting, &stream{gateway: g, arrived: now, prompt: prompt, unread: prompt, output: output, attempt: g.Add(now, sched.Request{
				Service: service, Model: model, Prompt: prompt, Output: units.Tokens(output), FirstEventDue: now.Add(firstBound),
				LatestStart: sched.LatestStart(now, 4*clock.Second),
			})})
		}
		for i, s := range gateways {
			exchange(now.Add(clock.Span(i)*37), gateways, digests, i, s)
		}
		waiting = slices.DeleteFunc(waiting, func(v *stream) bool {
			if v.attempt.Refused != nil {
				out.refused++
			} else if v.attempt.Upstream != nil {
				e := engines[v.attempt.Upstream.ID]
				e.streams = append(e.streams, v)
			}
			return v.attempt.Refused != nil || v.attempt.Upstream != nil
		})
		for _, e := range engines {
			e.step(now, l, &out)
		}
	}
	for _, e := range engines {
		out.served[e.index] = e.served
	}
	return out
}

// exchange plays what gateways tell each other, at a time of the one with the index.
func exchange(now clock.Time, gateways []*sched.Scheduler, digests [][]sched.Load, index int, s *sched.Scheduler) {
	if now%clock.Time(paceDigests) == 0 {
		digests[index] = s.Loads(now)
	}
	if now%clock.Time(paceTelling) != 0 {
		return
	}
	at := now.Add(-clock.Span(index) * 37)
	s.SetOtherLoads(sumOthers(digests, index), paceDigests)
	s.Dispatch(at)
	sent := s.TakeSent()
	for i, o := range gateways {
		if i != index {
			o.RecordOthersSent(at, sent)
		}
	}
}

// step ends a step of the batch and begins the next one.
func (e *stepEngine) step(now clock.Time, l *streamLoad, out *paceOutcomes) {
	if float64(now) < e.busyUntil || len(e.streams) == 0 {
		return
	}
	if e.busyUntil > 0 {
		e.write(now, out)
	}
	const stepMs, tokensPerMs = 5.1, 29.4
	tookMs, left, held := stepMs, units.Tokens(stepTokens), units.Tokens(0)
	for _, v := range e.streams {
		part := min(v.unread, left)
		v.unread -= part
		left -= part
		tookMs += float64(part) / tokensPerMs
		held += v.prompt - v.unread + units.Tokens(v.written)
	}
	if held > l.memory {
		out.overMemory++
	}
	if l.slowness != nil {
		tookMs *= l.slowness(e.index, now)
	}
	e.busyUntil = max(e.busyUntil, float64(now)) + tookMs
}

// write writes a token of each stream whose prompt is read.
func (e *stepEngine) write(now clock.Time, out *paceOutcomes) {
	e.streams = slices.DeleteFunc(e.streams, func(v *stream) bool {
		if v.unread > 0 {
			return false
		}
		v.written++
		if v.written%eventTokens != 0 {
			return false
		}
		if v.firstAt == 0 {
			v.firstAt = now
			v.gateway.RecordFirstEvent(now, v.attempt)
		} else {
			v.longest = max(v.longest, now.Sub(v.lastAt))
			v.gateway.RecordEvents(now, v.attempt, 1, now.Sub(v.lastAt))
		}
		v.lastAt = now
		if v.written < v.output {
			return false
		}
		e.served++
		switch {
		case v.longest > gapBound:
			out.paused++
		case v.firstAt.Sub(v.arrived) > firstBound:
			out.lateFirst++
		default:
			out.onTime++
		}
		v.gateway.End(now, v.attempt, sched.Served)
		return true
	})
}

// mayBeLate is the part of streams that callers tolerate to be late.
const mayBeLate = 0.05

// Guards against prompts of many gateways that come together at one engine, as its digests are older than the prompts take to be read:
// they stop all its streams.
func TestPromptsDontStopStreams(t *testing.T) {
	l := streamLoad{engines: 12, perSecond: 200, meanEvent: 40, memory: 1_000_000, prompt: shortPrompt}
	got := l.run()
	t.Logf("%+v", got)
	assert.Check(t, got.refused == 0 && float64(got.paused+got.lateFirst) <= mayBeLate*float64(got.sent), "%+v", got)
}

// Guards against long prompts that go where others are being read, though engines are free.
func TestLongPromptsAmongShortOnes(t *testing.T) {
	l := streamLoad{engines: 12, perSecond: 50, meanEvent: 40, memory: 1_000_000, prompt: func(random *rand.Rand) units.Tokens {
		if random.IntN(10) == 0 {
			return 4000
		}
		return shortPrompt(random)
	}}
	got := l.run()
	t.Logf("%+v", got)
	assert.Check(t, got.refused == 0 && float64(got.paused+got.lateFirst) <= mayBeLate*float64(got.sent), "%+v", got)
}

// Guards against a slow engine that gets as many streams as its equals. Its events alone come close to the bound.
func TestSlowEngineGetsFewStreams(t *testing.T) {
	l := streamLoad{engines: 8, perSecond: 40, meanEvent: 40, memory: 1_000_000, prompt: shortPrompt, slowness: func(engine int, _ clock.Time) float64 {
		if engine == 0 {
			return 6
		}
		return 1
	}}
	got := l.run()
	t.Logf("%+v", got)
	assert.Check(t, float64(got.served[0]) <= 0.5*float64(got.sent)/8, "%+v", got)
	assert.Check(t, float64(got.paused+got.lateFirst) <= mayBeLate*float64(got.sent), "%+v", got)
}

// Guards against speeds that are learned too late: another engine is slow in each second.
func TestChangingSpeedIsFollowed(t *testing.T) {
	l := streamLoad{engines: 8, perSecond: 40, meanEvent: 10, memory: 1_000_000, prompt: shortPrompt, slowness: func(engine int, now clock.Time) float64 {
		if int(now/2000)%8 == engine {
			return 6
		}
		return 1
	}}
	got := l.run()
	t.Logf("%+v", got)
	assert.Check(t, got.refused == 0 && float64(got.onTime) >= 0.9*float64(got.sent), "%+v", got)
}

// Guards against gateways that together give an engine more than its memory holds, as their digests don't show each other's last requests.
func TestMemoryNearlyFull(t *testing.T) {
	l := streamLoad{engines: 4, perSecond: 100, meanEvent: 60, memory: 30_000, prompt: shortPrompt}
	got := l.run()
	t.Logf("%+v", got)
	assert.Check(t, got.overMemory == 0, "%+v", got)
}
