package listen

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/magnolialever/magnolialever/budget"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/socket"
	"github.com/magnolialever/magnolialever/units"
)

// Phases of a connection.
const (
	// waiting is a connection that no byte of the next request has come on.
	waiting int32 = iota
	// inHead is one on which a head is arriving, inBody one whose request has a head, arrived one whose request has arrived
	// whole.
	inHead
	inBody
	arrived
	// ended is one that has been closed before its request arrived whole.
	ended
)

// readBufferBytes is the size of the buffer through which net/http reads. Longer reads go to the handler and leave nothing.
const readBufferBytes = 4 << 10

// Conn is a caller's connection. Its server has to call OnStateChange of its listener.
type Conn struct {
	*socket.Conn
	listener *Listener
	phase    atomic.Int32
	// progressAt is when bytes were read last, headAt when a head began, writeAt when a piece of an answer did; writing is
	// set while one is written.
	progressAt, headAt, writeAt atomic.Int64
	writing                     atomic.Bool
	// served is set once the connection has carried an answer.
	served atomic.Bool
	claim  budget.Claim

	// The fields below belong to the goroutine that reads.

	head budget.Head
	// rest counts what net/http may have read beyond the request: the rest of the last read.
	rest budget.Head
	// idleSet is set once the deadline for an idle connection was set, and nothing was read since. The next deadline is that
	// of a head which net/http has begun to parse from its buffer.
	idleSet bool
	// refused is the error of all further reads.
	refused error
	// answered is set once a refusal was written; net/http may write another one.
	answered bool
}

func newConn(n net.Conn, l *Listener) *Conn {
	c := &Conn{Conn: socket.NewConn(n), listener: l}
	c.claim.Yield = func() { c.end("heads_given_way") }
	c.claim.ProgressAt = func() clock.Time { return clock.Time(c.progressAt.Load()) }
	c.progressAt.Store(l.now.Load())
	return c
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if c.refused != nil {
		return 0, c.refused
	}
	n, err := c.Conn.Read(b)
	if n <= 0 {
		return n, err
	}
	c.progressAt.Store(c.listener.now.Load())
	switch c.phase.Load() {
	case waiting:
		c.beginHead(budget.Head{})
		fallthrough
	case inHead:
		if c.refused = c.addToHead(b[:n]); c.refused != nil {
			return 0, c.refused
		}
	default:
		c.keepRest(b, n)
	}
	return n, err
}

// keepRest records what of a read of n bytes may be the begin of the next request.
func (c *Conn) keepRest(b []byte, n int) {
	switch {
	case len(b) > readBufferBytes:
		c.rest = budget.Head{}
	case n > 1:
		c.rest = budget.Head{}
		c.rest.AddLines(b[:n])
	default:
		// net/http reads one byte while a request runs, and keeps what it has.
		c.rest.AddLines(b[:n])
	}
}

// beginHead begins a head of which the rest has arrived.
func (c *Conn) beginHead(rest budget.Head) {
	c.idleSet = false
	c.head, c.rest = rest, budget.Head{}
	c.headAt.Store(c.listener.now.Load())
	c.phase.CompareAndSwap(waiting, inHead)
}

// addToHead counts bytes of a head. It returns an error if the head was refused.
func (c *Conn) addToHead(p []byte) error {
	before := c.head.Claim()
	used := c.head.Add(p)
	c.rest = budget.Head{}
	c.rest.AddLines(p[used:])
	return c.holdHead(before, true)
}

// holdHead takes the room of the head that exceeds the bytes held before. A refusal is only written if answer is set: a head
// that net/http has in its buffer may be whole.
func (c *Conn) holdHead(before units.Bytes, answer bool) error {
	l := c.listener
	if c.head.Bytes > l.options.HeadBytes()+headExcessBytes {
		return c.refuse(answer, l.options.TooLarge, "heads_too_large")
	}
	after := c.head.Claim()
	if after > before && !l.options.Heads.Take(&c.claim, l.time(), after-before) {
		return c.refuse(answer, l.options.Busy, "heads_refused")
	}
	return nil
}

// SetReadDeadline implements net.Conn. net/http sets a deadline before it waits for a request, and another one before it
// reads the head.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.phase.Load() == waiting {
		if c.idleSet && c.rest.Bytes > 0 {
			c.beginHead(c.rest)
			c.refused = c.holdHead(0, false)
		}
		if span := c.listener.options.IdleTimeout(); c.served.Load() && !c.idleSet && span > 0 {
			if least := time.Now().Add(span.Duration()); !t.IsZero() && t.Before(least) {
				t = least
			}
		}
		c.idleSet = true
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	if c.answered {
		return len(b), nil
	}
	c.writeAt.Store(c.listener.now.Load())
	c.writing.Store(true)
	defer c.writing.Store(false)
	written := 0
	for len(b) > writePieceBytes {
		n, err := c.Conn.Write(b[:writePieceBytes])
		written += n
		if err != nil {
			return written, err
		}
		b = b[writePieceBytes:]
		c.writeAt.Store(c.listener.now.Load())
	}
	n, err := c.Conn.Write(b)
	return written + n, err
}

// endRequest prepares the connection for the next request.
func (c *Conn) endRequest() {
	if c.head.Claim() > 0 {
		c.listener.options.Heads.Release(&c.claim)
	}
	c.head = budget.Head{}
	c.idleSet = false
	c.served.Store(true)
	c.progressAt.Store(c.listener.now.Load())
	if !c.phase.CompareAndSwap(arrived, waiting) {
		c.phase.CompareAndSwap(inBody, waiting)
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	l := c.listener
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	err := c.Conn.Close()
	l.options.Heads.Release(&c.claim)
	return err
}

// TryEnd marks the connection as ended, unless its request has arrived whole and may run. Then it returns false. The caller
// closes it.
func (c *Conn) TryEnd() bool {
	for {
		p := c.phase.Load()
		if p == arrived {
			return false
		}
		if c.phase.CompareAndSwap(p, ended) {
			return true
		}
	}
}

// end closes the connection for the reason that the event names, unless its request has arrived. What it holds is released
// once its server has closed it too.
func (c *Conn) end(event string) {
	if c.TryEnd() {
		c.endAnyway(event)
	}
}

// endAnyway closes the connection also if its request has arrived.
func (c *Conn) endAnyway(event string) {
	c.listener.record(event)
	_ = c.Conn.Close()
}

// Now returns the time by which Incomplete dates progress.
func (c *Conn) Now() clock.Time { return c.listener.time() }

// Served reports whether the connection has carried an answer.
func (c *Conn) Served() bool { return c.served.Load() }

// Incomplete reports whether a part of a request has arrived, and when the last byte of it did.
func (c *Conn) Incomplete() (bool, clock.Time) {
	p := c.phase.Load()
	return p == inHead || p == inBody, clock.Time(c.progressAt.Load())
}

// begin records that the handler begins with the request, and returns the request with a body that is followed. It returns
// false if the connection has given way to others, or its head was refused.
func (c *Conn) begin(r *http.Request) (*http.Request, bool) {
	switch {
	case c.refused != nil || c.phase.Load() == ended:
		return r, false
	case r.Body == nil || r.Body == http.NoBody:
		return r, c.setArrived()
	}
	// net/http looks at the body of its own request when it ends the answer.
	followed := *r
	followed.Body = &body{r.Body, c}
	return &followed, true
}

// setArrived records that the request has arrived whole. It returns false if the connection has given way meanwhile.
func (c *Conn) setArrived() bool {
	if !c.phase.CompareAndSwap(inBody, arrived) {
		return c.phase.Load() == arrived
	}
	return c.head.Claim() == 0 || c.listener.options.Heads.Keep(&c.claim)
}

// errGivenWay ends the reading of a body whose connection has given way to others.
var errGivenWay = errors.New("connection has given way to others")

// body is the body of a request that tells its connection when it has ended.
type body struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF { //nolint:errorlint // bodies return it as it is
		if !b.conn.setArrived() {
			return n, errGivenWay
		}
	}
	return n, err
}
