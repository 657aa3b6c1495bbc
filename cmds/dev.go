package cmds

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/magnolialever/magnolialever/devel"
)

func init() {
	register("dev", "Run a whole fleet for trials",
		"Runs gateways, agents and stand-ins of the platform in one process on loopback, creates a sample customer, "+
			"key, model and adapter, and prints curl lines for them. SIGINT and SIGTERM stop it.", &devCommand{})
}

type devCommand struct {
	Public    string `long:"public" description:"Address for callers, as IP:port" default:"127.0.0.1:8080"`
	Operators string `long:"operators" description:"Address of the operators' interface, as IP:port" default:"127.0.0.1:8081"`
}

// Execute runs the command.
func (c *devCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	o := devel.Default()
	o.PublicAddress, o.OperatorAddress = c.Public, c.Operators
	f, err := devel.New(o)
	if err != nil {
		return fmt.Errorf("dev: %w", err)
	}
	f.Start()
	s, err := f.CreateSample(ctx)
	if err == nil {
		fmt.Print(s.ExampleCommands())
		<-ctx.Done()
	}
	if stopErr := f.Stop(); stopErr != nil {
		return fmt.Errorf("dev: %w", stopErr)
	}
	if err != nil && ctx.Err() == nil {
		return fmt.Errorf("dev: %w", err)
	}
	return nil
}
