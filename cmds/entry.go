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
	// heapLimitFraction is the part of the VM's memory that the heap may take before the
	// collector works harder.
	heapLimitFraction = 0.5
	// maxLogLinesPerSecond is the number of log lines a second.
	maxLogLinesPerSecond = 200
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
	settings, err := platform.LoadSettings()
	if err != nil {
		return usageError(err)
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	debug.SetMemoryLimit(int64(float64(settings.MemoryMegabytes<<20) * heapLimitFraction))
	logContext, stopLogs := context.WithCancel(context.Background())
	logSink := sink.New(os.Stdout, maxLogLinesPerSecond)
	logsDone := make(chan struct{})
	go func() { logSink.Run(logContext); close(logsDone) }()
	defer func() { stopLogs(); <-logsDone }()
	klog.LogToStderr(false)
	klog.SetOutput(logSink)
	g, err := entry.New(settings)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reloadDone := reloadOnHangup(ctx, g)
	err = g.Run(ctx)
	stop()
	<-reloadDone
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
