package entry

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/socket"
	"github.com/magnolialever/magnolialever/stats"
)

// maxConnections is the limit on connections from callers. A gateway has 4,100 file descriptors and
// needs up to one more per request, for its connection to an upstream.
const maxConnections = 1800

// newConnTimeout is the time after which a connection that has carried no request counts as idle for CloseIdle.
const newConnTimeout = 5 * time.Second

// connLimiter limits the number of open connections of an HTTP server and closes idle ones. At the limit, a new
// connection closes the one that has been idle for longest; its caller repeats a request that was
// not read yet. If no connection is idle, the new one is closed. It is safe for concurrent use.
type connLimiter struct {
	limit int
	mu    sync.Mutex
	// idle lists the connections without a request in flight, least recently used first.
	idle *list.List
	// idleElements has an entry for each open connection: its element in idle, or nil while a
	// request is in flight.
	idleElements map[net.Conn]*list.Element
	// newSince has the connections that have carried no request, with the time of their opening.
	newSince map[net.Conn]time.Time
	// closed has the idle connections that were closed and whose goroutines have not ended. A request that one of
	// them reads all the same must not be served: its answer could not be sent.
	closed map[net.Conn]bool
	// full is set if the limit was reached when the last connection was opened.
	full bool
}

func newConnLimiter(limit int) *connLimiter {
	return &connLimiter{
		limit: limit, idle: list.New(), idleElements: map[net.Conn]*list.Element{},
		newSince: map[net.Conn]time.Time{}, closed: map[net.Conn]bool{},
	}
}

// onStateChange records a change of a connection's state. It is an http.Server.ConnState hook.
func (c *connLimiter) onStateChange(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeIdle(conn)
	delete(c.newSince, conn)
	switch state {
	case http.StateNew:
		c.enforceLimit(conn)
		c.idleElements[conn] = c.idle.PushBack(conn)
		c.newSince[conn] = time.Now()
	case http.StateIdle:
		c.idleElements[conn] = c.idle.PushBack(conn)
	case http.StateActive:
		c.idleElements[conn] = nil
	case http.StateClosed, http.StateHijacked:
		delete(c.idleElements, conn)
		delete(c.closed, conn)
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connContext adds the connection to the context of its requests. It is an http.Server.ConnContext hook.
func (c *connLimiter) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// handler returns a handler that serves requests by next, but those of connections that were closed while they were read.
func (c *connLimiter) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, _ := r.Context().Value(connKey{}).(net.Conn); c.isClosed(conn) {
			stats.Event("requests_on_closed_connections")
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (c *connLimiter) isClosed(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed[conn]
}

// closeIdle closes the idle connections, and those without a request since newConnTimeout. A connection on which a request
// has begun to arrive is not idle.
func (c *connLimiter) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.idle.Front(); e != nil; {
		conn, _ := e.Value.(net.Conn)
		e = e.Next()
		if opened, isNew := c.newSince[conn]; isNew && time.Since(opened) < newConnTimeout || isArriving(conn) {
			continue
		}
		c.close(conn)
	}
}

// isArriving reports whether a request has begun to arrive on a connection that waits for one.
func isArriving(conn net.Conn) bool {
	if c, ok := conn.(*socket.Conn); ok {
		return c.Arriving()
	}
	return socket.Peek(conn) == socket.Unread
}

// close closes an idle connection. The caller holds c.mu.
func (c *connLimiter) close(conn net.Conn) {
	c.removeIdle(conn)
	c.idleElements[conn] = nil
	c.closed[conn] = true
	closeIgnoringError(conn)
}

// open returns the number of open connections.
func (c *connLimiter) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idleElements)
}

func (c *connLimiter) removeIdle(conn net.Conn) {
	if e := c.idleElements[conn]; e != nil {
		c.idle.Remove(e)
	}
}

// enforceLimit closes a connection if the added one, which is not yet recorded, exceeds the limit.
func (c *connLimiter) enforceLimit(added net.Conn) {
	full := len(c.idleElements) >= c.limit
	if full != c.full {
		c.full = full
		klog.InfoS("entry: callers' connections", "count", len(c.idleElements), "most", c.limit, "full", full)
	}
	if !full {
		return
	}
	stats.Event("caller_connections_closed")
	for e := c.idle.Front(); e != nil; e = e.Next() {
		if evicted, _ := e.Value.(net.Conn); !isArriving(evicted) {
			c.close(evicted)
			return
		}
	}
	closeIgnoringError(added)
}

// closeIgnoringError closes a connection that is no longer used, so that an error doesn't matter.
func closeIgnoringError(c net.Conn) { _ = c.Close() }
