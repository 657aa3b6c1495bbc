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

// listener is an HTTP server with its socket.
type listener struct {
	name string
	net  net.Listener
	http *http.Server
}

func newListener(name, address string, h http.Handler, l *Limits) (*listener, error) {
	n, err := net.Listen("tcp", address) //nolint:noctx // no context at start
	if err != nil {
		return nil, fmt.Errorf("listen on %s address: %w", name, err)
	}
	// ReadTimeout and WriteTimeout would cut long streams; the handlers set a
	// deadline for the body and for each flush.
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
	return &listener{name: name, net: newBounded(n, l.MaxConnections), http: s}, nil
}

func (l *listener) serve() {
	if err := l.http.Serve(l.net); !errors.Is(err, http.ErrServerClosed) {
		klog.Errorf("gate: %s listener ended: %v", l.name, err)
	}
}

// bounded accepts only as many connections at once as it has places; further ones
// wait in the backlog of the socket.
type bounded struct {
	net.Listener
	places chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newBounded(l net.Listener, limit int) *bounded {
	return &bounded{Listener: l, places: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (b *bounded) Accept() (net.Conn, error) {
	select {
	case b.places <- struct{}{}:
	case <-b.closed:
		return nil, net.ErrClosed
	}
	c, err := b.Listener.Accept()
	if err != nil {
		<-b.places
		return nil, err
	}
	return &boundedConn{Conn: c, places: b.places}, nil
}

// Close implements net.Listener.
func (b *bounded) Close() error {
	b.once.Do(func() { close(b.closed) })
	return b.Listener.Close()
}

type boundedConn struct {
	net.Conn
	places chan struct{}
	once   sync.Once
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.once.Do(func() { <-c.places })
	return c.Conn.Close()
}
