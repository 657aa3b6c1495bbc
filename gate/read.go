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
	// firstBodyBytes is the first size of a buffer. It grows with the data that has
	// arrived, so that a caller can't reserve memory with a length alone.
	firstBodyBytes = 16 << 10
	// pooledBodyBytes is the largest buffer that is kept for later requests.
	pooledBodyBytes = 256 << 10
)

// budget bounds the sum of request bodies in memory.
type budget struct {
	limit int64
	used  atomic.Int64
}

func (b *budget) take(n int) bool {
	if b.used.Add(int64(n)) <= b.limit {
		return true
	}
	b.used.Add(-int64(n))
	return false
}

func (b *budget) give(n int) { b.used.Add(-int64(n)) }

// body is a request body in a buffer that goes back to the pool.
type body struct {
	data []byte
}

var bodies = sync.Pool{New: func() any { return &body{data: make([]byte, 0, firstBodyBytes)} }}

// release returns the buffer. The body must not be used afterwards.
func (s *Server) release(b *body) {
	s.budget.give(cap(b.data))
	if cap(b.data) > pooledBodyBytes {
		return
	}
	b.data = b.data[:0]
	bodies.Put(b)
}

// readBody reads a request body within the limits of size, time and memory.
func (s *Server) readBody(x *exchange, from io.Reader) (*body, *Problem) {
	l := &s.options.Settings.Limits
	if x.request.ContentLength > l.MaxBodyBytes {
		return nil, problem(units.BodyTooLarge, "the body is too large")
	}
	b := bodies.Get().(*body)
	if !s.budget.take(cap(b.data)) {
		bodies.Put(b)
		return nil, problem(units.QueueFull, "the gateway has too many request bodies in memory")
	}
	limited := http.MaxBytesReader(x.writer.response, io.NopCloser(from), l.MaxBodyBytes)
	if p := s.fill(b, limited); p != nil {
		s.release(b)
		return nil, p
	}
	// The limit of admit would look like a caller that has gone if it stayed.
	_ = x.writer.controller.SetReadDeadline(time.Time{})
	return b, nil
}

func (s *Server) fill(b *body, from io.Reader) *Problem {
	for {
		if len(b.data) == cap(b.data) && !s.grow(b) {
			return problem(units.QueueFull, "the gateway has too many request bodies in memory")
		}
		n, err := from.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		var large *http.MaxBytesError
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return nil
		case errors.As(err, &large):
			return problem(units.BodyTooLarge, "the body is too large")
		default:
			return problem(units.InvalidRequest, "the body could not be read")
		}
	}
}

// grow doubles the buffer.
func (s *Server) grow(b *body) bool {
	more := cap(b.data)
	if !s.budget.take(more) {
		return false
	}
	next := make([]byte, len(b.data), 2*more)
	copy(next, b.data)
	b.data = next
	return true
}
