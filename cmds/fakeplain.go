package cmds

import (
	"fmt"
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/plain"
)

type fakePlainCommand struct {
	Listen      string        `long:"listen" description:"Address, as IP:port" default:"127.0.0.1:0"`
	ServiceTime time.Duration `long:"time" description:"Time of a call" default:"2ms"`
	CrashMarker string        `long:"marker" description:"Text in a body that crashes the service"`
	RestartTime time.Duration `long:"restart" description:"Time down after a crash" default:"500ms"`
}

func init() {
	register("fake-plain", "Run a stand-in for a plain service",
		"Runs a stand-in for a plain HTTP service. POST /fault switches faults.", &fakePlainCommand{})
}

// Execute runs the stand-in until a signal.
func (c *fakePlainCommand) Execute([]string) error {
	s, err := plain.New(plain.Options{
		Address: c.Listen, Time: clock.FromDuration(c.ServiceTime), Marker: c.CrashMarker, Restart: clock.FromDuration(c.RestartTime),
	})
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	return serveUntilSignal("fake-plain", s)
}
