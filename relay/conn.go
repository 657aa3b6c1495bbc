package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/magnolialever/magnolialever/clock"
)

const (
	// dialTimeout bounds a new connection to an upstream. A VM without power does not
	// answer at all.
	dialTimeout = 700 * time.Millisecond
	// idleSpan is how long an idle connection is kept where the upstream names no time.
	idleSpan = 4 * clock.Second
	// idleShare is the part of the time that the upstream names during which an idle
	// connection is used again, so that both sides do not act at the same moment.
	idleShare = 0.7
	// maxIdle bounds the idle connections to one upstream.
	maxIdle = 24
	// maxHead bounds the head of an answer.
	maxHead = 64 << 10
	// readBuffer holds several events of a stream.
	readBuffer = 8 << 10
)

// errHead means that the head of an answer is too large.
var errHead = errors.New("head of the answer is too large")

// errNotSent means that no byte of the request can have reached the upstream.
var errNotSent = errors.New("not sent")

// conn is a connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	in *bufio.Reader
	// head is what the head of an answer may still read; negative is no limit.
	head int
	// until is when the idle connection is given up.
	until clock.Time
}

// Read reads from the connection within the limit of the head.
func (c *conn) Read(p []byte) (int, error) {
	if c.head == 0 {
		return 0, errHead
	}
	if c.head > 0 && len(p) > c.head {
		p = p[:c.head]
	}
	n, err := c.Conn.Read(p)
	if c.head > 0 {
		c.head -= n
	}
	return n, err
}

// drop closes a connection whose state no longer matters.
func (c *conn) drop() { _ = c.Close() }

// silent reports whether an idle connection is open and has nothing to read. Bytes
// that came without a request belong to none.
func (c *conn) silent() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// pool keeps idle connections to upstreams by address.
type pool struct {
	clock clock.Clock
	mu    sync.Mutex
	idle  map[string][]*conn
	// dialed counts new connections.
	dialed func()
}

func newPool(c clock.Clock) *pool { return &pool{clock: c, idle: map[string][]*conn{}} }

// get returns a connection and whether it was used before.
func (p *pool) get(ctx context.Context, address string) (*conn, bool, error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if c.silent() {
			return c, true, nil
		}
		c.drop()
	}
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	n, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, false, fmt.Errorf("connect to %s: %w: %w", address, errNotSent, err)
	}
	c := &conn{Conn: n}
	c.in = bufio.NewReaderSize(c, readBuffer)
	return c, false, nil
}

func (p *pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[address]
	now := p.clock.Now()
	for len(l) > 0 {
		c := l[len(l)-1]
		l = l[:len(l)-1]
		if now.Before(c.until) {
			p.idle[address] = l
			return c
		}
		c.drop()
	}
	delete(p.idle, address)
	return nil
}

// put keeps a connection after a complete answer. The upstream keeps it open for the
// time named; 0 is unknown.
func (p *pool) put(address string, c *conn, keep clock.Span) {
	if keep == 0 {
		keep = idleSpan
	}
	c.until = p.clock.Now().Add(clock.Span(float64(keep) * idleShare))
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.drop()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdle {
		c.drop()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// prune closes idle connections that are out of time.
func (p *pool) prune() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for address, l := range p.idle {
		keep := l[:0]
		for _, c := range l {
			if now.Before(c.until) {
				keep = append(keep, c)
			} else {
				c.drop()
			}
		}
		if len(keep) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = keep
		}
	}
}
