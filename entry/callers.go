package entry

import (
	"container/list"
	"net"
	"net/http"
	"sync"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/stats"
)

// maxCallers bounds the connections of callers. A gateway has 4,100 descriptors and needs
// up to one to an upstream for each request.
const maxCallers = 1800

// callers bounds the connections of a server. Beyond the bound, the connection that has
// carried no request for longest is closed; its caller repeats what was not read. Where
// each carries a request, the new one is closed.
type callers struct {
	most int
	mu   sync.Mutex
	// idle lists connections without a request, the longest without first.
	idle *list.List
	// places are the places in idle; nil while a request is under way.
	places map[net.Conn]*list.Element
	full   bool
}

func newCallers(most int) *callers {
	return &callers{most: most, idle: list.New(), places: map[net.Conn]*list.Element{}}
}

// changed follows the state of a connection, as http.Server.ConnState.
func (c *callers) changed(n net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leave(n)
	switch s {
	case http.StateNew:
		c.makeRoom(n)
		c.places[n] = c.idle.PushBack(n)
	case http.StateIdle:
		c.places[n] = c.idle.PushBack(n)
	case http.StateActive:
		c.places[n] = nil
	case http.StateClosed, http.StateHijacked:
		delete(c.places, n)
	}
}

func (c *callers) leave(n net.Conn) {
	if e := c.places[n]; e != nil {
		c.idle.Remove(e)
	}
}

// makeRoom closes a connection where the new one exceeds the bound.
func (c *callers) makeRoom(one net.Conn) {
	full := len(c.places) >= c.most
	if full != c.full {
		c.full = full
		klog.InfoS("entry: callers' connections", "count", len(c.places), "most", c.most, "full", full)
	}
	if !full {
		return
	}
	victim := one
	if e := c.idle.Front(); e != nil {
		victim, _ = e.Value.(net.Conn)
		c.leave(victim)
		c.places[victim] = nil
	}
	stats.Event("caller_connections_closed")
	closeQuietly(victim)
}

// closeQuietly closes a connection whose state no longer matters.
func closeQuietly(c net.Conn) { _ = c.Close() }
