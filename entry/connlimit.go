package entry

import (
	"container/list"
	"net"
	"net/http"
	"sync"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/stats"
)

// maxConnections is the limit on connections from callers. A gateway has 4,100 file descriptors and
// needs up to one more per request, for its connection to an upstream.
const maxConnections = 1800

// connLimiter limits the number of open connections of an HTTP server. At the limit, a new
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
	// full is set if the limit was reached when the last connection was opened.
	full bool
}

func newConnLimiter(limit int) *connLimiter {
	return &connLimiter{limit: limit, idle: list.New(), idleElements: map[net.Conn]*list.Element{}}
}

// onStateChange records a change of a connection's state. It is an http.Server.ConnState hook.
func (c *connLimiter) onStateChange(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeIdle(conn)
	switch state {
	case http.StateNew:
		c.enforceLimit(conn)
		c.idleElements[conn] = c.idle.PushBack(conn)
	case http.StateIdle:
		c.idleElements[conn] = c.idle.PushBack(conn)
	case http.StateActive:
		c.idleElements[conn] = nil
	case http.StateClosed, http.StateHijacked:
		delete(c.idleElements, conn)
	}
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
	evicted := added
	if e := c.idle.Front(); e != nil {
		evicted, _ = e.Value.(net.Conn)
		c.removeIdle(evicted)
		c.idleElements[evicted] = nil
	}
	stats.Event("caller_connections_closed")
	closeIgnoringError(evicted)
}

// closeIgnoringError closes a connection that is no longer used, so that an error doesn't matter.
func closeIgnoringError(c net.Conn) { _ = c.Close() }
