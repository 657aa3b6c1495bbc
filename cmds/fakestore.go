package cmds

import (
	"fmt"

	"github.com/magnolialever/magnolialever/fakes/keyval"
)

type fakeStore struct {
	Listen string `long:"listen" description:"Address, as IP:port" default:"127.0.0.1:0"`
	Reads  int    `long:"reads" description:"Reads per second; 0 means no limit" default:"2000"`
	Writes int    `long:"writes" description:"Writes per second; 0 means no limit" default:"300"`
	Keep   int    `long:"keep" description:"Changes kept for watches" default:"100000"`
}

func init() {
	register("fake-store", "Run a stand-in for the store",
		"Runs a stand-in for the platform's key-value service. POST /fault switches faults.", &fakeStore{})
}

// Execute runs the stand-in until a signal.
func (c *fakeStore) Execute([]string) error {
	s, err := keyval.New(keyval.Options{
		Address: c.Listen, ReadsPerSecond: c.Reads, WritesPerSecond: c.Writes, MinHistory: c.Keep,
	})
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	return serveUntilSignal("fake-store", s)
}
