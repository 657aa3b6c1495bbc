package gate

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnolialever/magnolialever/budget"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// initialBodyBytes is the initial size of a buffer. Buffers grow with the data that has
	// arrived, so that a caller can't reserve memory with a Content-Length alone.
	initialBodyBytes = 16 << 10
	// maxPooledBodyBytes is the largest buffer that is returned to the pool.
	maxPooledBodyBytes = 256 << 10
)

// bodyBuffer is a request body in a pooled buffer.
type bodyBuffer struct {
	data []byte
	// claim is what the buffer holds of the server's budget beyond initialBodyBytes, which are free: a request slot counts
	// with them. progressAt is the clock.Time of the last bytes of it.
	claim      budget.Claim
	progressAt atomic.Int64
}

// newBodyBuffer returns an empty buffer from the pool of buffers.
func newBodyBuffer() *bodyBuffer {
	b := bodyBuffers.Get().(*bodyBuffer)
	if b.claim.ProgressAt == nil {
		b.claim.ProgressAt = func() clock.Time { return clock.Time(b.progressAt.Load()) }
	}
	return b
}

var bodyBuffers = sync.Pool{New: func() any { return &bodyBuffer{data: make([]byte, 0, initialBodyBytes)} }}

// releaseBody returns the buffer to the pool and its size to the budget. The body must not be used
// afterwards.
func (s *Server) releaseBody(b *bodyBuffer) {
	s.bodies.Release(&b.claim)
	b.claim.Yield = nil
	if cap(b.data) > maxPooledBodyBytes {
		return
	}
	b.data = b.data[:0]
	bodyBuffers.Put(b)
}

// readBody reads a request body within the limits of size, time and memory. The caller has to call
// releaseBody.
func (s *Server) readBody(x *exchange, src io.Reader) (*bodyBuffer, *Problem) {
	l := &s.options.Settings.Limits
	if x.request.ContentLength > l.MaxBodyBytes {
		return nil, newProblem(units.BodyTooLarge, "the body is too large")
	}
	b := newBodyBuffer()
	controller := x.writer.controller
	b.claim.Yield = func() {
		stats.Event("bodies_given_way")
		_ = controller.SetReadDeadline(time.Unix(1, 0))
	}
	if more := cap(b.data) - initialBodyBytes; more > 0 && !s.bodies.Take(&b.claim, s.clock.Now(), units.Bytes(more)) {
		s.releaseBody(b)
		return nil, bodiesFull()
	}
	limited := http.MaxBytesReader(x.writer.response, io.NopCloser(src), l.MaxBodyBytes)
	p := s.fillBody(b, limited)
	if !s.bodies.Keep(&b.claim) {
		// The deadline that ends the reading may come late and hit the next request on the connection.
		x.writer.Header().Set("Connection", "close")
		p = bodiesFull()
	}
	if p != nil {
		s.releaseBody(b)
		return nil, p
	}
	// The read deadline that admit has set would be taken for a disconnect of the caller.
	_ = x.writer.controller.SetReadDeadline(time.Time{})
	return b, nil
}

// bodiesFull returns the refusal of a request whose body finds no room.
func bodiesFull() *Problem {
	return newProblem(units.QueueFull, "the gateway has too many request bodies in memory")
}

// fillBody reads src to its end into b, and grows the buffer as needed.
func (s *Server) fillBody(b *bodyBuffer, src io.Reader) *Problem {
	for {
		if len(b.data) == cap(b.data) && !s.growBody(b) {
			return bodiesFull()
		}
		n, err := src.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if cap(b.data) > initialBodyBytes {
			b.progressAt.Store(int64(s.clock.Now()))
		}
		var tooLarge *http.MaxBytesError
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return nil
		case errors.As(err, &tooLarge):
			return newProblem(units.BodyTooLarge, "the body is too large")
		default:
			return newProblem(units.InvalidRequest, "the body could not be read")
		}
	}
}

// growBody doubles the buffer. It returns false when the budget is exhausted.
func (s *Server) growBody(b *bodyBuffer) bool {
	additional := cap(b.data)
	if !s.bodies.Take(&b.claim, s.clock.Now(), units.Bytes(additional)) {
		return false
	}
	grown := make([]byte, len(b.data), 2*additional)
	copy(grown, b.data)
	b.data = grown
	return true
}
