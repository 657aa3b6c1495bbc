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

// The live heap of a gateway is small and most allocations are short-lived. Collecting garbage less
// often than by default saves pauses, and the soft memory limit bounds what request bodies take.
// The environment variables GOGC and GOMEMLIMIT take precedence.
const (
	gcPercent = 400
	// memoryPerBuffer is the soft memory limit in relation to the limit on buffers of bodies, minMemoryBytes its least value.
	memoryPerBuffer = 2
	minMemoryBytes  = 64 << 20
)

// configureGC sets the garbage collector's target percentage and the soft memory limit, for a gateway whose buffers of
// bodies take bufferBytes at most.
func configureGC(bufferBytes int64) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(max(bufferBytes*memoryPerBuffer, minMemoryBytes))
	}
}

func init() {
	register("gateway", "Run a gateway that uses agents next to the upstreams",
		"Serves requests on an entry VM. Reads node.json, fleet.json, gate.json and ops.json from the settings directory. "+
			"SIGTERM and SIGINT stop it gracefully.",
		&gatewayCommand{})
}

type gatewayCommand struct {
	Settings string `long:"settings" value-name:"DIR" description:"Directory of the settings files" required:"true"`
}

// Execute runs the gateway until SIGTERM or SIGINT. Invalid settings are a usage error.
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
	configureGC(s.Gate.Limits.WithDefaults().MaxBufferBytes)
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
