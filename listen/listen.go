// Package listen accepts callers' connections and sees the heads of requests before net/http parses them, as a parsed field
// takes many times its size. It holds heads within a budget that all listeners of a process share, and ends connections
// that stop half-way through a head or an answer.
package listen

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/budget"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/socket"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// headExcessBytes is what a head may take beyond its limit: net/http allows as much.
	headExcessBytes = 4 << 10
	// headMargin is the time that a head may take beyond its limit: its first and last bytes may wait for a busy process.
	headMargin = 2 * clock.Second
	// checkInterval is the interval at which connections are looked at. The time of what they do is that of the last look.
	checkInterval = 100 * time.Millisecond
	// acceptDelay is the interval at which a listener looks whether connections that are closing have ended.
	acceptDelay = 2 * time.Millisecond
	// longPause is the time between two looks from which on the process has stood still, so that times of progress say nothing.
	longPause = clock.Second
	// minFirstTimeout is the least time for which a connection may wait for its first request.
	minFirstTimeout = 10 * clock.Second
	// aheadBytes is the number of unread bytes behind a request that has arrived from which on its connection may be closed:
	// a caller that waits for its answer sends none.
	aheadBytes = 4 << 10
	// logInterval is the least time between two log lines of an event.
	logInterval = clock.Second
	// bufferBytes is what the system keeps of bytes that the process has not read, or that its caller has not taken, for each
	// connection; the system doubles it. It counts as memory of the process.
	bufferBytes = 32 << 10
	// writePieceBytes is the size of the pieces of an answer, one of which has to be taken within the time for a write.
	writePieceBytes = 16 << 10
)

// Options are the limits of a Listener. All functions are called from many goroutines.
type Options struct {
	// Heads is the budget for the heads of requests.
	Heads *budget.Pool
	// HeadBytes returns the limit on the size of a head, HeadTimeout the one on the time from its first byte to its last.
	HeadBytes   func() int
	HeadTimeout func() clock.Span
	// IdleTimeout returns the least time for which an idle connection stays open, if that is longer than the server's; 0 is
	// none.
	IdleTimeout func() clock.Span
	// WriteTimeout bounds the time for a piece of an answer of 16 KiB; 0 is no limit.
	WriteTimeout clock.Span
	// UnreadBytes bounds the bytes that the system has received for all connections and the process has not read.
	UnreadBytes units.Bytes
	// Busy and TooLarge are the whole answers to a head that finds no room in the budget, and to one beyond the limit.
	Busy, TooLarge []byte
}

// Listener accepts connections as Conn. Run has to be called too.
type Listener struct {
	net.Listener
	options Options
	began   time.Time
	// limiter limits the connections; nil without a limit of its own. closed is set once no more are accepted.
	limiter *Limiter
	closed  atomic.Bool
	// now is the time of the last look in milliseconds since began.
	now atomic.Int64

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// events counts what was refused or closed since the last log line, by the name of the counter.
	events map[string]int
}

// New returns a listener that accepts the connections of l.
func New(l net.Listener, o Options) *Listener {
	socket.SetBuffers(l, bufferBytes, bufferBytes)
	return &Listener{Listener: l, options: o, began: time.Now(), conns: map[*Conn]struct{}{}, events: map[string]int{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for l.limiter != nil && !l.closed.Load() && l.limiter.overfull() {
		// Connections that wait in the system's backlog are not lost.
		time.Sleep(acceptDelay)
	}
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newConn(n, l)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closed.Store(true)
	return l.Listener.Close()
}

// time returns the time of the last look.
func (l *Listener) time() clock.Time { return clock.Time(l.now.Load()) }

// Run ends connections that are too slow, until the context is done.
func (l *Listener) Run(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	loggedAt := l.time()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			before := l.time()
			l.now.Store(time.Since(l.began).Milliseconds())
			if l.time().Sub(before) < longPause {
				l.check()
			}
			if now := l.time(); now.Sub(loggedAt) >= logInterval {
				loggedAt = now
				l.logEvents()
			}
		}
	}
}

// record counts a refusal or the end of a connection.
func (l *Listener) record(event string) {
	stats.Event(event)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events[event]++
}

// logEvents logs what was recorded since the last call, in one line for each event.
func (l *Listener) logEvents() {
	l.mu.Lock()
	events := l.events
	l.events = map[string]int{}
	l.mu.Unlock()
	for event, n := range events {
		klog.InfoS("listen: callers refused or closed", "listener", l.Addr(), "event", event, "count", n, "heads", l.options.Heads.Used())
	}
}

// check looks at all connections once.
func (l *Listener) check() {
	now, headTimeout := l.time(), l.options.HeadTimeout()+headMargin
	// A connection may be opened long before its first request, as it may wait for the next one.
	firstTimeout := max(headTimeout, minFirstTimeout, l.options.IdleTimeout())
	l.mu.Lock()
	all := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		all = append(all, c)
	}
	l.mu.Unlock()
	for _, c := range all {
		switch {
		case c.phase.Load() == waiting && !c.served.Load() && now.Sub(clock.Time(c.progressAt.Load())) > firstTimeout && !c.Arriving():
			c.end("connections_without_request")
		case c.phase.Load() == inHead && now.Sub(clock.Time(c.headAt.Load())) > headTimeout && socket.UnreadBytes(c.Conn.Conn) == 0:
			c.end("heads_too_slow")
		case l.options.WriteTimeout > 0 && c.writing.Load() && now.Sub(clock.Time(c.writeAt.Load())) > l.options.WriteTimeout:
			c.endAnyway("answers_not_taken")
		}
	}
	l.checkUnread(all)
}

// checkUnread ends connections with unread bytes until all have no more than their bound: first those on which bytes wait
// behind a request that has arrived, then those that have stood still; of each the ones with most.
func (l *Listener) checkUnread(all []*Conn) {
	if l.options.UnreadBytes <= 0 || units.Bytes(len(all))*2*bufferBytes <= l.options.UnreadBytes {
		return
	}
	type unread struct {
		conn  *Conn
		order int
		bytes int
	}
	now, sum := l.time(), units.Bytes(0)
	var list []unread
	for _, c := range all {
		n := socket.UnreadBytes(c.Conn.Conn)
		sum += units.Bytes(n)
		switch phase := c.phase.Load(); {
		case n == 0:
		case phase == arrived && n > aheadBytes:
			list = append(list, unread{c, 0, n})
		case phase != arrived && now.Sub(clock.Time(c.progressAt.Load())) >= budget.IdleSpan:
			list = append(list, unread{c, 1, n})
		}
	}
	if sum <= l.options.UnreadBytes {
		return
	}
	slices.SortFunc(list, func(x, y unread) int { return cmp.Or(cmp.Compare(x.order, y.order), cmp.Compare(y.bytes, x.bytes)) })
	for _, u := range list {
		if sum <= l.options.UnreadBytes {
			return
		}
		if u.order == 0 {
			u.conn.endAnyway("unread_requests_closed")
		} else {
			u.conn.end("unread_requests_closed")
		}
		sum -= units.Bytes(u.bytes)
	}
}

// OnStateChange is a http.Server.ConnState hook.
func (l *Listener) OnStateChange(n net.Conn, s http.ConnState) {
	c, ok := n.(*Conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		if !c.phase.CompareAndSwap(inHead, inBody) {
			c.phase.CompareAndSwap(waiting, inBody)
		}
	case http.StateIdle:
		c.endRequest()
	case http.StateNew, http.StateClosed, http.StateHijacked:
	}
}

// Answer returns a whole answer that closes the connection. fields are further fields of its head, each with its end.
func Answer(status int, fields, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), fields, len(body), body)
}

// errRefused ends the reading of a head that was refused. net/http may answer it with status 400 all the same, which Write
// drops.
var errRefused = &net.OpError{Op: "read", Err: errors.New("head of the request was refused")}

// refuse answers a head and counts the event.
func (c *Conn) refuse(write bool, answer []byte, event string) error {
	c.listener.record(event)
	if write {
		_ = c.SetWriteDeadline(time.Now().Add(refuseTimeout))
		_, _ = c.Conn.Write(answer)
	}
	c.answered = true
	return errRefused
}

// refuseTimeout bounds the write of a refusal.
const refuseTimeout = time.Second
