package gate

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/wire"
)

// Reply sends a frame to the process whose frame is being handled. It fails when the session has
// ended.
type Reply func(f *wire.Frame) error

// Link is the control stream to a connected process. Push sends a frame. It may block until the
// session ends, and then returns an error.
type Link interface {
	Push(f *wire.Frame) error
}

// Peers handles the control frames of agents and other gateways, such as Versions, Config, Owners,
// Acquire, Grant, OrderResult and Suspects. Its methods are called from one goroutine for each
// session and must not block.
type Peers interface {
	// Connected is called when frames can be sent on the link, Disconnected when the session has
	// ended.
	Connected(to wire.Identity, l Link)
	Disconnected(to wire.Identity, l Link)
	// Answered is called for each Pong; sent is when its Ping was sent, peerNow the peer's clock since
	// then, versions a hash of the configuration that the peer uses.
	Answered(from wire.Identity, sent, peerNow clock.Time, versions uint64)
	// VersionsHash returns the hash of the configuration that this gateway uses.
	VersionsHash() uint64
	// Receive is called for each frame that the gateway does not handle itself.
	Receive(from wire.Identity, f *wire.Frame, reply Reply)
}

// noPeers is the Peers of a gateway without control traffic.
type noPeers struct{}

func (noPeers) Connected(wire.Identity, Link)                          {}
func (noPeers) Disconnected(wire.Identity, Link)                       {}
func (noPeers) Answered(wire.Identity, clock.Time, clock.Time, uint64) {}
func (noPeers) VersionsHash() uint64                                   { return 0 }
func (noPeers) Receive(wire.Identity, *wire.Frame, Reply)              {}

// handleControl answers Pings and hands all other frames to Peers.
func (s *Server) handleControl(from wire.Identity, f *wire.Frame, reply Reply) {
	if p := f.GetPing(); p != nil {
		pong := &wire.Pong{Id: p.Id, Now: int64(s.clock.Now()), Versions: s.options.Peers.VersionsHash()}
		_ = reply(&wire.Frame{Body: &wire.Frame_Pong{Pong: pong}}) // a failed Send also ends the session
		return
	}
	s.options.Peers.Receive(from, f, reply)
}

// Push implements Link.
func (u *upstream) Push(f *wire.Frame) error { return u.control.Send(f) }
