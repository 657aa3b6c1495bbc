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

// Demand records which targets are requested, so that they can be loaded. It must be safe for
// concurrent use.
type Demand interface {
	// Asked is called once for each request that the customer's rate admits; cost is in tokens.
	Asked(target units.ModelID, cost units.Tokens)
	// Waits is called when a request starts to wait for the target to become resident. The gateway
	// calls the returned function at the end of the wait.
	Waits(target units.ModelID) (end func())
}

// repickInterval is the longest time between two calls of Pick while a request waits: a Picker's
// choice may also change without a new load report, for example when an availability zone returns.
const repickInterval = 500 * time.Millisecond

// notifier wakes up any number of waiting goroutines.
type notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that the next call of notify closes.
func (n *notifier) wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch == nil {
		n.ch = make(chan struct{})
	}
	return n.ch
}

// notify wakes up all waiting goroutines.
func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch != nil {
		close(n.ch)
		n.ch = nil
	}
}

// shouldWait reports whether the request should wait for an upstream: an attempt that may have run
// has broken, or the target is resident nowhere, or only where the cold-start limit admits no
// further request or where Pongs are late. After a pause of the gateway itself, all upstreams seem
// silent until it has read their Pongs.
func (r *relay) shouldWait() bool {
	return r.mayHaveRun || r.request.targetKind == kindModel && r.server.options.Demand != nil || r.offered()
}

// offered reports whether a connected upstream serves the target and is not draining, so that it
// can take the request when it has capacity and answers pings.
func (r *relay) offered() bool {
	return slices.ContainsFunc(*r.server.agents.upstreams.Load(), func(u *upstream) bool {
		return !u.leaving() && u.offers(r.request.targetKind, r.request.info.Target)
	})
}

// waitForUpstream waits until the Picker selects an upstream. It returns nil at the deadline or
// when the context is done.
func (r *relay) waitForUpstream(ctx context.Context) *upstream {
	info := &r.request.info
	deadline := r.waitDeadline()
	switch {
	case r.request.targetKind == kindModel && r.server.options.Demand != nil:
		stopWaiting := r.server.options.Demand.Waits(units.ModelID(info.Target))
		defer stopWaiting()
	case r.mayHaveRun && !r.response.headSent:
		deadline = min(deadline, r.brokenAt.Add(maxCapacityWait))
	default:
		deadline = r.capacityDeadline()
	}
	stats.Event("load_awaited")
	for {
		// The channel has to be obtained before pick, so that no change in between is missed.
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

// waitFor returns after the change, the timeout or the end of the context.
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
	// Load is shared and must not be modified.
	Load *wire.Load
	// ReceivedAt is when the report arrived.
	ReceivedAt clock.Time
	// Alive is set while the agent answers pings.
	Alive bool
	// Draining is set after the agent has announced its stop.
	Draining bool
}

// LoadReports returns the last load reports of all connected agents.
func (s *Server) LoadReports() []LoadReport {
	now := s.clock.Now()
	up := *s.agents.upstreams.Load()
	list := make([]LoadReport, 0, len(up))
	for _, u := range up {
		p := u.report.Load()
		list = append(list, LoadReport{
			Upstream: u.id, Zone: u.zone, Load: p.load, ReceivedAt: p.receivedAt,
			Alive:    u.answersPings(now),
			Draining: u.draining.Load() || p.load.Leaving,
		})
	}
	return list
}
