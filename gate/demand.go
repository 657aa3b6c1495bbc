package gate

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// Demand is told what callers ask for, so that it can be loaded. It is called by
// many goroutines.
type Demand interface {
	// Asked is told once of each request that the customer's rate admits.
	Asked(target units.ModelID, cost units.Tokens)
	// Waits is told of a request that begins to wait for the target to be resident.
	// The caller calls the function that it returns at the end of the wait.
	Waits(target units.ModelID) (end func())
}

// repickInterval bounds one wait for a load report: a picker may also change its mind
// without one, for example when an availability zone returns.
const repickInterval = 500 * time.Millisecond

// notifier is a condition that any number of goroutines wait for.
type notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that is closed by the next announce.
func (n *notifier) wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch == nil {
		n.ch = make(chan struct{})
	}
	return n.ch
}

func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch != nil {
		close(n.ch)
		n.ch = nil
	}
}

// shouldWait reports whether the request should wait for an upstream: its answer broke, or its
// target is resident nowhere, or only where the cold-start limit allows no further request.
func (r *relay) shouldWait() bool {
	if r.mayHaveRun {
		return true
	}
	if r.request.targetKind == kindService {
		return r.serviceOffered()
	}
	return r.server.options.Demand != nil
}

// serviceOffered reports whether a connected upstream offers the service, so that it will take
// the request when it has room.
func (r *relay) serviceOffered() bool {
	now := r.server.clock.Now()
	return slices.ContainsFunc(*r.server.agents.upstreams.Load(), func(u *upstream) bool {
		return u.usable(now) && u.offers(kindService, r.request.info.Target)
	})
}

// waitForUpstream waits until an upstream takes the target, at most until the limit. It
// returns nil when none does.
func (r *relay) waitForUpstream(ctx context.Context) *upstream {
	q := &r.request.info
	deadline := r.waitDeadline()
	switch {
	case r.request.targetKind == kindModel && r.server.options.Demand != nil:
		stopWaiting := r.server.options.Demand.Waits(units.ModelID(q.Target))
		defer stopWaiting()
	case r.mayHaveRun && !r.response.headSent:
		deadline = min(deadline, r.brokenAt.Add(maxCapacityWait))
	default:
		deadline = r.capacityDeadline()
	}
	stats.Event("load_awaited")
	for {
		// The channel is taken before the upstreams are read, so that no change between
		// the two is missed.
		changed := r.server.capacityChanged.wait()
		if u := r.pick(); u != nil {
			return u
		}
		remaining := deadline.Sub(r.server.clock.Now())
		if remaining <= 0 || ctx.Err() != nil {
			stats.Event("load_awaited_in_vain")
			return nil
		}
		waitFor(ctx, changed, min(remaining.Duration(), repickInterval))
	}
}

func waitFor(ctx context.Context, changed <-chan struct{}, timeout time.Duration) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-changed:
	case <-ctx.Done():
	case <-t.C:
	}
}

// LoadReport is the last load report of a connected agent.
type LoadReport struct {
	Upstream units.UpstreamID
	Zone     units.Zone
	// Load is shared and not to be changed.
	Load *wire.Load
	// ReceivedAt is when the report arrived.
	ReceivedAt clock.Time
	// Alive is set while the agent answers pings.
	Alive bool
	// Draining is set after the agent has announced its stop.
	Draining bool
}

// LoadReports returns the reports of all connected agents.
func (s *Server) LoadReports() []LoadReport {
	now := s.clock.Now()
	up := *s.agents.upstreams.Load()
	list := make([]LoadReport, 0, len(up))
	for _, u := range up {
		p := u.report.Load()
		list = append(list, LoadReport{
			Upstream: u.id, Zone: u.zone, Load: p.load, ReceivedAt: p.receivedAt,
			Alive:    now.Sub(u.clockReading.Load().receivedAt) <= maxPongAge,
			Draining: u.draining.Load() || p.load.Leaving,
		})
	}
	return list
}
