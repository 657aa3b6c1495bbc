package gate

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnolialever/magnolialever/units"
)

const (
	// initialBodyBytes is the initial size of a buffer. Buffers grow with the data that has
	// arrived, so that a caller can't reserve memory with a Content-Length alone.
	initialBodyBytes = 16 << 10
	// maxPooledBodyBytes is the largest buffer that is returned to the pool.
	maxPooledBodyBytes = 256 << 10
)

// bodyBudget bounds the total size of request body buffers, in bytes.
type bodyBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve takes n bytes from the budget, and reports whether they were available.
func (b *bodyBudget) reserve(n int) bool {
	if b.used.Add(int64(n)) <= b.limit {
		return true
	}
	b.used.Add(-int64(n))
	return false
}

func (b *bodyBudget) release(n int) { b.used.Add(-int64(n)) }

// bodyBuffer is a request body in a pooled buffer.
type bodyBuffer struct {
	data []byte
}

var bodyBuffers = sync.Pool{New: func() any { return &bodyBuffer{data: make([]byte, 0, initialBodyBytes)} }}

// releaseBody returns the buffer to the pool and its size to the budget. The body must not be used
// afterwards.
func (s *Server) releaseBody(b *bodyBuffer) {
	s.bodyBudget.release(cap(b.data))
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
	b := bodyBuffers.Get().(*bodyBuffer)
	if !s.bodyBudget.reserve(cap(b.data)) {
		bodyBuffers.Put(b)
		return nil, newProblem(units.QueueFull, "the gateway has too many request bodies in memory")
	}
	limited := http.MaxBytesReader(x.writer.response, io.NopCloser(src), l.MaxBodyBytes)
	if p := s.fillBody(b, limited); p != nil {
		s.releaseBody(b)
		return nil, p
	}
	// The read deadline that admit has set would be taken for a disconnect of the caller.
	_ = x.writer.controller.SetReadDeadline(time.Time{})
	return b, nil
}

// fillBody reads src to its end into b, and grows the buffer as needed.
func (s *Server) fillBody(b *bodyBuffer, src io.Reader) *Problem {
	for {
		if len(b.data) == cap(b.data) && !s.growBody(b) {
			return newProblem(units.QueueFull, "the gateway has too many request bodies in memory")
		}
		n, err := src.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
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
	if !s.bodyBudget.reserve(additional) {
		return false
	}
	grown := make([]byte, len(b.data), 2*additional)
	copy(grown, b.data)
	b.data = grown
	return true
}
