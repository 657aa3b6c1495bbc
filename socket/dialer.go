package socket

import (
	"context"
	"net"
)

// Dialer opens connections whose reads tell their end from their loss. Its DialContext is that of an http.Transport: the reset of a
// connection may be reported to the write of a request, and an answer without a length then looks complete.
type Dialer struct{ net.Dialer }

// DialContext connects as that of a net.Dialer does, and returns a ClientConn.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err //nolint:wrapcheck // callers look for its operation
	}
	return NewClientConn(c), nil
}
