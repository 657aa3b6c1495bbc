package gate

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"

	"k8s.io/klog/v2"
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
	return &listener{name: name, tcp: newLimitedListener(n, l.MaxConnections), http: s}, nil
}

// serve handles requests until shutdown.
func (l *listener) serve() {
	if err := l.http.Serve(l.tcp); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		klog.Errorf("gate: %s listener failed: %v", l.name, err)
	}
}

// limitedListener bounds the number of open connections; further ones wait in the backlog of the
// socket.
type limitedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newLimitedListener(l net.Listener, limit int) *limitedListener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

// open returns the number of open connections once the listener is closed.
func (b *limitedListener) open() int { return len(b.slots) }

// Accept implements net.Listener.
func (b *limitedListener) Accept() (net.Conn, error) {
	select {
	case b.slots <- struct{}{}:
	case <-b.closed:
		return nil, net.ErrClosed
	}
	c, err := b.Listener.Accept()
	if err != nil {
		<-b.slots
		return nil, err
	}
	return &limitedConn{Conn: c, slots: b.slots}, nil
}

// Close implements net.Listener.
func (b *limitedListener) Close() error {
	b.once.Do(func() { close(b.closed) })
	return b.Listener.Close()
}

// limitedConn frees its slot when it is closed.
type limitedConn struct {
	net.Conn
	slots chan struct{}
	once  sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}
