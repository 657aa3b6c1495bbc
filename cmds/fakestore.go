package cmds

import (
	"fmt"

	"github.com/magnolialever/magnolialever/fakes/keyval"
)

// fakeStoreCommand holds the flags of the fake key-value store.
type fakeStoreCommand struct {
	Listen          string `long:"listen" description:"Address, as IP:port, to listen on" default:"127.0.0.1:0"`
	ReadsPerSecond  int    `long:"reads" description:"Maximum reads per second; 0 disables the limit" default:"2000"`
	WritesPerSecond int    `long:"writes" description:"Maximum writes per second; 0 disables the limit" default:"300"`
	MinHistory      int    `long:"keep" description:"Number of recent changes that watches can start from" default:"100000"`
}

func init() {
	register("fake-store", "Run a fake key-value store",
		"Simulates the platform's key-value service. POST /fault enables and disables faults.", &fakeStoreCommand{})
}

// Execute runs the fake until SIGINT or SIGTERM.
func (c *fakeStoreCommand) Execute([]string) error {
	s, err := keyval.New(keyval.Options{
		Address: c.Listen, ReadsPerSecond: c.ReadsPerSecond, WritesPerSecond: c.WritesPerSecond, MinHistory: c.MinHistory,
	})
	if err != nil {
		return fmt.Errorf("start fake key-value store: %w", err)
	}
	return serveUntilSignal("fake-store", s)
}
