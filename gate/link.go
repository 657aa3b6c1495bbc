package gate

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/wire"
)

// Backoff of connections to agents: doubled from the first to the last, with
// jitter so that gateways don't return all at once.
const (
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 2 * time.Second
)

// link dials one agent for as long as it is listed.
type link struct {
	address string
	links   *links
}

func (l *link) run(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		connected, err := l.connect(ctx)
		if ctx.Err() != nil {
			return
		}
		if connected {
			backoff = firstBackoff
		}
		stats.Event("agent_session_ended")
		klog.V(1).Infof("gate: session with agent %s ended: %v", l.address, err)
		pause(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, lastBackoff)
	}
}

// connect runs one session and returns when it has ended.
func (l *link) connect(ctx context.Context) (connected bool, err error) {
	s, err := wire.Dial(ctx, l.address, l.links.wire)
	if err != nil {
		return false, err
	}
	defer s.Close()
	if s.Peer().Role != wire.Agent {
		stats.Event("agent_wrong_role")
		return false, errRole
	}
	u := newUpstream(s, l.links.clock)
	defer u.close(l.links)
	return true, u.control(ctx, l.links)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
