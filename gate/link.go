package gate

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/wire"
)

// Bounds of the exponential backoff between connection attempts, before jitter, which keeps
// gateways from reconnecting all at once.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// link keeps a session with one agent or gateway for as long as its address is listed.
type link struct {
	address string
	links   *linkSet
}

// run reconnects with backoff until the context is done.
func (l *link) run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		connected, err := l.connect(ctx)
		if ctx.Err() != nil {
			return
		}
		if connected {
			backoff = minBackoff
		}
		stats.Event("link_ended")
		klog.V(1).Infof("gate: session with %s %s ended: %v", l.links.role, l.address, err)
		clock.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// connect runs one session until it ends. It reports whether the session was established.
func (l *link) connect(ctx context.Context) (connected bool, err error) {
	server := l.links.server
	s, err := wire.Dial(ctx, l.address, server.wireOptions)
	if err != nil {
		return false, err
	}
	defer s.Close()
	if s.Peer().Role != l.links.role {
		stats.Event("link_wrong_role")
		return false, errRole
	}
	u, err := newUpstream(s, server)
	if err != nil {
		return false, err
	}
	defer u.close(l.links)
	return true, u.run(ctx, l.links)
}
