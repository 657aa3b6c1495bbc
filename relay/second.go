package relay

import (
	"io"
	"net/http"
	"slices"

	"github.com/magnolialever/magnolialever/copies"
	"github.com/magnolialever/magnolialever/platform"
)

// untilSecondAnswer returns a reader of the body that fails where another answer begins in it.
func (rs *response) untilSecondAnswer(body io.Reader) io.Reader {
	return copies.NewReader(body, copies.Options{IsAnswer: rs.isAnswer, IsPartialAnswer: rs.isPartialAnswer})
}

// isAnswer reports whether a head in the body is that of another answer. No event of a stream looks like one. A body of
// another kind may speak of answers, but not of one on this very connection; where it ends with the connection, the
// receipt of a replica is enough.
func (rs *response) isAnswer(status int, h http.Header) bool {
	p := platform.ParseResponseHeader(status, h)
	switch {
	case rs.EventStream:
		return p.RequestID != "" || p.HasReceipt
	case rs.closeDelimited && p.HasReceipt:
		return true
	}
	return p.RequestID != "" && rs.conn.hasCarried(p.RequestID)
}

// isPartialAnswer reports whether a partial head at the end of the body is that of another answer: nothing else ends the
// body, or the head goes on behind it.
func (rs *response) isPartialAnswer(head []byte) bool {
	if rs.closeDelimited {
		return copies.HasStatusCode(head)
	}
	// Peek does not fail for what is buffered.
	next, _ := rs.conn.reader.Peek(rs.conn.reader.Buffered())
	return len(next) > 0 && copies.BeginsHead(slices.Concat(head, next))
}
