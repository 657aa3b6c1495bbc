package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/magnolialever/magnolialever/socket"
)

// direction is one of a connection's two.
type direction uint8

const (
	// request is the direction to the listener behind a link, response the one back.
	request direction = iota
	response
)

// linkBuffer is the size in bytes of the buffers of links for requests.
const linkBuffer = 32 << 10

// link is a proxy on loopback between gateways and one listener of the platform. It passes on how a connection ends.
type link struct {
	target, address string

	mu       sync.Mutex // guards the fields below
	listener net.Listener
	// changed is signaled when one of the fields below changes.
	changed *sync.Cond
	// held counts the faults by which nothing is passed on in a direction.
	held  [2]int
	delay time.Duration
	conns map[*net.TCPConn]bool
	// gatewayConns are gateways' connections by the address from which the link connected to the listener for them.
	gatewayConns map[string]*net.TCPConn
	closed       bool
	// disturbed counts the faults that last, disturbedUntil is the end of the last one.
	disturbed      int
	disturbedUntil time.Time
}

// newLink returns a link to a listener. It listens on a free port.
func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", target, err)
	}
	k := &link{target: target, address: l.Addr().String(), listener: l, conns: map[*net.TCPConn]bool{}, gatewayConns: map[string]*net.TCPConn{}}
	k.changed = sync.NewCond(&k.mu)
	go k.accept(l)
	return k, nil
}

func (l *link) addr() string { return l.address }

func (l *link) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go l.connect(c.(*net.TCPConn))
	}
}

// connect connects a gateway's connection with the listener behind the link.
func (l *link) connect(c *net.TCPConn) {
	behind, err := net.Dial("tcp4", l.target)
	if err != nil {
		c.Close()
		return
	}
	d := behind.(*net.TCPConn)
	// Else buffers take a long request whole before its answer begins.
	_ = c.SetReadBuffer(linkBuffer)
	_ = d.SetWriteBuffer(linkBuffer)
	l.mu.Lock()
	l.conns[c], l.conns[d] = true, true
	l.gatewayConns[d.LocalAddr().String()] = c
	l.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { l.pass(request, c, d) })
	group.Go(func() { l.pass(response, d, c) })
	group.Wait()
	c.Close()
	d.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	delete(l.conns, d)
	delete(l.gatewayConns, d.LocalAddr().String())
}

// pass passes on bytes in one direction, and then how they ended. The write in the other direction may take the system's
// report of a reset, so that the read here sees a plain end.
func (l *link) pass(dir direction, from, to *net.TCPConn) {
	buf, source := make([]byte, 16<<10), socket.NewClientConn(from)
	for {
		n, err := source.Read(buf)
		l.wait(dir)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				resetConns(from, to)
				return
			}
		}
		if errors.Is(err, io.EOF) && source.Ended() == socket.EndedInOrder {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			resetConns(from, to)
			return
		}
	}
}

// resetConns ends connections with a reset.
func resetConns(conns ...*net.TCPConn) {
	for _, c := range conns {
		_ = c.SetLinger(0)
		c.Close()
	}
}

// wait waits until bytes may be passed on in a direction.
func (l *link) wait(dir direction) {
	l.mu.Lock()
	for l.held[dir] > 0 && !l.closed {
		l.changed.Wait()
	}
	delay := l.delay
	l.mu.Unlock()
	time.Sleep(delay)
}

// hold passes on nothing in some directions for a time. Connections stay as they are.
func (l *link) hold(span time.Duration, dirs ...direction) {
	l.disturb(span, func(begin bool) {
		for _, d := range dirs {
			if begin {
				l.held[d]++
			} else {
				l.held[d]--
			}
		}
	})
}

// slow delays bytes in both directions for a time.
func (l *link) slow(span, delay time.Duration) {
	l.disturb(span, func(begin bool) {
		l.delay = 0
		if begin {
			l.delay = delay
		}
	})
}

// reset ends all connections with a reset.
func (l *link) reset() {
	l.disturb(0, func(begin bool) {
		for c := range l.conns {
			if begin {
				resetConns(c)
			}
		}
	})
}

// resetGateway ends the connection of the gateway that the listener sees at the address with a reset. It is no fault of the link.
func (l *link) resetGateway(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.gatewayConns[address]; c != nil {
		resetConns(c)
	}
}

// disturb calls f at the begin and at the end of a fault that lasts for a time.
func (l *link) disturb(span time.Duration, f func(begin bool)) {
	l.mu.Lock()
	l.disturbed++
	f(true)
	l.mu.Unlock()
	time.Sleep(span)
	l.mu.Lock()
	defer l.mu.Unlock()
	f(false)
	l.disturbed--
	l.disturbedUntil = time.Now()
	l.changed.Broadcast()
}

// disturbedSince reports whether a fault lasted at the time or later.
func (l *link) disturbedSince(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.disturbed > 0 || l.disturbedUntil.After(t)
}

// refuse refuses connections from now on.
func (l *link) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener.Close()
}

// down refuses connections for a time, for which crash ends the process behind the link.
func (l *link) down(span time.Duration, crash func()) {
	l.refuse()
	crash()
	time.Sleep(span)
	for {
		l.mu.Lock()
		listener, err := net.Listen("tcp4", l.address)
		if err == nil {
			l.listener = listener
			go l.accept(listener)
		}
		l.mu.Unlock()
		if err == nil {
			return
		}
		// An outgoing connection may use the port for a moment.
		time.Sleep(10 * time.Millisecond)
	}
}

// close refuses connections and passes on all bytes that are held. It counts as a fault.
func (l *link) close() {
	l.refuse()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed, l.disturbedUntil = true, time.Now()
	l.changed.Broadcast()
}
