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

// notice is a condition that any number of goroutines wait for.
type notice struct {
	mu   sync.Mutex
	next chan struct{}
}

// wait returns a channel that is closed by the next announce.
func (n *notice) wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.next == nil {
		n.next = make(chan struct{})
	}
	return n.next
}

func (n *notice) announce() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.next != nil {
		close(n.next)
		n.next = nil
	}
}

// awaits reports whether the request should wait for an upstream: its answer broke, or its
// target is resident nowhere, or only where the cold-start limit allows no further request.
func (r *relay) awaits() bool {
	if r.ran {
		return true
	}
	if r.request.kind == kindService {
		return r.offered()
	}
	return r.server.options.Demand != nil
}

// offered reports whether a connected upstream offers the service, so that it will take
// the request when it has room.
func (r *relay) offered() bool {
	now := r.server.clock.Now()
	return slices.ContainsFunc(*r.server.agents.up.Load(), func(u *upstream) bool {
		return u.usable(now) && u.offers(kindService, r.request.query.Target)
	})
}

// await waits until an upstream takes the target, at most until the limit. It
// returns nil when none does.
func (r *relay) await(ctx context.Context) *upstream {
	q := &r.request.query
	limit := r.limit()
	switch {
	case r.request.kind == kindModel && r.server.options.Demand != nil:
		end := r.server.options.Demand.Waits(units.ModelID(q.Target))
		defer end()
	case r.ran && !r.answer.sent:
		limit = min(limit, r.broken.Add(capacitySpan))
	default:
		limit = r.capacityLimit()
	}
	stats.Event("load_awaited")
	for {
		// The channel is taken before the upstreams are read, so that no change between
		// the two is missed.
		changed := r.server.changed.wait()
		if u := r.pick(); u != nil {
			return u
		}
		left := limit.Sub(r.server.clock.Now())
		if left <= 0 || ctx.Err() != nil {
			stats.Event("load_awaited_in_vain")
			return nil
		}
		waitFor(ctx, changed, min(left.Duration(), repickInterval))
	}
}

func waitFor(ctx context.Context, changed <-chan struct{}, limit time.Duration) {
	t := time.NewTimer(limit)
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
	up := *s.agents.up.Load()
	list := make([]LoadReport, 0, len(up))
	for _, u := range up {
		p := u.report.Load()
		list = append(list, LoadReport{
			Upstream: u.id, Zone: u.zone, Load: p.load, ReceivedAt: p.heard,
			Alive:    now.Sub(u.stamp.Load().heard) <= silentSpan,
			Draining: u.leaving.Load() || p.load.Leaving,
		})
	}
	return list
}
