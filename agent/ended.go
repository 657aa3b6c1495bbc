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

// engineRuns reports whether the engine is known to run on after the connection of a call broke: it answers with the
// instance that it had before. A connection can break without a crash.
func (s *Server) engineRuns(ctx context.Context) bool {
	if s.options.Upstream.Kind != Engine {
		return false
	}
	var before string
	s.loop.do(func() { before = s.state.engineInstance })
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
