package gate

import (
	"context"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// cutSpan is the time for requests to tell their callers that they are cut off.
const cutSpan = 2 * time.Second

// stop is the graceful stop. The readiness check fails first, so that the load
// balancer sends callers elsewhere before they are refused.
func (s *Server) stop() error {
	l := &s.options.Settings.Limits
	s.leaving.Store(true)
	leave := &wire.Frame{Body: &wire.Frame_Leave{Leave: &wire.Leave{Id: s.options.Node.ID}}}
	s.agents.broadcast(leave, nil)
	s.gateways.broadcast(leave, nil)
	klog.Infof("gate: stops, %d requests are running, the limit is %v", s.running.count(), l.StopTimeout.Duration())
	time.Sleep(l.DrainDelay.Duration())
	idle := s.running.close()
	t := time.NewTimer(l.StopTimeout.Duration())
	defer t.Stop()
	select {
	case <-idle:
		return nil
	case <-t.C:
		return s.cut(idle)
	}
}

// cut ends the requests that are left, and reports them.
func (s *Server) cut(idle <-chan struct{}) error {
	left := s.running.count()
	now := s.clock.Now()
	s.running.each(func(q *request) {
		klog.Warningf("gate: cuts off a request of customer %s for %s after %v",
			q.caller.Customer, q.query.Target, now.Sub(q.arrived).Duration())
		q.cancel(&Problem{Code: units.Draining, Message: "the gateway has stopped", MayHaveRun: true})
	})
	t := time.NewTimer(cutSpan)
	defer t.Stop()
	select {
	case <-idle:
	case <-t.C:
	}
	return fmt.Errorf("%d left: %w", left, ErrStopTimeout)
}

// shutdown closes the listener after the ends of all answers are written.
func (l *listener) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), cutSpan)
	defer cancel()
	if l.http.Shutdown(ctx) != nil {
		_ = l.http.Close()
	}
}
