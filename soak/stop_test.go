package soak

import (
	"flag"
	"net/http"
	"sync/atomic"
	"time"
)

// checkStops lets the soak fail for requests that a planned stop has cut.
var checkStops = flag.Bool("soak.stops", true, "check that planned stops cut no request")

// routeTimeout is the time after which a gateway ends a request, less what the caller may measure besides.
const routeTimeout = 1400 * time.Millisecond

const (
	// lastPart is the part of the period of grace, at its end, in which an upstream may still be at work on a request that was
	// sent no later than lateRequests after the begin of the stop.
	lastPart     = 6
	lateRequests = 3 * time.Second
)

// spells counts the begins and the ends of faults of one kind at a gateway, which don't overlap.
type spells struct {
	edges atomic.Int64
	// beganAt is when the last one began, in nanoseconds since 1970.
	beganAt atomic.Int64
}

// count counts a fault that lasts while f runs.
func (s *spells) count(f func() error) error {
	s.beganAt.Store(time.Now().UnixNano())
	s.edges.Add(1)
	defer s.edges.Add(1)
	return f()
}

// overlap reports whether a fault lasted at any time since edges had the value.
func (s *spells) overlap(edges int64) bool { return edges%2 == 1 || s.edges.Load() != edges }

// stopWatch watches one request for a planned stop of its gateway.
type stopWatch struct {
	gateway      *gateway
	sentAt       time.Time
	stops, other int64
}

func watchStops(g *gateway) stopWatch {
	return stopWatch{g, time.Now(), g.stops.edges.Load(), g.otherFaults.edges.Load()}
}

// check records a breach if the request did not end whole, though it had reached an upstream, and nothing but a planned
// stop of the gateway can be the cause.
func (w stopWatch) check(r *record, id string, status int, whole bool) {
	refused := status != 0 && status != http.StatusOK && status != http.StatusBadGateway && status != http.StatusGatewayTimeout
	if !*checkStops || refused || status == http.StatusOK && whole {
		return
	}
	took := time.Since(w.sentAt)
	if took >= routeTimeout || !w.gateway.stops.overlap(w.stops) || w.gateway.otherFaults.overlap(w.other) {
		return
	}
	if w.sentInLastPart() {
		return
	}
	if r.ranUndisturbed(id, w.sentAt) {
		r.breach("request %s: cut after %v by a planned stop of %s, status %d", id, took, w.gateway.name, status)
	}
}

// sentInLastPart reports whether the request was sent in the last part of the period of grace, so that its upstream was still
// at work there: the rule on planned stops doesn't count it.
func (w stopWatch) sentInLastPart() bool {
	grace := time.Duration(w.gateway.graceSeconds) * time.Second
	since := w.sentAt.Sub(time.Unix(0, w.gateway.stops.beganAt.Load()))
	return grace > 0 && since >= grace-grace/lastPart && since <= lateRequests
}

// ranUndisturbed reports whether a request has reached an upstream, and whether no fault was at the upstreams that it
// has reached since it was sent.
func (r *record) ranUndisturbed(id string, sentAt time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.ranBehind[id] {
		if l.disturbedSince(sentAt) {
			return false
		}
	}
	return r.runs[id] > 0 && !r.spoiled[id]
}

// spoil records that the answer to a request has a fault.
func (r *record) spoil(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spoiled[id] = true
}
