package gate

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// maxJobResponseBytes is the largest answer of a job: the store holds values up to 1 MB,
// and base64 adds a third.
const maxJobResponseBytes = 700 << 10

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
	if p := s.acquireSlot(); p != nil {
		return nil, p
	}
	defer s.inFlight.release()
	q, p := s.newModelRequest(j.Caller, units.Night, j.Path, j.Body)
	if p != nil {
		return nil, p
	}
	q.header, q.unauthenticated, q.receivedAt = j.Header, true, s.clock.Now()
	if p := s.register(ctx, q); p != nil {
		return nil, p
	}
	defer s.unregister(q)
	c := &responseCollector{}
	a := &response{writer: newFlushWriter(c, s.options.Settings.Limits.WriteTimeout), receivedAt: time.Now()}
	r := &relay{server: s, request: q, response: a}
	if p := r.run(q.ctx); p != nil {
		if c.tooLarge {
			return nil, ErrResponseTooLarge
		}
		return nil, p
	}
	return &StoredResponse{Status: a.status, Header: a.header, Body: c.body}, nil
}

// responseCollector is a ResponseWriter that keeps the body.
type responseCollector struct {
	header http.Header
	body   []byte
	// tooLarge is set when the body exceeds what can be stored.
	tooLarge bool
}

// Header implements http.ResponseWriter.
func (c *responseCollector) Header() http.Header {
	if c.header == nil {
		c.header = http.Header{}
	}
	return c.header
}

// WriteHeader implements http.ResponseWriter.
func (*responseCollector) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (c *responseCollector) Write(data []byte) (int, error) {
	if len(c.body)+len(data) > maxJobResponseBytes {
		c.tooLarge = true
		return 0, ErrResponseTooLarge
	}
	c.body = append(c.body, data...)
	return len(data), nil
}

// Flush implements http.Flusher.
func (*responseCollector) Flush() {}
