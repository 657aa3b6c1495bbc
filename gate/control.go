package gate

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/wire"
)

// Reply sends a frame to the process that a frame came from.
type Reply func(f *wire.Frame) error

// Link carries frames to a connected process. Push may block until the session ends.
type Link interface {
	Push(f *wire.Frame) error
}

// Peers takes part in the control traffic with agents and other gateways, such as
// Versions, Config, Owners, Acquire, Grant, OrderResult and Suspects. The methods are
// called by one goroutine for each session and must not block.
type Peers interface {
	// Connected and Disconnected frame the time in which frames can be pushed.
	Connected(to wire.Identity, l Link)
	Disconnected(to wire.Identity, l Link)
	// Answered is told of each answer to a Ping that was sent at the time.
	Answered(from wire.Identity, sent clock.Time)
	// Receive takes the frames that the gateway does not handle itself.
	Receive(from wire.Identity, f *wire.Frame, reply Reply)
}

// noPeers is the Peers of a gateway without control traffic.
type noPeers struct{}

func (noPeers) Connected(wire.Identity, Link)             {}
func (noPeers) Disconnected(wire.Identity, Link)          {}
func (noPeers) Answered(wire.Identity, clock.Time)        {}
func (noPeers) Receive(wire.Identity, *wire.Frame, Reply) {}

// handleControl handles the frames that any process may send on a control stream.
func (s *Server) handleControl(from wire.Identity, f *wire.Frame, reply Reply) {
	if p := f.GetPing(); p != nil {
		pong := &wire.Pong{Id: p.Id, Now: int64(s.clock.Now())}
		_ = reply(&wire.Frame{Body: &wire.Frame_Pong{Pong: pong}}) // the session ends by itself
		return
	}
	s.options.Peers.Receive(from, f, reply)
}

// Push implements Link.
func (u *upstream) Push(f *wire.Frame) error { return u.control.Send(f) }
