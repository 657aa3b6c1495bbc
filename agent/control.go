package agent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// controlFrames is the number of frames that may wait for a slow gateway. Later
	// ones are dropped: loads and versions are sent again.
	controlFrames = 256
	// loadInterval is the lowest interval between two loads sent without being
	// asked for.
	loadInterval = time.Second
)

// control is the control stream of one gateway.
type control struct {
	peer wire.Identity
	out  chan *wire.Frame
}

// push queues a frame without waiting.
func (c *control) push(f *wire.Frame) {
	select {
	case c.out <- f:
	default:
		stats.Event("control_frames_dropped")
	}
}

// Push implements syncer.Link. The exchange of configuration repeats what is lost.
func (c *control) Push(f *wire.Frame) error {
	c.push(f)
	return nil
}

// control serves a stream of control messages. A stream that starts with Ping also
// gets what the agent announces.
func (s *Server) control(ctx context.Context, peer wire.Identity, st *wire.Stream, first *wire.Frame) {
	c := &control{peer: peer, out: make(chan *wire.Frame, controlFrames)}
	ctx, cancel := context.WithCancel(ctx)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		c.send(ctx, st)
	}()
	s.handle(ctx, c, first)
	if first.GetPing() != nil {
		s.owner.do(func() { s.state.join(c) })
		s.config.AddPeer(syncer.Peer{ID: units.VMID(peer.ID), Gateway: true, Link: c})
		defer s.config.RemovePeer(units.VMID(peer.ID), c)
	}
	for {
		f, err := st.Recv()
		if err != nil {
			break
		}
		s.handle(ctx, c, f)
	}
	cancel()
	s.owner.do(func() { delete(s.state.controls, c) })
	<-sent
}

// join adds a control stream and tells the gateway the state of the agent.
func (s *state) join(c *control) {
	s.controls[c] = struct{}{}
	c.push(s.loadFrame())
	if s.table != nil {
		c.push(s.table.Frame())
		c.push(s.versions())
	}
	if f := s.suspectsFrame(s.clock.Now()); len(f.GetSuspects().Suspect) > 0 {
		c.push(f)
	}
	if s.leaving {
		c.push(s.leaveFrame())
	}
}

// send writes the queued frames until ctx is done.
func (c *control) send(ctx context.Context, st *wire.Stream) {
	for {
		select {
		case f := <-c.out:
			if st.Send(f) != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// handle serves one message of a gateway.
func (s *Server) handle(ctx context.Context, c *control, f *wire.Frame) {
	switch b := f.Body.(type) {
	case *wire.Frame_Ping:
		c.push(&wire.Frame{Body: &wire.Frame_Pong{Pong: &wire.Pong{Id: b.Ping.Id, Now: int64(s.clock.Now())}}})
	case *wire.Frame_Load:
		// A load from a gateway asks for the agent's own.
		s.owner.do(func() { c.push(s.state.loadFrame()) })
	case *wire.Frame_Versions:
		s.config.HandleFrame(units.VMID(c.peer.ID), f)
		s.owner.do(func() { s.state.ledger.RaiseFence(units.Fence(b.Versions.Fence)) })
	case *wire.Frame_Config:
		s.config.HandleFrame(units.VMID(c.peer.ID), f)
	case *wire.Frame_Owners:
		s.owner.do(func() { s.state.own(c, b.Owners) })
	case *wire.Frame_Order:
		s.order(ctx, c, b.Order)
	case *wire.Frame_Query:
		s.owner.do(func() {
			o := s.state.query(b.Query)
			c.push(&wire.Frame{Body: &wire.Frame_Outcome{Outcome: o}})
		})
	case *wire.Frame_Suspects:
		s.owner.do(func() { s.state.mergeSuspects(s.clock.Now(), b.Suspects) })
	case *wire.Frame_Leader:
		// An agent that has just started has not seen an order of the leader yet.
		s.owner.do(func() { s.state.ledger.RaiseFence(units.Fence(b.Leader.Fence)) })
	case *wire.Frame_Leave:
		klog.Infof("agent: gateway %s is leaving", c.peer.ID)
	default:
		stats.Event("unexpected_messages")
	}
}

// query answers for an attempt that must not be repeated. One that waits in the
// queue has been received and may still run.
func (s *state) query(q *wire.Query) *wire.Outcome {
	if j := s.jobs[units.AttemptID(q.Attempt)]; j != nil && !j.running {
		return &wire.Outcome{Attempt: q.Attempt, State: outcomeRunning}
	}
	return s.outcomes.query(s.clock.Now(), q)
}

// watch sends the load when it has changed, at most once a second.
func (s *Server) watch(ctx context.Context) {
	t := time.NewTicker(loadInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.owner.do(func() {
				if s.state.changed {
					s.state.pushLoad()
				}
			})
		case <-ctx.Done():
			return
		}
	}
}
