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
	// initialBodyBytes is the first size of a buffer. It grows with the data that has
	// arrived, so that a caller can't reserve memory with a length alone.
	initialBodyBytes = 16 << 10
	// maxPooledBodyBytes is the largest buffer that is kept for later requests.
	maxPooledBodyBytes = 256 << 10
)

// bodyBudget bounds the sum of request bodies in memory.
type bodyBudget struct {
	limit int64
	used  atomic.Int64
}

func (b *bodyBudget) reserve(n int) bool {
	if b.used.Add(int64(n)) <= b.limit {
		return true
	}
	b.used.Add(-int64(n))
	return false
}

func (b *bodyBudget) release(n int) { b.used.Add(-int64(n)) }

// bodyBuffer is a request body in a buffer that goes back to the pool.
type bodyBuffer struct {
	data []byte
}

var bodyBuffers = sync.Pool{New: func() any { return &bodyBuffer{data: make([]byte, 0, initialBodyBytes)} }}

// releaseBody returns the buffer. The body must not be used afterwards.
func (s *Server) releaseBody(b *bodyBuffer) {
	s.bodyBudget.release(cap(b.data))
	if cap(b.data) > maxPooledBodyBytes {
		return
	}
	b.data = b.data[:0]
	bodyBuffers.Put(b)
}

// readBody reads a request body within the limits of size, time and memory.
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
	// The limit of admit would look like a caller that has gone if it stayed.
	_ = x.writer.controller.SetReadDeadline(time.Time{})
	return b, nil
}

func (s *Server) fillBody(b *bodyBuffer, src io.Reader) *Problem {
	for {
		if len(b.data) == cap(b.data) && !s.growBody(b) {
			return newProblem(units.QueueFull, "the gateway has too many request bodies in memory")
		}
		n, err := src.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		var large *http.MaxBytesError
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return nil
		case errors.As(err, &large):
			return newProblem(units.BodyTooLarge, "the body is too large")
		default:
			return newProblem(units.InvalidRequest, "the body could not be read")
		}
	}
}

// growBody doubles the buffer.
func (s *Server) growBody(b *bodyBuffer) bool {
	more := cap(b.data)
	if !s.bodyBudget.reserve(more) {
		return false
	}
	next := make([]byte, len(b.data), 2*more)
	copy(next, b.data)
	b.data = next
	return true
}
