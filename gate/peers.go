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

// maxPeerSessions bounds the sessions opened by other gateways; the largest fleet has 320 gateways.
const maxPeerSessions = 1024

// peerServer serves the sessions that other gateways open.
type peerServer struct {
	server   *Server
	tcp      net.Listener
	sessions atomic.Int64
	group    group
}

// run accepts sessions. It returns when the context is done and all sessions have ended.
func (p *peerServer) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = p.tcp.Close() })
	defer stop()
	defer p.group.wait()
	for {
		c, err := p.tcp.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			klog.Errorf("gate: accept peer connection: %v", err)
			clock.Sleep(ctx, minBackoff)
			continue
		}
		if p.sessions.Add(1) > maxPeerSessions {
			stats.Event("peer_sessions_full")
			p.sessions.Add(-1)
			_ = c.Close()
			continue
		}
		p.group.start(func() {
			defer p.sessions.Add(-1)
			p.serveSession(ctx, c)
		})
	}
}

// serveSession checks the peer and serves its streams until the session ends.
func (p *peerServer) serveSession(ctx context.Context, c net.Conn) {
	s, err := wire.Accept(c, p.server.wireOptions)
	if err != nil {
		stats.Event("peer_refused")
		klog.Warningf("gate: peer handshake with %s failed: %v", c.RemoteAddr(), err)
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
		streams.start(func() { p.serveStream(s.Peer(), st) })
	}
}

// serveStream serves a control stream, which starts with a Ping. Gateways accept no calls from each
// other.
func (p *peerServer) serveStream(from wire.Identity, st *wire.Stream) {
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
		p.server.handleControl(from, f, st.Send)
	}
}
