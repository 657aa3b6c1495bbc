package cmds

import (
	"fmt"
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/weight"
)

// fakeWeightsCommand holds the flags of the fake weight store.
type fakeWeightsCommand struct {
	Listen         string        `long:"listen" description:"Address, as IP:port, to listen on" default:"127.0.0.1:0"`
	LoadsPerSecond float64       `long:"rate" description:"Maximum loads that start per second" default:"1.6"`
	Burst          int           `long:"burst" description:"Loads that may start at once; 0 uses the value of --concurrent"`
	MaxConcurrent  int           `long:"concurrent" description:"Maximum concurrent loads" default:"6"`
	LoadTime       time.Duration `long:"time" description:"Duration of a load" default:"200ms"`
}

func init() {
	register("fake-weights", "Run a fake weight store",
		"Simulates the platform's rate-limited store of model weights. POST /fault enables and disables faults.", &fakeWeightsCommand{})
}

// Execute runs the fake until SIGINT or SIGTERM.
func (c *fakeWeightsCommand) Execute([]string) error {
	s, err := weight.New(weight.Options{
		Address: c.Listen, LoadsPerSecond: c.LoadsPerSecond, Burst: c.Burst, MaxConcurrent: c.MaxConcurrent, LoadTime: clock.FromDuration(c.LoadTime),
	})
	if err != nil {
		return fmt.Errorf("start fake weight store: %w", err)
	}
	return serveUntilSignal("fake-weights", s)
}
