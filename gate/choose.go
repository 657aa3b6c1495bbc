package gate

import (
	"context"
	"slices"
	"sync"

	"github.com/magnolialever/magnolialever/units"
)

// choose returns the upstream for the next attempt, and waits if that can help.
func (r *relay) choose(ctx context.Context) (*upstream, *Problem) {
	u := r.pick()
	if u == nil && r.awaits() {
		u = r.await(ctx)
		if cause := context.Cause(ctx); u == nil && cause != nil {
			return nil, problemOf(cause)
		}
	}
	if u == nil {
		return nil, problem(units.NoUpstream, "no upstream is available for "+r.request.query.Target)
	}
	return u, nil
}

// choice is the memory of one choice; it is kept for later ones.
type choice struct {
	candidates []Candidate
	upstreams  []*upstream
}

var choices = sync.Pool{New: func() any { return &choice{} }}

func (r *relay) pick() *upstream {
	c := choices.Get().(*choice)
	defer choices.Put(c)
	c.candidates, c.upstreams = c.candidates[:0], c.upstreams[:0]
	now := r.server.clock.Now()
	for _, u := range *r.server.agents.up.Load() {
		if !u.usable(now) || !u.offers(r.request.kind, r.request.query.Target) {
			continue
		}
		c.candidates = append(c.candidates, r.candidate(u))
		c.upstreams = append(c.upstreams, u)
	}
	if len(c.candidates) == 0 {
		return nil
	}
	i := r.server.options.Picker.Pick(now, &r.request.query, c.candidates)
	if i < 0 {
		return nil
	}
	return c.upstreams[i]
}

func (r *relay) candidate(u *upstream) Candidate {
	report := u.report.Load()
	return Candidate{
		Upstream:    u.id,
		Zone:        u.zone,
		Load:        report.load,
		ReceivedAt:  report.heard,
		Outstanding: int(u.outstanding.Load()),
		Failed:      slices.Contains(r.failed, u.id),
	}
}
