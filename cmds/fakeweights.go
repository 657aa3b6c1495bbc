package cmds

import (
	"fmt"
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/weight"
)

type fakeWeightsCommand struct {
	Listen         string        `long:"listen" description:"Address, as IP:port" default:"127.0.0.1:0"`
	LoadsPerSecond float64       `long:"rate" description:"Loads per second" default:"1.6"`
	Burst          int           `long:"burst" description:"Loads that may start at once; 0 means the concurrency"`
	MaxConcurrent  int           `long:"concurrent" description:"Loads at the same time" default:"6"`
	LoadTime       time.Duration `long:"time" description:"Time of a load" default:"200ms"`
}

func init() {
	register("fake-weights", "Run a stand-in for the weight store",
		"Runs a stand-in for the platform's store of model weights. POST /fault switches faults.", &fakeWeightsCommand{})
}

// Execute runs the stand-in until a signal.
func (c *fakeWeightsCommand) Execute([]string) error {
	s, err := weight.New(weight.Options{
		Address: c.Listen, Rate: c.LoadsPerSecond, Burst: c.Burst, Concurrent: c.MaxConcurrent, Time: clock.FromDuration(c.LoadTime),
	})
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	return serveUntilSignal("fake-weights", s)
}
