package gate

import (
	"slices"

	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/wire"
)

// Reply sends a frame to the process that a frame came from.
type Reply func(f *wire.Frame) error

// Receiver takes the control frames that the gateway does not handle itself, such
// as Owners, Acquire, Grant, Settle, Level, OrderResult and Suspects. It is called
// by one goroutine for each session and must not block.
type Receiver interface {
	Receive(from wire.Identity, f *wire.Frame, reply Reply)
}

// control handles the frames that any process may send on a control stream.
func (s *Server) control(from wire.Identity, f *wire.Frame, reply Reply) {
	switch b := f.Body.(type) {
	case *wire.Frame_Ping:
		pong := &wire.Pong{Id: b.Ping.Id, Now: int64(s.clock.Now())}
		_ = reply(&wire.Frame{Body: &wire.Frame_Pong{Pong: pong}}) // the session ends by itself
	case *wire.Frame_Versions:
		s.compare(b.Versions, reply)
	case *wire.Frame_Config:
		if s.options.Configs.Apply(b.Config) {
			s.PushConfig(b.Config, from.ID)
		}
	default:
		if s.options.Receiver == nil {
			stats.Event("control_frame_unknown")
			return
		}
		s.options.Receiver.Receive(from, f, reply)
	}
}

// compare sends the values that the sender of the versions lacks, and asks for
// those that this process lacks with its own versions.
func (s *Server) compare(theirs *wire.Versions, reply Reply) {
	for _, c := range s.options.Configs.Newer(theirs) {
		_ = reply(&wire.Frame{Body: &wire.Frame_Config{Config: c}}) // the session ends by itself
	}
	ours := s.options.Configs.Versions()
	if lacks(ours, theirs) {
		_ = reply(&wire.Frame{Body: &wire.Frame_Versions{Versions: ours}})
	}
}

func lacks(ours, theirs *wire.Versions) bool {
	known := make(map[string]int64, len(ours.Version))
	for _, v := range ours.Version {
		known[v.Team] = v.Revision
	}
	return slices.ContainsFunc(theirs.Version, func(v *wire.Version) bool { return v.Revision > known[v.Team] })
}

// PushConfig sends a new value to all agents and gateways, but for the process that
// it came from.
func (s *Server) PushConfig(c *wire.Config, from string) {
	f := &wire.Frame{Body: &wire.Frame_Config{Config: c}}
	keep := func(id string) bool { return id != from }
	s.agents.broadcast(f, keep)
	s.gateways.broadcast(f, keep)
	s.peers.broadcast(f, keep)
}

// Send sends a control frame to the connected agent or gateway with the id.
func (s *Server) Send(id string, f *wire.Frame) error {
	for _, l := range []*links{s.agents, s.gateways} {
		for _, u := range *l.up.Load() {
			if string(u.id) == id {
				return u.control.Send(f)
			}
		}
	}
	return errNotConnected
}
