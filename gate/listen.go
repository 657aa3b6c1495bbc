package gate

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/socket"
)

// Names of the listeners.
const (
	publicName = "public"
	adminName  = "admin"
)

// listener is an HTTP server with its TCP listener.
type listener struct {
	name string
	tcp  *limitedListener
	http *http.Server
	// served is closed when no more connections are accepted.
	served chan struct{}
}

// newListener opens the listener at address, as IP:port. The name appears in logs and errors.
func newListener(name, address string, h http.Handler, l *Limits) (*listener, error) {
	n, err := net.Listen("tcp", address) //nolint:noctx // no context at start
	if err != nil {
		return nil, fmt.Errorf("listen on %s address: %w", name, err)
	}
	// ReadTimeout and WriteTimeout would cut off long streams. Instead, the handlers set deadlines
	// for the request body and for each flush.
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: l.HeaderTimeout.Duration(),
		IdleTimeout:       l.IdleTimeout.Duration(),
		MaxHeaderBytes:    l.MaxHeaderBytes,
		ErrorLog:          klog.NewStandardLogger("WARNING"),
	}
	if name == adminName {
		s.ReadTimeout, s.WriteTimeout = l.HeaderTimeout.Duration(), l.WriteTimeout.Duration()
	}
	tcp := newLimitedListener(n, l.MaxConnections)
	s.ConnState = tcp.onStateChange
	return &listener{name: name, tcp: tcp, http: s, served: make(chan struct{})}, nil
}

// serve handles requests until shutdown.
func (l *listener) serve() {
	defer close(l.served)
	if err := l.http.Serve(l.tcp); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		klog.Errorf("gate: %s listener failed: %v", l.name, err)
	}
}

// newConnTimeout is the age from which a connection that has carried no request counts as idle.
const newConnTimeout = 5 * time.Second

// limitedListener bounds the number of open connections; further ones wait in the backlog of the
// socket. It closes idle connections.
type limitedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
	// stopSlots are further slots, for use once stopping is closed.
	stopSlots    chan struct{}
	stopping     chan struct{}
	stoppingOnce sync.Once

	mu    sync.Mutex
	conns map[*limitedConn]struct{}
}

func newLimitedListener(l net.Listener, limit int) *limitedListener {
	return &limitedListener{
		Listener: l, slots: make(chan struct{}, limit), closed: make(chan struct{}),
		stopSlots: make(chan struct{}, limit), stopping: make(chan struct{}), conns: map[*limitedConn]struct{}{},
	}
}

// open returns the number of open connections.
func (b *limitedListener) open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

// beginStop doubles the number of connections that may be open, so that those that wait in the backlog of the socket are
// refused. Closing the socket would reset them.
func (b *limitedListener) beginStop() { b.stoppingOnce.Do(func() { close(b.stopping) }) }

// takeSlot waits for a slot and returns the channel that it has to be received from to free it.
func (b *limitedListener) takeSlot() (slots chan struct{}, err error) {
	select {
	case b.slots <- struct{}{}:
		return b.slots, nil
	case <-b.closed:
		return nil, net.ErrClosed
	case <-b.stopping:
	}
	select {
	case b.slots <- struct{}{}:
		return b.slots, nil
	case b.stopSlots <- struct{}{}:
		return b.stopSlots, nil
	case <-b.closed:
		return nil, net.ErrClosed
	}
}

// Accept implements net.Listener.
func (b *limitedListener) Accept() (net.Conn, error) {
	slots, err := b.takeSlot()
	if err != nil {
		return nil, err
	}
	n, err := b.Listener.Accept()
	if err != nil {
		<-slots
		return nil, err
	}
	c := &limitedConn{Conn: socket.NewConn(n), listener: b, slots: slots, openedAt: time.Now(), state: http.StateNew}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns[c] = struct{}{}
	return c, nil
}

// Close implements net.Listener.
func (b *limitedListener) Close() error {
	b.once.Do(func() { close(b.closed) })
	return b.Listener.Close()
}

// onStateChange records the state of a connection. It is an http.Server.ConnState hook.
func (b *limitedListener) onStateChange(n net.Conn, s http.ConnState) {
	if c, ok := n.(*limitedConn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.state = s
	}
}

// closeIdle closes the idle connections.
func (b *limitedListener) closeIdle() {
	b.mu.Lock()
	all := make([]*limitedConn, 0, len(b.conns))
	for c := range b.conns {
		all = append(all, c)
	}
	b.mu.Unlock()
	for _, c := range all {
		if c.isIdle() {
			_ = c.Close()
		}
	}
}

// limitedConn frees its slot when it is closed.
type limitedConn struct {
	*socket.Conn
	listener *limitedListener
	slots    chan struct{}
	once     sync.Once
	openedAt time.Time

	mu    sync.Mutex
	state http.ConnState
}

// isIdle reports whether the connection carries no request. One of which a part has arrived counts, also if nobody has
// read it yet, as on a busy machine.
func (c *limitedConn) isIdle() bool {
	c.mu.Lock()
	s := c.state
	c.mu.Unlock()
	if s != http.StateIdle && (s != http.StateNew || time.Since(c.openedAt) < newConnTimeout) {
		return false
	}
	return !c.Arriving()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
		<-c.slots
	})
	return c.Conn.Close()
}
