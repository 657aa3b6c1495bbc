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

// end is the end of one running request.
type end struct {
	at   clock.Time
	item admit.Item
	used units.Tokens
}

type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// scene is an upstream with slots of equal speed and customers with given loads.
type scene struct {
	seed    uint64
	loads   []float64 // relative to the upstream
	weights []uint32
	// class is that of all items, or units.Classes for a mixture.
	class   int
	timeout clock.Span
}

const (
	sceneSlots = 16
	sceneSpeed = 20.0 // tokens/ms of all slots
	sceneTime  = 90 * clock.Second
)

func (s scene) classOf(n int) units.Class {
	if s.class < units.Classes {
		return units.Class(s.class)
	}
	return units.Class(n)
}

// run returns the tokens that each customer got. The arrivals of a customer don't
// depend on the load of others.
func (s scene) run() []units.Tokens {
	q := newQueue()
	got := make([]units.Tokens, len(s.loads))
	source := make([]*rand.Rand, len(s.loads))
	next := make([]clock.Time, len(s.loads))
	for i := range s.loads {
		source[i] = rand.New(rand.NewPCG(s.seed, uint64(i)))
	}
	var running ends
	used := map[units.AttemptID]units.Tokens{}
	id := 0
	for now := clock.Time(1); now < clock.Time(sceneTime); now++ {
		for len(running) > 0 && running[0].at <= now {
			e := heap.Pop(&running).(end)
			q.Done(now, e.item, e.used)
			var c int
			_, _ = fmt.Sscanf(string(e.item.Customer), "c%d", &c)
			got[c] += e.used
		}
		for i, load := range s.loads {
			for next[i] <= now {
				const mean = 150
				next[i] += clock.Time(source[i].ExpFloat64() * mean / (load * sceneSpeed))
				id++
				it := admit.Item{
					ID: units.AttemptID(fmt.Sprint(id)), Customer: customer(i), Class: s.classOf(source[i].IntN(units.Classes)), Weight: s.weights[i],
					Cost: units.Tokens(200 + source[i].IntN(200)), Deadline: now.Add(s.timeout),
				}
				// Answers use half of the reservation on average.
				used[it.ID] = units.Tokens(1 + source[i].IntN(int(it.Cost)-1))
				q.Push(now, it)
			}
		}
		for len(running) < sceneSlots {
			it, ok := q.Next(now, always)
			if !ok {
				break
			}
			u := used[it.ID]
			heap.Push(&running, end{now.Add(clock.Span(float64(u) * sceneSlots / sceneSpeed)), it, u})
		}
	}
	return got
}

// Guards against customers that lose service to another one's flood. The first
// customer sends five times its rate; each of the others keeps 0.95 of what it
// gets without the flood.
func TestFlood(t *testing.T) {
	// One check simulates 180 s of traffic; the flag still allows for more.
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		assert.NilError(t, f.Value.Set("30"))
		defer func() { _ = f.Value.Set(f.DefValue) }()
	}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 8).Draw(t, "customers")
		total := rapid.Float64Range(0.6, 0.9).Draw(t, "load")
		s := scene{
			seed:    rapid.Uint64().Draw(t, "seed"),
			class:   rapid.IntRange(0, units.Classes).Draw(t, "class"),
			timeout: clock.Span(rapid.IntRange(5, 60).Draw(t, "timeout")) * clock.Second,
		}
		for range n {
			// Each customer's rate is its weighted share.
			w := rapid.Uint32Range(1, 4).Draw(t, "weight")
			s.weights = append(s.weights, w)
		}
		sum := uint32(0)
		for _, w := range s.weights {
			sum += w
		}
		for _, w := range s.weights {
			s.loads = append(s.loads, total*float64(w)/float64(sum))
		}
		calm := s.run()
		s.loads[0] *= 5
		flooded := s.run()
		for i := 1; i < n; i++ {
			share := float64(flooded[i]) / float64(calm[i])
			assert.Assert(t, share >= 0.95, "customer %d keeps %.3f", i, share)
		}
	})
}
