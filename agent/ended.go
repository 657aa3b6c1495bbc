package agent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
)

// endPause is the pause before an engine whose connection broke is asked whether it still runs: its port may close a moment after
// its connections.
const endPause = 50 * time.Millisecond

// currentInstance returns the engine's instance in its last load report; empty if there was none.
func (s *Server) currentInstance() string {
	if v := s.engineInstance.Load(); v != nil {
		return *v
	}
	return ""
}

// engineRuns reports whether the engine is known to run on after the connection of a call broke: it answers with the
// instance that it had when the call began. A connection can break without a crash.
func (s *Server) engineRuns(ctx context.Context, before string) bool {
	if before == "" || !clock.Sleep(ctx, endPause) {
		return false
	}
	l, err := s.engine.readLoad(ctx)
	if err != nil || l.Instance != before {
		return false
	}
	stats.Event("connections_broken")
	klog.InfoS("agent: connection of a call broke, engine runs on", "instance", before)
	return true
}
