package gate

import (
	"errors"
	"fmt"
	"net"
	"net/http"

	"k8s.io/klog/v2"
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
		ReadHeaderTimeout: l.Header.Duration(),
		IdleTimeout:       l.Idle.Duration(),
		MaxHeaderBytes:    l.HeaderBytes,
	}
	return &listener{name: name, net: n, http: s}, nil
}

func (l *listener) serve() {
	if err := l.http.Serve(l.net); !errors.Is(err, http.ErrServerClosed) {
		klog.Errorf("gate: %s listener ended: %v", l.name, err)
	}
}

func (l *listener) close() { _ = l.http.Close() }
