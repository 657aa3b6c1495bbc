package gate

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// maxJobResponseBytes bounds the response body of a job: the store holds values up to 1 MB, and
// base64 adds a third.
const maxJobResponseBytes = 700 << 10

// ErrResponseTooLarge is returned by Execute when the response is too large to be stored.
var ErrResponseTooLarge = errors.New("the response is too large to be stored")

// Job is a deferred request: it runs without a waiting caller.
type Job struct {
	Caller Caller
	Method string
	Path   string
	Header []*wire.Header
	Body   []byte
}

// JobStore stores deferred jobs and their responses. It must be safe for concurrent use.
type JobStore interface {
	// Submit stores the job and returns its ID. The body is valid only during the call.
	Submit(ctx context.Context, j Job) (id string, err error)
	// Get returns the response to a poll for the customer's job with the ID: that of the job when
	// it is complete, or else its state.
	Get(ctx context.Context, c units.CustomerID, id string) (*StoredResponse, error)
}

// Execute runs a job and returns its response. It does not check the key, which may have been
// withdrawn since the job was submitted. It fails with a *Problem, or with ErrResponseTooLarge.
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
	resp := &response{writer: newFlushWriter(c, s.options.Settings.Limits.WriteTimeout), receivedAt: time.Now()}
	r := &relay{server: s, request: q, response: resp}
	if p := r.run(q.ctx); p != nil {
		if c.tooLarge {
			return nil, ErrResponseTooLarge
		}
		return nil, p
	}
	return &StoredResponse{Status: resp.status, Header: resp.header, Body: c.body}, nil
}

// responseCollector is a ResponseWriter that collects the body.
type responseCollector struct {
	header http.Header
	body   []byte
	// tooLarge is set when the body exceeds maxJobResponseBytes.
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
