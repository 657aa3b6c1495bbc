package socket_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/socket"
)

// newPair returns both ends of a connection.
func newPair(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer l.Close()
	client, err = net.DialTCP("tcp", nil, l.Addr().(*net.TCPAddr))
	assert.NilError(t, err)
	t.Cleanup(func() { client.Close() })
	server, err = l.AcceptTCP()
	assert.NilError(t, err)
	t.Cleanup(func() { server.Close() })
	return client, server
}

// reset ends a connection by a reset.
func reset(t *testing.T, c *net.TCPConn) {
	t.Helper()
	assert.NilError(t, c.SetLinger(0))
	assert.NilError(t, c.Close())
}

// Guards against logs that call the end of a lost connection one in order, or the other way round.
func TestClientConnKnowsHowItEnded(t *testing.T) {
	for name, c := range map[string]struct {
		want socket.Ending
		end  func(t *testing.T, client, server *net.TCPConn)
	}{
		"end":               {socket.EndedInOrder, func(t *testing.T, _, server *net.TCPConn) { assert.NilError(t, server.Close()) }},
		"end of both sides": {socket.EndedInOrder, endBoth},
		"end, then reset": {socket.EndedInOrder, func(t *testing.T, _, server *net.TCPConn) {
			assert.NilError(t, server.CloseWrite())
			reset(t, server)
		}},
		"reset": {socket.Lost, func(t *testing.T, _, server *net.TCPConn) { reset(t, server) }},
		"reset that a write met": {socket.Lost, func(t *testing.T, client, server *net.TCPConn) {
			reset(t, server)
			awaitFailedWrite(t, client)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			client, server := newPair(t)
			_, err := server.Write([]byte("answer"))
			assert.NilError(t, err)
			in := socket.NewClientConn(client)
			_, err = io.ReadFull(in, make([]byte, 6))
			assert.NilError(t, err)
			assert.Equal(t, in.Ended(), socket.NotEnded)
			c.end(t, client, server)
			_, err = io.Copy(io.Discard, in)
			assert.Equal(t, in.Ended(), c.want, "%v", err)
		})
	}
}

func endBoth(t *testing.T, client, server *net.TCPConn) {
	assert.NilError(t, client.CloseWrite())
	assert.NilError(t, server.Close())
}

// awaitFailedWrite writes until the system reports that the connection is lost.
func awaitFailedWrite(t *testing.T, c net.Conn) {
	t.Helper()
	for range 1000 {
		if _, err := c.Write([]byte("x")); err != nil {
			return
		}
	}
	t.Fatal("no write failed")
}

// Guards against a look at a connection that takes the only report of its reset, so that whoever reads it sees a plain end.
func TestPeekLeavesTheReportOfAReset(t *testing.T) {
	client, server := newPair(t)
	reset(t, server)
	for end := time.Now().Add(5 * time.Second); socket.Peek(client) != socket.Closed; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
	_, err := client.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// closingConn closes itself at the end of what it reads, as another goroutine may at that moment.
type closingConn struct {
	*net.TCPConn
	closed chan struct{}
}

func (c closingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err != nil {
		go func() {
			defer close(c.closed)
			c.Close()
		}()
		time.Sleep(10 * time.Millisecond)
	}
	return n, err //nolint:wrapcheck // as that of the connection
}

// Guards against a lost connection that looks ended, and one ended in order that looks lost, because this side closes it before its
// state is read, as a client does whose write has failed.
func TestCloseDoesNotHideHowAConnectionEnded(t *testing.T) {
	for want, end := range map[error]func(client, server *net.TCPConn){
		socket.ErrLost: func(client, server *net.TCPConn) { reset(t, server); awaitFailedWrite(t, client) },
		io.EOF:         func(_, server *net.TCPConn) { assert.NilError(t, server.Close()) },
	} {
		client, server := newPair(t)
		end(client, server)
		c := closingConn{client, make(chan struct{})}
		_, err := socket.NewClientConn(c).Read(make([]byte, 1))
		assert.Assert(t, errors.Is(err, want), "%v, not %v", err, want)
		<-c.closed
	}
}
