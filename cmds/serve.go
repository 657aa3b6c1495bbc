package cmds

import (
	"context"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"
)

// server is a network service that runs until its context is done.
type server interface {
	Addr() string
	Run(ctx context.Context) error
}

// serveUntilSignal runs the server until SIGINT or SIGTERM. The name is used in the log.
func serveUntilSignal(name string, s server) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	klog.Infof("%s: listening on %s", name, s.Addr())
	return s.Run(ctx)
}
