package admit_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnolialever/magnolialever/admit"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// completion is the end of one running request; used is the number of tokens it has used.
type completion struct {
	at   clock.Time
	item admit.Item
	used units.Tokens
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// scenario is an upstream with slots of equal throughput and customers with given loads.
type scenario struct {
	seed    uint64
	loads   []float64 // relative to the upstream's throughput
	weights []uint32
	// class is the class of all items, or units.Classes for random classes.
	class int
	// timeout is the time from an item's arrival to its deadline.
	timeout clock.Span
}

const (
	slots          = 16
	tokensPerMilli = 20.0 // tokens/ms of all slots
	duration       = 90 * clock.Second
)

// classOf returns the class of an item; n is its random class.
func (s scenario) classOf(n int) units.Class {
	if s.class < units.Classes {
		return units.Class(s.class)
	}
	return units.Class(n)
}

// run simulates the scenario and returns the number of tokens served to each customer. The
// arrivals of a customer don't depend on the loads of others.
func (s scenario) run() []units.Tokens {
	q := newQueue()
	servedTokens := make([]units.Tokens, len(s.loads))
	random := make([]*rand.Rand, len(s.loads))
	nextArrival := make([]clock.Time, len(s.loads))
	for i := range s.loads {
		random[i] = rand.New(rand.NewPCG(s.seed, uint64(i)))
	}
	var running completionHeap
	usedTokens := map[units.AttemptID]units.Tokens{}
	id := 0
	for now := clock.Time(1); now < clock.Time(duration); now++ {
		for len(running) > 0 && running[0].at <= now {
			e := heap.Pop(&running).(completion)
			q.Done(now, e.item, e.used)
			var c int
			_, _ = fmt.Sscanf(string(e.item.Customer), "c%d", &c)
			servedTokens[c] += e.used
		}
		for i, load := range s.loads {
			for nextArrival[i] <= now {
				const mean = 150
				nextArrival[i] += clock.Time(random[i].ExpFloat64() * mean / (load * tokensPerMilli))
				id++
				it := admit.Item{
					ID: units.AttemptID(fmt.Sprint(id)), Customer: customer(i), Class: s.classOf(random[i].IntN(units.Classes)), Weight: s.weights[i],
					Cost: units.Tokens(200 + random[i].IntN(200)), Deadline: now.Add(s.timeout),
				}
				// Responses use half of the reserved tokens on average.
				usedTokens[it.ID] = units.Tokens(1 + random[i].IntN(int(it.Cost)-1))
				q.Push(now, it)
			}
		}
		for len(running) < slots {
			it, ok := q.Next(now, fitsAlways)
			if !ok {
				break
			}
			u := usedTokens[it.ID]
			heap.Push(&running, completion{now.Add(clock.Span(float64(u) * slots / tokensPerMilli)), it, u})
		}
	}
	return servedTokens
}

// Guards against customers that lose service to another customer's flood. If the first customer
// sends five times its rate, each of the others keeps at least 0.95 of its service.
func TestFloodLeavesOthersTheirShare(t *testing.T) {
	// Each check simulates 180 s of traffic, so the default number is reduced; the flag still
	// sets another number.
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		assert.NilError(t, f.Value.Set("30"))
		defer func() { _ = f.Value.Set(f.DefValue) }()
	}
	rapid.Check(t, func(t *rapid.T) {
		customers := rapid.IntRange(3, 8).Draw(t, "customers")
		totalLoad := rapid.Float64Range(0.6, 0.9).Draw(t, "load")
		scene := scenario{
			seed:    rapid.Uint64().Draw(t, "seed"),
			class:   rapid.IntRange(0, units.Classes).Draw(t, "class"),
			timeout: clock.Span(rapid.IntRange(5, 60).Draw(t, "timeout")) * clock.Second,
		}
		for range customers {
			// The load of each customer is proportional to its weight.
			w := rapid.Uint32Range(1, 4).Draw(t, "weight")
			scene.weights = append(scene.weights, w)
		}
		sum := uint32(0)
		for _, w := range scene.weights {
			sum += w
		}
		for _, w := range scene.weights {
			scene.loads = append(scene.loads, totalLoad*float64(w)/float64(sum))
		}
		baseline := scene.run()
		scene.loads[0] *= 5
		flooded := scene.run()
		for i := 1; i < customers; i++ {
			share := float64(flooded[i]) / float64(baseline[i])
			assert.Assert(t, share >= 0.95, "customer %d keeps %.3f", i, share)
		}
	})
}
