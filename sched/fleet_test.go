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

// fleetLoad is a load of many gateways that share a few engines with one model. The gateways know
// each other's load from digests.
type fleetLoad struct {
	gateways, engines int
	// utilization is the requested work over what the engines can prefill.
	utilization float64
	// prefillRate is the engines' prefill rate in tokens per millisecond; every second engine has half.
	prefillRate    float64
	digestInterval clock.Span
	objective      clock.Span
	// patience is when a caller disconnects that has received no event.
	patience clock.Span
	seed     uint64
	// unlimited lets prompts wait at the engines without regard to the objective.
	unlimited bool
}

// job is a request in the simulation.
type job struct {
	gateway *sched.Scheduler
	attempt *sched.Attempt
	arrived clock.Time
	// left is the number of prompt tokens to prefill; firstAt is when the first event was sent.
	left    float64
	firstAt clock.Time
	sent    bool
}

// prefillEngine prefills one prompt after the other.
type prefillEngine struct {
	rate  float64
	queue []*job
}

// outcomes counts requests by how they ended.
type outcomes struct{ sent, onTime, late, refused, left int }

func (l fleetLoad) run() outcomes {
	const promptTokens = 2000
	random := rand.New(rand.NewPCG(l.seed, 5))
	service := engine(64)
	service.Engine.MemoryTokens = 1_000_000
	if !l.unlimited {
		service.FirstEventObjective = l.objective
	}
	engines := map[units.UpstreamID]*prefillEngine{}
	var entries []*view.Entry
	capacity := 0.0
	for i := range l.engines {
		e := entry(fmt.Sprint("engine-", i), "zone-a", 64)
		entries = append(entries, e)
		engines[e.ID] = &prefillEngine{rate: l.prefillRate / float64(1+i%2)}
		capacity += engines[e.ID].rate
	}
	var gateways []member.Gateway
	for i := range l.gateways {
		gateways = append(gateways, member.Gateway{VM: units.VMID(fmt.Sprint("gate-", i))})
	}
	var schedulers []*sched.Scheduler
	for _, g := range gateways {
		s := newScheduler(entries...)
		s.SetGateways(g.VM, gateways)
		schedulers = append(schedulers, s)
	}
	digests := make([][]sched.Load, l.gateways)
	var jobs []*job
	var out outcomes
	meanGap := promptTokens / (capacity * l.utilization)
	next := 0.0
	for now := clock.Time(0); now < 30_000; now++ {
		for ; next <= float64(now) && now < 26_000; next += random.ExpFloat64() * meanGap {
			g := schedulers[random.IntN(l.gateways)]
			prompt := units.Tokens(promptTokens * (0.5 + random.Float64()))
			out.sent++
			jobs = append(jobs, &job{gateway: g, arrived: now, left: float64(prompt), attempt: g.Add(now, sched.Request{
				Service: service, Model: model, Prompt: prompt, Output: 50, FirstEventDue: now.Add(l.objective),
				LatestStart: sched.LatestStart(now, l.patience),
			})})
		}
		for i, s := range schedulers {
			// The gateways send their digests at different times.
			if (now+clock.Time(i*37))%clock.Time(l.digestInterval) == 0 {
				digests[i] = s.Loads(now)
			}
			if now%40 == 0 {
				s.SetOtherLoads(sumOthers(digests, i), l.digestInterval)
				s.Dispatch(now)
			}
		}
		for _, e := range engines {
			e.prefill(now)
		}
		jobs = slices.DeleteFunc(jobs, func(j *job) bool { return j.step(now, l, engines, &out) })
	}
	return out
}

func sumOthers(digests [][]sched.Load, self int) map[units.UpstreamID]sched.Load {
	sum := map[units.UpstreamID]sched.Load{}
	for i, loads := range digests {
		if i == self {
			continue
		}
		for _, u := range loads {
			sum[u.Upstream] = sum[u.Upstream].Add(u)
		}
	}
	return sum
}

// prefill works for one millisecond.
func (e *prefillEngine) prefill(now clock.Time) {
	for budget := e.rate; budget > 0 && len(e.queue) > 0; {
		j := e.queue[0]
		part := min(budget, j.left)
		j.left -= part
		budget -= part
		if j.left > 0 {
			return
		}
		j.firstAt = now
		j.gateway.RecordFirstEvent(now, j.attempt)
		e.queue = e.queue[1:]
	}
}

// step advances a job and reports whether it has ended.
func (j *job) step(now clock.Time, l fleetLoad, engines map[units.UpstreamID]*prefillEngine, out *outcomes) bool {
	const decodeTime = 400 * clock.Millisecond
	switch {
	case j.attempt.Refused != nil:
		out.refused++
		return true
	case now.Sub(j.arrived) >= l.patience && j.firstAt == 0:
		out.left++
		if j.sent {
			e := engines[j.attempt.Upstream.ID]
			e.queue = slices.DeleteFunc(e.queue, func(o *job) bool { return o == j })
			j.gateway.End(now, j.attempt, sched.Canceled)
		} else {
			j.gateway.Cancel(j.attempt)
		}
		return true
	case j.attempt.Upstream != nil && !j.sent:
		j.sent = true
		e := engines[j.attempt.Upstream.ID]
		e.queue = append(e.queue, j)
	case j.firstAt != 0 && now.Sub(j.firstAt) >= decodeTime:
		if j.firstAt.Sub(j.arrived) <= l.objective {
			out.onTime++
		} else {
			out.late++
		}
		j.gateway.End(now, j.attempt, sched.Served)
		return true
	}
	return false
}

// newHotLoad returns the load of a model at four engines, as a part of what these can prefill.
func newHotLoad(gateways int, utilization float64) fleetLoad {
	return fleetLoad{
		gateways: gateways, engines: 4, utilization: utilization, prefillRate: 20, digestInterval: 120 + clock.Span(gateways)*5,
		objective: 800 * clock.Millisecond, patience: 3200 * clock.Millisecond, seed: 1,
	}
}

// Guards against gateways that together send a hot model more than its engines can prefill: the
// prompts wait at the engines until all of them are late, though many could be on time.
func TestHotModelIsServedOnTime(t *testing.T) {
	for _, gateways := range []int{6, 31, 103} {
		l := newHotLoad(gateways, 1.3)
		limited := l.run()
		l.unlimited = true
		unlimited := l.run()
		t.Logf("%d gateways: %+v, without the objective %+v", gateways, limited, unlimited)
		assert.Check(t, float64(limited.onTime) >= 1.5*float64(unlimited.onTime))
		assert.Check(t, limited.left <= unlimited.left/2)
		assert.Check(t, float64(limited.onTime+limited.late) >= 0.95*float64(unlimited.onTime+unlimited.late))
	}
}

// Guards against limits that delay requests while the engines have room for all of them.
func TestSpareRoomIsUsed(t *testing.T) {
	for _, gateways := range []int{6, 31, 103} {
		l := newHotLoad(gateways, 0.7)
		got := l.run()
		assert.Check(t, got.refused == 0 && got.left == 0, "%d gateways: %+v", gateways, got)
		assert.Check(t, float64(got.onTime) >= 0.9*float64(got.sent), "%d gateways: %+v", gateways, got)
	}
}
