package relay

import (
	"bufio"
	"io"
	"net"
	"time"

	"github.com/magnolialever/magnolialever/socket"
)

// NewReader returns a reader of a connection to an upstream whose read deadline has passed.
func NewReader(n net.Conn, onSilence func() (time.Time, bool)) (io.Reader, error) {
	c := &conn{ClientConn: socket.NewClientConn(n), onSilence: onSilence}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c.reader, c.SetReadDeadline(time.Now().Add(-time.Second))
}
