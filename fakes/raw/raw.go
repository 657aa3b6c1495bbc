// Package raw is a fake HTTP server whose handler writes the bytes of its answers, so that they can be cut, wrong or
// written twice.
package raw

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// Request is a request that the server received. Its connection is closed once the handler returns an error.
type Request struct {
	*http.Request
	// Text is the body.
	Text string
	// Number is the position among the requests of the server, NumberOnConnection among those of the connection, from 1.
	Number, NumberOnConnection int

	conn net.Conn
}

// Write writes bytes to the connection. It fails when the caller has closed it.
func (r *Request) Write(s string) error {
	if _, err := io.WriteString(r.conn, s); err != nil {
		return fmt.Errorf("raw fake: %w", err)
	}
	return nil
}

// Answer returns the bytes of an answer with a length.
func Answer(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
}

// Server is the fake.
type Server struct {
	listener net.Listener
	handler  func(r *Request) error
	done     sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]bool
	number int
}

// Start starts a server on a free port of the loopback interface. Close stops it.
func Start(handler func(r *Request) error) (*Server, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("raw fake: %w", err)
	}
	s := &Server{listener: l, handler: handler, conns: map[net.Conn]bool{}}
	s.done.Go(s.accept)
	return s, nil
}

// StartCopying starts a server that answers with the bytes that answer returns. Right after it has read a request, it writes
// its earlier answer on the connection once more. Calls of answer don't overlap.
func StartCopying(answer func(r *Request) string) (*Server, error) {
	var mu sync.Mutex
	previous := map[net.Conn]string{}
	return Start(func(r *Request) error {
		mu.Lock()
		defer mu.Unlock()
		current := answer(r)
		err := r.Write(previous[r.conn] + current)
		previous[r.conn] = current
		return err
	})
}

// Addr returns the host:port address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops the server, closes its connections and waits for its handlers to return.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		s.done.Go(func() { s.serve(c) })
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.number++
		r := &Request{Request: req, Text: string(body), Number: s.number, NumberOnConnection: n, conn: c}
		s.mu.Unlock()
		if s.handler(r) != nil {
			return
		}
	}
}
