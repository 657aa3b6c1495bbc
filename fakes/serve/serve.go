// Package serve is the HTTP server of the fakes. It can simulate a crash and later listen on
// the same address again.
package serve

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/magnolialever/magnolialever/clock"
)

const (
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// MaxBodyBytes is the largest request body that a fake reads, in bytes.
	MaxBodyBytes     = 16 << 20
	relistenInterval = 10 * time.Millisecond
)

// Server serves a handler at one address.
type Server struct {
	handler http.Handler
	address string

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	down     bool
	// restarted is closed and replaced when a simulated crash ends.
	restarted chan struct{}
}

// Listen opens a listener on the address (host:port) and returns a server whose Run serves h.
func Listen(address string, h http.Handler) (*Server, error) {
	s := &Server{handler: h, restarted: make(chan struct{})}
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	s.listener = l
	s.address = l.Addr().String()
	s.server = s.newServer()
	return s, nil
}

func listen(address string) (net.Listener, error) {
	var c net.ListenConfig
	l, err := c.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("open listener: %w", err)
	}
	return l, nil
}

func (s *Server) newServer() *http.Server {
	return &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// Addr returns the listen address as host:port.
func (s *Server) Addr() string { return s.address }

// Run serves requests until ctx is done, closes all connections and returns nil. It returns an
// error if serving fails other than by Crash.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	for {
		s.mu.Lock()
		server, l := s.server, s.listener
		s.mu.Unlock()
		if ctx.Err() != nil {
			s.close()
			return nil
		}
		err := server.Serve(l)
		if ctx.Err() != nil {
			return nil
		}
		if !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve: %w", err)
		}
		if err := s.relisten(ctx); err != nil {
			return err
		}
	}
}

func (s *Server) close() {
	s.mu.Lock()
	server, l := s.server, s.listener
	s.mu.Unlock()
	_ = server.Close()
	_ = l.Close()
}

// relisten waits for the end of a simulated crash and listens on the same address again.
func (s *Server) relisten(ctx context.Context) error {
	for {
		s.mu.Lock()
		down, restarted := s.down, s.restarted
		s.mu.Unlock()
		if !down {
			break
		}
		select {
		case <-restarted:
		case <-ctx.Done():
			return nil
		}
	}
	for ctx.Err() == nil {
		l, err := listen(s.address)
		if err == nil {
			s.mu.Lock()
			s.listener, s.server = l, s.newServer()
			s.mu.Unlock()
			return nil
		}
		// An outgoing connection of another process may use the port as its local port for a
		// moment.
		time.Sleep(relistenInterval)
	}
	return nil
}

// Crash closes the listener and all connections, as the crash of a process does, and calls
// Restart after the downtime. With a downtime of 0 the server stays down until Restart is
// called.
func (s *Server) Crash(downtime clock.Span) {
	s.mu.Lock()
	s.down = true
	server := s.server
	s.mu.Unlock()
	_ = server.Close()
	if downtime > 0 {
		time.AfterFunc(downtime.Duration(), s.Restart)
	}
}

// Restart ends a simulated crash; otherwise it does nothing.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		return
	}
	s.down = false
	close(s.restarted)
	s.restarted = make(chan struct{})
}

// Abort closes the connection of the current request without a response. It panics with
// http.ErrAbortHandler, so it must run in the handler's goroutine.
func Abort() { panic(http.ErrAbortHandler) }

// EndByConnection lets the response have no length, so that its body ends with the connection.
func EndByConnection(w http.ResponseWriter) {
	w.Header().Set("Transfer-Encoding", "identity")
}

// TakeConn takes over the connection of the current request, whose close resets it from now on; a simulated crash doesn't close
// it. Nothing of the request's body may have been read. The handler's ResponseWriter can't be used any more.
func TakeConn(w http.ResponseWriter) (net.Conn, *bufio.Reader) {
	c, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		Abort()
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only for a connection that is closed already
	}
	return c, rw.Reader
}

// Reset sends what was written of the response and ends the connection of the current request with a reset after the silence.
func Reset(w http.ResponseWriter, silence clock.Span) {
	if http.NewResponseController(w).Flush() != nil {
		Abort()
	}
	c, _ := TakeConn(w)
	time.Sleep(silence.Duration())
	_ = c.Close()
}

// ReadJSON decodes the JSON body of the request into v. If that fails, it responds with status
// 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON responds with the status and v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}
