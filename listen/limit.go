package listen

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/budget"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/socket"
	"github.com/magnolialever/magnolialever/stats"
)

// NewConnTimeout is the time after which a connection that has carried no request counts as idle for CloseIdle.
const NewConnTimeout = 5 * time.Second

// Limiter limits the number of open connections of an HTTP server and closes idle ones. At the limit, a new
// connection closes the one that gives way to it; its caller repeats a request that was
// not read yet. If none does, the new one is closed. It is safe for concurrent use.
type Limiter struct {
	// prefix begins log lines, name is that of the server in them, event that of the counter of connections that were closed.
	prefix, name, event string
	limit               int
	mu                  sync.Mutex
	connections         *budget.Connections[net.Conn]
	// newSince has the connections that have carried no request, with the time of their opening.
	newSince map[net.Conn]time.Time
	// full is set if the limit was reached when the last connection was opened.
	full bool
}

// NewLimiter returns a limiter for a server whose log lines begin with the prefix. At most so many connections are open.
func NewLimiter(prefix, name string, limit int) *Limiter {
	return &Limiter{
		prefix: prefix, name: name, event: name + "_connections_closed", limit: limit,
		connections: budget.NewConnections[net.Conn](limit), newSince: map[net.Conn]time.Time{},
	}
}

// Attach makes the server use the listener and the limiter. It replaces the server's hooks and wraps its handler.
func (l *Listener) Attach(s *http.Server, m *Limiter) {
	l.limiter = m
	s.Handler, s.ConnContext = m.Handler(s.Handler), m.ConnContext
	s.ConnState = func(c net.Conn, state http.ConnState) {
		l.OnStateChange(c, state)
		m.OnStateChange(c, state)
	}
}

// OnStateChange records a change of a connection's state. It is an http.Server.ConnState hook.
func (c *Limiter) OnStateChange(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.newSince, conn)
	switch state {
	case http.StateNew:
		if c.enforceLimit(conn) {
			c.newSince[conn] = time.Now()
		}
	case http.StateIdle:
		c.connections.Idle(conn)
	case http.StateActive:
		c.connections.Busy(conn)
	case http.StateClosed, http.StateHijacked:
		c.connections.Closed(conn)
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// WithConn adds a connection to the context of its requests.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnContext adds the connection to the context of its requests. It is an http.Server.ConnContext hook.
func (c *Limiter) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return WithConn(ctx, conn)
}

// Begin records that a handler begins with the request, if its connection is a Conn, and follows its body. It returns false
// if the connection has given way to others, so that the request must not be served. The handler has to use the request that
// it returns.
func Begin(r *http.Request) (*http.Request, bool) {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		return r, true
	}
	return c.begin(r)
}

// Handler returns a handler that serves requests by next, but those of connections that were closed while they were read.
func (c *Limiter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(net.Conn)
		followed, ok := Begin(r)
		if !ok || c.isClosed(conn) {
			stats.Event("requests_on_closed_connections")
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, followed)
	})
}

// isClosed reports whether the connection was closed and its goroutine has not ended. A request that it reads all the same
// must not be served: its answer could not be sent.
func (c *Limiter) isClosed(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connections.IsClosing(conn)
}

// CloseIdle closes the idle connections, and those without a request since NewConnTimeout. A connection on which a request
// has begun to arrive is not idle.
func (c *Limiter) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.connections.IdleOnes() {
		if opened, isNew := c.newSince[conn]; isNew && time.Since(opened) < NewConnTimeout || isArriving(conn) {
			continue
		}
		c.close(conn)
	}
}

// isArriving reports whether a request has begun to arrive on a connection that waits for one.
func isArriving(conn net.Conn) bool {
	if c, ok := conn.(interface{ Arriving() bool }); ok {
		return c.Arriving()
	}
	return socket.Peek(conn) == socket.Unread
}

// progressOf returns how far the request on a connection is.
func progressOf(conn net.Conn) budget.Progress {
	p := budget.Progress{Arriving: isArriving(conn)}
	if c, ok := conn.(*Conn); ok {
		p.Incomplete, p.At = c.Incomplete()
	}
	return p
}

// close closes a connection, unless its request has arrived meanwhile. The caller holds c.mu.
func (c *Limiter) close(conn net.Conn) bool {
	if l, ok := conn.(*Conn); ok && !l.TryEnd() {
		return false
	}
	c.connections.Closing(conn)
	closeIgnoringError(conn)
	return true
}

// overfull reports whether too many connections are still closing.
func (c *Limiter) overfull() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connections.Overfull()
}

// Open returns the number of open connections.
func (c *Limiter) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connections.Known()
}

// enforceLimit closes a connection if the added one exceeds the limit. It returns false if that is the added one.
func (c *Limiter) enforceLimit(added net.Conn) bool {
	full := c.connections.Full()
	if full != c.full {
		c.full = full
		klog.InfoS(c.prefix+": callers' connections", "server", c.name, "count", c.connections.Known(), "most", c.limit, "full", full)
	}
	if !full {
		c.connections.Opened(added)
		return true
	}
	stats.Event(c.event)
	now := clock.Time(0)
	if l, ok := added.(*Conn); ok {
		now = l.Now()
	}
	victim, ok := c.connections.Victim(now, progressOf)
	if !ok || !c.close(victim) {
		closeIgnoringError(added)
		return false
	}
	c.connections.Opened(added)
	return true
}

// closeIgnoringError closes a connection that is no longer used, so that an error doesn't matter.
func closeIgnoringError(c net.Conn) { _ = c.Close() }
