package gate

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// maxJobBytes is the largest answer of a job: the store holds values up to 1 MB,
// and base64 adds a third.
const maxJobBytes = 700 << 10

// ErrResponseTooLarge is returned by Execute when the answer is too large to be stored.
var ErrResponseTooLarge = errors.New("the answer is too large to be stored")

// Job is a request that runs without a waiting caller.
type Job struct {
	Caller Caller
	Method string
	Path   string
	Header []*wire.Header
	Body   []byte
}

// JobStore keeps deferred work. It is called by many goroutines.
type JobStore interface {
	// Submit stores the job and returns its id. The body is valid only during the
	// call.
	Submit(ctx context.Context, j Job) (id string, err error)
	// Get returns what the customer gets for the id: the answer when it is there, or
	// the state.
	Get(ctx context.Context, c units.CustomerID, id string) (*StoredResponse, error)
}

// Execute runs a job and returns its answer. Its key may have been withdrawn since
// it was submitted.
func (s *Server) Execute(ctx context.Context, j Job) (*StoredResponse, error) {
	if p := s.enter(); p != nil {
		return nil, p
	}
	defer s.running.leave()
	q, p := s.generation(j.Caller, units.Night, j.Path, j.Body)
	if p != nil {
		return nil, p
	}
	q.header, q.open, q.arrived = j.Header, true, s.clock.Now()
	if p := s.start(ctx, q); p != nil {
		return nil, p
	}
	defer s.finish(q)
	c := &collector{}
	a := &answer{writer: newWriter(c, s.options.Settings.Limits.WriteTimeout), arrived: time.Now()}
	r := &relay{server: s, request: q, answer: a}
	if p := r.run(q.ctx); p != nil {
		if c.full {
			return nil, ErrResponseTooLarge
		}
		return nil, p
	}
	return &StoredResponse{Status: a.status, Header: a.header, Body: c.body}, nil
}

// collector is a ResponseWriter that keeps the body.
type collector struct {
	header http.Header
	body   []byte
	// full is set when the body exceeds what can be stored.
	full bool
}

// Header implements http.ResponseWriter.
func (c *collector) Header() http.Header {
	if c.header == nil {
		c.header = http.Header{}
	}
	return c.header
}

// WriteHeader implements http.ResponseWriter.
func (*collector) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (c *collector) Write(data []byte) (int, error) {
	if len(c.body)+len(data) > maxJobBytes {
		c.full = true
		return 0, ErrResponseTooLarge
	}
	c.body = append(c.body, data...)
	return len(data), nil
}

// Flush implements http.Flusher.
func (*collector) Flush() {}
