package gate

import (
	"context"
	"net/http"

	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

// serve runs the request and writes its response. It returns an error when nothing has been sent to
// the caller, and nil when the caller has disconnected or the response was sent in part.
func (s *Server) serve(ctx context.Context, x *exchange, q *request) error {
	q.caller, q.keyHash, q.receivedAt = x.caller, x.keyHash, x.receivedAt
	q.header = forwardedHeaders(x.request.Header, x.apiKey)
	if p := s.register(ctx, q); p != nil {
		return p
	}
	defer s.unregister(q)
	resp := &response{
		writer:     x.writer,
		receivedAt: x.startTime,
		resumable:  q.stream,
		atMostOnce: !q.info.Idempotent,
		headOnly:   q.method == http.MethodHead,
		keepBody:   q.idempotencyKey != "",
	}
	r := &relay{server: s, request: q, response: resp}
	p := r.run(q.ctx)
	switch {
	case p == nil:
		return nil
	case resp.writer.failed || ctx.Err() != nil:
		stats.Event("caller_gone")
		return nil
	case !resp.headSent:
		return p
	}
	resp.abort(p)
	return nil
}

// replay sends a stored response to the caller.
func (x *exchange) replay(s *StoredResponse) error {
	return ignoreWriteError((&response{writer: x.writer, receivedAt: x.startTime}).replay(s))
}

// register adds the request to those in progress. It fails when the customer has too many, or when
// the key has been withdrawn since it was checked.
func (s *Server) register(ctx context.Context, q *request) *Problem {
	if q.idempotencyKey != "" {
		// The outcome of the call is stored even when its caller has disconnected.
		ctx = context.WithoutCancel(ctx)
	}
	q.ctx, q.cancel = context.WithCancelCause(ctx)
	if p := s.inFlight.add(q); p != nil {
		q.cancel(nil)
		return p
	}
	// SetDirectory checks only registered requests, so check the key again.
	s.checkKey(q)
	if context.Cause(q.ctx) != nil && ctx.Err() == nil {
		s.unregister(q)
		return newProblem(units.KeyWithdrawn, "the key has been withdrawn")
	}
	return nil
}

// unregister undoes register and releases the context of the request.
func (s *Server) unregister(q *request) {
	s.inFlight.remove(q)
	q.cancel(nil)
}

// abort ends a partly sent response. A resumable event stream gets an event with the error. Any
// other response is cut off by closing the connection, so that the caller sees that it is
// incomplete.
func (r *response) abort(p *Problem) {
	p = p.forCaller()
	stats.Refuse(p.Code)
	if !r.resumable {
		panic(http.ErrAbortHandler)
	}
	event := append([]byte("data: "), p.encode()...)
	_, _ = r.writer.Write(append(event, "\n\n"...)) // the caller may have disconnected
}
