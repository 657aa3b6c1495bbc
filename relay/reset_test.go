package relay_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
	"github.com/magnolialever/magnolialever/relay"
	"github.com/magnolialever/magnolialever/socket"
)

// resetConn ends a connection by a reset.
func resetConn(t *testing.T, c net.Conn) {
	t.Helper()
	assert.NilError(t, c.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, c.Close())
}

// Guards against an answer without a length that looks complete although its connection was reset, as another call took the only
// report of the reset: a look at the connection of a silent upstream, or a write of the rest of a long request.
func TestResetReportedElsewhereIsNoEnd(t *testing.T) {
	for name, meet := range map[string]func(c net.Conn) bool{
		"look":  func(c net.Conn) bool { return socket.Peek(c) == socket.Closed },
		"write": func(c net.Conn) bool { _, err := c.Write([]byte("x")); return err != nil },
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer l.Close()
		upstream, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		c, err := l.Accept()
		assert.NilError(t, err)
		defer c.Close()
		resetConn(t, upstream)
		for end := time.Now().Add(5 * time.Second); !meet(c); time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(end), name)
		}
		r, err := relay.NewReader(c, func() (time.Time, bool) { return time.Now().Add(5 * time.Second), true })
		assert.NilError(t, err)
		_, err = io.ReadAll(r)
		assert.Check(t, err != nil, "%s: the answer looks complete", name)
	}
}

// Guards against an answer without a length that looks complete although its connection was reset while a long request was
// still sent.
func TestResetAmidLongRequestIsNoEnd(t *testing.T) {
	const requests = 100
	body := strings.Repeat("x", longBody)
	for path, answer := range map[string]string{
		"/once/a":   fakes.Head("id-/once/a", "200 OK") + "\r\n" + strings.Repeat("piece\n", 3),
		"/stream/a": streamHead("id-/stream/a") + eventRange(1, 3),
	} {
		whole := 0
		for range requests {
			// A gateway of its own: one that has seen answers break off sends fewer requests.
			t.Run(path, func(t *testing.T) {
				upstream, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				g, model := newGatewayBefore(t, upstream.Addr().String(), 0), ""
				if path == "/stream/a" {
					g, model = newEngineGatewayBefore(t, upstream.Addr().String()), "small"
				}
				answered := make(chan int)
				go func() { answered <- answerAndReset(t, upstream, answer) }()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				got := g.send(ctx, http.MethodPost, path, model, body)
				if got.status == http.StatusOK && got.err == nil {
					whole++
				}
				upstream.Close()
				assert.Check(t, <-answered > 0)
			})
		}
		assert.Check(t, whole == 0, "%s: %d of %d answers look complete", path, whole, requests)
	}
}

// answerAndReset answers each request on a connection of its own at once, reads on and resets the connection amid the body of the
// request. It returns the number of answers when the listener is closed.
func answerAndReset(t *testing.T, l net.Listener, answer string) int {
	for n := 0; ; {
		c, err := l.Accept()
		if err != nil {
			return n
		}
		in := bufio.NewReader(c)
		// A connection without a request is a probe.
		if _, err := http.ReadRequest(in); err == nil {
			_, err = io.WriteString(c, answer)
			assert.Check(t, err)
			n++
			_, _ = io.CopyN(io.Discard, in, longBody/8)
		}
		resetConn(t, c)
	}
}
