package gate

import (
	"context"
	"slices"
	"sync"

	"github.com/magnolialever/magnolialever/units"
)

// chooseUpstream returns the upstream for the next attempt. If none is available now, it may wait
// for one; see shouldWait.
func (r *relay) chooseUpstream(ctx context.Context) (*upstream, *Problem) {
	u := r.pick()
	if u == nil && r.shouldWait() {
		u = r.waitForUpstream(ctx)
		if cause := context.Cause(ctx); u == nil && cause != nil {
			return nil, asProblem(cause)
		}
	}
	if u == nil {
		return nil, newProblem(units.NoUpstream, "no upstream is available for "+r.request.info.Target)
	}
	return u, nil
}

// pickBuffer holds the slices of one pick; they are pooled.
type pickBuffer struct {
	candidates []Candidate
	upstreams  []*upstream
}

var pickBuffers = sync.Pool{New: func() any { return &pickBuffer{} }}

// pick returns the upstream that the Picker chooses among those that are usable and serve the
// target, or nil.
func (r *relay) pick() *upstream {
	c := pickBuffers.Get().(*pickBuffer)
	defer pickBuffers.Put(c)
	c.candidates, c.upstreams = c.candidates[:0], c.upstreams[:0]
	now := r.server.clock.Now()
	for _, u := range *r.server.agents.upstreams.Load() {
		if !u.usable(now) || !u.offers(r.request.targetKind, r.request.info.Target) {
			continue
		}
		c.candidates = append(c.candidates, r.candidate(u))
		c.upstreams = append(c.upstreams, u)
	}
	if len(c.candidates) == 0 {
		return nil
	}
	i := r.server.options.Picker.Pick(now, &r.request.info, c.candidates)
	if i < 0 {
		return nil
	}
	return c.upstreams[i]
}

// candidate describes u to the Picker.
func (r *relay) candidate(u *upstream) Candidate {
	report := u.report.Load()
	return Candidate{
		Upstream:    u.id,
		Zone:        u.zone,
		Load:        report.load,
		ReceivedAt:  report.receivedAt,
		Outstanding: int(u.outstanding.Load()),
		Failed:      slices.Contains(r.failedUpstreams, u.id),
	}
}
