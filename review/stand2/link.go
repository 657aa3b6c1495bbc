//go:build review2

package main

import (
	"bytes"
	"io"
	"net"
	"sync"
)

// link is a proxy before the store. It can end the connections on which a watch waits.
type link struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	watches  map[net.Conn]net.Conn
}

func newLink(to string) *link {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	p := &link{listener: l, to: to, watches: map[net.Conn]net.Conn{}}
	go p.run()
	return p
}

func (l *link) addr() string { return l.listener.Addr().String() }

func (l *link) close() { _ = l.listener.Close() }

func (l *link) run() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(c)
	}
}

func (l *link) serve(c net.Conn) {
	defer c.Close()
	s, err := net.Dial("tcp4", l.to)
	if err != nil {
		return
	}
	defer s.Close()
	buffer := make([]byte, 64<<10)
	n, err := c.Read(buffer)
	if err != nil {
		return
	}
	if bytes.HasPrefix(buffer[:n], []byte("GET /kv-watch")) {
		l.mu.Lock()
		l.watches[c] = s
		l.mu.Unlock()
		defer func() {
			l.mu.Lock()
			delete(l.watches, c)
			l.mu.Unlock()
		}()
	}
	if _, err := s.Write(buffer[:n]); err != nil {
		return
	}
	go func() {
		_, _ = io.Copy(s, c)
		s.Close()
	}()
	_, _ = io.Copy(c, s)
}

// cutWatches ends the connections of the watches that wait, in order and without an answer, and returns their number.
func (l *link) cutWatches() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.watches)
	for c, s := range l.watches {
		_ = s.Close()
		_ = c.Close()
	}
	return n
}
