package cmds

import (
	"context"
	"errors"
	"fmt"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/magnolialever/magnolialever/agent"
	"github.com/magnolialever/magnolialever/config"
	"github.com/magnolialever/magnolialever/store"
)

func init() {
	register("agent", "Run the agent of one upstream",
		"Runs next to one upstream, admits its requests and executes load and unload orders. Reads node.json, fleet.json "+
			"and upstream.json from the settings directory. SIGTERM and SIGINT stop it gracefully.",
		&agentCommand{})
}

type agentCommand struct {
	Settings string `long:"settings" value-name:"DIR" description:"Directory of the settings files" required:"true"`
}

// Execute runs the agent until SIGTERM or SIGINT. Invalid settings are a usage error.
func (c *agentCommand) Execute([]string) error {
	var (
		o        agent.Options
		fleet    config.Fleet
		settings agent.Settings
	)
	err := errors.Join(
		config.Load(filepath.Join(c.Settings, "node.json"), &o.Node),
		config.Load(filepath.Join(c.Settings, "fleet.json"), &fleet),
		config.Load(filepath.Join(c.Settings, "upstream.json"), &settings),
	)
	if err != nil {
		return usageError(err)
	}
	kv := store.New(store.Options{Address: fleet.StoreAddress})
	defer kv.Close()
	o.Secret, o.ReadSlotTable = []byte(fleet.Secret), agent.StoredSlotTable(kv)
	o.Upstream, o.AllowFree, o.Limits = settings.Upstream, settings.AllowFree, settings.Limits
	s, err := agent.New(o)
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := s.Run(ctx); err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	return nil
}
