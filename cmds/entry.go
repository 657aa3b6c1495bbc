package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/entry"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/sink"
)

const (
	// entryMemoryShare is the part of the VM's memory that the heap may take before the
	// collector works harder.
	entryMemoryShare = 0.5
	// entryLogRate is the number of log lines a second.
	entryLogRate = 200
)

func init() {
	register("entry", "Run a gateway on the platform",
		"Serves callers on an entry VM of a platform that lists the upstreams and keeps the configuration. "+
			"Reads the settings file named by "+platform.SettingsVariable+". SIGTERM and SIGINT stop it gracefully.",
		&entryCommand{})
}

type entryCommand struct{}

// Execute runs the command.
func (c *entryCommand) Execute([]string) error {
	b, err := platform.LoadSettings()
	if err != nil {
		return usage(err)
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	debug.SetMemoryLimit(int64(float64(b.MemoryMegabytes<<20) * entryMemoryShare))
	logs, stopLogs := context.WithCancel(context.Background())
	s := sink.New(os.Stdout, entryLogRate)
	written := make(chan struct{})
	go func() { s.Run(logs); close(written) }()
	defer func() { stopLogs(); <-written }()
	klog.LogToStderr(false)
	klog.SetOutput(s)
	g, err := entry.New(b)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reloaded := reloadOnHangup(ctx, g)
	err = g.Run(ctx)
	stop()
	<-reloaded
	return err
}

// reloadOnHangup reads the settings again at each SIGHUP until the context is done. Bad
// settings leave those in force.
func reloadOnHangup(ctx context.Context, g *entry.Gateway) <-chan struct{} {
	done := make(chan struct{})
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	go func() {
		defer close(done)
		defer signal.Stop(hangup)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangup:
				b, err := platform.LoadSettings()
				if err != nil {
					klog.Errorf("entry: settings are not reloaded: %v", err)
					continue
				}
				g.Reload(b)
			}
		}
	}()
	return done
}
