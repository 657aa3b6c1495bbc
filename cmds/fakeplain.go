package cmds

import (
	"fmt"
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/plain"
)

// fakePlainCommand holds the flags of the fake plain service.
type fakePlainCommand struct {
	Listen       string        `long:"listen" description:"Address, as IP:port, to listen on" default:"127.0.0.1:0"`
	CallTime     time.Duration `long:"time" description:"Duration of a call" default:"2ms"`
	CrashMarker  string        `long:"marker" description:"Text that crashes the service if a request body contains it"`
	RestartDelay time.Duration `long:"restart" description:"Downtime after a crash" default:"500ms"`
}

func init() {
	register("fake-plain", "Run a fake plain service",
		"Simulates a plain HTTP service. POST /fault enables and disables faults.", &fakePlainCommand{})
}

// Execute runs the fake until SIGINT or SIGTERM.
func (c *fakePlainCommand) Execute([]string) error {
	s, err := plain.New(plain.Options{
		Address: c.Listen, CallTime: clock.FromDuration(c.CallTime), CrashMarker: c.CrashMarker, RestartDelay: clock.FromDuration(c.RestartDelay),
	})
	if err != nil {
		return fmt.Errorf("start fake plain service: %w", err)
	}
	return serveUntilSignal("fake-plain", s)
}
