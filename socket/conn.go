package socket

import (
	"net"
	"sync/atomic"
)

// Conn is a server's connection that knows whether a request has begun to arrive. net/http calls a connection idle until it
// has read the whole header of the next request.
type Conn struct {
	net.Conn
	// received is set while bytes have been read since the last write.
	received atomic.Bool
}

// NewConn returns a Conn that uses c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Arriving reports whether bytes have been read since the last write, or wait to be read.
func (c *Conn) Arriving() bool { return c.received.Load() || Peek(c.Conn) == Unread }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.received.Store(false)
	return c.Conn.Write(b)
}

// Listener accepts connections as Conn.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}
