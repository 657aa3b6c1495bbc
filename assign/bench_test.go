package assign_test

import (
	"fmt"
	"testing"

	"github.com/magnolialever/magnolialever/assign"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/units"
)

// Guards against planning rounds that take long on the leader: with all models requested, a fifth of them short, and
// two adapters a model.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ engines, models int }{{56, 121}, {650, 240}} {
		b.Run(fmt.Sprintf("%dx%d", size.engines, size.models), func(b *testing.B) {
			c := newCluster(b, size.engines, size.models)
			c.service.Engine.LoadsPerSecond = 10
			for i := range size.models {
				target := assign.Target{Service: service, Model: modelName(i)}
				for _, a := range []string{"", "a1", "a2"} {
					target.Adapter = a
					demand := assign.Demand{WorkRate: 4000}
					if i%5 == 0 {
						demand = assign.Demand{WorkRate: 60_000, RefusedRate: 40_000}
					}
					c.demand[target] = assign.Demand{}.Add("a", demand)
				}
			}
			c.run(1, 1000)
			input := assign.PlanInput{Services: map[units.ServiceID]*fleet.Service{service: c.service}, Demand: c.demand, InFlight: map[units.UpstreamID]int{}}
			now := clock.Time(1000)
			for b.Loop() {
				now += 200
				c.advance(now)
				for _, o := range c.planner.Plan(now, input) {
					c.sendOrder(now, o)
				}
			}
		})
	}
}
