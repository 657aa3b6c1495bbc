package gate

import (
	"context"
	"net/http"

	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

// serve runs the request and writes its answer. The error is for the caller, who
// has received nothing yet.
func (s *Server) serve(ctx context.Context, x *exchange, q *request) error {
	q.caller, q.keyHash, q.receivedAt = x.caller, x.keyHash, x.receivedAt
	q.header = forwardedHeaders(x.request.Header, x.apiKey)
	if p := s.register(ctx, q); p != nil {
		return p
	}
	defer s.unregister(q)
	a := &response{
		writer:     x.writer,
		receivedAt: x.startTime,
		resumable:  q.stream,
		headOnly:   q.method == http.MethodHead,
		keepBody:   q.idempotencyKey != "",
	}
	r := &relay{server: s, request: q, response: a}
	p := r.run(q.ctx)
	switch {
	case p == nil:
		return nil
	case a.writer.failed || ctx.Err() != nil:
		stats.Event("caller_gone")
		return nil
	case !a.headSent:
		return p
	}
	a.abort(p)
	return nil
}

// replay sends a stored answer.
func (x *exchange) replay(s *StoredResponse) error {
	return ignoreWriteError((&response{writer: x.writer, receivedAt: x.startTime}).replay(s))
}

// register enters the request in the list of those in progress.
func (s *Server) register(ctx context.Context, q *request) *Problem {
	if q.idempotencyKey != "" {
		// The outcome of a call that must not be repeated is stored even when its
		// caller has gone.
		ctx = context.WithoutCancel(ctx)
	}
	q.ctx, q.cancel = context.WithCancelCause(ctx)
	if p := s.inFlight.add(q); p != nil {
		q.cancel(nil)
		return p
	}
	// The key may have been withdrawn since it was checked.
	s.checkKey(q)
	if context.Cause(q.ctx) != nil && ctx.Err() == nil {
		s.unregister(q)
		return newProblem(units.KeyWithdrawn, "the key has been withdrawn")
	}
	return nil
}

func (s *Server) unregister(q *request) {
	s.inFlight.remove(q)
	q.cancel(nil)
}

// abort ends an answer that the caller has in part. An answer in events gets an
// event with the error; any other is cut off, so that the caller sees that it is
// not whole.
func (a *response) abort(p *Problem) {
	p = p.forCaller()
	stats.Refuse(p.Code)
	if !a.resumable {
		panic(http.ErrAbortHandler)
	}
	event := append([]byte("data: "), p.encode()...)
	_, _ = a.writer.Write(append(event, "\n\n"...)) // the caller may have gone
}
