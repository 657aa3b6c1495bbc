package gate

import (
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/socket"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// abortTimeout is the time for canceled requests to send an error to their callers, and for a
// listener to close.
const abortTimeout = 2 * time.Second

// stop stops the gateway gracefully. The readiness check fails first, so that the load balancer
// sends callers to other gateways before this one refuses requests.
func (s *Server) stop() error {
	l := &s.options.Settings.Limits
	s.draining.Store(true)
	leave := &wire.Frame{Body: &wire.Frame_Leave{Leave: &wire.Leave{Id: s.options.Node.ID}}}
	s.agents.broadcast(leave, nil)
	s.gateways.broadcast(leave, nil)
	klog.Infof("gate: stopping gracefully, %d requests in progress, time limit %v", s.inFlight.count(), l.StopTimeout.Duration())
	time.Sleep(l.DrainDelay.Duration())
	idle := s.inFlight.drain()
	s.public.tcp.beginStop()
	half := l.StopTimeout.Duration() / 2
	if isIdleWithin(idle, half) {
		return nil
	}
	s.refuseWaiting()
	if isIdleWithin(idle, l.StopTimeout.Duration()-half) {
		return nil
	}
	return s.cancelRemaining(idle)
}

// isIdleWithin waits for idle, at most for the time given, and reports whether it was closed.
func isIdleWithin(idle <-chan struct{}, limit time.Duration) bool {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-idle:
		return true
	case <-t.C:
		return false
	}
}

// refuseWaiting refuses the requests that no agent has, and lets no more start. Nothing bounds the time that a request takes
// once it runs, so that one which starts late in the stop would be cut by its time limit; a refusal costs its caller one
// more try, which reaches another gateway. It is called in the middle of the stop: what starts before has the other half,
// and by default no request of class live or normal still waits then.
func (s *Server) refuseWaiting() {
	s.startsEnded.Store(true)
	n := 0
	s.inFlight.each(func(q *request) {
		if q.refuseWaiting(newDrainingProblem()) {
			n++
		}
	})
	if n > 0 {
		klog.Infof("gate: refused %d requests that waited for an upstream", n)
	}
}

// newDrainingProblem returns the refusal of a request that has not run.
func newDrainingProblem() *Problem { return newProblem(units.Draining, "the gateway is stopping") }

// cancelRemaining cancels the remaining requests and returns ErrStopTimeout with their number.
func (s *Server) cancelRemaining(idle <-chan struct{}) error {
	remaining := s.inFlight.count()
	now := s.clock.Now()
	s.inFlight.each(func(q *request) {
		klog.Warningf("gate: canceling request of customer %s for %s after %v",
			q.caller.Customer, q.info.Target, now.Sub(q.receivedAt).Duration())
		// Whether the request may have run is added by the attempt that it interrupts.
		q.cancel(newProblem(units.Draining, "the gateway has stopped"))
	})
	isIdleWithin(idle, abortTimeout)
	return fmt.Errorf("%d canceled: %w", remaining, ErrStopTimeout)
}

// closePollInterval is the interval at which shutdown looks for open connections, and for those that wait.
const closePollInterval = 10 * time.Millisecond

// shutdown closes the listener, and the connections once their responses have been written, at most after abortTimeout.
// http.Server.Shutdown and SetKeepAlivesEnabled would drop requests of which they have read a part.
func (l *listener) shutdown() {
	end := time.Now().Add(abortTimeout)
	l.tcp.beginStop()
	for socket.Waiting(l.tcp.heads.Listener) && time.Now().Before(end) {
		time.Sleep(closePollInterval)
	}
	_ = l.tcp.Close()
	// A connection that was accepted last is counted as open from then on.
	<-l.served
	for l.tcp.open() > 0 && time.Now().Before(end) {
		l.tcp.closeIdle()
		time.Sleep(closePollInterval)
	}
	_ = l.http.Close()
}
