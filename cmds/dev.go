package cmds

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/magnolialever/magnolialever/devel"
)

func init() {
	register("dev", "Run a development fleet in one process",
		"Runs gateways, agents and fakes of the platform and the upstreams in one process on loopback addresses, creates "+
			"a sample customer, key, model and adapter, and prints curl commands that use them. SIGINT and SIGTERM stop it.", &devCommand{})
}

type devCommand struct {
	Public    string `long:"public" description:"Address of the first gateway for requests, as IP:port" default:"127.0.0.1:8080"`
	Operators string `long:"operators" description:"Address of the first gateway for operators, as IP:port" default:"127.0.0.1:8081"`
}

// Execute runs the fleet until SIGTERM or SIGINT. It fails if the fleet does not become ready.
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
