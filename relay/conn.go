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
	// dialTimeout bounds connecting to an upstream. A VM that is powered off sends no reset, so
	// only the timeout ends the attempt.
	dialTimeout = 700 * time.Millisecond
	// defaultIdleTimeout is the assumed idle timeout of an upstream that states none.
	defaultIdleTimeout = 4 * clock.Second
	// idleTimeoutShare is the part of the upstream's idle timeout during which a connection is
	// reused, so that no request is sent while the upstream closes the connection.
	idleTimeoutShare = 0.7
	// maxIdlePerUpstream is the maximum number of idle connections per upstream address.
	maxIdlePerUpstream = 24
	// maxHeadBytes is the maximum size of a response head.
	maxHeadBytes = 64 << 10
	// readBuffer is the size in bytes of read buffers; it holds several events of a stream.
	readBuffer = 8 << 10
)

// errHeadTooLarge means that the head of a response exceeds maxHeadBytes.
var errHeadTooLarge = errors.New("response head is too large")

// errNotSent means that no byte of the request can have reached the upstream.
var errNotSent = errors.New("request not sent")

// conn is a connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// headBytesLeft limits the bytes read for the head of a response; negative means no limit.
	headBytesLeft int
	// expiresAt is when an idle connection is closed.
	expiresAt clock.Time
}

// Read reads from the connection and fails with errHeadTooLarge at the limit headBytesLeft.
func (c *conn) Read(p []byte) (int, error) {
	if c.headBytesLeft == 0 {
		return 0, errHeadTooLarge
	}
	if c.headBytesLeft > 0 && len(p) > c.headBytesLeft {
		p = p[:c.headBytesLeft]
	}
	n, err := c.Conn.Read(p)
	if c.headBytesLeft > 0 {
		c.headBytesLeft -= n
	}
	return n, err
}

// closeNow closes the connection and ignores the error, since the connection isn't used again.
func (c *conn) closeNow() { _ = c.Close() }

// usable reports whether an idle connection is still open and has no unread bytes. Bytes that
// arrive without a request can't be matched to a request.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
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

// pool keeps idle connections to upstreams. It is safe for concurrent use.
type pool struct {
	clock     clock.Clock
	mu        sync.Mutex
	idleConns map[string][]*conn
	// onDial is called for each new connection; may be nil.
	onDial func()
}

func newPool(c clock.Clock) *pool { return &pool{clock: c, idleConns: map[string][]*conn{}} }

// get returns a connection to the address and whether it is reused. It connects when there is no
// usable idle connection; errors wrap errNotSent.
func (p *pool) get(ctx context.Context, address string) (*conn, bool, error) {
	for {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if c.usable() {
			return c, true, nil
		}
		c.closeNow()
	}
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	n, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, false, fmt.Errorf("connect to %s: %w: %w", address, errNotSent, err)
	}
	c := &conn{Conn: n}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c, false, nil
}

// takeIdle removes and returns the most recently used idle connection that has not expired, or nil.
func (p *pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idleConns[address]
	now := p.clock.Now()
	for len(l) > 0 {
		c := l[len(l)-1]
		l = l[:len(l)-1]
		if now.Before(c.expiresAt) {
			p.idleConns[address] = l
			return c
		}
		c.closeNow()
	}
	delete(p.idleConns, address)
	return nil
}

// put adds a connection to the pool after a complete response. idleTimeout is the time for which
// the upstream keeps it open; 0 means unknown.
func (p *pool) put(address string, c *conn, idleTimeout clock.Span) {
	if idleTimeout == 0 {
		idleTimeout = defaultIdleTimeout
	}
	c.expiresAt = p.clock.Now().Add(clock.Span(float64(idleTimeout) * idleTimeoutShare))
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.closeNow()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idleConns[address]) >= maxIdlePerUpstream {
		c.closeNow()
		return
	}
	p.idleConns[address] = append(p.idleConns[address], c)
}

// closeExpired closes idle connections that have expired.
func (p *pool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for address, l := range p.idleConns {
		keep := l[:0]
		for _, c := range l {
			if now.Before(c.expiresAt) {
				keep = append(keep, c)
			} else {
				c.closeNow()
			}
		}
		if len(keep) == 0 {
			delete(p.idleConns, address)
		} else {
			p.idleConns[address] = keep
		}
	}
}
