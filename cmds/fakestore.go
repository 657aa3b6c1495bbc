package cmds

import (
	"fmt"

	"github.com/magnolialever/magnolialever/fakes/keyval"
)

type fakeStoreCommand struct {
	Listen          string `long:"listen" description:"Address, as IP:port" default:"127.0.0.1:0"`
	ReadsPerSecond  int    `long:"reads" description:"Reads per second; 0 means no limit" default:"2000"`
	WritesPerSecond int    `long:"writes" description:"Writes per second; 0 means no limit" default:"300"`
	KeepEvents      int    `long:"keep" description:"Changes kept for watches" default:"100000"`
}

func init() {
	register("fake-store", "Run a stand-in for the store",
		"Runs a stand-in for the platform's key-value service. POST /fault switches faults.", &fakeStoreCommand{})
}

// Execute runs the stand-in until a signal.
func (c *fakeStoreCommand) Execute([]string) error {
	s, err := keyval.New(keyval.Options{
		Address: c.Listen, ReadsPerSecond: c.ReadsPerSecond, WritesPerSecond: c.WritesPerSecond, KeepEvents: c.KeepEvents,
	})
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	return serveUntilSignal("fake-store", s)
}
