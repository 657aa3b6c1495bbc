package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/socket"
	"github.com/magnolialever/magnolialever/stats"
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
	// maxHeadBytes is the maximum size of a response head, maxHeadLines that of its lines: a parsed line takes many
	// times the memory of a short one.
	maxHeadBytes = 64 << 10
	maxHeadLines = 256
	// readBuffer is the size in bytes of read buffers; it holds several events of a stream.
	readBuffer = 8 << 10
)

// unreadGrace is the time to read bytes that had arrived when a read deadline passed. Reading them takes no time, unless the
// machine is busy.
const unreadGrace = time.Second

// errHeadTooLarge means that the head of a response exceeds maxHeadBytes or maxHeadLines.
var errHeadTooLarge = errors.New("response head is too large")

// errNotSent means that no byte of the request can have reached the upstream.
var errNotSent = errors.New("request not sent")

// errNotAccepted means that the upstream has said meanwhile that it leaves or wants a pause.
var errNotAccepted = errors.New("upstream wants no requests")

// conn is a connection to an upstream. It carries one request at a time.
type conn struct {
	*socket.ClientConn
	reader *bufio.Reader
	// headLimit limits what is read for the head of a response.
	headLimit headLimit
	// onSilence, if set, is called when the read deadline has passed without a byte. It returns the next read deadline,
	// a wall-clock time, or false if the read is to fail.
	onSilence func() (time.Time, bool)
	// unlimitedSend is set while no time limit for sending applies.
	unlimitedSend bool
	// expiresAt is when an idle connection is closed.
	expiresAt clock.Time
	// requestIDs are the hashes of the ids of the requests that were sent on the connection. A faulty upstream may send
	// its answer to one of them once more.
	requestIDs []uint64
}

// MaxRequestsPerConn is the maximum number of requests on one connection, whose ids are all known.
const MaxRequestsPerConn = 256

// hashSeed is the seed of the hashes of ids.
var hashSeed = maphash.MakeSeed()

// recordRequest records that the connection carries the request with the id.
func (c *conn) recordRequest(id string) {
	c.requestIDs = append(c.requestIDs, maphash.String(hashSeed, id))
}

// hasCarried reports whether the request with the id was sent on the connection.
func (c *conn) hasCarried(id string) bool {
	return slices.Contains(c.requestIDs, maphash.String(hashSeed, id))
}

// carriesFirst reports whether the connection has carried one request only.
func (c *conn) carriesFirst() bool { return len(c.requestIDs) == 1 }

// Read reads from the connection and fails with errHeadTooLarge beyond the limit of a head.
func (c *conn) Read(p []byte) (int, error) {
	p, err := c.headLimit.limit(p)
	if err != nil {
		return 0, err
	}
	n, err := c.readPatiently(p)
	c.headLimit.count(p[:n])
	return n, err
}

// readPatiently reads from the connection. At the read deadline it goes on if onSilence says so: a reader of HTTP
// that has failed with a timeout can't be used again.
func (c *conn) readPatiently(p []byte) (int, error) {
	for {
		n, err := c.ClientConn.Read(p)
		if n > 0 || c.onSilence == nil || !isTimeout(err) {
			return n, err
		}
		if socket.Peek(c.ClientConn) != socket.Open {
			// The deadline passed while this gateway did not read, as it was paused: the upstream was not silent, or has ended.
			if err := c.SetReadDeadline(time.Now().Add(unreadGrace)); err != nil {
				return 0, fmt.Errorf("set deadline: %w", err)
			}
			continue
		}
		deadline, goOn := c.onSilence()
		if !goOn {
			return n, err
		}
		if err := c.SetReadDeadline(deadline); err != nil {
			return 0, fmt.Errorf("set deadline: %w", err)
		}
	}
}

// closeNow closes the connection and ignores the error, since the connection isn't used again.
func (c *conn) closeNow() { _ = c.Close() }

// abort resets the connection, so that bytes of the request that have not arrived are dropped. Otherwise the kernel sends them
// as soon as a cut has healed, long after the request was given up.
func (c *conn) abort() {
	// It fails only for a connection that is closed already.
	_ = c.SetLinger(0)
	c.closeNow()
}

// idleState returns the state of the connection, on which no request is under way. Unread bytes can't be matched to a
// request.
func (c *conn) idleState() socket.State {
	if c.reader.Buffered() > 0 {
		return socket.Unread
	}
	return socket.Peek(c.ClientConn)
}

// dropUnexpected closes a connection on which the upstream has sent bytes that belong to no request.
func (c *conn) dropUnexpected(address string) {
	stats.Event("unexpected_bytes")
	klog.InfoS("relay: connection with unexpected bytes closed", "address", address, "requests", len(c.requestIDs))
	c.closeNow()
}

// pool keeps idle connections to upstreams. It is safe for concurrent use.
type pool struct {
	clock     clock.Clock
	mu        sync.Mutex
	idleConns map[string][]*conn
	// onDial is called for each new connection; may be nil.
	onDial func()
	// sendTimeout is the time within which the upstream's system has to acknowledge what is sent; 0 is no limit.
	sendTimeout clock.Span
}

func newPool(c clock.Clock, sendTimeout clock.Span) *pool {
	return &pool{clock: c, idleConns: map[string][]*conn{}, sendTimeout: sendTimeout}
}

// get returns a connection to the address for the request, and whether it is reused. It
// connects when there is no usable idle connection; errors wrap errNotSent. A connection that carried the
// same request before is not used: an answer there can't be told from a copy of the earlier one.
func (p *pool) get(ctx context.Context, address string, r *request) (*conn, bool, error) {
	for !r.needsOwnConn() {
		c := p.takeIdle(address, r.id)
		if c == nil {
			break
		}
		switch c.idleState() {
		case socket.Open:
			return c, true, nil
		case socket.Closed:
			c.closeNow()
		case socket.Unread:
			c.dropUnexpected(address)
		}
	}
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: p.controlSend}
	n, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, false, fmt.Errorf("connect to %s: %w: %w", address, errNotSent, err)
	}
	c := &conn{ClientConn: socket.NewClientConn(n)}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c, false, nil
}

// takeIdle removes and returns the most recently used idle connection that has not expired and did not
// carry the request with the id, or nil.
func (p *pool) takeIdle(address, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExpiredOf(address, p.clock.Now())
	l := p.idleConns[address]
	for i := len(l) - 1; i >= 0; i-- {
		if c := l[i]; !c.hasCarried(id) {
			p.idleConns[address] = slices.Delete(l, i, i+1)
			return c
		}
	}
	return nil
}

// put adds a connection to the pool after a complete response, unless it has carried MaxRequestsPerConn requests. idleTimeout
// is the time for which the upstream keeps it open; 0 means unknown.
func (p *pool) put(address string, c *conn, idleTimeout clock.Span) {
	if len(c.requestIDs) >= MaxRequestsPerConn {
		c.closeNow()
		return
	}
	if idleTimeout == 0 {
		idleTimeout = defaultIdleTimeout
	}
	c.expiresAt = p.clock.Now().Add(clock.Span(float64(idleTimeout) * idleTimeoutShare))
	p.add(address, c)
}

// putBack returns a connection on which nothing was sent since get. A connection that was idle before expires as it
// would have.
func (p *pool) putBack(address string, c *conn, reused bool) {
	if !reused {
		p.put(address, c, 0)
		return
	}
	p.add(address, c)
}

// add adds an idle connection.
func (p *pool) add(address string, c *conn) {
	c.onSilence = nil
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
	for address := range p.idleConns {
		p.closeExpiredOf(address, now)
	}
}

// closeExpiredOf closes the idle connections to an address that have expired. The caller holds p.mu.
func (p *pool) closeExpiredOf(address string, now clock.Time) {
	l := p.idleConns[address]
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
		return
	}
	p.idleConns[address] = keep
}
