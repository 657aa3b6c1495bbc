package agent

import (
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"github.com/magnolialever/magnolialever/socket"
	"github.com/magnolialever/magnolialever/stats"
)

// endedBody is the body of an answer that knows whether it was read to its end.
type endedBody struct {
	io.Reader
	atEnd bool
}

// Read implements io.Reader.
func (b *endedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.atEnd = b.atEnd || errors.Is(err, io.EOF)
	return n, err //nolint:wrapcheck // callers compare with io.EOF
}

// ending is what ended a complete answer on the connection, as in logs. It counts answers that ended with their connection.
func (b *endedBody) ending(resp *http.Response, c net.Conn) string {
	switch {
	case !b.atEnd:
		return "agent"
	case resp.Body == http.NoBody:
		return "head"
	case !isCloseDelimited(resp):
		if resp.ContentLength >= 0 {
			return "length"
		}
		return "chunks"
	}
	stats.Event("answers_ended_by_connection")
	ended := socket.NotEnded
	if e, ok := c.(interface{ Ended() socket.Ending }); ok {
		ended = e.Ended()
	}
	return "connection " + ended.String()
}
