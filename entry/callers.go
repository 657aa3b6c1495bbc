package entry

import (
	"container/list"
	"net"
	"net/http"
	"sync"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/stats"
)

// maxConnections bounds the connections of callers. A gateway has 4,100 descriptors and needs
// up to one to an upstream for each request.
const maxConnections = 1800

// connLimiter bounds the connections of a server. Beyond the bound, the connection that has
// carried no request for longest is closed; its caller repeats what was not read. Where
// each carries a request, the new one is closed.
type connLimiter struct {
	limit int
	mu    sync.Mutex
	// idle lists connections without a request, the longest without first.
	idle *list.List
	// idleElements are the places in idle; nil while a request is under way.
	idleElements map[net.Conn]*list.Element
	full         bool
}

func newConnLimiter(limit int) *connLimiter {
	return &connLimiter{limit: limit, idle: list.New(), idleElements: map[net.Conn]*list.Element{}}
}

// onStateChange follows the state of a connection, as http.Server.ConnState.
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

func (c *connLimiter) removeIdle(conn net.Conn) {
	if e := c.idleElements[conn]; e != nil {
		c.idle.Remove(e)
	}
}

// enforceLimit closes a connection where the new one exceeds the bound.
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

// closeIgnoringError closes a connection whose state no longer matters.
func closeIgnoringError(c net.Conn) { _ = c.Close() }
