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
	q.caller, q.key, q.arrived = x.caller, x.key, x.arrived
	q.header = passRequest(x.request.Header, x.token)
	if p := s.start(ctx, q); p != nil {
		return p
	}
	defer s.finish(q)
	a := &answer{
		writer:    x.writer,
		arrived:   x.started,
		resumable: q.stream,
		headOnly:  q.method == http.MethodHead,
		keep:      q.once != "",
	}
	r := &relay{server: s, request: q, answer: a}
	p := r.run(q.ctx)
	switch {
	case p == nil:
		return nil
	case a.writer.failed || ctx.Err() != nil:
		stats.Event("caller_gone")
		return nil
	case !a.sent:
		return p
	}
	a.abort(p)
	return nil
}

// replay sends a stored answer.
func (x *exchange) replay(s *StoredResponse) error {
	return ignoreGone((&answer{writer: x.writer, arrived: x.started}).replay(s))
}

// start enters the request in the list of those in progress.
func (s *Server) start(ctx context.Context, q *request) *Problem {
	if q.once != "" {
		// The outcome of a call that must not be repeated is stored even when its
		// caller has gone.
		ctx = context.WithoutCancel(ctx)
	}
	q.ctx, q.cancel = context.WithCancelCause(ctx)
	if p := s.running.add(q); p != nil {
		q.cancel(nil)
		return p
	}
	// The key may have been withdrawn since it was checked.
	s.recheck(q)
	if context.Cause(q.ctx) != nil && ctx.Err() == nil {
		s.finish(q)
		return problem(units.KeyWithdrawn, "the key has been withdrawn")
	}
	return nil
}

func (s *Server) finish(q *request) {
	s.running.remove(q)
	q.cancel(nil)
}

// abort ends an answer that the caller has in part. An answer in events gets an
// event with the error; any other is cut off, so that the caller sees that it is
// not whole.
func (a *answer) abort(p *Problem) {
	p = p.public()
	stats.Refuse(p.Code)
	if !a.resumable {
		panic(http.ErrAbortHandler)
	}
	event := append([]byte("data: "), p.encode()...)
	_, _ = a.writer.Write(append(event, "\n\n"...)) // the caller may have gone
}
