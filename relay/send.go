package relay

import (
	"errors"
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/magnolialever/magnolialever/clock"
)

// setSendTimeout sets the time within which the other side's system has to acknowledge what is sent on a connection; 0 is no
// limit. Afterwards the connection fails and what was not acknowledged is dropped.
func setSendTimeout(raw syscall.RawConn, timeout clock.Span) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout))
	})
	if err := errors.Join(controlErr, err); err != nil {
		return fmt.Errorf("set the time limit for sending: %w", err)
	}
	return nil
}

// controlSend limits the time for which a request may be held up on the way by a new connection. It is the Control function
// of a net.Dialer.
func (p *pool) controlSend(_, _ string, raw syscall.RawConn) error {
	if p.sendTimeout <= 0 {
		return nil
	}
	return setSendTimeout(raw, p.sendTimeout)
}

// limitSend applies the time limit for sending to a request of the size in bytes. Long ones have none: the system also counts
// the time for which the other side reads nothing.
func (p *pool) limitSend(c *conn, size int) error {
	unlimited := size > asyncSendBytes
	if p.sendTimeout <= 0 || c.unlimitedSend == unlimited {
		return nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return fmt.Errorf("set the time limit for sending: %w", err)
	}
	timeout := p.sendTimeout
	if unlimited {
		timeout = 0
	}
	c.unlimitedSend = unlimited
	return setSendTimeout(raw, timeout)
}
