package agent

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/place"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// drainPollInterval is how often an unload checks whether its target's requests have ended.
const drainPollInterval = 20 * time.Millisecond

// orderFromWire converts an order received from a gateway.
func orderFromWire(o *wire.Order) place.Order {
	return place.Order{
		ID:      o.Id,
		Fence:   units.Fence(o.Fence),
		Op:      place.Op(o.Op),
		Target:  units.ModelID(o.Target),
		Bytes:   units.Bytes(o.Bytes),
		Base:    units.ModelID(o.Base),
		Version: o.Version,
	}
}

// handleOrder processes an order of the leader. The result is pushed immediately when the
// order is refused or was executed before, and otherwise after its execution.
func (s *Server) handleOrder(ctx context.Context, c *controlStream, w *wire.Order) {
	if s.options.Upstream.Kind == Service {
		c.push(orderResultFrame(w.Id, units.InvalidRequest, nil))
		return
	}
	s.loop.do(func() {
		decision := s.state.ledger.Admit(s.clock.Now(), orderFromWire(w))
		switch decision.Step {
		case place.Refuse:
			stats.Refuse(decision.Code)
			c.push(orderResultFrame(w.Id, decision.Code, s.state.loadReport()))
		case place.Finished:
			c.push(orderResultFrame(w.Id, "", s.state.loadReport()))
		case place.InProgress:
			if !slices.Contains(s.state.orderWaiters[w.Id], c) {
				s.state.orderWaiters[w.Id] = append(s.state.orderWaiters[w.Id], c)
			}
		case place.Send:
			s.state.orderWaiters[w.Id] = append(s.state.orderWaiters[w.Id], c)
			s.startOrder(ctx, decision.Order)
		}
	})
}

// orderResultFrame returns a frame with the result of an order; code is empty on success.
func orderResultFrame(id string, code units.Code, l *wire.Load) *wire.Frame {
	r := &wire.OrderResult{Id: id, Code: string(code), Load: l}
	return &wire.Frame{Body: &wire.Frame_OrderResult{OrderResult: r}}
}

// startOrder starts to execute an order that the ledger has admitted. Only the event loop
// calls it.
func (s *Server) startOrder(ctx context.Context, o place.Order) {
	klog.Infof("agent: starting order %s %s, version %q", o.Op, o.Target, o.Version)
	s.state.loadChanged = true
	if o.Op == place.Unload {
		s.state.rejectQueuedFor(o.Target)
	}
	s.runningOrders.Go(func() { s.executeOrder(context.WithoutCancel(ctx), o) })
}

// executeOrder sends the order to the engine and pushes the result to all gateways that
// sent the order.
func (s *Server) executeOrder(ctx context.Context, o place.Order) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.lifetime, cancel)()
	result, code := place.Failed, units.Draining
	if o.Op == place.Load || s.awaitDrained(ctx, o.Target) {
		var err error
		code = ""
		if result, err = s.engine.sendOrder(ctx, o); err != nil {
			klog.Warningf("agent: order %s %s: %v", o.Op, o.Target, err)
			code = units.UpstreamFailed
		}
	}
	s.loop.do(func() {
		s.state.ledger.Complete(s.clock.Now(), o, result)
		s.state.loadChanged = true
		for _, c := range s.state.orderWaiters[o.ID] {
			c.push(orderResultFrame(o.ID, code, s.state.loadReport()))
		}
		delete(s.state.orderWaiters, o.ID)
		s.state.startReady(s.clock.Now())
		s.state.pushLoad()
	})
}

// awaitDrained waits until no job with the target runs, because unloading would abort it.
// It returns false when jobs still run after StopTimeout, or when ctx or the event loop
// has ended.
func (s *Server) awaitDrained(ctx context.Context, target units.ModelID) bool {
	deadline := s.clock.Now().Add(s.options.Limits.StopTimeout)
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for s.clock.Now().Before(deadline) {
		running := true
		if !s.loop.do(func() { running = s.state.hasRunning(target) }) {
			return false
		}
		if !running {
			return true
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// pollEngine reads the engine's load report every PollInterval until ctx is done.
func (s *Server) pollEngine(ctx context.Context) {
	t := time.NewTicker(s.options.Limits.PollInterval.Duration())
	defer t.Stop()
	for {
		requestedAt := s.clock.Now()
		l, err := s.engine.readLoad(ctx)
		if ctx.Err() != nil {
			return
		}
		s.loop.do(func() { s.observeLoad(ctx, requestedAt, l, err) })
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// observeLoad applies a load report requested at requestedAt, or the error of reading it.
// Only the event loop calls it.
func (s *Server) observeLoad(ctx context.Context, requestedAt clock.Time, l *engineLoad, err error) {
	st := s.state
	st.setUnreachable(err)
	if err != nil {
		// An engine that does not respond may be restarting.
		st.coldStartLimit.Reset()
		return
	}
	if st.engineCold != l.Cold {
		st.engineCold = l.Cold
		st.loadChanged = true
	}
	st.coldStartLimit.SetCold(l.Cold)
	if st.engineInstance != "" && st.engineInstance != l.Instance {
		klog.Warningf("agent: engine has restarted")
		st.ledger.EngineRestarted()
		st.coldStartLimit.Reset()
	}
	if st.engineInstance != l.Instance {
		st.engineRun++
	}
	st.engineInstance = l.Instance
	instance := l.Instance
	s.engineInstance.Store(&instance)
	observed, freeBefore := st.ledger.Observed(), st.ledger.Free()
	residentBefore, _ := st.ledger.Targets()
	st.ledger.Observe(requestedAt, l.ledgerReport())
	residentAfter, _ := st.ledger.Targets()
	if !observed {
		st.pushLoad()
	}
	st.loadChanged = st.loadChanged || freeBefore != st.ledger.Free() || !slices.Equal(residentBefore, residentAfter)
	s.unloadUncertain(ctx)
	st.startReady(s.clock.Now())
}

// setUnreachable records whether the engine responds. A change is pushed to the gateways
// immediately, because requests for an unreachable engine are refused.
func (s *state) setUnreachable(err error) {
	unreachable := err != nil
	if unreachable == s.unreachable {
		return
	}
	if s.unreachable = unreachable; unreachable {
		klog.Warningf("agent: engine does not respond: %v", err)
	}
	s.pushLoad()
}

// unloadUncertain unloads the targets that may or may not be in the engine's memory.
func (s *Server) unloadUncertain(ctx context.Context) {
	now := s.clock.Now()
	for _, o := range s.state.ledger.CleanupOrders() {
		o.ID = uuid.NewString()
		if v := s.state.ledger.Admit(now, o); v.Step == place.Send {
			s.startOrder(ctx, v.Order)
		}
	}
}
