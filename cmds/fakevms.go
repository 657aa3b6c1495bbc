package cmds

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/vms"
)

// fakeVMsCommand holds the flags of the fake VM list.
type fakeVMsCommand struct {
	Listen string        `long:"listen" description:"Address, as IP:port, to listen on" default:"127.0.0.1:0"`
	Lag    time.Duration `long:"lag" description:"Delay until a change is visible" default:"1s"`
	File   string        `long:"file" description:"JSON file with the initial list of VMs"`
}

func init() {
	register("fake-vms", "Run a fake VM list",
		"Simulates the platform's VM list. POST /fault/set and /fault/remove change it.", &fakeVMsCommand{})
}

// Execute runs the fake until SIGINT or SIGTERM.
func (c *fakeVMsCommand) Execute([]string) error {
	o := vms.Options{Address: c.Listen, Lag: clock.FromDuration(c.Lag)}
	if c.File != "" {
		data, err := os.ReadFile(c.File)
		if err != nil {
			return usageError(fmt.Errorf("read VMs: %w", err))
		}
		if err := json.Unmarshal(data, &o.VMs); err != nil {
			return usageError(fmt.Errorf("read VMs from %s: %w", c.File, err))
		}
	}
	s, err := vms.New(o)
	if err != nil {
		return fmt.Errorf("start fake VM list: %w", err)
	}
	return serveUntilSignal("fake-vms", s)
}
