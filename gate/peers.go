package gate

import (
	"context"
	"net"
	"sync/atomic"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/wire"
)

// maxPeerSessions bounds the sessions from other gateways; the largest fleet has
// 320 gateways.
const maxPeerSessions = 1024

// peers serves the sessions that other gateways open.
type peers struct {
	server *Server
	net    net.Listener
	count  atomic.Int64
	group  group
}

// run returns after the context is done and all sessions have ended.
func (p *peers) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = p.net.Close() })
	defer stop()
	defer p.group.wait()
	for {
		c, err := p.net.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			klog.Errorf("gate: peer listener: %v", err)
			clock.Sleep(ctx, firstBackoff)
			continue
		}
		if p.count.Add(1) > maxPeerSessions {
			stats.Event("peer_sessions_full")
			p.count.Add(-1)
			_ = c.Close()
			continue
		}
		p.group.start(func() {
			defer p.count.Add(-1)
			p.session(ctx, c)
		})
	}
}

func (p *peers) session(ctx context.Context, c net.Conn) {
	s, err := wire.Accept(c, p.server.wire)
	if err != nil {
		stats.Event("peer_refused")
		klog.Warningf("gate: refused a peer from %s: %v", c.RemoteAddr(), err)
		return
	}
	defer s.Close()
	if s.Peer().Role != wire.Gateway {
		stats.Event("peer_wrong_role")
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	var streams group
	defer streams.wait()
	for {
		st, err := s.Accept()
		if err != nil {
			return
		}
		streams.start(func() { p.stream(s.Peer(), st) })
	}
}

// stream serves a control stream. Gateways take no calls from each other.
func (p *peers) stream(from wire.Identity, st *wire.Stream) {
	defer st.Close()
	for first := true; ; first = false {
		f, err := st.Recv()
		if err != nil {
			return
		}
		if first && f.GetPing() == nil {
			stats.Event("peer_stream_unknown")
			return
		}
		p.server.control(from, f, st.Send)
	}
}
