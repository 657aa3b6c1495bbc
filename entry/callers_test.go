package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against descriptors that run out: idle connections make room for new ones, those
// that carry a request are kept, and the bound holds.
func TestConnectionsAreBounded(t *testing.T) {
	release := make(chan struct{})
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c := newConnLimiter(4)
	s := &http.Server{ConnState: c.onStateChange, ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			<-release
		}
		_, _ = io.WriteString(w, "done")
	})}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	dial := func() net.Conn {
		n, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", l.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { closeIgnoringError(n) })
		assert.NilError(t, n.SetDeadline(time.Now().Add(5*time.Second)))
		return n
	}
	ask := func(n net.Conn, path string) { fmt.Fprintf(n, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path) }
	answered := func(n net.Conn) error {
		res, err := http.ReadResponse(bufio.NewReader(n), nil)
		if err != nil {
			return err
		}
		defer res.Body.Close()
		_, err = io.Copy(io.Discard, res.Body)
		return err
	}
	held := dial()
	ask(held, "/held")
	var first net.Conn
	for i := range 12 {
		n := dial()
		ask(n, "/")
		assert.NilError(t, answered(n), "connection %d", i)
		if first == nil {
			first = n
		}
	}
	_, err = first.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	close(release)
	assert.NilError(t, answered(held))
	assert.NilError(t, s.Close())
	assert.ErrorIs(t, <-ended, http.ErrServerClosed)
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Assert(t, len(c.idleElements) <= 4+1, "%d connections", len(c.idleElements))
}

// Guards against a new connection that displaces a request under way.
func TestBusyConnectionsAreKept(t *testing.T) {
	c := newConnLimiter(2)
	var ours, theirs []net.Conn
	for range 3 {
		a, b := net.Pipe()
		ours, theirs = append(ours, a), append(theirs, b)
		c.onStateChange(a, http.StateNew)
		if len(ours) < 3 {
			c.onStateChange(a, http.StateActive)
		}
	}
	_, err := theirs[2].Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	for i, n := range theirs[:2] {
		assert.NilError(t, n.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
		_, err := n.Read(make([]byte, 1))
		assert.ErrorContains(t, err, "timeout", "connection %d", i)
	}
}
