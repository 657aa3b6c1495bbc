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
	t := time.NewTimer(l.StopTimeout.Duration())
	defer t.Stop()
	select {
	case <-idle:
		return nil
	case <-t.C:
		return s.cancelRemaining(idle)
	}
}

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
	t := time.NewTimer(abortTimeout)
	defer t.Stop()
	select {
	case <-idle:
	case <-t.C:
	}
	return fmt.Errorf("%d canceled: %w", remaining, ErrStopTimeout)
}

// closePollInterval is the interval at which shutdown looks for open connections, and for those that wait.
const closePollInterval = 10 * time.Millisecond

// shutdown closes the listener, and the connections once their responses have been written, at most after abortTimeout.
// http.Server.Shutdown and SetKeepAlivesEnabled would drop requests of which they have read a part.
func (l *listener) shutdown() {
	end := time.Now().Add(abortTimeout)
	l.tcp.beginStop()
	for socket.Waiting(l.tcp.Listener) && time.Now().Before(end) {
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
