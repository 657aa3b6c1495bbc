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

// drainPoll is how often an unload looks whether the target's requests have ended.
const drainPoll = 20 * time.Millisecond

func placeOrder(o *wire.Order) place.Order {
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

// order decides on an order of a controller and answers it, at once or when the
// engine has carried it out.
func (s *Server) order(ctx context.Context, c *control, w *wire.Order) {
	if s.options.Upstream.Kind == Service {
		c.push(orderResult(w.Id, units.InvalidRequest, nil))
		return
	}
	s.owner.do(func() {
		v := s.state.ledger.Admit(s.clock.Now(), placeOrder(w))
		switch v.Step {
		case place.Refuse:
			stats.Refuse(v.Code)
			c.push(orderResult(w.Id, v.Code, s.state.load()))
		case place.Finished:
			c.push(orderResult(w.Id, "", s.state.load()))
		case place.InProgress:
			if !slices.Contains(s.state.awaiting[w.Id], c) {
				s.state.awaiting[w.Id] = append(s.state.awaiting[w.Id], c)
			}
		case place.Send:
			s.state.awaiting[w.Id] = append(s.state.awaiting[w.Id], c)
			s.start(ctx, v.Order)
		}
	})
}

func orderResult(id string, code units.Code, l *wire.Load) *wire.Frame {
	r := &wire.OrderResult{Id: id, Code: string(code), Load: l}
	return &wire.Frame{Body: &wire.Frame_OrderResult{OrderResult: r}}
}

// start carries out an order that the ledger has accepted. The owner calls it.
func (s *Server) start(ctx context.Context, o place.Order) {
	klog.Infof("agent: %s %s, version %q", o.Op, o.Target, o.Version)
	s.state.changed = true
	if o.Op == place.Unload {
		s.state.refuseQueued(o.Target)
	}
	s.orders.Go(func() { s.carryOut(context.WithoutCancel(ctx), o) })
}

// carryOut sends the order to the engine and reports the answer.
func (s *Server) carryOut(ctx context.Context, o place.Order) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.lifetime, cancel)()
	a, code := place.Failed, units.Draining
	if o.Op == place.Load || s.drained(ctx, o.Target) {
		var err error
		code = ""
		if a, err = s.engine.order(ctx, o); err != nil {
			klog.Warningf("agent: %s %s: %v", o.Op, o.Target, err)
			code = units.UpstreamFailed
		}
	}
	s.owner.do(func() {
		s.state.ledger.Complete(s.clock.Now(), o, a)
		s.state.changed = true
		for _, c := range s.state.awaiting[o.ID] {
			c.push(orderResult(o.ID, code, s.state.load()))
		}
		delete(s.state.awaiting, o.ID)
		s.state.pump(s.clock.Now())
		s.state.pushLoad()
	})
}

// drained waits until no request for the target runs, as unloading would cut it
// off.
func (s *Server) drained(ctx context.Context, target units.ModelID) bool {
	limit := s.clock.Now().Add(s.options.Limits.StopTimeout)
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for s.clock.Now().Before(limit) {
		busy := true
		if !s.owner.do(func() { busy = s.state.busy(target) }) {
			return false
		}
		if !busy {
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

// poll reads the engine's load until ctx is done.
func (s *Server) poll(ctx context.Context) {
	t := time.NewTicker(s.options.Limits.PollInterval.Duration())
	defer t.Stop()
	for {
		asked := s.clock.Now()
		l, err := s.engine.load(ctx)
		if ctx.Err() != nil {
			return
		}
		s.owner.do(func() { s.observe(ctx, asked, l, err) })
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// observe takes a load report of the engine. The owner calls it.
func (s *Server) observe(ctx context.Context, asked clock.Time, l *engineLoad, err error) {
	st := s.state
	st.setSilent(err)
	if err != nil {
		// An engine that does not answer may be starting again.
		st.allowance.Reset()
		return
	}
	if st.cold != l.Cold {
		st.cold = l.Cold
		st.changed = true
	}
	st.allowance.SetCold(l.Cold)
	if st.instance != "" && st.instance != l.Instance {
		klog.Warningf("agent: engine has restarted")
		st.ledger.EngineRestarted()
		st.allowance.Reset()
	}
	st.instance = l.Instance
	known, free := st.ledger.Observed(), st.ledger.Free()
	before, _ := st.ledger.Targets()
	st.ledger.Observe(asked, l.report())
	after, _ := st.ledger.Targets()
	if !known {
		st.pushLoad()
	}
	st.changed = st.changed || free != st.ledger.Free() || !slices.Equal(before, after)
	s.clean(ctx)
	st.pump(s.clock.Now())
}

// setSilent notes whether the engine answers. Gateways learn at once, as requests
// for an engine that does not answer are refused.
func (s *state) setSilent(err error) {
	silent := err != nil
	if silent == s.silent {
		return
	}
	if s.silent = silent; silent {
		klog.Warningf("agent: engine does not answer: %v", err)
	}
	s.pushLoad()
}

// clean unloads targets of which it is not known whether the engine holds them.
func (s *Server) clean(ctx context.Context) {
	now := s.clock.Now()
	for _, o := range s.state.ledger.CleanupOrders() {
		o.ID = uuid.NewString()
		if v := s.state.ledger.Admit(now, o); v.Step == place.Send {
			s.start(ctx, v.Order)
		}
	}
}
