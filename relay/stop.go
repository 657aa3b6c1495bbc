package relay

import (
	"errors"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
)

// stopTimes are the times of a stop of this gateway: until routedUntil the platform may route callers here, at end the
// requests that still run are ended.
type stopTimes struct{ requestedAt, routedUntil, end clock.Time }

// Drain makes the server close each caller's connection after its next response and refuse requests that may
// outlast end, so that callers can retry at another gateway. Until routedUntil the platform routes callers here. The
// caller of Drain calls End at the end.
func (s *Server) Drain(routedUntil, end clock.Time) {
	now := s.Clock.Now()
	s.stop.Store(&stopTimes{now, routedUntil, end})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Scheduler.SetStop(now, routedUntil, end)
}

// End ends the requests in progress: those that have not run are refused, streams that have begun are cut off after
// their last whole event, and all others get an error that does not exclude that they have run.
func (s *Server) End() { s.end() }

// stopping reports whether a stop of this gateway was requested.
func (s *Server) stopping() bool { return s.stop.Load() != nil }

// mayOutlastStop is the reason for refusals by a gateway that stops.
const mayOutlastStop = "may outlast the stop"

// mayStart reports whether the request would end before the stop of this gateway, if there is one.
func (x *exchange) mayStart() bool {
	if !x.server.stopping() {
		return true
	}
	request := x.schedulerRequest()
	x.server.mu.Lock()
	defer x.server.mu.Unlock()
	return x.server.Scheduler.MayStart(x.server.Clock.Now(), &request)
}

// logDuringStop logs an attempt that begins during a stop, with what tells why it was not refused.
func (a *attempt) logDuringStop() {
	stop := a.server.stop.Load()
	if stop == nil {
		return
	}
	klog.InfoS("relay: passed on during the stop", "request", a.callerRequest.RequestID, "upstream", a.scheduled.Upstream.ID,
		"mode", a.route.RetryMode, "size", a.runSize(), "arrived", a.arrivedAt.Sub(stop.requestedAt), "sent", a.assignedAt.Sub(stop.requestedAt),
		"routed", a.arrivedAt.Before(stop.routedUntil), "left", stop.end.Sub(a.assignedAt), "limit", a.arrivedAt.Add(a.timeout).Sub(a.assignedAt),
		"sends", a.sends, "runs", a.runs)
}

// errStopped is the cause by which requests are canceled at the end of the grace period.
var errStopped = errors.New("the gateway stops")

// endStopped ends a request that the stop of this gateway doesn't leave time for.
func (x *exchange) endStopped() {
	stats.Event("requests_cut_by_stop")
	var arrived clock.Span
	if stop := x.server.stop.Load(); stop != nil {
		arrived = x.arrivedAt.Sub(stop.requestedAt)
	}
	klog.InfoS("relay: cut off by the stop", "request", x.callerRequest.RequestID, "upstream", x.upstream, "model", x.callerRequest.Model,
		"adapter", x.callerRequest.Adapter, "sends", x.sends, "runs", x.runs, "events", x.delivered.events, "arrived", arrived,
		"took", x.server.Clock.Now().Sub(x.arrivedAt), "revision", x.view.Revision)
	x.reason = errStopped.Error()
	x.fail(upstreamFailed, stopping)
}
