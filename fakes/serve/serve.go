// Package serve is the HTTP server that the stand-ins share. It can go down like
// a crashed process and come back at the same address.
package serve

import (
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
	// MaxBodyBytes is the largest request body that a stand-in reads.
	MaxBodyBytes  = 16 << 20
	relistenPause = 10 * time.Millisecond
)

// Server serves a handler at one address.
type Server struct {
	handler http.Handler
	address string

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	down     bool
	change   chan struct{}
}

// Listen opens the listener; Run serves it.
func Listen(address string, h http.Handler) (*Server, error) {
	s := &Server{handler: h, change: make(chan struct{})}
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

// Addr returns the address of the listener.
func (s *Server) Addr() string { return s.address }

// Run serves until the context is done and then closes all connections.
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

// relisten waits until the server is up again and opens the same address.
func (s *Server) relisten(ctx context.Context) error {
	for {
		s.mu.Lock()
		down, change := s.down, s.change
		s.mu.Unlock()
		if !down {
			break
		}
		select {
		case <-change:
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
		// Another process may hold the port for a moment as a local port.
		time.Sleep(relistenPause)
	}
	return nil
}

// Crash closes the listener and cuts all connections, as a crash does, and comes
// back after the span. With a span of 0 it stays down until Up.
func (s *Server) Crash(span clock.Span) {
	s.mu.Lock()
	s.down = true
	server := s.server
	s.mu.Unlock()
	_ = server.Close()
	if span > 0 {
		time.AfterFunc(span.Duration(), s.Restart)
	}
}

// Restart ends Down.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		return
	}
	s.down = false
	close(s.change)
	s.change = make(chan struct{})
}

// Abort cuts the connection of the request without an answer.
func Abort() { panic(http.ErrAbortHandler) }

// ReadJSON decodes the JSON body of the request. On failure it answers 400 and
// returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON answers with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have gone
}
