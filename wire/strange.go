package wire

import (
	"net"
	"sync"
)

const (
	// maxStrangeBytes is what is read of a peer before it has proved that it has the secret: its hello messages, and the
	// headers of the streams in which they are.
	maxStrangeBytes = 16 << 10
	// maxStrangers is the number of peers at once that have not proved it. The largest fleet has 320 gateways, which connect
	// at once when one starts.
	maxStrangers = 384
)

// strangeConn is a connection to a peer that has not proved that it has the secret. Reads beyond maxStrangeBytes wait until
// it has, or until the connection is closed.
type strangeConn struct {
	net.Conn
	// left is the number of bytes that may be read before known is closed. It belongs to the goroutine that reads.
	left  int
	known chan struct{}
	// closed is closed with the connection.
	closed    chan struct{}
	closeOnce sync.Once
}

func newStrangeConn(c net.Conn) *strangeConn {
	return &strangeConn{Conn: c, left: maxStrangeBytes, known: make(chan struct{}), closed: make(chan struct{})}
}

// Read implements net.Conn.
func (c *strangeConn) Read(b []byte) (int, error) {
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
func (c *strangeConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// strangers bounds the number of peers at once that have not proved that they have the secret. It is safe for concurrent use.
type strangers struct {
	mu sync.Mutex
	// conns are their connections, in the order of their arrival.
	conns []net.Conn
}

// accepting are those whose sessions this process accepts.
var accepting strangers

// add adds a connection and closes the oldest one if there are too many.
func (s *strangers) add(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= maxStrangers {
		_ = s.conns[0].Close()
		s.conns = s.conns[1:]
	}
	s.conns = append(s.conns, c)
}

// remove removes a connection.
func (s *strangers) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.conns {
		if s.conns[i] == c {
			s.conns = append(s.conns[:i], s.conns[i+1:]...)
			return
		}
	}
}
