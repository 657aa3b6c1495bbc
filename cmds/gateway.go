package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"

	"github.com/magnolialever/magnolialever/config"
	"github.com/magnolialever/magnolialever/coord"
)

// The heap of a gateway is small and short-lived. Collecting it less often than by
// default saves pauses, and the limit keeps the memory of request bodies in bounds.
// GOGC and GOMEMLIMIT take precedence.
const (
	gcPercent        = 400
	memoryLimitBytes = 512 << 20
)

func configureGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimitBytes)
	}
}

func init() {
	register("gateway", "Run a gateway",
		"Serves callers on an entry VM. Reads node.json, fleet.json, gate.json and ops.json from the settings directory. "+
			"SIGTERM and SIGINT stop it gracefully.",
		&gatewayCommand{})
}

type gatewayCommand struct {
	Settings string `long:"settings" value-name:"DIR" description:"Directory of the settings files" required:"true"`
}

// Execute runs the command.
func (c *gatewayCommand) Execute([]string) error {
	var s coord.Settings
	err := errors.Join(
		config.Load(filepath.Join(c.Settings, "node.json"), &s.Node),
		config.Load(filepath.Join(c.Settings, "fleet.json"), &s.Fleet),
		config.Load(filepath.Join(c.Settings, "gate.json"), &s.Gate),
		config.Load(filepath.Join(c.Settings, "ops.json"), &s.Ops),
	)
	if err != nil {
		return usageError(err)
	}
	configureGC()
	g, err := coord.NewGateway(s)
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := g.Run(ctx); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	return nil
}
