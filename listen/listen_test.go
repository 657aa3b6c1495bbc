package listen_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/budget"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/listen"
	"github.com/magnolialever/magnolialever/units"
)

const (
	headLimit = 16 << 10
	poolBytes = 1 << 20
)

// server is an HTTP server behind a Listener.
type server struct {
	t       testing.TB
	address string
	heads   *budget.Pool
	// served counts the requests that the handler began.
	served atomic.Int64
}

// newServer starts a server; its options have headTimeout and a server's idle time of 200 ms.
func newServer(t testing.TB, headTimeout, idleTimeout clock.Span, wrap bool) *server {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &server{t: t, address: tcp.Addr().String(), heads: budget.NewPool(poolBytes)}
	l := listen.New(tcp, listen.Options{
		Heads: s.heads, HeadBytes: func() int { return headLimit }, HeadTimeout: func() clock.Span { return headTimeout },
		IdleTimeout: func() clock.Span { return idleTimeout },
		Busy:        listen.Answer(http.StatusServiceUnavailable, "", ""), TooLarge: listen.Answer(http.StatusRequestHeaderFieldsTooLarge, "", ""),
	})
	h := &http.Server{ReadHeaderTimeout: time.Minute, IdleTimeout: 200 * time.Millisecond, MaxHeaderBytes: 1 << 20}
	h.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r, ok := listen.Begin(r)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		s.served.Add(1)
		if r.URL.Path == "/refused" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "done")
	})
	h.ConnState = l.OnStateChange
	h.ConnContext = listen.WithConn
	ctx, cancel := context.WithCancel(context.Background())
	served, checked := make(chan error, 1), make(chan struct{})
	go func() { l.Run(ctx); close(checked) }()
	var in net.Listener = l
	if !wrap {
		in, h.IdleTimeout = tcp, time.Minute
	}
	go func() { served <- h.Serve(in) }()
	t.Cleanup(func() {
		cancel()
		<-checked
		_ = h.Close()
		assert.Assert(t, errors.Is(<-served, http.ErrServerClosed))
	})
	return s
}

// dial opens a connection and sends the text.
func (s *server) dial(text string) (net.Conn, *bufio.Reader) {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { c.Close() })
	assert.NilError(s.t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(c, text)
	assert.NilError(s.t, err)
	return c, bufio.NewReader(c)
}

// status reads an answer; 0 means that there is none.
func status(in *bufio.Reader) int {
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// awaitHeld waits until the pool holds more than the number of bytes, or nothing if that is 0.
func (s *server) awaitHeld(more units.Bytes) {
	s.t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		used := s.heads.Used()
		if more == 0 && used == 0 || more > 0 && used > more {
			return
		}
		assert.Assert(s.t, time.Now().Before(end), "the pool holds %d bytes", used)
	}
}

const get = "GET / HTTP/1.1\r\nHost: a\r\n"

// fields returns n fields of 5 or 6 bytes.
func fields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\n", 0x100+i)
	}
	return b.String()
}

// Guards against a single request within the limits that is refused, however its head is made, and against room in the pool
// that is lost: with requests sent ahead, in pieces and on one connection.
func TestHeadsWithinLimitsAreServed(t *testing.T) {
	s := newServer(t, 10*clock.Second, 0, true)
	short := get + fields(2500) + "\r\n"
	c, in := s.dial(get + "\r\n" + get + "\r\n" + short + get + "\r\n")
	for range 4 {
		assert.Equal(t, status(in), http.StatusOK)
	}
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8000\r\n\r\n"+strings.Repeat("\n", 8000)+get)
	assert.NilError(t, err)
	assert.Equal(t, status(in), http.StatusOK)
	for _, piece := range []string{fields(300), fields(300), "\r", "\n" + short} {
		_, err := io.WriteString(c, piece)
		assert.NilError(t, err)
		time.Sleep(2 * time.Millisecond)
	}
	assert.Equal(t, status(in), http.StatusOK)
	assert.Equal(t, status(in), http.StatusOK)
	c.Close()
	s.awaitHeld(0)
}

// Guards against heads beyond the limit, which the server's own limit of 1 MiB would let through.
func TestLongHeadIsRefused(t *testing.T) {
	s := newServer(t, 10*clock.Second, 0, true)
	_, in := s.dial(get + "Long: " + strings.Repeat("a", headLimit+8<<10))
	assert.Equal(t, status(in), http.StatusRequestHeaderFieldsTooLarge)
	s.awaitHeld(0)
}

// Guards against a head that began in the bytes behind a request and that nobody counts.
func TestHeadBehindRequestIsCounted(t *testing.T) {
	s := newServer(t, 10*clock.Second, 0, true)
	c, in := s.dial(get + "\r\n" + get + fields(500))
	assert.Equal(t, status(in), http.StatusOK)
	s.awaitHeld(400 * 100)
	c.Close()
	s.awaitHeld(0)
}

// Guards against heads that take more than the pool together: the one that stands still gives way.
func TestHeadsThatStandStillGiveWay(t *testing.T) {
	s := newServer(t, 10*clock.Second, 0, true)
	open := get + fields(2500)
	_, first := s.dial(open)
	s.awaitHeld(300_000)
	for range 6 {
		time.Sleep(300 * time.Millisecond)
		_, _ = s.dial(open)
	}
	assert.Equal(t, status(first), 0)
	_, in := s.dial(get + "\r\n")
	assert.Equal(t, status(in), http.StatusOK)
	assert.Assert(t, s.heads.Used() <= poolBytes)
}

const time500 = 500 * clock.Millisecond

// Guards against a head that takes longer than its time, byte by byte, and against a connection that a caller may still use
// and that is closed.
func TestTimesOfConnections(t *testing.T) {
	s := newServer(t, time500, 3*clock.Second, true)
	idle, idleIn := s.dial(get + "\r\n")
	assert.Equal(t, status(idleIn), http.StatusOK)
	slow, _ := s.dial(get)
	began := time.Now()
	for time.Since(began) < 8*time.Second {
		if _, err := io.WriteString(slow, "a:\n"); err != nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
		if time.Since(began) > 2*time.Second && idle != nil {
			_, err := io.WriteString(idle, get+"\r\n")
			assert.NilError(t, err)
			assert.Equal(t, status(idleIn), http.StatusOK, "an idle connection within its time")
			idle = nil
		}
	}
	assert.Assert(t, time.Since(began) < 8*time.Second, "a slow head is still open")
}

// Guards against a head that net/http reads behind empty lines and that nobody counts.
func TestHeadBehindEmptyLinesIsCounted(t *testing.T) {
	s := newServer(t, 10*clock.Second, 0, true)
	c, in := s.dial("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")
	assert.Equal(t, status(in), http.StatusOK)
	_, err := io.WriteString(c, "\r\n\r\n"+get+fields(100_000))
	if err == nil {
		_, _ = io.WriteString(c, "\r\n")
		assert.Assert(t, status(in) != http.StatusOK)
	}
	assert.Equal(t, s.served.Load(), int64(1))
}

// Guards against a request that runs although its head, which was sent ahead, found no room.
func TestRefusedHeadDoesNotRun(t *testing.T) {
	s := newServer(t, 10*clock.Second, 0, true)
	full := &budget.Claim{}
	assert.Assert(t, s.heads.Take(full, 0, poolBytes))
	defer s.heads.Release(full)
	_, in := s.dial(get + "\r\n" + get + fields(200) + "\r\n" + get + "\r\n")
	assert.Equal(t, status(in), http.StatusOK)
	for status(in) != 0 {
		continue
	}
	assert.Equal(t, s.served.Load(), int64(1))
}

// Guards against a refusal that waits for a body which its caller holds back until it gets 100 (Continue).
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	s := newServer(t, 10*clock.Second, 0, true)
	_, in := s.dial("POST /refused HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 1000000\r\n\r\n")
	assert.Equal(t, status(in), http.StatusNotFound)
}

// BenchmarkServer measures a short request on an open connection, with and without the listener of this package.
func BenchmarkServer(b *testing.B) {
	for name, wrap := range map[string]bool{"tcp": false, "listen": true} {
		b.Run(name, func(b *testing.B) {
			s := newServer(b, 10*clock.Second, clock.Minute, wrap)
			c, in := s.dial("")
			assert.NilError(b, c.SetDeadline(time.Time{}))
			request := []byte("POST / HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key\r\nContent-Length: 6\r\n\r\nprompt")
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Write(request); err != nil {
					b.Fatal(err)
				}
				if status(in) != http.StatusOK {
					b.Fatal("no answer")
				}
			}
		})
	}
}
