package socket

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/magnolialever/magnolialever/stats"
)

// tcpClosed is the state of a TCP connection that no longer exists: TCP_CLOSE of Linux.
const tcpClosed = 7

// ErrLost means that a connection was reset or timed out, of which a call other than the read was notified. What was read may be a part
// of what the other side sent.
var ErrLost = errors.New("connection was lost before the other side ended it")

// ClientConn is a connection of a client whose reads tell its end from its loss. The system reports a loss once, to whichever call
// comes next, and a read after that sees a plain end. Reads have to go through it.
type ClientConn struct {
	net.Conn
	// received is the number of bytes that Read has returned.
	received uint64
	// ended is how the connection ended, once Read has returned an error.
	ended Ending
}

// Ending is how what the other side of a connection sends has ended.
type Ending uint8

const (
	// NotEnded means that more may come, or that it can't be told.
	NotEnded Ending = iota
	// EndedInOrder means that the other side ended its bytes, all of which have arrived.
	EndedInOrder
	// Lost means that the connection was reset or timed out before that.
	Lost
)

// String returns the ending as in logs.
func (e Ending) String() string { return [...]string{"none", "in order", "lost"}[e] }

// NewClientConn returns a ClientConn of which nothing has been read.
func NewClientConn(c net.Conn) *ClientConn { return &ClientConn{Conn: c} }

// Read implements io.Reader. It fails with ErrLost instead of io.EOF where the connection was lost.
func (c *ClientConn) Read(p []byte) (n int, err error) {
	raw, rawErr := c.SyscallConn()
	if errors.Is(rawErr, errors.ErrUnsupported) {
		return c.Conn.Read(p) //nolint:wrapcheck // callers compare with io.EOF
	}
	if rawErr != nil {
		return 0, rawErr
	}
	// A close by this side, whose write may have met the loss, has to wait until the state is known.
	rawErr = raw.Control(func(fd uintptr) { n, err = c.readFrom(int(fd), p) })
	if rawErr != nil {
		return 0, rawErr //nolint:wrapcheck // as that of the connection
	}
	return n, err
}

// readFrom reads from the connection with the descriptor, and finds out how it ended.
func (c *ClientConn) readFrom(fd int, p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received += uint64(n)
	switch {
	case errors.Is(err, io.EOF):
		if c.ended = c.ending(fd); c.ended == Lost {
			stats.Event("losses_found_at_end")
			return n, ErrLost
		}
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.ETIMEDOUT):
		c.ended = Lost
	}
	return n, err //nolint:wrapcheck // callers compare with io.EOF
}

// Ended returns how the connection had ended when Read last returned an error.
func (c *ClientConn) Ended() Ending { return c.ended }

// ending returns how a connection ended whose bytes were all read. The end of the bytes counts as a byte that has arrived. A system
// that doesn't count those takes a connection that was ended in order, and reset before it was read, for a lost one.
func (c *ClientConn) ending(fd int) Ending {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	switch {
	case err != nil:
		return NotEnded
	case info.State == tcpClosed && info.Bytes_received <= c.received:
		return Lost
	}
	return EndedInOrder
}

// SyscallConn implements syscall.Conn.
func (c *ClientConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn() //nolint:wrapcheck // as that of the connection
}

// SetLinger is that of a net.TCPConn.
func (c *ClientConn) SetLinger(seconds int) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.SetLinger(seconds) //nolint:wrapcheck // as that of the connection
}
