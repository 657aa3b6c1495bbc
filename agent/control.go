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
	// controlQueueFrames is the number of frames queued for a slow gateway. Further frames
	// are dropped, which is safe because loads and versions are sent again.
	controlQueueFrames = 256
	// loadPushInterval is the minimum interval between load reports that a change of load
	// triggers.
	loadPushInterval = time.Second
)

// controlStream is the control stream of one gateway.
type controlStream struct {
	peer wire.Identity
	// queue holds frames that send has not written yet.
	queue chan *wire.Frame
}

// push queues a frame, or drops it when the queue is full. It never blocks.
func (c *controlStream) push(f *wire.Frame) {
	select {
	case c.queue <- f:
	default:
		stats.Event("control_frames_dropped")
	}
}

// Push implements syncer.Link. It returns no error for a dropped frame: the syncer sends
// lost configuration again.
func (c *controlStream) Push(f *wire.Frame) error {
	c.push(f)
	return nil
}

// serveControl serves a stream of control messages until it ends. A stream that starts
// with Ping also receives the updates that the agent pushes.
func (s *Server) serveControl(ctx context.Context, peer wire.Identity, st *wire.Stream, first *wire.Frame) {
	c := &controlStream{peer: peer, queue: make(chan *wire.Frame, controlQueueFrames)}
	ctx, cancel := context.WithCancel(ctx)
	senderDone := make(chan struct{})
	go func() {
		defer close(senderDone)
		c.send(ctx, st)
	}()
	s.handleControl(ctx, c, first)
	if first.GetPing() != nil {
		s.loop.do(func() { s.state.addControl(c) })
		s.configSync.AddPeer(syncer.Peer{ID: units.VMID(peer.ID), Gateway: true, Link: c})
		defer s.configSync.RemovePeer(units.VMID(peer.ID), c)
	}
	for {
		f, err := st.Recv()
		if err != nil {
			break
		}
		s.handleControl(ctx, c, f)
	}
	cancel()
	s.loop.do(func() { delete(s.state.controlStreams, c) })
	<-senderDone
}

// addControl registers a control stream and pushes the state of the agent to it.
func (s *state) addControl(c *controlStream) {
	s.controlStreams[c] = struct{}{}
	c.push(s.loadFrame())
	if s.slotTable != nil {
		c.push(s.slotTable.Frame())
		c.push(s.versionsFrame())
	}
	if f := s.suspectsFrame(s.clock.Now()); len(f.GetSuspects().Suspect) > 0 {
		c.push(f)
	}
	if s.draining {
		c.push(s.leaveFrame())
	}
}

// send writes queued frames until ctx is done or a write fails.
func (c *controlStream) send(ctx context.Context, st *wire.Stream) {
	for {
		select {
		case f := <-c.queue:
			if st.Send(f) != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// handleControl processes one control message of a gateway.
func (s *Server) handleControl(ctx context.Context, c *controlStream, f *wire.Frame) {
	switch b := f.Body.(type) {
	case *wire.Frame_Ping:
		c.push(&wire.Frame{Body: &wire.Frame_Pong{Pong: &wire.Pong{Id: b.Ping.Id, Now: int64(s.clock.Now())}}})
	case *wire.Frame_Load:
		// A Load frame from a gateway requests the agent's load report.
		s.loop.do(func() { c.push(s.state.loadFrame()) })
	case *wire.Frame_Versions:
		s.configSync.HandleFrame(units.VMID(c.peer.ID), f)
		s.loop.do(func() { s.state.ledger.RaiseFence(units.Fence(b.Versions.Fence)) })
	case *wire.Frame_Config:
		s.configSync.HandleFrame(units.VMID(c.peer.ID), f)
	case *wire.Frame_Owners:
		s.loop.do(func() { s.state.handleSlotTable(c, b.Owners) })
	case *wire.Frame_Order:
		s.handleOrder(ctx, c, b.Order)
	case *wire.Frame_Query:
		s.loop.do(func() {
			o := s.state.queryOutcome(b.Query)
			c.push(&wire.Frame{Body: &wire.Frame_Outcome{Outcome: o}})
		})
	case *wire.Frame_Suspects:
		s.loop.do(func() { s.state.mergeSuspects(s.clock.Now(), b.Suspects) })
	case *wire.Frame_Leader:
		// An agent that has just started may not have received an order of the leader yet.
		s.loop.do(func() { s.state.ledger.RaiseFence(units.Fence(b.Leader.Fence)) })
	case *wire.Frame_Leave:
		klog.Infof("agent: gateway %s is draining", c.peer.ID)
	default:
		stats.Event("unexpected_messages")
	}
}

// queryOutcome returns the outcome of an at-most-once attempt. A queued attempt counts as
// running because it may still start.
func (s *state) queryOutcome(q *wire.Query) *wire.Outcome {
	if j := s.jobs[units.AttemptID(q.Attempt)]; j != nil && !j.running {
		return &wire.Outcome{Attempt: q.Attempt, State: outcomeRunning}
	}
	return s.attempts.query(s.clock.Now(), q)
}

// pushLoadChanges pushes the load report when it has changed, at most once per
// loadPushInterval, until ctx is done.
func (s *Server) pushLoadChanges(ctx context.Context) {
	t := time.NewTicker(loadPushInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.loop.do(func() {
				if s.state.loadChanged {
					s.state.pushLoad()
				}
			})
		case <-ctx.Done():
			return
		}
	}
}
