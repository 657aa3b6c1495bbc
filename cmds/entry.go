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
	// heapLimitFraction is the fraction of the VM's memory that is set as the soft memory limit of
	// the Go runtime, from which on it collects garbage more often.
	heapLimitFraction = 0.5
	// maxLogLinesPerSecond limits the log; lines beyond it are dropped and counted.
	maxLogLinesPerSecond = 200
)

func init() {
	register("entry", "Run a gateway on a platform that lists the upstreams",
		"Serves requests on an entry VM of a platform that lists the upstreams and stores the configuration. "+
			"Reads the settings file named by the environment variable "+platform.SettingsVariable+
			". SIGTERM and SIGINT stop it gracefully; SIGHUP reloads the settings.",
		&entryCommand{})
}

type entryCommand struct{}

// Execute runs the gateway until SIGTERM or SIGINT. Invalid settings are a usage error.
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
		return fmt.Errorf("start gateway: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// Signals are handled until the end: by default they would kill the process with the requests that it still serves.
	reloadContext, endReload := context.WithCancel(context.Background())
	reloadDone := reloadOnHangup(reloadContext, g)
	err = g.Run(ctx)
	endReload()
	<-reloadDone
	return err
}

// reloadOnHangup reloads the settings at each SIGHUP until the context is done. If the settings
// are invalid, it logs an error and the gateway keeps the current ones. The returned channel is
// closed when reloading has ended.
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
					klog.Errorf("entry: failed to reload settings, keeping the current ones: %v", err)
					continue
				}
				g.Reload(b)
			}
		}
	}()
	return done
}
