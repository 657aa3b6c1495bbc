package listen

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against running out of file descriptors: idle connections are closed for new ones, those
// with a request in flight are kept, and the limit holds.
func TestConnectionsAreBounded(t *testing.T) {
	release := make(chan struct{})
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	limiter := NewLimiter("test", "caller", 4)
	server := &http.Server{ConnState: limiter.OnStateChange, ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/held" {
				<-release
			}
			_, _ = io.WriteString(w, "done")
		})}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	dial := func() net.Conn {
		conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { closeIgnoringError(conn) })
		assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
		return conn
	}
	sendRequest := func(conn net.Conn, path string) { fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path) }
	readResponse := func(conn net.Conn) error {
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return err
		}
		defer res.Body.Close()
		_, err = io.Copy(io.Discard, res.Body)
		return err
	}
	busy := dial()
	sendRequest(busy, "/held")
	var first net.Conn
	for i := range 12 {
		conn := dial()
		sendRequest(conn, "/")
		assert.NilError(t, readResponse(conn), "connection %d", i)
		if first == nil {
			first = conn
		}
	}
	_, err = first.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	close(release)
	assert.NilError(t, readResponse(busy))
	assert.NilError(t, server.Close())
	assert.ErrorIs(t, <-serveErr, http.ErrServerClosed)
	assert.Assert(t, limiter.Open() <= 4+1, "%d connections", limiter.Open())
}

// Guards against a new connection that closes one with a request in flight.
func TestBusyConnectionsAreKept(t *testing.T) {
	limiter := NewLimiter("test", "caller", 2)
	var serverConns, clientConns []net.Conn
	for range 3 {
		serverConn, clientConn := net.Pipe()
		serverConns, clientConns = append(serverConns, serverConn), append(clientConns, clientConn)
		limiter.OnStateChange(serverConn, http.StateNew)
		if len(serverConns) < 3 {
			limiter.OnStateChange(serverConn, http.StateActive)
		}
	}
	_, err := clientConns[2].Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	for i, n := range clientConns[:2] {
		assert.NilError(t, n.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
		_, err := n.Read(make([]byte, 1))
		assert.ErrorContains(t, err, "timeout", "connection %d", i)
	}
}

// Guards against a request that is served, and may run, on an idle connection that was closed while the request was read:
// its answer can't be sent.
func TestRequestOnClosedConnectionIsNotServed(t *testing.T) {
	limiter := NewLimiter("test", "caller", 4)
	var served atomic.Int64
	closing := make(chan struct{})
	server := httptest.NewUnstartedServer(limiter.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) })))
	server.Config.ConnContext = limiter.ConnContext
	server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateActive && served.Load() > 0 {
			// The second request has been read.
			limiter.CloseIdle()
			close(closing)
		}
		limiter.OnStateChange(conn, state)
	}
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	in := bufio.NewReader(conn)
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	res, err := http.ReadResponse(in, nil)
	assert.NilError(t, err)
	res.Body.Close()
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-closing
	_, err = http.ReadResponse(in, nil) //nolint:bodyclose // there is none
	assert.Assert(t, err != nil)
	assert.Equal(t, served.Load(), int64(1))
}

// Guards against the closing of a connection on which a request has arrived that was not read yet.
func TestConnectionWithUnreadRequestIsNotIdle(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	limiter := NewLimiter("test", "caller", 4)
	conns := [2]net.Conn{}
	for i := range conns {
		caller, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		defer caller.Close()
		conns[i], err = listener.Accept()
		assert.NilError(t, err)
		defer conns[i].Close()
		for _, state := range []http.ConnState{http.StateNew, http.StateActive, http.StateIdle} {
			limiter.OnStateChange(conns[i], state)
		}
		if i == 0 {
			fmt.Fprint(caller, "GET / HTTP/1.1\r\n")
		}
	}
	time.Sleep(20 * time.Millisecond)
	limiter.CloseIdle()
	assert.Assert(t, !limiter.isClosed(conns[0]))
	assert.Assert(t, limiter.isClosed(conns[1]))
}
