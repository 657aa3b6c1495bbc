package assign

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/units"
)

// Guards against memory that names made up by callers take for ever, and against orders for models and adapters that don't
// exist.
func TestUnknownTargetsAreForgotten(t *testing.T) {
	service := &fleet.Service{Name: "llm", Engine: &fleet.Engine{
		MemoryMegabytes: 1000, AdapterSlots: 4, Models: []fleet.Model{{Name: "small", WeightMegabytes: 10, AdapterCount: 2, AdapterMegabytes: 1}},
	}}
	p := NewPlanner(NewLedger())
	for i := range 100 {
		demand := map[Target]Demand{}
		for _, target := range []Target{
			{"llm", "small", ""}, {"llm", "small", "a2"}, {"llm", "small", "a3"}, {"llm", "small", fmt.Sprint("made-up-", i)},
			{"llm", units.ModelID(fmt.Sprint("made-up-", i)), ""}, {"none", units.ModelID(fmt.Sprint("made-up-", i)), ""},
		} {
			demand[target] = Demand{WorkRate: 100, Misses: 1}
		}
		input := PlanInput{Services: map[units.ServiceID]*fleet.Service{"llm": service}, Demand: demand}
		for _, o := range p.Plan(clock.Time(1000*i), input) {
			assert.Assert(t, service.Engine.Has(o.Model, o.Adapter), "%v", o)
		}
	}
	assert.Equal(t, len(p.lastRequested), 2)
	p.Plan(200_000, PlanInput{Services: map[units.ServiceID]*fleet.Service{}})
	assert.Equal(t, len(p.lastRequested), 0, "the configuration has dropped the model")
}
