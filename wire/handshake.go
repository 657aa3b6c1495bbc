package wire

import (
	"net"
	"sync"
)

const (
	// maxHandshakeBytes is what is read of a peer before it has proved that it has the secret: its hello messages, and the
	// headers of the streams in which they are.
	maxHandshakeBytes = 16 << 10
	// maxHandshakes is the number of peers at once that have not proved it. The largest fleet has 320 gateways, which connect
	// at once when one starts.
	maxHandshakes = 384
)

// handshakeConn is a connection to a peer that has not proved that it has the secret. Reads beyond maxHandshakeBytes wait until
// it has, or until the connection is closed.
type handshakeConn struct {
	net.Conn
	// left is the number of bytes that may be read before known is closed. It belongs to the goroutine that reads.
	left  int
	known chan struct{}
	// closed is closed with the connection.
	closed    chan struct{}
	closeOnce sync.Once
}

func newHandshakeConn(c net.Conn) *handshakeConn {
	return &handshakeConn{Conn: c, left: maxHandshakeBytes, known: make(chan struct{}), closed: make(chan struct{})}
}

// Read implements net.Conn.
func (c *handshakeConn) Read(b []byte) (int, error) {
	if c.left > 0 {
		n, err := c.Conn.Read(b[:min(len(b), c.left)])
		c.left -= n
		return n, err
	}
	select {
	case <-c.known:
		return c.Conn.Read(b)
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Close implements net.Conn.
func (c *handshakeConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// pendingHandshakes bounds the number of peers at once that have not proved that they have the secret. It is safe for concurrent use.
type pendingHandshakes struct {
	mu sync.Mutex
	// conns are their connections, in the order of their arrival.
	conns []net.Conn
}

// handshakes are those of the sessions that this process accepts.
var handshakes pendingHandshakes

// add adds a connection and closes the oldest one if there are too many.
func (s *pendingHandshakes) add(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= maxHandshakes {
		_ = s.conns[0].Close()
		s.conns = s.conns[1:]
	}
	s.conns = append(s.conns, c)
}

// remove removes a connection.
func (s *pendingHandshakes) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.conns {
		if s.conns[i] == c {
			s.conns = append(s.conns[:i], s.conns[i+1:]...)
			return
		}
	}
}
