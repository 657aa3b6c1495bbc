package agent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// controlFrames is the number of frames that may wait for a slow gateway. Later
	// ones are dropped: loads and versions are sent again.
	controlFrames = 64
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

// control serves the control stream of a gateway.
func (s *Server) control(ctx context.Context, peer wire.Identity, st *wire.Stream, first *wire.Ping) {
	c := &control{peer: peer, out: make(chan *wire.Frame, controlFrames)}
	if !s.owner.do(func() { s.state.join(c) }) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		c.send(ctx, st)
	}()
	s.handle(c, &wire.Frame{Body: &wire.Frame_Ping{Ping: first}})
	for {
		f, err := st.Recv()
		if err != nil {
			break
		}
		s.handle(c, f)
	}
	cancel()
	s.owner.do(func() { delete(s.state.controls, c) })
	<-sent
}

// join adds a control stream and tells the gateway the state of the agent.
func (s *state) join(c *control) {
	s.controls[c] = struct{}{}
	c.push(s.loadFrame())
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
func (s *Server) handle(c *control, f *wire.Frame) {
	switch b := f.Body.(type) {
	case *wire.Frame_Ping:
		c.push(&wire.Frame{Body: &wire.Frame_Pong{Pong: &wire.Pong{Id: b.Ping.Id, Now: int64(s.clock.Now())}}})
	case *wire.Frame_Load:
		// A load from a gateway asks for the agent's own.
		s.owner.do(func() { c.push(s.state.loadFrame()) })
	case *wire.Frame_Leave:
		klog.Infof("agent: gateway %s is leaving", c.peer.ID)
	default:
		stats.Event("unexpected_messages")
	}
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
