// Package socket looks at connections without reading from them, and at listeners without accepting.
package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of a connection that nobody reads from.
type State uint8

const (
	// Open means that nothing has arrived, or that it can't be told.
	Open State = iota
	// Closed means that the other side has closed the connection, or that it failed.
	Closed
	// Unread means that bytes have arrived.
	Unread
)

// Peek returns the state of the connection. It takes nothing from it, the report of a reset included, which the system gives only
// once, and doesn't wait for a goroutine that reads.
func Peek(c net.Conn) State {
	s, ok := c.(syscall.Conn)
	if !ok {
		return Open
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Open
	err = raw.Control(func(fd uintptr) {
		events := poll(fd, unix.POLLRDHUP)
		// The bytes are counted last: those that arrived before the end are still unread.
		unread, e := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		switch {
		case e == nil && unread > 0:
			state = Unread
		case events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0:
			state = Closed
		}
	})
	if err != nil {
		return Closed
	}
	return state
}

// poll returns those of the events, and of the errors that are always reported, that hold now; none if it can't be told.
func poll(fd uintptr, events int16) int16 {
	p := []unix.PollFd{{Fd: int32(fd), Events: events}}
	for {
		_, err := unix.Poll(p, 0)
		switch {
		case err == nil:
			return p[0].Revents
		case !errors.Is(err, unix.EINTR):
			return 0
		}
	}
}

// Waiting reports whether connections wait to be accepted. It accepts none. It returns false if that can't be told.
func Waiting(l net.Listener) bool {
	if wrapped, ok := l.(Listener); ok {
		l = wrapped.Listener
	}
	s, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(fd uintptr) { waiting = poll(fd, unix.POLLIN)&unix.POLLIN != 0 })
	return err == nil && waiting
}

// SetBuffers sets the sizes of the system's buffers for bytes that the process has not read, and for those that the other side
// has not taken, for each connection that the listener accepts from then on. The system doubles them. Listeners that can't are
// left as they are.
func SetBuffers(l net.Listener, receive, send int) {
	control(l, func(fd int) {
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receive)
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, send)
	})
}

// UnreadBytes returns the number of bytes that have arrived and that the process has not read; 0 if it can't be told.
func UnreadBytes(c net.Conn) int {
	n := 0
	control(c, func(fd int) { n, _ = unix.IoctlGetInt(fd, unix.SIOCINQ) })
	return n
}

// control calls f with the descriptor of a connection or listener, unless it has none.
func control(v any, f func(fd int)) {
	s, ok := v.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := s.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { f(int(fd)) })
	}
}
