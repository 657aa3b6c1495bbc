package wire

import (
	"bytes"
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

// handshakeConn is a connection to a peer that has not proved that it has the secret. Reads beyond maxHandshakeBytes, or of
// frames that the handshake doesn't need, wait until it has, or until the connection is closed.
type handshakeConn struct {
	net.Conn
	// known is closed once the peer has proved it.
	known chan struct{}

	// The fields below belong to the goroutine that reads.

	// left is the number of bytes that may be read before known is closed.
	left   int
	frames frameScanner
	// held are bytes that were read and wait for known.
	held []byte

	// closed is closed with the connection.
	closed    chan struct{}
	closeOnce sync.Once
}

func newHandshakeConn(c net.Conn) *handshakeConn {
	return &handshakeConn{Conn: c, left: maxHandshakeBytes, known: make(chan struct{}), closed: make(chan struct{})}
}

// Read implements net.Conn.
func (c *handshakeConn) Read(b []byte) (int, error) {
	if c.left > 0 && c.held == nil {
		n, err := c.readUnproved(b)
		if n > 0 || err != nil {
			return n, err
		}
	}
	select {
	case <-c.known:
	case <-c.closed:
		return 0, net.ErrClosed
	}
	if len(c.held) > 0 {
		n := copy(b, c.held)
		c.held = c.held[n:]
		return n, nil
	}
	return c.Conn.Read(b)
}

// readUnproved reads what the handshake may need, and holds back the rest of what has arrived.
func (c *handshakeConn) readUnproved(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	needed := c.frames.scan(b[:n])
	if needed < n {
		c.held = bytes.Clone(b[needed:n])
		return needed, nil
	}
	return n, err
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
